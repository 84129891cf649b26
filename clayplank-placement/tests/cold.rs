//! Engines that are cold: the requests of all senders together stay below what each bears.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_placement::{
    Ask, Assignment, EngineModel, EngineSpec, Event, Fleet, Placed, PlacementId,
};
use clayplank_types::{DataCentre, UpstreamId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Requests a second that a cold engine bears.
const COLD_LIMIT_PER_S: f64 = 17.0;

/// What it must never get in any second, over all senders, by the bound that its owners set.
const MAX_PER_SECOND: usize = (COLD_LIMIT_PER_S * 1.5 + 5.0) as usize;

/// A request may reach its engine so much later than it was sent, in ms.
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

/// All engines are cold for the whole of a test.
fn make_cold(fleet: &mut Fleet, engines: usize) {
    for number in 0..engines {
        fleet.set_cold(0.0, &id(number), 60_000.0, COLD_LIMIT_PER_S);
    }
}

fn request(host: u64, number: u64) -> Ask {
    let mut request = Ask::new(PlacementId { host, number }, "main", 3_000, 300.0);
    request.data_centre = DataCentre::new("a");
    request
}

fn engines_of(assignment: &Assignment) -> impl Iterator<Item = &UpstreamId> {
    std::iter::once(&assignment.engine).chain(assignment.helpers.iter().map(|part| &part.engine))
}

/// The most arrivals at one engine within any second.
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

/// Prompts in a burst far above what all engines bear: by the leader at first, by the hosts alone after
/// it is lost, and by the next leader, which knows nothing of what was sent; some hosts stay without.
#[rstest]
#[case::sixty(60, 63, 1)]
#[case::three_hundred(300, 984, 2)]
#[case::three_hundred_before_few_hosts(300, 63, 3)]
fn no_engine_gets_more_than_it_bears(
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
            let mut fleet = with_engines(Fleet::alone(host.wrapping_mul(0x9e37_79b9)), engines);
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
        if let Placed::At(assignment) = fleet.place(now_ms, &request) {
            served += 1;
            for engine in engines_of(&assignment) {
                let at_ms = now_ms + rng.random_range(0.0..MAX_NETWORK_DELAY_MS);
                arrivals.entry(engine.clone()).or_default().push(at_ms);
            }
            fleet.note(now_ms, request.id, Event::Ended);
        }
    }
    let most = max_per_second(&arrivals);
    assert!(most <= MAX_PER_SECOND, "{most} in a second");
    let capacity = COLD_LIMIT_PER_S * engines as f64 * END_MS / 1e3;
    assert!(
        f64::from(served) > capacity / 3.0,
        "{served} served of {capacity} that could be capacity"
    );
}

#[test]
fn a_prompt_waits_for_a_cold_engine_while_it_can_be_in_time() {
    let mut fleet = with_engines(Fleet::default(), 1);
    make_cold(&mut fleet, 1);
    assert!(matches!(fleet.place(0.0, &request(1, 1)), Placed::At(_)));
    let Placed::Soon { again_in_ms } = fleet.place(1.0, &request(1, 2)) else {
        panic!("the engine bears the next one within {COLD_LIMIT_PER_S} a second");
    };
    assert!(matches!(fleet.place(1.0 + again_in_ms as f64, &request(1, 2)), Placed::At(_)));
    let mut late = request(1, 3);
    late.goal_ms = 5.0;
    late.limit_ms = 20.0;
    let placed = fleet.place(2.0 + again_in_ms as f64, &late);
    assert!(matches!(placed, Placed::Full { .. }), "{placed:?}");
}

#[test]
fn a_word_that_comes_late_makes_no_cold_engine_warm() {
    let mut fleet = with_engines(Fleet::default(), 1);
    fleet.set_cold(0.0, &id(0), 3_000.0, COLD_LIMIT_PER_S);
    fleet.set_cold(1_000.0, &id(0), 0.0, COLD_LIMIT_PER_S);
    assert!(matches!(fleet.place(1_000.0, &request(1, 1)), Placed::At(_)));
    assert!(matches!(fleet.place(1_001.0, &request(1, 2)), Placed::Soon { .. }));
    assert!(matches!(fleet.place(3_001.0, &request(1, 3)), Placed::At(_)));
    assert!(matches!(fleet.place(3_002.0, &request(1, 4)), Placed::At(_)), "it is warm by now");
}

#[test]
fn nothing_goes_to_a_data_centre_under_a_cordon() {
    let mut fleet = with_engines(Fleet::default(), 30);
    fleet.set_cordoned([DataCentre::new("a"), DataCentre::new("b")].into());
    for number in 0..40 {
        let mut request = request(1, number);
        if number % 4 == 0 {
            request.prompt_tokens = 300_000;
            request.goal_ms = 4_000.0;
            request.limit_ms = 15_000.0;
        }
        if let Placed::At(assignment) = fleet.place(number as f64, &request) {
            let mut engines = engines_of(&assignment);
            assert!(engines.all(|engine| engine.as_str()[7..].parse::<usize>().unwrap() % 3 == 2));
        }
    }
    // Late first tokens make engines suspect; those under a cordon are asked nothing.
    let suspects = fleet.take_suspects(60_000.0);
    assert!(suspects.iter().all(|one| one.as_str()[7..].parse::<usize>().unwrap() % 3 == 2));

    fleet.set_cordoned([DataCentre::new("a"), DataCentre::new("b"), DataCentre::new("c")].into());
    let refused = fleet.place(61_000.0, &request(1, 90));
    assert!(matches!(refused, Placed::Full { .. }), "{refused:?}");
    let back = fleet.set_cordoned([DataCentre::new("c")].into());
    assert_eq!(back.len(), 20, "the engines of two data centres are used again");
    assert!(matches!(fleet.place(62_000.0, &request(1, 91)), Placed::At(_)));
}

/// An engine that registers while its data centre is under a cordon is under it too.
#[test]
fn a_newcomer_in_a_data_centre_under_a_cordon_gets_nothing() {
    let mut fleet = Fleet::default();
    fleet.set_cordoned([DataCentre::new("a")].into());
    let mut fleet = with_engines(fleet, 1);
    assert!(matches!(fleet.place(0.0, &request(1, 1)), Placed::Full { .. }));
}
