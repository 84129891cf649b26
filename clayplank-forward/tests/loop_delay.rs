//! When a host counts as overloaded, and the share of new connections that it closes.

use std::time::Duration;

use clayplank_forward::LoopDelay;
use rstest::rstest;

/// Requests in progress at a host that may be overloaded.
const MANY: u64 = 32;

fn record(loop_delay: &LoopDelay, delays_ms: &[u64]) -> Vec<bool> {
    let delays = delays_ms.iter().map(|delay_ms| Duration::from_millis(*delay_ms));
    delays.filter_map(|delay| loop_delay.record(delay, MANY)).collect()
}

/// Guards against turning callers away because something else uses the processor.
#[test]
fn a_host_with_few_requests_closes_no_connections() {
    let loop_delay = LoopDelay::default();
    for _ in 0..10 {
        assert_eq!(loop_delay.record(Duration::from_millis(500), MANY - 1), None);
    }
    assert_eq!(loop_delay.shed_share(), 0.0);
}

/// Guards against turning callers away, at all hosts at once, because a large plan is applied.
#[test]
fn a_single_long_computation_closes_no_connections() {
    let loop_delay = LoopDelay::default();
    assert!(record(&loop_delay, &[1, 2, 1, 900, 2, 700, 1, 800]).is_empty());
    assert_eq!(loop_delay.shed_share(), 0.0);
}

#[rstest]
#[case::idle(1, 0.0)]
#[case::busy(15, 0.0)]
#[case::too_busy(33, 0.4)]
#[case::overloaded(60, 1.0)]
#[case::far_too_busy(900, 1.0)]
fn the_share_of_closed_connections_grows_with_the_delay(#[case] delay_ms: u64, #[case] share: f64) {
    let loop_delay = LoopDelay::default();
    record(&loop_delay, &[delay_ms; 6]);
    assert!((loop_delay.shed_share() - share).abs() < 0.01, "{}", loop_delay.shed_share());
}

/// Guards against a readiness that alternates while the load stays the same.
#[test]
fn an_overloaded_host_is_ready_again_only_once_it_closes_no_connections() {
    let loop_delay = LoopDelay::default();
    assert_eq!(record(&loop_delay, &[70; 6]), [true]);
    assert!(record(&loop_delay, &[40; 6]).is_empty());
    assert!(record(&loop_delay, &[70; 6]).is_empty());
    assert_eq!(record(&loop_delay, &[10]), [false]);
}
