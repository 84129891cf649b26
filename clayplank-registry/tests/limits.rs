//! Order of several observations of an upstream's rate limit.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_registry::{Cursor, LimitObservation, LimitUpdateResult, Limits};
use clayplank_types::UpstreamId;
use rstest::rstest;

fn id() -> UpstreamId {
    UpstreamId::new("u")
}

fn observed(requests_per_s: Option<f64>, at_ms: u64) -> LimitObservation {
    LimitObservation { upstream: id(), requests_per_s, at_ms }
}

#[rstest]
#[case::later_limit(&[(Some(2.0), 10), (Some(1.0), 20)], Some(1.0))]
#[case::earlier_limit(&[(Some(1.0), 20), (Some(2.0), 10)], Some(1.0))]
#[case::lifted(&[(Some(1.0), 20), (None, 30)], None)]
#[case::lifted_before(&[(Some(1.0), 20), (None, 10)], Some(1.0))]
#[case::lifted_between_two_answers_that_name_it(&[(Some(1.0), 10), (Some(1.0), 30), (None, 20)], Some(1.0))]
#[case::named_again(&[(Some(1.0), 10), (None, 20), (Some(1.0), 30)], Some(1.0))]
#[case::never_named(&[(None, 10)], None)]
fn the_latest_observation_applies(
    #[case] received: &[(Option<f64>, u64)],
    #[case] limit_per_s: Option<f64>,
) {
    let mut limits = Limits::new(1);
    for (requests_per_s, at_ms) in received {
        limits.apply_local(&observed(*requests_per_s, *at_ms));
    }
    assert_eq!(limits.limit_per_s(&id()), limit_per_s);
    assert_eq!(limits.iter().count(), usize::from(limit_per_s.is_some()));
}

#[test]
fn a_follower_receives_the_changes_after_its_cursor() {
    let mut limits = Limits::new(1);
    assert_eq!(limits.apply_local(&observed(Some(1.0), 10)), LimitUpdateResult::Changed);
    let first = limits.changes_after(15, Cursor::default());
    assert_eq!(first.limits.len(), 1);
    assert_eq!(first.limits[0].age_ms, 5);
    assert!(limits.changes_after(15, first.cursor).limits.is_empty());
    assert_eq!(limits.apply_local(&observed(Some(1.0), 20)), LimitUpdateResult::Unchanged);
    assert!(limits.changes_after(20, first.cursor).limits.is_empty());
    assert_eq!(limits.apply_local(&observed(None, 30)), LimitUpdateResult::Changed);
    let second = limits.changes_after(30, first.cursor);
    assert_eq!(second.limits[0].requests_per_s, None);
    let other = Limits::new(2);
    assert_eq!(
        limits.changes_after(30, other.changes_after(30, first.cursor).cursor).limits.len(),
        1
    );
}

/// The sender of an outdated observation may have sent it to other hosts too.
#[test]
fn an_outdated_observation_returns_the_current_limit_and_sends_it_again() {
    let mut limits = Limits::new(1);
    limits.apply_local(&observed(Some(1.0), 10));
    limits.apply_local(&observed(None, 20));
    let cursor = limits.changes_after(20, Cursor::default()).cursor;
    let noted = limits.apply_local(&observed(Some(1.0), 15));
    assert_eq!(noted, LimitUpdateResult::Outdated(observed(None, 20)));
    assert_eq!(limits.changes_after(25, cursor).limits.len(), 1);
}

#[test]
fn hosts_with_different_clocks_agree() {
    let (mut first_host, mut second_host) = (Limits::new(1), Limits::new(2));
    first_host.apply_local(&observed(Some(3.0), 1_000));
    let received = first_host.changes_after(1_040, Cursor::default()).limits.remove(0);
    assert_eq!(
        second_host.apply_local(&received.into_observation(90_000)),
        LimitUpdateResult::Changed
    );
    // An answer that the second host received before that observation is outdated.
    assert!(matches!(
        second_host.apply_local(&observed(None, 89_950)),
        LimitUpdateResult::Outdated(_)
    ));
    assert_eq!(second_host.apply_local(&observed(None, 89_970)), LimitUpdateResult::Changed);
}

#[test]
fn limits_of_removed_upstreams_are_dropped() {
    let mut limits = Limits::new(1);
    limits.apply_local(&observed(Some(1.0), 10));
    limits.expire(1_000_000, |_| true);
    assert_eq!(limits.limit_per_s(&id()), Some(1.0), "a limit applies until it is lifted");
    limits.expire(20, |_| false);
    assert_eq!(limits.limit_per_s(&id()), None);
}
