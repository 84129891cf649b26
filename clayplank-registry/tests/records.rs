//! Late, lost and repeated heartbeats.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_registry::{Cursor, Digest, Heartbeat, Record, Registry, UpstreamStatus};
use clayplank_types::UpstreamId;
use rstest::rstest;

fn heartbeat(sequence: u64, standing: UpstreamStatus) -> Heartbeat {
    Heartbeat { sequence, standing, ..Heartbeat::default() }.with_name("u")
}

fn standing(registry: &Registry) -> UpstreamStatus {
    registry.record(&UpstreamId::new("u")).unwrap().heartbeat.standing
}

#[rstest]
#[case::in_order(&[(1, UpstreamStatus::Ready), (2, UpstreamStatus::Draining)], UpstreamStatus::Draining)]
#[case::late_ready(&[(2, UpstreamStatus::Draining), (1, UpstreamStatus::Ready)], UpstreamStatus::Draining)]
#[case::after_departure(&[(1, UpstreamStatus::Gone), (5, UpstreamStatus::Ready)], UpstreamStatus::Gone)]
#[case::repeated(&[(3, UpstreamStatus::Ready), (3, UpstreamStatus::Draining)], UpstreamStatus::Ready)]
fn the_latest_heartbeat_applies(
    #[case] heartbeats: &[(u64, UpstreamStatus)],
    #[case] expected: UpstreamStatus,
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
    registry.apply_departure(0, &Heartbeat::departure("u"));
    assert!(!registry.apply(1, &heartbeat(9, UpstreamStatus::Ready)));
    assert_eq!(standing(&registry), UpstreamStatus::Gone);
}

#[test]
fn missing_heartbeats_are_reported_once_until_the_next_heartbeat() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat(1, UpstreamStatus::Ready));
    let before = registry.cursor();
    registry.expire(4_000, 3_000);
    registry.expire(4_100, 3_000);
    let changes = registry.changes_after(before);
    assert_eq!(changes.cursor.change, before.change + 1);
    assert!(changes.records[0].is_silent);
    registry.apply(4_200, &heartbeat(2, UpstreamStatus::Ready));
    assert!(!registry.record(&UpstreamId::new("u")).unwrap().is_silent);
}

#[test]
fn heartbeats_without_a_change_are_not_reported() {
    let mut registry = Registry::new(1);
    assert!(registry.apply(0, &heartbeat(1, UpstreamStatus::Ready)));
    assert!(!registry.apply(1_000, &heartbeat(2, UpstreamStatus::Ready)));
    assert!(registry.changes_after(registry.cursor()).records.is_empty());
}

#[test]
fn a_cursor_of_another_incarnation_gets_all_records() {
    let mut registry = Registry::new(2);
    registry.apply(0, &heartbeat(1, UpstreamStatus::Ready));
    let changes = registry.changes_after(Cursor { life: 1, change: 1_000 });
    assert_eq!(changes.records.len(), 1);
}

fn heartbeat_of(id: &str, sequence: u64, port: u16) -> Heartbeat {
    let address = std::net::SocketAddr::from(([10, 0, 0, 1], port));
    Heartbeat { sequence, address, ..Heartbeat::default() }.with_name(id)
}

fn standing_of(registry: &Registry, id: &str) -> UpstreamStatus {
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
    assert_eq!(standing_of(&registry, "former"), UpstreamStatus::Gone);
    assert_eq!(standing_of(&registry, "newer"), UpstreamStatus::Ready);
}

#[test]
fn a_single_late_heartbeat_of_an_unknown_upstream_replaces_none() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of("alive", 1, 80));
    registry.apply(1_000, &heartbeat_of("alive", 2, 80));
    registry.apply(1_500, &heartbeat_of("former", 90, 80));
    registry.apply(2_000, &heartbeat_of("alive", 3, 80));
    assert_eq!(standing_of(&registry, "alive"), UpstreamStatus::Ready);
    registry.apply(2_500, &heartbeat_of("elsewhere", 1, 81));
    registry.apply(3_500, &heartbeat_of("elsewhere", 2, 81));
    assert_eq!(standing_of(&registry, "alive"), UpstreamStatus::Ready, "another address");
}

#[test]
fn restored_records_yield_to_heartbeats_and_drain_without_them() {
    let mut registry = Registry::new(2);
    registry.apply(0, &heartbeat_of("heard", 9, 80));
    let old = Heartbeat { standing: UpstreamStatus::Draining, ..heartbeat_of("heard", 3, 80) };
    registry.restore(0, &[old, heartbeat_of("back", 5, 81), heartbeat_of("lost", 5, 82)]);
    assert_eq!(standing_of(&registry, "heard"), UpstreamStatus::Ready, "it is newer");
    registry.apply(900, &heartbeat_of("back", 6, 81));
    registry.drain_unconfirmed(1_001, 1_000);
    assert_eq!(standing_of(&registry, "back"), UpstreamStatus::Ready);
    assert_eq!(
        standing_of(&registry, "lost"),
        UpstreamStatus::Draining,
        "it receives no new requests"
    );
    registry.apply(2_000, &heartbeat_of("lost", 6, 82));
    assert_eq!(standing_of(&registry, "lost"), UpstreamStatus::Ready);
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
    heartbeat.with_name(&format!("u{number}"))
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
        next_leader.apply_departure(20, &Heartbeat::departure(&format!("u{number}")));
    }
    let known = Digest::of(previous_leader.records());
    let (changes, requested) = next_leader.changes_for_digest(&known);
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
    let (changes, requested) = leader.changes_for_digest(&Digest::of(follower.records()));
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
    drains.heartbeat.standing = UpstreamStatus::Draining;
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
            .for_each(|one| follower.restore(0, std::slice::from_ref(&one.heartbeat)));
        cursor = changes.cursor;
        pages += 1;
    }
    assert_eq!(pages, 3);
    assert_eq!(Digest::of(follower.records()), Digest::of(leader.records()));
}

/// A heartbeat of the incarnation that started at `born_ms`.
fn heartbeat_of_incarnation(born_ms: u64, sequence: u64, standing: UpstreamStatus) -> Heartbeat {
    Heartbeat { born_ms, sequence, standing, ..Heartbeat::default() }.with_name("u")
}

fn standing_of_incarnation(registry: &Registry, born_ms: u64) -> Option<UpstreamStatus> {
    let id = heartbeat_of_incarnation(born_ms, 0, UpstreamStatus::Ready).id;
    registry.record(&id).map(|record| record.heartbeat.standing)
}

#[rstest]
#[case::drains(heartbeat_of_incarnation(100, 901, UpstreamStatus::Draining))]
#[case::is_ready(heartbeat_of_incarnation(100, 901, UpstreamStatus::Ready))]
#[case::departed(heartbeat_of_incarnation(100, 901, UpstreamStatus::Gone))]
#[case::departed_without_incarnation(Heartbeat::departure("u"))]
#[case::drains_without_start_time(heartbeat(901, UpstreamStatus::Draining))]
fn late_messages_of_an_earlier_incarnation_do_not_affect_the_next_one(#[case] late: Heartbeat) {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(100, 900, UpstreamStatus::Ready));
    assert!(
        registry.apply(10, &heartbeat_of_incarnation(200, 1, UpstreamStatus::Ready)),
        "a new incarnation is a change"
    );
    assert_eq!(standing_of_incarnation(&registry, 100), Some(UpstreamStatus::Gone), "it has ended");
    registry.apply(20, &late);
    assert_eq!(standing_of_incarnation(&registry, 200), Some(UpstreamStatus::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), Some(UpstreamStatus::Gone));
}

#[test]
fn an_earlier_incarnation_received_last_is_ignored() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(200, 1, UpstreamStatus::Ready));
    assert!(!registry.apply(10, &heartbeat_of_incarnation(100, 900, UpstreamStatus::Draining)));
    assert_eq!(standing_of_incarnation(&registry, 100), None);
    assert_eq!(standing_of_incarnation(&registry, 200), Some(UpstreamStatus::Ready));
}

#[test]
fn a_departed_incarnation_is_followed_by_the_next_one() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(100, 900, UpstreamStatus::Draining));
    registry.apply_departure(10, &Heartbeat::departure("u"));
    registry.apply(20, &heartbeat_of_incarnation(200, 1, UpstreamStatus::Ready));
    assert_eq!(standing_of_incarnation(&registry, 200), Some(UpstreamStatus::Ready));
    registry.apply_departure(30, &Heartbeat::departure("u"));
    assert_eq!(
        standing_of_incarnation(&registry, 200),
        Some(UpstreamStatus::Gone),
        "the earlier one had departed before"
    );
}

#[test]
fn an_incarnation_with_a_clock_set_back_is_accepted_once_the_other_stops_sending() {
    let mut registry = Registry::new(1);
    registry.apply(0, &heartbeat_of_incarnation(200, 900, UpstreamStatus::Ready));
    registry.apply(5_000, &heartbeat_of_incarnation(100, 1, UpstreamStatus::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), None, "it may be late");
    registry.apply(12_000, &heartbeat_of_incarnation(100, 7, UpstreamStatus::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), Some(UpstreamStatus::Ready));
    assert_eq!(standing_of_incarnation(&registry, 200), Some(UpstreamStatus::Gone));
}

#[test]
fn a_name_that_starts_with_another_name_is_distinct() {
    let mut registry = Registry::new(1);
    registry.apply(0, &Heartbeat { born_ms: 100, ..heartbeat_of("u1", 1, 80) }.with_name("u1"));
    registry.apply(1, &Heartbeat { born_ms: 200, ..heartbeat_of("u", 1, 81) }.with_name("u"));
    let first = UpstreamId::new("u1@100");
    assert_eq!(registry.record(&first).unwrap().heartbeat.standing, UpstreamStatus::Ready);
}

#[test]
fn a_restored_earlier_incarnation_does_not_end_the_next_one() {
    let mut registry = Registry::new(2);
    registry.apply(0, &heartbeat_of_incarnation(200, 1, UpstreamStatus::Ready));
    registry.restore(1, &[heartbeat_of_incarnation(100, 900, UpstreamStatus::Ready)]);
    assert_eq!(standing_of_incarnation(&registry, 100), None);
    let mut registry = Registry::new(3);
    registry.restore(0, &[heartbeat_of_incarnation(100, 900, UpstreamStatus::Ready)]);
    registry.apply(1, &heartbeat_of_incarnation(200, 1, UpstreamStatus::Ready));
    assert_eq!(standing_of_incarnation(&registry, 100), Some(UpstreamStatus::Gone));
    assert_eq!(standing_of_incarnation(&registry, 200), Some(UpstreamStatus::Ready));
}

#[rstest]
#[case::this_incarnation(100, true, UpstreamStatus::Ready)]
#[case::without_start_time(0, true, UpstreamStatus::Ready)]
#[case::a_later_incarnation(200, false, UpstreamStatus::Gone)]
#[case::an_earlier_incarnation(50, false, UpstreamStatus::Ready)]
fn an_answer_identifies_its_incarnation(
    #[case] born_ms: u64,
    #[case] is_confirmed: bool,
    #[case] after: UpstreamStatus,
) {
    let mut registry = Registry::new(1);
    let current = heartbeat_of_incarnation(100, 5, UpstreamStatus::Ready);
    registry.apply(0, &current);
    assert_eq!(registry.confirm_incarnation(1, &current.id, born_ms), is_confirmed);
    assert_eq!(standing_of_incarnation(&registry, 100), Some(after));
}
