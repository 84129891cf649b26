//! Which callers are told to come back after a refusal.

use clayplank_placement::{Ask, Fleet, PlacementId, TypicalLimits};
use rstest::rstest;

/// Limits as callers of a route with 15 s send them: most come for the first time, some wait
/// less long than others, and one comes back 0.8 s after a refusal.
#[rstest]
#[case::new_on_a_longer_way("audit", 14_995.0, 0.0)]
#[case::back_after_800_ms("audit", 14_222.0, 778.0)]
#[case::back_after_6_s("audit", 9_000.0, 6_000.0)]
#[case::nothing_is_known_of_its_route("chat", 9_000.0, 0.0)]
#[case::waits_longer_than_others("audit", 60_000.0, 0.0)]
fn a_caller_that_comes_back_is_told_from_one_that_is_new(
    #[case] route: &str,
    #[case] limit_ms: f64,
    #[case] since_first_try_ms: f64,
) {
    let mut usual = TypicalLimits::default();
    for limit_ms in [15_000.0, 14_996.0, 15_000.0, 4_000.0, 14_992.0, 15_000.0] {
        usual.note("audit", 15_000.0, limit_ms);
    }
    assert_eq!(usual.since_first_try_ms(route, limit_ms), since_first_try_ms);
}

/// After a loss of power of all hosts nothing is known of callers, and many come back at once.
#[test]
fn the_first_callers_are_compared_with_their_route() {
    let mut usual = TypicalLimits::default();
    usual.note("audit", 15_000.0, 13_900.0);
    assert_eq!(usual.since_first_try_ms("audit", 13_900.0), 1_100.0);
    for _ in 0..20 {
        usual.note("audit", 15_000.0, 6_000.0);
    }
    assert_eq!(usual.since_first_try_ms("audit", 6_000.0), 0.0, "all of them wait 6 s");
}

/// A stream that broke off, and whose caller had come back before, asks again and again.
#[test]
fn a_stream_that_waits_to_go_on_does_not_change_what_is_usual() {
    let mut fleet = Fleet::default();
    let request = |sent_limit_ms: f64| {
        let mut request = Ask::new(PlacementId::default(), "main", 5_000, 300.0);
        request.route = "audit".to_owned();
        request.route_limit_ms = 15_000.0;
        request.sent_limit_ms = sent_limit_ms;
        request
    };
    fleet.place(0.0, &request(15_000.0));
    let mut waiting = request(13_900.0);
    waiting.has_begun = true;
    for turn in 0..100 {
        fleet.place(f64::from(turn) * 40.0, &waiting);
    }
    assert_eq!(fleet.since_first_try_ms(&request(13_900.0)), 1_100.0);
}
