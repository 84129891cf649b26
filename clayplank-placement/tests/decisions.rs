//! What the placement decides, case by case.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_placement::{
    Ask, Assignment, EngineModel, EngineSpec, Event, Fleet, PASSED_GOAL_MS, Placed, PlacementId,
    Renewed,
};
use clayplank_types::{DataCentre, UpstreamId};
use rstest::rstest;

fn engine(number: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{number:02}"))
}

fn fleet_of(engines: usize, model: &EngineModel) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..engines {
        let spec = EngineSpec {
            pool: "main".to_owned(),
            data_centre: DataCentre::new("a"),
            model: model.clone(),
        };
        fleet.set_engine(engine(number), spec, true);
    }
    fleet
}

fn request(number: u64, tokens: u64, goal_ms: f64, pause_goal_ms: f64) -> Ask {
    let mut request = Ask::new(PlacementId { host: 1, number }, "main", tokens, goal_ms);
    request.pause_goal_ms = pause_goal_ms;
    request.data_centre = DataCentre::new("a");
    request
}

fn short(number: u64) -> Ask {
    request(number, 5_000, 300.0, 200.0)
}

fn long(number: u64) -> Ask {
    request(number, 210_000, 3_000.0, 800.0)
}

fn assigned(placed: Placed) -> Assignment {
    match placed {
        Placed::At(assignment) => assignment,
        Placed::Soon { again_in_ms } => panic!("a slot is expected in {again_in_ms} ms"),
        Placed::Full { retry_after_ms } => panic!("full, come back in {retry_after_ms} ms"),
    }
}

#[test]
fn a_long_prompt_is_read_by_several_engines() {
    let mut fleet = fleet_of(18, &EngineModel::default());
    let assignment = assigned(fleet.place(0.0, &long(1)));
    assert!(assignment.helpers.len() >= 3, "{assignment:?}");
    assert!(assignment.first_token_ms < 3_000.0, "alone it would take 3.7 s");
}

#[test]
fn a_short_prompt_is_read_by_one() {
    let mut fleet = fleet_of(18, &EngineModel::default());
    assert!(assigned(fleet.place(0.0, &short(1))).helpers.is_empty());
}

#[test]
fn a_long_prompt_keeps_away_from_tight_streams() {
    let mut fleet = fleet_of(6, &EngineModel::default());
    let writer = assigned(fleet.place(0.0, &short(1))).engine;
    fleet.note(100.0, short(1).id, Event::Started { took_ms: 80.0 });
    let assignment = assigned(fleet.place(100.0, &long(2)));
    let used: Vec<_> = std::iter::once(&assignment.engine)
        .chain(assignment.helpers.iter().map(|part| &part.engine))
        .collect();
    assert!(!used.contains(&&writer), "{assignment:?}");
}

#[test]
fn tight_streams_stay_together_while_long_prompts_come() {
    let mut fleet = fleet_of(12, &EngineModel::default());
    for number in 0..6 {
        fleet.place(0.0, &long(number));
        fleet.note(10.0, long(number).id, Event::Ended);
    }
    let first = assigned(fleet.place(20.0, &short(10))).engine;
    let second = assigned(fleet.place(21.0, &short(11))).engine;
    assert_eq!(first, second);
}

#[test]
fn what_no_engine_holds_is_spread_over_reservations() {
    let mut fleet = fleet_of(4, &EngineModel::default());
    let assignment = assigned(fleet.place(0.0, &request(1, 900_000, 60_000.0, 800.0)));
    let reserved: u64 = assignment.helpers.iter().map(|part| part.reserve_tokens).sum();
    assert!(reserved >= 900_000 - 450_000, "{assignment:?}");
}

#[test]
fn a_prompt_waits_for_a_slot_only_if_it_is_in_time_after_that() {
    let model = EngineModel { slots: 1, ..EngineModel::default() };
    let mut fleet = fleet_of(1, &model);
    assigned(fleet.place(0.0, &short(1)));
    let patient = request(2, 5_000, 5_000.0, 200.0);
    assert!(matches!(fleet.place(0.0, &patient), Placed::Soon { again_in_ms } if again_in_ms > 0));
    let hurried = request(3, 5_000, 100.0, 200.0);
    assert!(matches!(fleet.place(0.0, &hurried), Placed::Full { .. }));
}

#[test]
fn what_the_whole_fleet_cannot_hold_is_refused() {
    let mut fleet = fleet_of(2, &EngineModel::default());
    let placed = fleet.place(0.0, &request(1, 1_000_000, 60_000.0, 800.0));
    assert!(matches!(placed, Placed::Full { .. }), "{placed:?}");
}

#[test]
fn a_prompt_that_would_be_late_is_refused_once_while_engines_have_time() {
    let mut fleet = fleet_of(1, &EngineModel::default());
    let mut late = request(1, 210_000, 1_000.0, 800.0);
    late.limit_ms = 12_000.0;
    assert!(matches!(fleet.place(0.0, &late), Placed::Full { .. }));
    late.is_returning = true;
    assert!(matches!(fleet.place(0.0, &late), Placed::At(_)));
}

#[test]
fn a_late_prompt_is_refused_again_where_much_is_to_be_read() {
    let mut fleet = fleet_of(1, &EngineModel::default());
    assigned(fleet.place(0.0, &long(1)));
    let mut second = long(2);
    second.limit_ms = 12_000.0;
    assert!(matches!(fleet.place(0.0, &second), Placed::Full { .. }));
    second.is_returning = true;
    assert!(matches!(fleet.place(0.0, &second), Placed::Full { .. }));
    fleet.note(0.0, long(1).id, Event::Ended);
    assert!(matches!(fleet.place(0.0, &second), Placed::At(_)));
}

#[test]
fn a_prompt_that_takes_more_of_others_than_it_earns_is_refused_where_time_is_scarce() {
    let mut fleet = fleet_of(2, &EngineModel::default());
    for number in 0..28 {
        assigned(fleet.place(0.0, &short(number)));
        fleet.note(50.0, short(number).id, Event::Started { took_ms: 50.0 });
    }
    let medium = request(50, 100_000, 2_000.0, 800.0);
    assert!(matches!(fleet.place(1_000.0, &medium), Placed::Full { .. }), "28 streams would pause");
    for number in 0..24 {
        fleet.note(1_000.0, short(number).id, Event::Ended);
    }
    assert!(matches!(fleet.place(1_000.0, &medium), Placed::At(_)));
}

#[test]
fn the_longest_prompts_give_way_first() {
    let mut fleet = fleet_of(2, &EngineModel::default());
    assigned(fleet.place(0.0, &request(1, 250_000, 6_000.0, 800.0)));
    let longest = request(2, 430_000, 60_000.0, 800.0);
    assert!(matches!(fleet.place(0.0, &longest), Placed::Full { .. }), "it reads for ten seconds");
    let usual = request(3, 150_000, 60_000.0, 800.0);
    assert!(matches!(fleet.place(0.0, &usual), Placed::At(_)));
}

#[test]
fn an_engine_without_a_free_place_gets_nothing() {
    let model = EngineModel { slots: 2, ..EngineModel::default() };
    let mut fleet = fleet_of(1, &model);
    assigned(fleet.place(0.0, &short(1)));
    assigned(fleet.place(0.0, &short(2)));
    assert!(matches!(fleet.place(0.0, &short(3)), Placed::Full { .. }));
    fleet.note(500.0, short(1).id, Event::Ended);
    assert!(matches!(fleet.place(500.0, &short(3)), Placed::At(_)));
}

#[rstest]
#[case::after_a_failure(Event::Failed)]
#[case::after_a_break(Event::Broken)]
#[case::unreached(Event::Unreached)]
#[case::after_a_slow_start(Event::Started { took_ms: 4_000.0 })]
fn an_engine_that_did_badly_is_avoided(#[case] event: Event) {
    let mut fleet = fleet_of(3, &EngineModel::default());
    let bad = assigned(fleet.place(0.0, &short(1))).engine;
    fleet.note(100.0, short(1).id, event);
    fleet.note(100.0, short(1).id, Event::Ended);
    let next = assigned(fleet.place(101.0, &short(2))).engine;
    assert_ne!(next, bad);
}

#[test]
fn a_silent_engine_still_serves_if_it_is_the_only_one() {
    let mut fleet = fleet_of(1, &EngineModel::default());
    fleet.set_silent(&engine(0), true);
    assert!(matches!(fleet.place(10_000.0, &short(1)), Placed::At(_)));
}

#[test]
fn an_engine_that_drains_gets_nothing() {
    let mut fleet = fleet_of(1, &EngineModel::default());
    let spec = EngineSpec {
        pool: "main".to_owned(),
        data_centre: DataCentre::new("a"),
        model: EngineModel::default(),
    };
    fleet.set_engine(engine(0), spec, false);
    assert!(matches!(fleet.place(0.0, &short(1)), Placed::Full { .. }));
}

#[test]
fn a_new_keeper_takes_over_what_hosts_renew_and_drops_what_they_do_not() {
    let model = EngineModel { slots: 1, ..EngineModel::default() };
    let mut former = fleet_of(1, &model);
    let assignment = assigned(former.place(0.0, &short(1)));
    let renewed = Renewed { ask: short(1), assignment, is_started: true };
    let mut fleet = fleet_of(1, &model);
    fleet.renew(0.0, 1, std::slice::from_ref(&renewed));
    assert!(matches!(fleet.place(0.0, &short(2)), Placed::Full { .. }), "the place is taken");
    fleet.renew(2_000.0, 1, &[]);
    assert!(matches!(fleet.place(2_000.0, &short(2)), Placed::At(_)), "the place is free again");
}

#[test]
fn a_placement_of_a_host_that_died_is_dropped() {
    let model = EngineModel { slots: 1, ..EngineModel::default() };
    let mut fleet = fleet_of(1, &model);
    assigned(fleet.place(0.0, &short(1)));
    fleet.drop_lost(4_000.0);
    assert_eq!(fleet.placed_count(), 1, "it may still run");
    fleet.drop_lost(60_000.0);
    assert_eq!(fleet.placed_count(), 0);
}

#[test]
fn hosts_that_decide_alone_do_not_choose_alike() {
    let chosen: std::collections::BTreeSet<_> = (0..12)
        .map(|seed| {
            let mut fleet = Fleet::alone(seed);
            for number in 0..6 {
                let spec = EngineSpec {
                    pool: "main".to_owned(),
                    data_centre: DataCentre::new("a"),
                    model: EngineModel::default(),
                };
                fleet.set_engine(engine(number), spec, true);
            }
            assigned(fleet.place(0.0, &short(1))).engine
        })
        .collect();
    assert!(chosen.len() >= 3, "{chosen:?}");
}

#[test]
fn engines_of_a_late_first_token_are_asked_for_their_pace() {
    let mut fleet = fleet_of(18, &EngineModel::default());
    let assignment = assigned(fleet.place(0.0, &long(1)));
    let mut used: Vec<_> = assignment.helpers.iter().map(|part| part.engine.clone()).collect();
    used.push(assignment.engine);
    used.sort();
    assert!(fleet.take_suspects(assignment.first_token_ms).is_empty(), "it is not late yet");
    let late_ms = 2.0 * assignment.first_token_ms + 200.0;
    assert_eq!(fleet.take_suspects(late_ms), used);
    assert!(fleet.take_suspects(late_ms + 100.0).is_empty(), "each question has its price");
    fleet.note_pace(late_ms, &used[0], 5.0);
    fleet.note(late_ms, long(1).id, Event::Started { took_ms: late_ms });
    assert_eq!(fleet.take_suspects(late_ms + 1_000.0), used[..1], "slow ones are asked again");
    fleet.note_pace(late_ms + 1_000.0, &used[0], 1.0);
    assert!(fleet.take_suspects(late_ms + 2_000.0).is_empty());
}

#[test]
fn an_engine_that_told_that_it_is_slow_reads_no_part() {
    let mut fleet = fleet_of(18, &EngineModel::default());
    for number in 0..3 {
        fleet.note_pace(0.0, &engine(number), 5.0);
    }
    for number in 0..3 {
        let assignment = assigned(fleet.place(0.0, &long(number)));
        let reads = |slow: usize| {
            let mut all = assignment.helpers.iter().map(|part| &part.engine);
            assignment.engine == engine(slow) || all.any(|id| *id == engine(slow))
        };
        assert!(!(0..3).any(reads), "{assignment:?}");
    }
}

#[test]
fn a_helper_that_failed_is_avoided_and_the_first_engine_is_not() {
    let mut fleet = fleet_of(18, &EngineModel::default());
    let first = assigned(fleet.place(0.0, &long(1)));
    let failed = first.helpers[0].engine.clone();
    fleet.note(50.0, long(1).id, Event::HelperFailed { position: 0 });
    let second = assigned(fleet.place(50.0, &long(2)));
    assert_ne!(second.engine, failed);
    assert!(second.helpers.iter().all(|part| part.engine != failed), "{second:?}");
    let others: Vec<_> = first.helpers[1..].iter().map(|part| &part.engine).collect();
    let used: Vec<_> = std::iter::once(&second.engine)
        .chain(second.helpers.iter().map(|part| &part.engine))
        .collect();
    assert!(others.iter().any(|other| used.contains(other)), "nobody else is avoided: {second:?}");
}

#[test]
fn a_stream_that_has_begun_goes_on_though_its_caller_waited_long() {
    let mut fleet = fleet_of(2, &EngineModel::default());
    let mut resumed = short(1);
    (resumed.goal_ms, resumed.limit_ms, resumed.is_returning) = (1.0, 0.0, true);
    assert!(matches!(fleet.place(0.0, &resumed), Placed::Full { .. }));
    resumed.has_begun = true;
    assigned(fleet.place(0.0, &resumed));
}

/// Engines read a new part before those that they have: a split prompt that was placed first
/// would be late if others took its engines.
#[test]
fn a_split_prompt_keeps_away_from_the_engines_of_one_that_is_nearly_late() {
    let mut fleet = fleet_of(8, &EngineModel::default());
    let first = assigned(fleet.place(0.0, &long(1)));
    let expected_ms = first.first_token_ms;
    let engines = |assignment: &Assignment| {
        let helpers = assignment.helpers.iter().map(|part| part.engine.clone());
        helpers.chain([assignment.engine.clone()]).collect::<Vec<_>>()
    };
    let mut second = long(2);
    second.goal_ms = 3.0 * expected_ms;
    let second = assigned(fleet.place(1.0, &second));
    let shared = engines(&second).iter().filter(|id| engines(&first).contains(id)).count();
    assert!(shared < engines(&first).len(), "{first:?} {second:?}");
    // A part that comes later is read first, so it does not wait for what is there.
    let alone = assigned(fleet_of(8, &EngineModel::default()).place(0.0, &long(3)));
    let third = assigned(fleet.place(2.0, &long(3)));
    assert!(third.first_token_ms < 2.0 * alone.first_token_ms, "{third:?}");
}

/// A fleet of ten engines that has just learned that no connection to one can be had, which it
/// liked best.
fn fleet_with_one_unreached() -> (Fleet, UpstreamId) {
    let mut fleet = fleet_of(10, &EngineModel::default());
    let dead = assigned(fleet.place(0.0, &short(1))).engine;
    fleet.note(10.0, short(1).id, Event::Unreached);
    (fleet, dead)
}

#[test]
fn one_that_cannot_be_reached_gets_nothing_until_there_is_a_sign_of_it() {
    let (mut fleet, dead) = fleet_with_one_unreached();
    for number in 2..90 {
        let placed = fleet.place(10.0 + 50.0 * number as f64, &short(number));
        assert_ne!(assigned(placed).engine, dead, "prompt {number}");
        fleet.note(10.0 + 50.0 * number as f64, short(number).id, Event::Ended);
    }
    assert_eq!(fleet.outlook(5_000.0, "main").unreached, 1);
    fleet.note_pace(5_000.0, &dead, 1.0);
    assert_eq!(fleet.outlook(5_000.0, "main").unreached, 0, "it answered a question");
}

#[test]
fn a_long_prompt_is_not_read_with_one_that_cannot_be_reached() {
    let (mut fleet, dead) = fleet_with_one_unreached();
    let assignment = assigned(fleet.place(20.0, &request(2, 400_000, 4_000.0, 1_000.0)));
    let used = std::iter::once(&assignment.engine)
        .chain(assignment.helpers.iter().map(|part| &part.engine));
    assert!(used.into_iter().all(|engine| *engine != dead), "{assignment:?}");
}

#[test]
fn one_that_cannot_be_reached_is_asked_with_growing_pauses() {
    let (mut fleet, dead) = fleet_with_one_unreached();
    let looks = (0..60).map(|look| f64::from(look) * 100.0);
    let asked: Vec<_> =
        looks.filter(|now_ms| fleet.take_suspects(*now_ms) == [dead.clone()]).collect();
    insta::assert_json_snapshot!(asked);
}

#[rstest]
#[case::sent_before_its_end(500.0, 1)]
#[case::sent_after_it(1_100.0, 0)]
fn a_heartbeat_brings_back_one_that_lives(#[case] heard_ms: f64, #[case] unreached: usize) {
    let (mut fleet, dead) = fleet_with_one_unreached();
    fleet.note_heartbeat(heard_ms, &dead);
    assert_eq!(fleet.outlook(heard_ms, "main").unreached, unreached);
}

#[test]
fn one_that_broke_off_is_asked_at_once_and_once() {
    let mut fleet = fleet_of(3, &EngineModel::default());
    let broken = assigned(fleet.place(0.0, &short(1))).engine;
    fleet.note(10.0, short(1).id, Event::Broken);
    assert_eq!(fleet.take_suspects(20.0).as_slice(), std::slice::from_ref(&broken));
    assert!(fleet.take_suspects(30.0).is_empty());
    fleet.note_unreached(40.0, &broken);
    assert_eq!(fleet.outlook(40.0, "main").unreached, 1);
}

#[test]
fn dead_engines_stand_in_no_count_of_places() {
    let mut fleet = fleet_of(13, &EngineModel::default());
    for number in 0..6 {
        let placed = assigned(fleet.place(0.0, &short(number)));
        assert!(fleet.outlook(0.0, "main").taken_slots > 0, "{placed:?}");
        fleet.note(1.0, short(number).id, Event::Unreached);
    }
    let outlook = fleet.outlook(1.0, "main");
    assert_eq!((outlook.engines, outlook.unreached, outlook.avoided), (7, 6, 0));
}

/// Streams that broke off, and would be read anew by the one engine that is left: of a hundred,
/// only those run there that go on before their callers give up.
#[test]
fn streams_that_cannot_go_on_in_time_load_no_engine() {
    let model = EngineModel { slots: 200, memory_tokens: 10_000_000, ..EngineModel::default() };
    let mut fleet = fleet_of(1, &model);
    let mut taken = 0;
    for number in 0..100 {
        let mut resumed = request(number, 5_000, 250.0, 250.0);
        resumed.has_begun = true;
        resumed.limit_ms = 2_000.0;
        if let Placed::At(assignment) = fleet.place(0.0, &resumed) {
            assert!(assignment.first_token_ms < resumed.limit_ms, "{assignment:?}");
            taken += 1;
        }
    }
    assert!(taken > 10, "as many as are read in two seconds: {taken}");
    assert!(fleet.outlook(0.0, "main").queued_ms < 2_100.0);
}

#[test]
fn placements_that_another_keeper_knows_load_nothing_here() {
    let mut fleet = fleet_of(2, &EngineModel::default());
    for number in 0..12 {
        assigned(fleet.place(0.0, &short(number)));
    }
    fleet.forget_placements();
    let outlook = fleet.outlook(0.0, "main");
    assert_eq!((fleet.placed_count(), outlook.taken_slots, outlook.queued_ms), (0, 0, 0.0));
    fleet.note(1.0, short(3).id, Event::Ended);
}

/// 160 callers waited for their host's first plan until their goal had passed; the engines are idle.
#[test]
fn prompts_that_are_late_already_are_served_where_there_is_room() {
    let model = EngineModel { slots: 10, ..EngineModel::default() };
    let mut fleet = fleet_of(133, &model);
    for number in 0..160 {
        let mut late = short(number);
        (late.goal_ms, late.limit_ms) = (PASSED_GOAL_MS, 1_500.0);
        assert!(assigned(fleet.place(0.0, &late)).first_token_ms < 150.0, "prompt {number}");
    }
}

/// Eight engines that all read one prompt of a million tokens would be blocked for 6.3 s each.
#[test]
fn a_prompt_leaves_engines_to_those_that_come_while_it_is_read() {
    let mut fleet = fleet_of(8, &EngineModel { slots: 10, ..EngineModel::default() });
    let mut longest = request(1, 1_000_000, 4_000.0, 1_000.0);
    longest.is_returning = true;
    let assignment = assigned(fleet.place(0.0, &longest));
    assert!(assignment.helpers.len() < 6, "{assignment:?}");
    let next = assigned(fleet.place(10.0, &short(2)));
    assert!(next.first_token_ms < 300.0, "{next:?}");
}

#[test]
fn a_prompt_whose_memory_needs_all_engines_gets_them() {
    let mut fleet = fleet_of(5, &EngineModel::default());
    let assignment = assigned(fleet.place(0.0, &request(1, 2_000_000, 1e6, 1e6)));
    assert_eq!(assignment.helpers.len(), 4, "{assignment:?}");
}
