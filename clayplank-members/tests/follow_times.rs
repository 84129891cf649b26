//! The time until a host hears of a change beside silent keepers.

use clayplank_members::FollowTimes;
use rstest::rstest;

/// Share of the bound that is left for what lies outside: the acknowledgement, and the way of a request.
const SPARE_SHARE: f64 = 0.2;

#[rstest]
fn a_change_is_heard_of_in_time_beside_the_tolerated_losses(
    #[values(1_500, 2_000, 2_500, 5_000, 60_000)] apply_ms: u64,
    #[values(0, 1, 2)] losses: u64,
) {
    let times = FollowTimes::of_bound(apply_ms);
    let worst_ms = times.worst_ms(losses) as f64;
    assert!(worst_ms <= apply_ms as f64 * (1.0 - SPARE_SHARE), "{worst_ms} ms, {times:?}");
}

/// Else a living keeper without news would always be asked beside another one.
#[rstest]
fn a_keeper_without_news_answers_before_another_one_is_asked(
    #[values(100, 500, 2_000, 60_000)] apply_ms: u64,
) {
    let times = FollowTimes::of_bound(apply_ms);
    assert!(times.hold_ms < times.hedge_ms, "{times:?}");
    assert!(times.hedge_ms < times.patience_ms(), "{times:?}");
    assert!(times.step_ms > 0, "{times:?}");
}
