//! Cold engines: the requests of all senders together must stay below the limit of each engine.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_placement::{
    Assignment, EngineModel, EngineSpec, Event, Fleet, PlacementId, PlacementOutcome,
    PlacementRequest,
};
use clayplank_types::{DataCentre, UpstreamId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Limit of a cold engine, in requests per second.
const COLD_LIMIT_PER_S: f64 = 17.0;

/// Upper bound of the requests that reach an engine in any second, over all senders. The owners of
/// the engines set it.
const MAX_PER_SECOND: usize = (COLD_LIMIT_PER_S * 1.5 + 5.0) as usize;

/// Upper bound of the time between sending a request and its arrival at the engine, in ms.
const MAX_NETWORK_DELAY_MS: f64 = 400.0;

fn id(number: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{number:03}"))
}

fn data_centre(number: usize) -> DataCentre {
    DataCentre::new(["a", "b", "c"][number % 3])
}

fn with_engines(mut fleet: Fleet, engines: usize) -> Fleet {
    for number in 0..engines {
        let model = EngineModel { slots: 12, ..EngineModel::default() };
        let spec = EngineSpec { pool: "main".to_owned(), data_centre: data_centre(number), model };
        fleet.set_engine(id(number), spec, true);
    }
    fleet
}

/// Makes all engines cold for longer than any test runs.
fn make_cold(fleet: &mut Fleet, engines: usize) {
    for number in 0..engines {
        fleet.set_cold(0.0, &id(number), 60_000.0, COLD_LIMIT_PER_S);
    }
}

fn request(host: u64, number: u64) -> PlacementRequest {
    let mut request = PlacementRequest::new(PlacementId { host, number }, "main", 3_000, 300.0);
    request.data_centre = DataCentre::new("a");
    request
}

fn engines_of(assignment: &Assignment) -> impl Iterator<Item = &UpstreamId> {
    std::iter::once(&assignment.engine).chain(assignment.helpers.iter().map(|part| &part.engine))
}

/// Largest number of arrivals at one engine within any second.
fn max_per_second(arrivals: &BTreeMap<UpstreamId, Vec<f64>>) -> usize {
    let most = |times: &Vec<f64>| {
        let mut times = times.clone();
        times.sort_by(f64::total_cmp);
        let within = |(first, from): (usize, &f64)| {
            times[first..].iter().take_while(|at| **at < from + 1_000.0).count()
        };
        times.iter().enumerate().map(within).max().unwrap_or_default()
    };
    arrivals.values().map(most).max().unwrap_or_default()
}

/// Sends a burst far above the limit of all engines. At first the leader places it, then the
/// standalone hosts after the leader is lost, and then the next leader, which does not know what
/// was sent before. Some hosts never reach a leader.
#[rstest]
#[case::sixty(60, 63, 1)]
#[case::three_hundred(300, 984, 2)]
#[case::three_hundred_with_few_hosts(300, 63, 3)]
fn no_engine_receives_more_than_its_cold_limit(
    #[case] engines: usize,
    #[case] hosts: u64,
    #[case] seed: u64,
) {
    const LEADER_LOST_AT_MS: f64 = 2_000.0;
    const LEADER_ELECTED_AT_MS: f64 = 2_450.0;
    const END_MS: f64 = 5_000.0;
    const SHARE_WITHOUT_LEADER: f64 = 0.1;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut leaders =
        [with_engines(Fleet::default(), engines), with_engines(Fleet::default(), engines)];
    leaders.iter_mut().for_each(|fleet| make_cold(fleet, engines));
    let mut standalone: Vec<_> = (0..hosts)
        .map(|host| {
            let mut fleet =
                with_engines(Fleet::standalone(host.wrapping_mul(0x9e37_79b9)), engines);
            make_cold(&mut fleet, engines);
            fleet.set_hosts(hosts);
            fleet
        })
        .collect();
    let mut arrivals: BTreeMap<UpstreamId, Vec<f64>> = BTreeMap::new();
    let requested_per_s = 1.5 * COLD_LIMIT_PER_S * engines as f64;
    let (mut now_ms, mut number, mut served) = (0.0, 0, 0);
    while now_ms < END_MS {
        now_ms += 1e3 / requested_per_s;
        number += 1;
        let host = rng.random_range(0..hosts);
        let lacks_leader = rng.random_bool(SHARE_WITHOUT_LEADER);
        let fleet = if now_ms < LEADER_LOST_AT_MS && !lacks_leader {
            &mut leaders[0]
        } else if now_ms >= LEADER_ELECTED_AT_MS && !lacks_leader {
            &mut leaders[1]
        } else {
            &mut standalone[host as usize]
        };
        let request = request(host, number);
        if let PlacementOutcome::At(assignment) = fleet.place(now_ms, &request) {
            served += 1;
            for engine in engines_of(&assignment) {
                let at_ms = now_ms + rng.random_range(0.0..MAX_NETWORK_DELAY_MS);
                arrivals.entry(engine.clone()).or_default().push(at_ms);
            }
            fleet.apply_event(now_ms, request.id, Event::Ended);
        }
    }
    let most = max_per_second(&arrivals);
    assert!(most <= MAX_PER_SECOND, "{most} in a second");
    let capacity = COLD_LIMIT_PER_S * engines as f64 * END_MS / 1e3;
    assert!(f64::from(served) > capacity / 3.0, "{served} served of a capacity of {capacity}");
}

#[test]
fn a_prompt_waits_for_a_cold_engine_while_it_can_be_in_time() {
    let mut fleet = with_engines(Fleet::default(), 1);
    make_cold(&mut fleet, 1);
    assert!(matches!(fleet.place(0.0, &request(1, 1)), PlacementOutcome::At(_)));
    let PlacementOutcome::Soon { again_in_ms } = fleet.place(1.0, &request(1, 2)) else {
        panic!("a limit of {COLD_LIMIT_PER_S} requests per second permits the next one in time");
    };
    assert!(matches!(
        fleet.place(1.0 + again_in_ms as f64, &request(1, 2)),
        PlacementOutcome::At(_)
    ));
    let mut late = request(1, 3);
    late.goal_ms = 5.0;
    late.limit_ms = 20.0;
    let placed = fleet.place(2.0 + again_in_ms as f64, &late);
    assert!(matches!(placed, PlacementOutcome::Full { .. }), "{placed:?}");
}

#[test]
fn an_outdated_report_does_not_end_the_cold_period() {
    let mut fleet = with_engines(Fleet::default(), 1);
    fleet.set_cold(0.0, &id(0), 3_000.0, COLD_LIMIT_PER_S);
    fleet.set_cold(1_000.0, &id(0), 0.0, COLD_LIMIT_PER_S);
    assert!(matches!(fleet.place(1_000.0, &request(1, 1)), PlacementOutcome::At(_)));
    assert!(matches!(fleet.place(1_001.0, &request(1, 2)), PlacementOutcome::Soon { .. }));
    assert!(matches!(fleet.place(3_001.0, &request(1, 3)), PlacementOutcome::At(_)));
    assert!(
        matches!(fleet.place(3_002.0, &request(1, 4)), PlacementOutcome::At(_)),
        "it is warm by now"
    );
}

#[test]
fn a_cordoned_data_centre_receives_nothing() {
    let mut fleet = with_engines(Fleet::default(), 30);
    fleet.set_cordoned([DataCentre::new("a"), DataCentre::new("b")].into());
    for number in 0..40 {
        let mut request = request(1, number);
        if number % 4 == 0 {
            request.prompt_tokens = 300_000;
            request.goal_ms = 4_000.0;
            request.limit_ms = 15_000.0;
        }
        if let PlacementOutcome::At(assignment) = fleet.place(number as f64, &request) {
            let mut engines = engines_of(&assignment);
            assert!(engines.all(|engine| engine.as_str()[7..].parse::<usize>().unwrap() % 3 == 2));
        }
    }
    // Late first tokens make engines suspect, but engines in a cordoned data centre are not
    // queried.
    let suspects = fleet.take_engines_to_query(60_000.0);
    assert!(suspects.iter().all(|one| one.as_str()[7..].parse::<usize>().unwrap() % 3 == 2));

    fleet.set_cordoned([DataCentre::new("a"), DataCentre::new("b"), DataCentre::new("c")].into());
    let refused = fleet.place(61_000.0, &request(1, 90));
    assert!(matches!(refused, PlacementOutcome::Full { .. }), "{refused:?}");
    let uncordoned = fleet.set_cordoned([DataCentre::new("c")].into());
    assert_eq!(uncordoned.len(), 20, "the engines of two data centres are used again");
    assert!(matches!(fleet.place(62_000.0, &request(1, 91)), PlacementOutcome::At(_)));
}

/// An engine that registers while its data centre is cordoned must be cordoned too.
#[test]
fn a_new_engine_in_a_cordoned_data_centre_receives_nothing() {
    let mut fleet = Fleet::default();
    fleet.set_cordoned([DataCentre::new("a")].into());
    let mut fleet = with_engines(fleet, 1);
    assert!(matches!(fleet.place(0.0, &request(1, 1)), PlacementOutcome::Full { .. }));
}
