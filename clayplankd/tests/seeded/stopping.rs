//! Planned stops of entry hosts while callers wait for answers.

use clayplank_placement::EngineModel;
use serde_json::json;

use crate::answer::Answer;
use crate::failover::leader;
use crate::guarantees::plan_with_engines;
use crate::queued::{SLOTS, enable_queue, wait_for_prompts};
use crate::system::{System, call_with_headers, wait_for};

/// Callers of a host that stops; their streams take longer in total than it has left.
const CALLERS: usize = 24;

/// Requests that waited in the queue of a stopping host got no answer: their connections closed with
/// its process.
#[test]
fn requests_that_wait_at_a_stopping_host_are_answered() {
    let mut system = System::start();
    enable_queue(&mut system);
    let model = EngineModel { slots: SLOTS, ..EngineModel::default() };
    system.start_engine("e1", 31, model.clone());
    let mut plan = plan_with_engines(2, &model);
    if let Some(route) = plan["routes"].as_array_mut().unwrap().last_mut() {
        route["goal_ms"] = json!(9_000);
    }
    system.wait_for_plan(&plan);
    wait_for_prompts(&system);
    let address = system.entries[0].callers();
    let send = |number: usize| {
        let attempt = format!("stopped-{number}");
        let tokens = [("x-clayplank-tokens", "2000,700")];
        call_with_headers(address, &attempt, 9_000, "/prompt/x", &tokens, "body")
    };
    let answers: Vec<Answer> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|n| scope.spawn(move || send(n))).collect();
        let queued = |line: &str| {
            line.strip_prefix("clayplank_keeper_queued ").is_some_and(|count| count != "0")
        };
        wait_for("queued requests", || {
            system.keepers[leader(&system)].metrics().lines().any(queued)
        });
        system.entries[0].terminate();
        callers.into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    wait_for("the end of the host", || system.entries[0].has_ended());
    let outcomes: Vec<_> =
        answers.iter().map(|answer| (answer.status, answer.is_complete)).collect();
    let is_answered =
        |(status, is_complete): &(u16, bool)| *is_complete && (*status == 200 || *status == 503);
    assert!(outcomes.iter().all(is_answered), "{outcomes:?}");
    assert!(outcomes.contains(&(200, true)) && outcomes.contains(&(503, true)), "{outcomes:?}");
}
