//! Recognition of callers that retry after a refusal, by the time limits that they send.

use clayplank_placement::{Fleet, PlacementId, PlacementRequest, TypicalLimits};
use rstest::rstest;

/// Limits that callers of a route with 15 s send: most are new, one has a shorter time-out than
/// others, and one retries 0.8 s after a refusal.
#[rstest]
#[case::new_with_longer_network_delay("audit", 14_995.0, 0.0)]
#[case::retry_after_800_ms("audit", 14_222.0, 778.0)]
#[case::retry_after_6_s("audit", 9_000.0, 6_000.0)]
#[case::unknown_route("chat", 9_000.0, 0.0)]
#[case::waits_longer_than_others("audit", 60_000.0, 0.0)]
fn a_retrying_caller_is_distinguished_from_a_new_one(
    #[case] route: &str,
    #[case] limit_ms: f64,
    #[case] since_first_try_ms: f64,
) {
    let mut typical = TypicalLimits::default();
    for limit_ms in [15_000.0, 14_996.0, 15_000.0, 4_000.0, 14_992.0, 15_000.0] {
        typical.record("audit", 15_000.0, limit_ms);
    }
    assert_eq!(typical.since_first_try_ms(route, limit_ms), since_first_try_ms);
}

/// After a power failure of all hosts, nothing is known of callers, and many retry at once.
#[test]
fn the_first_callers_are_compared_with_the_limit_of_their_route() {
    let mut typical = TypicalLimits::default();
    typical.record("audit", 15_000.0, 13_900.0);
    assert_eq!(typical.since_first_try_ms("audit", 13_900.0), 1_100.0);
    for _ in 0..20 {
        typical.record("audit", 15_000.0, 6_000.0);
    }
    assert_eq!(typical.since_first_try_ms("audit", 6_000.0), 0.0, "all of them wait 6 s");
}

/// A stream that broke off, and whose caller had retried before, asks for placement repeatedly.
/// That must not change the typical limit.
#[test]
fn a_stream_that_waits_to_resume_does_not_change_the_typical_limit() {
    let mut fleet = Fleet::default();
    let request = |sent_limit_ms: f64| {
        let mut request = PlacementRequest::new(PlacementId::default(), "main", 5_000, 300.0);
        request.route = "audit".to_owned();
        request.route_limit_ms = 15_000.0;
        request.sent_limit_ms = sent_limit_ms;
        request
    };
    fleet.place(0.0, &request(15_000.0));
    let mut waiting = request(13_900.0);
    waiting.has_begun = true;
    for attempt in 0..100 {
        fleet.place(f64::from(attempt) * 40.0, &waiting);
    }
    assert_eq!(fleet.since_first_try_ms(&request(13_900.0)), 1_100.0);
}
