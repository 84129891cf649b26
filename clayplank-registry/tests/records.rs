//! Late, lost and repeated heartbeats.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_registry::{Cursor, Heartbeat, Registry, Standing};
use clayplank_types::UpstreamId;
use rstest::rstest;

fn beat(sequence: u64, standing: Standing) -> Heartbeat {
    Heartbeat { id: UpstreamId::new("u"), sequence, standing, ..Heartbeat::default() }
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
    registry.leave(0, &UpstreamId::new("u"));
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
