//! Short prompts beside long ones, on fleets with many and with few idle engines: checks which
//! engines decode the streams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use clayplank_placement::{
    EngineModel, Event, Fleet, PlacementId, PlacementOutcome, PlacementRequest,
};
use clayplank_types::{DataCentre, UpstreamId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::common::with_engines;

/// Typical duration of a stream after its first token, in ms.
const STREAM_MS: f64 = 1_600.0;

const RUN_MS: f64 = 4_000.0;

/// Event of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum SimEvent {
    Started,
    Ended,
}

/// Counts of the short prompts that were sent.
#[derive(Debug, Default)]
struct Sent {
    short: usize,
    /// Sent to an engine that decoded streams.
    to_busy: usize,
    by_engine: BTreeMap<UpstreamId, usize>,
}

impl Sent {
    fn busy_share(&self) -> f64 {
        self.to_busy as f64 / self.short as f64
    }
}

/// Simulates prompts at these rates: short ones, and long ones that several engines prefill.
fn simulate(engines: usize, short_per_s: f64, long_per_s: f64) -> Sent {
    let model = EngineModel { slots: 10, steps_per_event: 73, ..EngineModel::default() };
    let mut fleet = with_engines(Fleet::default(), engines, &model);
    let mut rng = SmallRng::seed_from_u64(7);
    let mut scheduled = BinaryHeap::new();
    let mut stream_counts: BTreeMap<UpstreamId, usize> = BTreeMap::new();
    let mut engine_by_id: BTreeMap<u64, UpstreamId> = BTreeMap::new();
    let mut sent = Sent::default();
    let per_s = short_per_s + long_per_s;
    let prompts = (RUN_MS / 1e3 * per_s) as u64;
    for number in 0..prompts {
        let now_ms = number as f64 * 1e3 / per_s;
        while let Some(Reverse((due_us, id, event))) = scheduled.pop() {
            let due_ms = due_us as f64 / 1e3;
            if due_ms > now_ms {
                scheduled.push(Reverse((due_us, id, event)));
                break;
            }
            let placement = PlacementId { host: 1, number: id };
            match event {
                SimEvent::Started => {
                    fleet.apply_event(due_ms, placement, Event::Started { took_ms: 1.0 });
                }
                SimEvent::Ended => {
                    fleet.apply_event(due_ms, placement, Event::Ended);
                    *stream_counts.get_mut(&engine_by_id[&id]).unwrap() -= 1;
                }
            }
        }
        let is_long = rng.random_bool(long_per_s / per_s);
        let (tokens, goal_ms) = if is_long { (300_000, 4_000.0) } else { (5_000, 300.0) };
        let mut request =
            PlacementRequest::new(PlacementId { host: 1, number }, "main", tokens, goal_ms);
        request.pause_goal_ms = if is_long { 1_000.0 } else { 250.0 };
        request.output_tokens = 1_500;
        request.data_centre = DataCentre::new("a");
        let PlacementOutcome::At(assignment) = fleet.place(now_ms, &request) else {
            continue;
        };
        let streams = stream_counts.entry(assignment.engine.clone()).or_default();
        if !is_long {
            sent.short += 1;
            *sent.by_engine.entry(assignment.engine.clone()).or_default() += 1;
            sent.to_busy += usize::from(*streams > 0);
        }
        *streams += 1;
        engine_by_id.insert(number, assignment.engine);
        let started_ms = now_ms + assignment.first_token_ms;
        scheduled.push(Reverse(((started_ms * 1e3) as u64, number, SimEvent::Started)));
        let ended_ms = started_ms + STREAM_MS;
        scheduled.push(Reverse(((ended_ms * 1e3) as u64, number, SimEvent::Ended)));
    }
    sent
}

/// Long prompts use a fiftieth of the fleet's time, and most engines are idle. A short prompt that
/// is sent to an engine with streams waits for their pass, without any benefit to other requests.
#[test]
fn short_prompts_use_idle_engines_while_these_are_plentiful() {
    let sent = simulate(960, 150.0, 3.2);
    assert!(sent.busy_share() < 0.02, "{} of {} to busy ones", sent.to_busy, sent.short);
    let most = sent.by_engine.values().max().unwrap();
    assert!(*most <= 4, "{most} prompts at one engine of 960 in {RUN_MS} ms");
}

/// Long prompts use half of the fleet's time. Streams must share engines, so that long prompts find
/// engines without streams.
#[test]
fn streams_share_engines_while_long_prompts_need_the_others() {
    let sent = simulate(24, 20.0, 3.2);
    assert!(sent.busy_share() > 0.6, "{} of {} to busy ones", sent.to_busy, sent.short);
}
