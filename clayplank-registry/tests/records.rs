//! Late, lost and repeated heartbeats.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_registry::{Cursor, Digest, Heartbeat, Record, Registry, Standing};
use clayplank_types::UpstreamId;
use rstest::rstest;

fn heartbeat(sequence: u64, standing: Standing) -> Heartbeat {
    Heartbeat { sequence, standing, ..Heartbeat::default() }.named("u")
}

fn standing(registry: &Registry) -> Standing {
    registry.record(&UpstreamId::new("u")).unwrap().heartbeat.standing
}

#[rstest]
#[case::in_order(&[(1, Standing::Ready), (2, Standing::Draining)], Standing::Draining)]
#[case::late_ready(&[(2, Standing::Draining), (1, Standing::Ready)], Standing::Draining)]
#[case::after_departure(&[(1, Standing::Gone), (5, Standing::Ready)], Standing::Gone)]
#[case::repeated(&[(3, Standing::Ready), (3, Standing::Draining)], Standing::Ready)]
fn the_latest_heartbeat_applies(
    #[case] heartbeats: &[(u64, Standing)],
    #[case] expected: Standing,
) {
    let mut registry = Registry::new(1);
    for (now_ms, (sequence, standing)) in heartbeats.iter().enumerate() {
        registry.apply(now_ms as u64, &heartbeat(*sequence, *standing));
    }
    assert_eq!(standing(&registry), expected);
}

#[test]
fn an_unknown_upstream_that_departed_stays_gone() {
    let mut registry = Registry::new(1);
    registry.leave(0, &Heartbeat::gone("u"));
    assert!(!registry.apply(1, &heartbeat(9, Standing::Ready)));
    assert_eq!(standing(&registry), Standing::Gone);
}

#[test]
fn missing_heartbeats_are_reported_once_until_the_next_heartbeat() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat(1, Standing::Ready));
    let before = registry.cursor();
    registry.age(4_000, 3_000);
    registry.age(4_100, 3_000);
    let changes = registry.changes_after(before);
    assert_eq!(changes.cursor.change, before.change + 1);
    assert!(changes.records[0].is_silent);
    registry.apply(4_200, &heartbeat(2, Standing::Ready));
    assert!(!registry.record(&UpstreamId::new("u")).unwrap().is_silent);
}

#[test]
fn heartbeats_without_a_change_are_not_reported() {
    let mut registry = Registry::new(1);
    assert!(registry.apply(0, &heartbeat(1, Standing::Ready)));
    assert!(!registry.apply(1_000, &heartbeat(2, Standing::Ready)));
    assert!(registry.changes_after(registry.cursor()).records.is_empty());
}

#[test]
fn a_cursor_of_another_incarnation_gets_all_records() {
    let mut registry = Registry::new(2);
    registry.apply(0, &heartbeat(1, Standing::Ready));
    let changes = registry.changes_after(Cursor { life: 1, change: 1_000 });
    assert_eq!(changes.records.len(), 1);
}

fn heartbeat_of(id: &str, sequence: u64, port: u16) -> Heartbeat {
    let address = std::net::SocketAddr::from(([10, 0, 0, 1], port));
    Heartbeat { sequence, address, ..Heartbeat::default() }.named(id)
}

fn standing_of(registry: &Registry, id: &str) -> Standing {
    registry.record(&UpstreamId::new(id)).unwrap().heartbeat.standing
}

#[test]
fn a_late_heartbeat_of_a_predecessor_at_an_address_does_not_restore_it() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of("former", 7, 80));
    registry.apply(5_000, &heartbeat_of("newer", 1, 80));
    assert!(
        registry.apply(6_000, &heartbeat_of("newer", 2, 80)),
        "the predecessor is marked as departed"
    );
    registry.apply(6_500, &heartbeat_of("former", 8, 80));
    assert_eq!(standing_of(&registry, "former"), Standing::Gone);
    assert_eq!(standing_of(&registry, "newer"), Standing::Ready);
}

#[test]
fn a_single_late_heartbeat_of_an_unknown_upstream_replaces_none() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of("alive", 1, 80));
    registry.apply(1_000, &heartbeat_of("alive", 2, 80));
    registry.apply(1_500, &heartbeat_of("former", 90, 80));
    registry.apply(2_000, &heartbeat_of("alive", 3, 80));
    assert_eq!(standing_of(&registry, "alive"), Standing::Ready);
    registry.apply(2_500, &heartbeat_of("elsewhere", 1, 81));
    registry.apply(3_500, &heartbeat_of("elsewhere", 2, 81));
    assert_eq!(standing_of(&registry, "alive"), Standing::Ready, "another address");
}

#[test]
fn restored_records_yield_to_heartbeats_and_drain_without_them() {
    let mut registry = Registry::new(2);
    registry.apply(0, &heartbeat_of("heard", 9, 80));
    let old = Heartbeat { standing: Standing::Draining, ..heartbeat_of("heard", 3, 80) };
    registry.remember(0, &[old, heartbeat_of("back", 5, 81), heartbeat_of("lost", 5, 82)]);
    assert_eq!(standing_of(&registry, "heard"), Standing::Ready, "it is newer");
    registry.apply(900, &heartbeat_of("back", 6, 81));
    registry.doubt_remembered(1_001, 1_000);
    assert_eq!(standing_of(&registry, "back"), Standing::Ready);
    assert_eq!(standing_of(&registry, "lost"), Standing::Draining, "it receives no new requests");
    registry.apply(2_000, &heartbeat_of("lost", 6, 82));
    assert_eq!(standing_of(&registry, "lost"), Standing::Ready);
}

/// A registry with this many upstreams, as one keeper received them.
fn registry_of(incarnation: u64, upstreams: u64) -> Registry {
    let mut registry = Registry::new(incarnation);
    for number in 0..upstreams {
        registry.apply(incarnation, &numbered(number, 1));
    }
    registry
}

fn numbered(number: u64, sequence: u64) -> Heartbeat {
    let heartbeat =
        Heartbeat { sequence, service: "llm".to_owned(), slots: 10, ..Heartbeat::default() };
    heartbeat.named(&format!("u{number}"))
}

#[rstest]
#[case::the_same(&[], 0)]
#[case::one_departed(&[5], 120)]
fn after_a_change_of_leader_only_differing_records_are_sent(
    #[case] departed: &[u64],
    #[case] max_records: usize,
) {
    let mut previous_leader = registry_of(1, 3_000);
    let mut next_leader = registry_of(2, 3_000);
    for number in 0..3_000 {
        // Sequence numbers differ all the time, and are not part of the digest.
        next_leader.apply(10, &numbered(number, 2));
    }
    for number in departed {
        next_leader.leave(20, &Heartbeat::gone(&format!("u{number}")));
    }
    let known = Digest::of(previous_leader.records());
    let (changes, requested) = next_leader.changes_from(&known);
    assert_eq!(requested.is_empty(), departed.is_empty());
    assert!(changes.records.len() <= max_records, "{} records of 3,000", changes.records.len());
    for record in &changes.records {
        previous_leader.apply(30, &record.heartbeat);
    }
    assert_eq!(Digest::of(previous_leader.records()), Digest::of(next_leader.records()));
    assert_eq!(changes.cursor, next_leader.cursor());
}

#[test]
fn records_known_only_to_the_follower_are_requested() {
    let follower = registry_of(1, 100);
    let mut leader = registry_of(2, 99);
    let (changes, requested) = leader.changes_from(&Digest::of(follower.records()));
    let sent = follower.records().filter(|record| requested.contains(&record.heartbeat.id));
    let sent: Vec<_> = sent.map(|record| record.heartbeat.clone()).collect();
    assert!(sent.iter().any(|one| one.id == UpstreamId::new("u99")) && sent.len() < 20);
    assert!(changes.records.len() < 20);
    for heartbeat in &sent {
        leader.apply(10, heartbeat);
    }
    assert_eq!(Digest::of(leader.records()), Digest::of(follower.records()));
}

#[test]
fn a_digest_covers_the_state_on_which_choices_depend() {
    let original = Record { heartbeat: numbered(1, 1), is_silent: false };
    let digest = Digest::of([&original]);
    let later = Record { heartbeat: numbered(1, 9), ..original.clone() };
    assert_eq!(Digest::of([&later]), digest, "the sequence number is not covered");
    let mut drains = original.clone();
    drains.heartbeat.standing = Standing::Draining;
    let mut moved = original.clone();
    moved.heartbeat.address.set_port(9);
    let silent = Record { is_silent: true, ..original };
    for other in [drains, moved, silent] {
        assert_ne!(Digest::of([&other]), digest, "{other:?}");
    }
}

#[test]
fn a_large_registry_is_sent_completely_in_pages() {
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

/// A heartbeat of the incarnation that started at `born_ms`.
fn heartbeat_of_incarnation(born_ms: u64, sequence: u64, standing: Standing) -> Heartbeat {
    Heartbeat { born_ms, sequence, standing, ..Heartbeat::default() }.named("u")
}

fn standing_of_incarnation(registry: &Registry, born_ms: u64) -> Option<Standing> {
    let id = heartbeat_of_incarnation(born_ms, 0, Standing::Ready).id;
    registry.record(&id).map(|record| record.heartbeat.standing)
}

#[rstest]
#[case::drains(heartbeat_of_incarnation(100, 901, Standing::Draining))]
#[case::is_ready(heartbeat_of_incarnation(100, 901, Standing::Ready))]
#[case::departed(heartbeat_of_incarnation(100, 901, Standing::Gone))]
#[case::departed_without_incarnation(Heartbeat::gone("u"))]
#[case::drains_without_start_time(heartbeat(901, Standing::Draining))]
fn late_messages_of_an_earlier_incarnation_do_not_affect_the_next_one(#[case] late: Heartbeat) {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(100, 900, Standing::Ready));
    assert!(
        registry.apply(10, &heartbeat_of_incarnation(200, 1, Standing::Ready)),
        "a new incarnation is a change"
    );
    assert_eq!(standing_of_incarnation(&registry, 100), Some(Standing::Gone), "it has ended");
    registry.apply(20, &late);
    assert_eq!(standing_of_incarnation(&registry, 200), Some(Standing::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), Some(Standing::Gone));
}

#[test]
fn an_earlier_incarnation_received_last_is_ignored() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(200, 1, Standing::Ready));
    assert!(!registry.apply(10, &heartbeat_of_incarnation(100, 900, Standing::Draining)));
    assert_eq!(standing_of_incarnation(&registry, 100), None);
    assert_eq!(standing_of_incarnation(&registry, 200), Some(Standing::Ready));
}

#[test]
fn a_departed_incarnation_is_followed_by_the_next_one() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(100, 900, Standing::Draining));
    registry.leave(10, &Heartbeat::gone("u"));
    registry.apply(20, &heartbeat_of_incarnation(200, 1, Standing::Ready));
    assert_eq!(standing_of_incarnation(&registry, 200), Some(Standing::Ready));
    registry.leave(30, &Heartbeat::gone("u"));
    assert_eq!(
        standing_of_incarnation(&registry, 200),
        Some(Standing::Gone),
        "the earlier one had departed before"
    );
}

#[test]
fn an_incarnation_with_a_clock_set_back_is_accepted_once_the_other_stops_sending() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(200, 900, Standing::Ready));
    registry.apply(5_000, &heartbeat_of_incarnation(100, 1, Standing::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), None, "it may be late");
    registry.apply(12_000, &heartbeat_of_incarnation(100, 7, Standing::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), Some(Standing::Ready));
    assert_eq!(standing_of_incarnation(&registry, 200), Some(Standing::Gone));
}

#[test]
fn a_name_that_starts_with_another_name_is_distinct() {
    let mut registry = Registry::new(1);
    registry.apply(0, &Heartbeat { born_ms: 100, ..heartbeat_of("u1", 1, 80) }.named("u1"));
    registry.apply(1, &Heartbeat { born_ms: 200, ..heartbeat_of("u", 1, 81) }.named("u"));
    let first = UpstreamId::new("u1@100");
    assert_eq!(registry.record(&first).unwrap().heartbeat.standing, Standing::Ready);
}

#[test]
fn a_restored_earlier_incarnation_does_not_end_the_next_one() {
    let mut registry = Registry::new(2);
    registry.apply(0, &heartbeat_of_incarnation(200, 1, Standing::Ready));
    registry.remember(1, &[heartbeat_of_incarnation(100, 900, Standing::Ready)]);
    assert_eq!(standing_of_incarnation(&registry, 100), None);
    let mut registry = Registry::new(3);
    registry.remember(0, &[heartbeat_of_incarnation(100, 900, Standing::Ready)]);
    registry.apply(1, &heartbeat_of_incarnation(200, 1, Standing::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), Some(Standing::Gone));
    assert_eq!(standing_of_incarnation(&registry, 200), Some(Standing::Ready));
}

#[rstest]
#[case::this_incarnation(100, true, Standing::Ready)]
#[case::without_start_time(0, true, Standing::Ready)]
#[case::a_later_incarnation(200, false, Standing::Gone)]
#[case::an_earlier_incarnation(50, false, Standing::Ready)]
fn an_answer_identifies_its_incarnation(
    #[case] born_ms: u64,
    #[case] is_confirmed: bool,
    #[case] after: Standing,
) {
    let mut registry = Registry::new(1);
    let current = heartbeat_of_incarnation(100, 5, Standing::Ready);
    registry.apply(0, &current);
    assert_eq!(registry.confirm_life(1, &current.id, born_ms), is_confirmed);
    assert_eq!(standing_of_incarnation(&registry, 100), Some(after));
}
