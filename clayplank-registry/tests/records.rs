//! Late, lost and repeated heartbeats.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_registry::{Cursor, Digest, Heartbeat, Record, Registry, Standing};
use clayplank_types::UpstreamId;
use rstest::rstest;

fn beat(sequence: u64, standing: Standing) -> Heartbeat {
    Heartbeat { sequence, standing, ..Heartbeat::default() }.named("u")
}

fn standing(registry: &Registry) -> Standing {
    registry.record(&UpstreamId::new("u")).unwrap().heartbeat.standing
}

#[rstest]
#[case::in_order(&[(1, Standing::Ready), (2, Standing::Draining)], Standing::Draining)]
#[case::late_ready(&[(2, Standing::Draining), (1, Standing::Ready)], Standing::Draining)]
#[case::after_leaving(&[(1, Standing::Gone), (5, Standing::Ready)], Standing::Gone)]
#[case::repeated(&[(3, Standing::Ready), (3, Standing::Draining)], Standing::Ready)]
fn the_newest_word_holds(#[case] beats: &[(u64, Standing)], #[case] expected: Standing) {
    let mut registry = Registry::new(1);
    for (now_ms, (sequence, standing)) in beats.iter().enumerate() {
        registry.apply(now_ms as u64, &beat(*sequence, *standing));
    }
    assert_eq!(standing(&registry), expected);
}

#[test]
fn one_that_left_unknown_stays_gone() {
    let mut registry = Registry::new(1);
    registry.leave(0, &Heartbeat::gone("u"));
    assert!(!registry.apply(1, &beat(9, Standing::Ready)));
    assert_eq!(standing(&registry), Standing::Gone);
}

#[test]
fn silence_is_told_once_and_ends_with_a_heartbeat() {
    let mut registry = Registry::new(1);
    registry.apply(0, &beat(1, Standing::Ready));
    let before = registry.cursor();
    registry.age(4_000, 3_000);
    registry.age(4_100, 3_000);
    let changes = registry.changes_after(before);
    assert_eq!(changes.cursor.change, before.change + 1);
    assert!(changes.records[0].is_silent);
    registry.apply(4_200, &beat(2, Standing::Ready));
    assert!(!registry.record(&UpstreamId::new("u")).unwrap().is_silent);
}

#[test]
fn plain_heartbeats_are_no_news() {
    let mut registry = Registry::new(1);
    assert!(registry.apply(0, &beat(1, Standing::Ready)));
    assert!(!registry.apply(1_000, &beat(2, Standing::Ready)));
    assert!(registry.changes_after(registry.cursor()).records.is_empty());
}

#[test]
fn a_cursor_of_another_life_gets_everything() {
    let mut registry = Registry::new(2);
    registry.apply(0, &beat(1, Standing::Ready));
    let changes = registry.changes_after(Cursor { life: 1, change: 1_000 });
    assert_eq!(changes.records.len(), 1);
}

fn beat_of(id: &str, sequence: u64, port: u16) -> Heartbeat {
    let address = std::net::SocketAddr::from(([10, 0, 0, 1], port));
    Heartbeat { sequence, address, ..Heartbeat::default() }.named(id)
}

fn standing_of(registry: &Registry, id: &str) -> Standing {
    registry.record(&UpstreamId::new(id)).unwrap().heartbeat.standing
}

#[test]
fn a_late_heartbeat_of_a_former_life_at_an_address_brings_nothing_back() {
    let mut registry = Registry::new(1);
    registry.apply(0, &beat_of("former", 7, 80));
    registry.apply(5_000, &beat_of("newer", 1, 80));
    assert!(registry.apply(6_000, &beat_of("newer", 2, 80)), "the former one is gone: news");
    registry.apply(6_500, &beat_of("former", 8, 80));
    assert_eq!(standing_of(&registry, "former"), Standing::Gone);
    assert_eq!(standing_of(&registry, "newer"), Standing::Ready);
}

#[test]
fn a_single_late_heartbeat_of_an_unknown_life_displaces_nobody() {
    let mut registry = Registry::new(1);
    registry.apply(0, &beat_of("alive", 1, 80));
    registry.apply(1_000, &beat_of("alive", 2, 80));
    registry.apply(1_500, &beat_of("former", 90, 80));
    registry.apply(2_000, &beat_of("alive", 3, 80));
    assert_eq!(standing_of(&registry, "alive"), Standing::Ready);
    registry.apply(2_500, &beat_of("elsewhere", 1, 81));
    registry.apply(3_500, &beat_of("elsewhere", 2, 81));
    assert_eq!(standing_of(&registry, "alive"), Standing::Ready, "another address");
}

#[test]
fn what_is_remembered_gives_way_to_what_is_heard_and_is_doubted_without() {
    let mut registry = Registry::new(2);
    registry.apply(0, &beat_of("heard", 9, 80));
    let old = Heartbeat { standing: Standing::Draining, ..beat_of("heard", 3, 80) };
    registry.remember(0, &[old, beat_of("back", 5, 81), beat_of("lost", 5, 82)]);
    assert_eq!(standing_of(&registry, "heard"), Standing::Ready, "it is newer");
    registry.apply(900, &beat_of("back", 6, 81));
    registry.doubt_remembered(1_001, 1_000);
    assert_eq!(standing_of(&registry, "back"), Standing::Ready);
    assert_eq!(standing_of(&registry, "lost"), Standing::Draining, "it gets nothing new");
    registry.apply(2_000, &beat_of("lost", 6, 82));
    assert_eq!(standing_of(&registry, "lost"), Standing::Ready);
}

/// A registry of so many upstreams, as one keeper heard them.
fn registry_of(life: u64, upstreams: u64) -> Registry {
    let mut registry = Registry::new(life);
    for number in 0..upstreams {
        registry.apply(life, &numbered(number, 1));
    }
    registry
}

fn numbered(number: u64, sequence: u64) -> Heartbeat {
    let beat = Heartbeat { sequence, service: "llm".to_owned(), slots: 10, ..Heartbeat::default() };
    beat.named(&format!("u{number}"))
}

#[rstest]
#[case::the_same(&[], 0)]
#[case::one_has_left(&[5], 120)]
fn after_a_change_of_leader_only_what_differs_crosses(#[case] left: &[u64], #[case] most: usize) {
    let mut former = registry_of(1, 3_000);
    let mut next = registry_of(2, 3_000);
    for number in 0..3_000 {
        // Heartbeats that tell nothing new differ all the time.
        next.apply(10, &numbered(number, 2));
    }
    for number in left {
        next.leave(20, &Heartbeat::gone(&format!("u{number}")));
    }
    let known = Digest::of(former.records());
    let (changes, asked) = next.changes_from(&known);
    assert_eq!(asked.is_empty(), left.is_empty());
    assert!(changes.records.len() <= most, "{} records of 3,000", changes.records.len());
    for record in &changes.records {
        former.apply(30, &record.heartbeat);
    }
    assert_eq!(Digest::of(former.records()), Digest::of(next.records()));
    assert_eq!(changes.cursor, next.cursor());
}

#[test]
fn what_only_the_follower_knows_is_asked_for() {
    let follower = registry_of(1, 100);
    let mut leader = registry_of(2, 99);
    let (changes, asked) = leader.changes_from(&Digest::of(follower.records()));
    let told = follower.records().filter(|record| asked.contains(&record.heartbeat.id));
    let told: Vec<_> = told.map(|record| record.heartbeat.clone()).collect();
    assert!(told.iter().any(|one| one.id == UpstreamId::new("u99")) && told.len() < 20);
    assert!(changes.records.len() < 20);
    for heartbeat in &told {
        leader.apply(10, heartbeat);
    }
    assert_eq!(Digest::of(leader.records()), Digest::of(follower.records()));
}

#[test]
fn a_digest_tells_what_counts_for_a_choice() {
    let usual = Record { heartbeat: numbered(1, 1), is_silent: false };
    let digest = Digest::of([&usual]);
    let later = Record { heartbeat: numbered(1, 9), ..usual.clone() };
    assert_eq!(Digest::of([&later]), digest, "a number says nothing");
    let mut drains = usual.clone();
    drains.heartbeat.standing = Standing::Draining;
    let mut moved = usual.clone();
    moved.heartbeat.address.set_port(9);
    let silent = Record { is_silent: true, ..usual };
    for other in [drains, moved, silent] {
        assert_ne!(Digest::of([&other]), digest, "{other:?}");
    }
}

#[test]
fn a_large_registry_crosses_in_pages_that_lose_nothing() {
    let leader = registry_of(2, 3_000);
    let mut cursor = Cursor::default();
    let mut follower = Registry::new(1);
    let mut pages = 0;
    while cursor != leader.cursor() {
        let changes = leader.changes_after(cursor);
        assert!(changes.records.len() <= 1_024, "{} records in one answer", changes.records.len());
        changes
            .records
            .iter()
            .for_each(|one| follower.remember(0, std::slice::from_ref(&one.heartbeat)));
        cursor = changes.cursor;
        pages += 1;
    }
    assert_eq!(pages, 3);
    assert_eq!(Digest::of(follower.records()), Digest::of(leader.records()));
}

/// A heartbeat of a life that began at `born_ms`.
fn beat_in(born_ms: u64, sequence: u64, standing: Standing) -> Heartbeat {
    Heartbeat { born_ms, sequence, standing, ..Heartbeat::default() }.named("u")
}

fn standing_in(registry: &Registry, born_ms: u64) -> Option<Standing> {
    let id = beat_in(born_ms, 0, Standing::Ready).id;
    registry.record(&id).map(|record| record.heartbeat.standing)
}

#[rstest]
#[case::drains(beat_in(100, 901, Standing::Draining))]
#[case::is_ready(beat_in(100, 901, Standing::Ready))]
#[case::left(beat_in(100, 901, Standing::Gone))]
#[case::left_without_saying_in_which_life(Heartbeat::gone("u"))]
#[case::does_not_say_when_it_began(beat(901, Standing::Draining))]
fn nothing_late_of_a_former_life_touches_the_next_one(#[case] late: Heartbeat) {
    let mut registry = Registry::new(1);
    registry.apply(0, &beat_in(100, 900, Standing::Ready));
    assert!(registry.apply(10, &beat_in(200, 1, Standing::Ready)), "a new life is news");
    assert_eq!(standing_in(&registry, 100), Some(Standing::Gone), "it has ended");
    registry.apply(20, &late);
    assert_eq!(standing_in(&registry, 200), Some(Standing::Ready));
    assert_eq!(standing_in(&registry, 100), Some(Standing::Gone));
}

#[test]
fn a_former_life_that_is_heard_of_last_is_not_taken_in() {
    let mut registry = Registry::new(1);
    registry.apply(0, &beat_in(200, 1, Standing::Ready));
    assert!(!registry.apply(10, &beat_in(100, 900, Standing::Draining)));
    assert_eq!(standing_in(&registry, 100), None);
    assert_eq!(standing_in(&registry, 200), Some(Standing::Ready));
}

#[test]
fn a_life_that_left_is_followed_by_the_next_one() {
    let mut registry = Registry::new(1);
    registry.apply(0, &beat_in(100, 900, Standing::Draining));
    registry.leave(10, &Heartbeat::gone("u"));
    registry.apply(20, &beat_in(200, 1, Standing::Ready));
    assert_eq!(standing_in(&registry, 200), Some(Standing::Ready));
    registry.leave(30, &Heartbeat::gone("u"));
    assert_eq!(standing_in(&registry, 200), Some(Standing::Gone), "the former one had left");
}

#[test]
fn a_life_whose_clock_was_set_back_is_taken_in_once_the_other_is_silent() {
    let mut registry = Registry::new(1);
    registry.apply(0, &beat_in(200, 900, Standing::Ready));
    registry.apply(5_000, &beat_in(100, 1, Standing::Ready));
    assert_eq!(standing_in(&registry, 100), None, "it may be late");
    registry.apply(12_000, &beat_in(100, 7, Standing::Ready));
    assert_eq!(standing_in(&registry, 100), Some(Standing::Ready));
    assert_eq!(standing_in(&registry, 200), Some(Standing::Gone));
}

#[test]
fn a_name_that_begins_like_another_is_another() {
    let mut registry = Registry::new(1);
    registry.apply(0, &Heartbeat { born_ms: 100, ..beat_of("u1", 1, 80) }.named("u1"));
    registry.apply(1, &Heartbeat { born_ms: 200, ..beat_of("u", 1, 81) }.named("u"));
    let first = UpstreamId::new("u1@100");
    assert_eq!(registry.record(&first).unwrap().heartbeat.standing, Standing::Ready);
}

#[test]
fn what_is_remembered_of_a_former_life_does_not_end_the_next_one() {
    let mut registry = Registry::new(2);
    registry.apply(0, &beat_in(200, 1, Standing::Ready));
    registry.remember(1, &[beat_in(100, 900, Standing::Ready)]);
    assert_eq!(standing_in(&registry, 100), None);
    let mut registry = Registry::new(3);
    registry.remember(0, &[beat_in(100, 900, Standing::Ready)]);
    registry.apply(1, &beat_in(200, 1, Standing::Ready));
    assert_eq!(standing_in(&registry, 100), Some(Standing::Gone));
    assert_eq!(standing_in(&registry, 200), Some(Standing::Ready));
}

#[rstest]
#[case::this_life(100, true, Standing::Ready)]
#[case::it_does_not_say(0, true, Standing::Ready)]
#[case::a_later_life(200, false, Standing::Gone)]
#[case::a_former_life(50, false, Standing::Ready)]
fn an_answer_tells_which_life_gave_it(
    #[case] born_ms: u64,
    #[case] is_confirmed: bool,
    #[case] after: Standing,
) {
    let mut registry = Registry::new(1);
    let held = beat_in(100, 5, Standing::Ready);
    registry.apply(0, &held);
    assert_eq!(registry.confirm_life(1, &held.id, born_ms), is_confirmed);
    assert_eq!(standing_in(&registry, 100), Some(after));
}
