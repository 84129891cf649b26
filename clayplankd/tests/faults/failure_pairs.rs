//! Random pairs of simultaneous failures.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use clayplank_standin::FaultKind;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use crate::claims::ReportedOutcomes;
use crate::common::{assert_complete, completion_text, fast_engines};
use crate::harness::{ACCOUNT_KEY, HOSTS, System, bearer, wait_for};

/// A failure that is injected and later undone.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Kill(usize),
    Freeze(usize),
    Partition(usize),
    EngineTerminates(usize),
    EngineBreaksStreams(usize),
    ServiceLosesAnswers,
}

fn draw_failure(rng: &mut SmallRng) -> Failure {
    let (host, engine) = (rng.random_range(0..HOSTS), rng.random_range(0..2));
    match rng.random_range(0..6) {
        0 => Failure::Kill(host),
        1 => Failure::Freeze(host),
        2 => Failure::Partition(host),
        3 => Failure::EngineTerminates(engine),
        4 => Failure::EngineBreaksStreams(engine),
        _ => Failure::ServiceLosesAnswers,
    }
}

fn inject_failure(system: &mut System, failure: Failure) {
    match failure {
        Failure::Kill(host) => system.kill(host),
        Failure::Freeze(host) => system.signal(host, "STOP"),
        Failure::Partition(host) => system.links.set_partitioned(host, true),
        Failure::EngineTerminates(engine) => system.engines[engine].terminate(),
        Failure::EngineBreaksStreams(engine) => {
            system.engines[engine].inject_faults(FaultKind::DropStream, 5)
        }
        Failure::ServiceLosesAnswers => system.service.inject_faults(FaultKind::LoseAnswer, 3),
    }
}

fn undo_failure(system: &mut System, failure: Failure) {
    match failure {
        Failure::Kill(host) => system.spawn(host),
        Failure::Freeze(host) => system.signal(host, "CONT"),
        Failure::Partition(host) => system.links.set_partitioned(host, false),
        Failure::EngineTerminates(engine) => system.engines[engine].restart(),
        Failure::EngineBreaksStreams(_) | Failure::ServiceLosesAnswers => {}
    }
}

/// Draws two failures with different targets, so that each can be injected and undone
/// independently.
fn draw_pair(rng: &mut SmallRng) -> [Failure; 2] {
    let target = |failure: Failure| match failure {
        Failure::Kill(host) | Failure::Freeze(host) | Failure::Partition(host) => host,
        Failure::EngineTerminates(engine) | Failure::EngineBreaksStreams(engine) => HOSTS + engine,
        Failure::ServiceLosesAnswers => HOSTS + 2,
    };
    let first = draw_failure(rng);
    loop {
        let second = draw_failure(rng);
        if target(second) != target(first) {
            return [first, second];
        }
    }
}

#[test]
fn guarantees_hold_under_pairs_of_failures() {
    let seed = std::env::var("CLAYPLANK_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut system = System::start(fast_engines());
    let addresses: Vec<_> = system.hosts.iter().map(|host| host.callers).collect();
    let reported = ReportedOutcomes::default();
    let is_finished = AtomicBool::new(false);
    let (next, complete) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for caller in 0..6 {
            let (addresses, reported, is_finished, next, complete) =
                (&addresses, &reported, &is_finished, &next, &complete);
            scope.spawn(move || {
                while !is_finished.load(Ordering::SeqCst) {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    let address = addresses[(number + caller) % HOSTS];
                    let prompt =
                        json!({ "prompt": format!("q{number}"), "max_tokens": 4 }).to_string();
                    let limit = ("x-clayplank-deadline-ms".to_owned(), "4000".to_owned());
                    let headers = [bearer(ACCOUNT_KEY), limit.clone()];
                    let answer = crate::harness::call(
                        address,
                        "POST",
                        "/v1/completions",
                        &headers,
                        prompt.as_bytes(),
                    );
                    if let Some(answer) =
                        answer.filter(|answer| answer.status == 200 && answer.is_complete)
                    {
                        assert_complete(&completion_text(&answer), 4);
                        complete.fetch_add(1, Ordering::SeqCst);
                    }
                    reported.post_twice(addresses, caller, &format!("k{number}"), &[limit]);
                }
            });
        }
        for round in 0..6 {
            let pair = draw_pair(&mut rng);
            eprintln!("round {round}: {pair:?}");
            pair.into_iter().for_each(|failure| inject_failure(&mut system, failure));
            std::thread::sleep(Duration::from_millis(rng.random_range(300..1_500)));
            pair.into_iter().for_each(|failure| undo_failure(&mut system, failure));
            (0..HOSTS).for_each(|host| system.wait_healthy(host));
        }
        is_finished.store(true, Ordering::SeqCst);
    });
    reported.check(&system.service.runs());
    assert!(complete.load(Ordering::SeqCst) > 10, "only {complete:?} complete answers");
    wait_for("the release of all memory", || {
        system.reserved_tokens() == Some(0)
            && system.engines.iter().all(|engine| engine.reserved_tokens() == 0)
    });
}
