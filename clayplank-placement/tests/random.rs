//! Random placements, events, renewals and failures: no load may remain afterwards.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_placement::{
    EngineModel, EngineSpec, Event, Fleet, PlacementId, PlacementOutcome, PlacementRequest,
};
use clayplank_types::{DataCentre, UpstreamId};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    Place { tokens: u64 },
    Start(usize),
    End(usize),
    Fail(usize),
    Close(usize),
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        4 => (100_u64..900_000).prop_map(|tokens| Step::Place { tokens }),
        2 => any::<usize>().prop_map(Step::Start),
        2 => any::<usize>().prop_map(Step::End),
        1 => any::<usize>().prop_map(Step::Fail),
        1 => any::<usize>().prop_map(Step::Close),
    ];
    prop::collection::vec((0_u64..400, step), 1..80)
}

fn spec() -> EngineSpec {
    EngineSpec {
        pool: "main".to_owned(),
        data_centre: DataCentre::new("a"),
        model: EngineModel::default(),
    }
}

fn engine(number: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{number}"))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn placements_fit_and_leave_no_load(steps in steps()) {
        const ENGINES: usize = 5;
        let mut fleet = Fleet::default();
        for number in 0..ENGINES {
            fleet.set_engine(engine(number), spec(), true);
        }
        let mut now_ms = 0.0;
        let mut live: Vec<PlacementId> = Vec::new();
        let mut number = 0;
        for (span_ms, step) in steps {
            now_ms += span_ms as f64;
            let placement_at = |index: usize| live.get(index % live.len().max(1)).copied();
            match step {
                Step::Place { tokens } => {
                    number += 1;
                    let id = PlacementId { host: 1, number };
                    let request = PlacementRequest::new(id, "main", tokens, 20_000.0);
                    if let PlacementOutcome::At(assignment) = fleet.place(now_ms, &request) {
                        let mut used: Vec<_> =
                            assignment.helpers.iter().map(|part| part.engine.clone()).collect();
                        used.push(assignment.engine.clone());
                        used.sort();
                        used.dedup();
                        prop_assert_eq!(
                            used.len(),
                            assignment.helpers.len() + 1,
                            "an engine is used twice"
                        );
                        let reserved: u64 =
                            assignment.helpers.iter().map(|part| part.reserve_tokens).sum();
                        prop_assert!(tokens.saturating_sub(reserved) <= 450_000);
                        live.push(id);
                    }
                }
                Step::Start(index) => {
                    if let Some(id) = placement_at(index) {
                        fleet.apply_event(now_ms, id, Event::Started { took_ms: 100.0 });
                    }
                }
                Step::End(index) | Step::Fail(index) => {
                    if let Some(id) = placement_at(index) {
                        let event = match step { Step::Fail(_) => Event::Failed, _ => Event::Ended };
                        fleet.apply_event(now_ms, id, event);
                        live.retain(|one| *one != id);
                    }
                }
                Step::Close(index) => {
                    fleet.set_engine(engine(index % ENGINES), spec(), index % 2 == 0);
                }
            }
            prop_assert_eq!(fleet.placed_count(), live.len());
        }
        for id in live {
            fleet.apply_event(now_ms, id, Event::Ended);
        }
        for number in 0..ENGINES {
            fleet.set_engine(engine(number), spec(), true);
        }
        // An idle fleet accepts a prompt that only a fleet without any load can hold.
        let last = PlacementRequest::new(PlacementId { host: 2, number: 0 }, "main", 2_000_000, 1e6);
        prop_assert!(
            matches!(fleet.place(now_ms + 1e6, &last), PlacementOutcome::At(_)),
            "some load was not removed"
        );
    }
}
