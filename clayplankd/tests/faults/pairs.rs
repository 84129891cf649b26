//! Random pairs of simultaneous failures.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use clayplank_standin::FaultKind;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use crate::claims::Told;
use crate::common::{assert_whole, quick_engines, whole_text};
use crate::harness::{ACCOUNT_KEY, HOSTS, System, bearer, wait_for};

/// A failure that is injected and later undone.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Kill(usize),
    Freeze(usize),
    Cut(usize),
    EngineDies(usize),
    EngineBreaksStreams(usize),
    ServiceLosesAnswers,
}

fn draw_failure(rng: &mut SmallRng) -> Failure {
    let (host, engine) = (rng.random_range(0..HOSTS), rng.random_range(0..2));
    match rng.random_range(0..6) {
        0 => Failure::Kill(host),
        1 => Failure::Freeze(host),
        2 => Failure::Cut(host),
        3 => Failure::EngineDies(engine),
        4 => Failure::EngineBreaksStreams(engine),
        _ => Failure::ServiceLosesAnswers,
    }
}

fn begin_failure(system: &mut System, failure: Failure) {
    match failure {
        Failure::Kill(host) => system.kill(host),
        Failure::Freeze(host) => system.signal(host, "STOP"),
        Failure::Cut(host) => system.links.set_cut(host, true),
        Failure::EngineDies(engine) => system.engines[engine].die(),
        Failure::EngineBreaksStreams(engine) => {
            system.engines[engine].show_fault(FaultKind::DropStream, 5)
        }
        Failure::ServiceLosesAnswers => system.service.show_fault(FaultKind::LoseAnswer, 3),
    }
}

fn mend_failure(system: &mut System, failure: Failure) {
    match failure {
        Failure::Kill(host) => system.spawn(host),
        Failure::Freeze(host) => system.signal(host, "CONT"),
        Failure::Cut(host) => system.links.set_cut(host, false),
        Failure::EngineDies(engine) => system.engines[engine].revive(),
        Failure::EngineBreaksStreams(_) | Failure::ServiceLosesAnswers => {}
    }
}

/// Draws two failures with different targets, so that each can be injected and undone
/// independently.
fn draw_pair(rng: &mut SmallRng) -> [Failure; 2] {
    let target = |failure: Failure| match failure {
        Failure::Kill(host) | Failure::Freeze(host) | Failure::Cut(host) => host,
        Failure::EngineDies(engine) | Failure::EngineBreaksStreams(engine) => HOSTS + engine,
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
fn promises_hold_under_failures_in_pairs() {
    let seed = std::env::var("CLAYPLANK_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut system = System::start(quick_engines());
    let addresses: Vec<_> = system.hosts.iter().map(|host| host.callers).collect();
    let told = Told::default();
    let is_over = AtomicBool::new(false);
    let (next, whole) = (AtomicUsize::new(0), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for caller in 0..6 {
            let (addresses, told, is_over, next, whole) =
                (&addresses, &told, &is_over, &next, &whole);
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
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
                        answer.filter(|answer| answer.status == 200 && answer.is_whole)
                    {
                        assert_whole(&whole_text(&answer), 4);
                        whole.fetch_add(1, Ordering::SeqCst);
                    }
                    told.post_twice(addresses, caller, &format!("k{number}"), &[limit]);
                }
            });
        }
        for round in 0..6 {
            let pair = draw_pair(&mut rng);
            eprintln!("round {round}: {pair:?}");
            pair.into_iter().for_each(|failure| begin_failure(&mut system, failure));
            std::thread::sleep(Duration::from_millis(rng.random_range(300..1_500)));
            pair.into_iter().for_each(|failure| mend_failure(&mut system, failure));
            (0..HOSTS).for_each(|host| system.wait_healthy(host));
        }
        is_over.store(true, Ordering::SeqCst);
    });
    told.check(&system.service.runs());
    assert!(whole.load(Ordering::SeqCst) > 10, "only {whole:?} whole answers");
    wait_for("the return of the memory", || {
        system.reserved_tokens() == Some(0)
            && system.engines.iter().all(|engine| engine.reserved_tokens() == 0)
    });
}
