//! Engines that lose a share of their answers, among others that lose none. Simulates a load and
//! counts what its callers observe.

mod common;

use clayplank_placement::{
    EngineModel, Event, Fleet, PlacementId, PlacementOutcome, PlacementRequest,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::common::{engine, with_engines};

/// Number of engines, and of those that lose answers.
const ENGINES: usize = 60;
const LOSSY_ENGINES: usize = 36;

/// Share of their answers that these engines lose.
const LOST_SHARE: f64 = 0.4;

/// Time between two prompts, and until a lost answer or a complete one is known, in ms.
const GAP_MS: f64 = 20.0;
const FIRST_TOKEN_MS: f64 = 100.0;
const ANSWER_MS: f64 = 1_600.0;

/// Period in which engines lose answers, and the time at which the last prompt arrives, in ms.
const LOSS_START_MS: f64 = 2_000.0;
const LOSS_END_MS: f64 = 14_000.0;
const END_MS: f64 = 28_000.0;

fn fleet() -> Fleet {
    with_engines(Fleet::default(), ENGINES, &EngineModel::default())
}

/// Counts of one run.
#[derive(Debug, Default)]
struct RunStats {
    /// Prompts that arrived while engines lost answers, and those of them whose answer was lost.
    requests: u32,
    lost: u32,
    /// Prompts of the last four seconds, and those of them that went to engines that had lost
    /// answers before.
    requests_last: u32,
    on_recovered: u32,
}

/// Simulates short prompts. The fleet receives the outcome of each at the time when a host would
/// know it.
fn simulate(seed: u64) -> RunStats {
    let mut fleet = fleet();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut pending: Vec<(f64, PlacementId, Event)> = Vec::new();
    let mut stats = RunStats::default();
    for number in 0..(END_MS / GAP_MS) as u64 {
        let now_ms = number as f64 * GAP_MS;
        pending.sort_by(|left, right| right.0.total_cmp(&left.0));
        while let Some((at_ms, id, event)) = pending.pop_if(|one| one.0 <= now_ms) {
            fleet.apply_event(at_ms, id, event);
        }
        let id = PlacementId { host: 1, number };
        let mut request = PlacementRequest::new(id, "main", 5_000, 300.0);
        request.pause_goal_ms = 250.0;
        let PlacementOutcome::At(assignment) = fleet.place(now_ms, &request) else {
            panic!("an engine is free");
        };
        let is_lossy = (0..LOSSY_ENGINES).any(|number| engine(number) == assignment.engine);
        let in_loss_period = (LOSS_START_MS..LOSS_END_MS).contains(&now_ms);
        let is_unreachable = in_loss_period && is_lossy && rng.random::<f64>() < LOST_SHARE;
        if is_unreachable {
            pending.push((now_ms + FIRST_TOKEN_MS, id, Event::Broken));
        } else {
            let started = Event::Started { took_ms: FIRST_TOKEN_MS };
            pending.push((now_ms + FIRST_TOKEN_MS, id, started));
            pending.push((now_ms + ANSWER_MS, id, Event::Ended));
        }
        stats.requests += u32::from(in_loss_period);
        stats.lost += u32::from(is_unreachable);
        let is_last = now_ms > END_MS - 4_000.0;
        stats.requests_last += u32::from(is_last);
        stats.on_recovered += u32::from(is_last && is_lossy);
    }
    stats
}

/// With random choices, 144 of the 600 prompts of a run would lose their answer. An engine has to
/// lose one answer before it is known to be lossy, and may lose one more when it is tried again
/// after some seconds. The bound is therefore two losses per lossy engine.
#[test]
fn few_prompts_go_to_lossy_engines() {
    let runs: Vec<_> = (1..=5).map(simulate).collect();
    for run in runs {
        let (lost, requests) = (run.lost, run.requests);
        assert!(lost <= 2 * LOSSY_ENGINES as u32, "{lost} of {requests} prompts met a lost answer");
    }
}

/// Engines must receive work again ten seconds after their last loss.
#[test]
fn recovered_engines_are_used_again() {
    let runs: Vec<_> = (1..=5).map(simulate).collect();
    let requests: u32 = runs.iter().map(|run| run.requests_last).sum();
    let on_recovered: u32 = runs.iter().map(|run| run.on_recovered).sum();
    assert!(on_recovered * 3 >= requests, "{on_recovered} of {requests} prompts");
}
