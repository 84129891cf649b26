//! A prompt under which engines end, at the project's own doors: the same cause as on the users'
//! platform, where each call of it began with all of its tries.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::common::slow_engines;
use crate::harness::{ACCOUNT_KEY, Engine, HOSTS, System, bearer, call, wait_for};

/// Hosts learn of a verdict within milliseconds.
const VERDICT: Duration = Duration::from_millis(1_500);

/// What a host logs once it has asked whether a broken engine listens, and it does not.
const NOTED: &str = "An upstream ended under requests";

fn body(prompt: &str) -> String {
    json!({ "prompt": prompt, "max_tokens": 60 }).to_string()
}

/// Sends a prompt, and ends each engine that begins it, for as long as its caller waits; returns how
/// many.
fn end_its_engines(system: &mut System, host: usize) -> usize {
    let known: BTreeSet<_> = system.engines.iter().flat_map(Engine::begun).collect();
    let address = system.hosts[host].callers;
    let caller = std::thread::spawn(move || {
        call(
            address,
            "POST",
            "/v1/completions",
            &[bearer(ACCOUNT_KEY)],
            body("crashing").as_bytes(),
        )
    });
    let mut ended = 0;
    wait_for("the end of the call", || {
        // What engines report lags: it may still tell of a prompt that came before.
        let is_new = |engine: &Engine| !engine.begun().is_subset(&known);
        let busy = system.engines.iter().position(is_new);
        if let Some(busy) = busy {
            let noted = system.count_logged(NOTED);
            system.engines[busy].die();
            wait_for("the word of the host that the engine ended", || {
                system.count_logged(NOTED) > noted
            });
            system.engines[busy].revive();
            ended += 1;
        }
        caller.is_finished()
    });
    caller.join().unwrap();
    ended
}

fn begun(system: &System) -> usize {
    system.engines.iter().map(|engine| engine.begun().len()).sum()
}

#[test]
fn a_prompt_under_which_engines_ended_is_held_back() {
    let mut system = System::start(slow_engines());
    let mut ended = 0;
    for host in 0.. {
        ended += end_its_engines(&mut system, host % HOSTS);
        // Engines that came back are used again by then.
        std::thread::sleep(VERDICT);
        if ended >= 3 {
            break;
        }
    }
    let before = begun(&system);
    for host in 0..HOSTS {
        let answer = system.complete(host, "crashing", 60);
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.text().contains("held-back"), "{}", answer.text());
    }
    assert_eq!(begun(&system), before, "no engine began it again");
    assert_eq!(system.complete(0, "another prompt", 8).status, 200);
}
