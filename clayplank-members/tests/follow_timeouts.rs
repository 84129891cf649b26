//! Delay until a host receives a change while keepers are unresponsive.

use clayplank_members::FollowTimeouts;
use rstest::rstest;

/// Share of the bound reserved for steps outside of the follow requests: the acknowledgement of the
/// change, and the forwarding of a request.
const SPARE_SHARE: f64 = 0.2;

#[rstest]
fn a_change_arrives_in_time_with_the_tolerated_number_of_unresponsive_keepers(
    #[values(1_500, 2_000, 2_500, 5_000, 60_000)] apply_ms: u64,
    #[values(0, 1, 2)] losses: u64,
) {
    let times = FollowTimeouts::for_bound(apply_ms);
    let worst_ms = times.max_delay_ms(losses) as f64;
    assert!(worst_ms <= apply_ms as f64 * (1.0 - SPARE_SHARE), "{worst_ms} ms, {times:?}");
}

/// Otherwise hosts would always send a hedged request beside a long poll that has no updates.
#[rstest]
fn a_long_poll_without_updates_ends_before_a_hedged_request_is_sent(
    #[values(100, 500, 2_000, 60_000)] apply_ms: u64,
) {
    let times = FollowTimeouts::for_bound(apply_ms);
    assert!(times.long_poll_ms < times.hedge_delay_ms, "{times:?}");
    assert!(times.hedge_delay_ms < times.timeout_ms(), "{times:?}");
    assert!(times.hedge_interval_ms > 0, "{times:?}");
}
