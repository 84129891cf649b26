//! Upstreams that request a backoff from a host, and upstreams that state that they are leaving.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use clayplank_standin::{Received, SharedSignals};
use rstest::rstest;

use crate::failover::leader;
use crate::signals::{ENTRIES, SignalSystem, UpstreamKind, plan_for_signals};
use crate::system::{publish, wait_for};

/// Backoff that an upstream requests.
const BACKOFF: Duration = Duration::from_secs(3);

/// Requests that were on their way when the refusal was sent arrive within this time.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);

/// Maximum number of requests of one host after `IN_FLIGHT_TIME` and before the end of a backoff.
pub const MAX_IN_BACKOFF: usize = 2;

/// Time after which no host may use an upstream that stated that it is leaving.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// Time during which requests are sent before an upstream changes its statements.
const WARM_UP: Duration = Duration::from_secs(2);

/// Maximum number of requests that an upstream received from one host within a backoff that it
/// requested from that host.
pub fn max_in_backoff(signals: &SharedSignals) -> usize {
    let received = signals.received();
    let count_within = |refused: &Received, backoff: Duration| {
        let within = refused.at + IN_FLIGHT_TIME..refused.at + backoff;
        let of_host = received.iter().filter(|one| one.host == refused.host);
        of_host.filter(|one| within.contains(&one.at)).count()
    };
    let refused = received.iter().filter_map(|one| Some((one, one.backoff?)));
    refused.map(|(one, backoff)| count_within(one, backoff)).max().unwrap_or_default()
}

/// Number of requests that an upstream received from hosts later than `DRAIN_TIME` after its first
/// answer to them that stated that it is leaving, which it states since `leaving_since`.
pub fn count_late(signals: &SharedSignals, leaving_since: Instant) -> usize {
    let mut received = signals.received();
    received.retain(|one| one.at >= leaving_since);
    let mut told_at = BTreeMap::new();
    for one in &received {
        told_at.entry(one.host.as_str()).or_insert(one.at);
    }
    received.iter().filter(|one| one.at > told_at[one.host.as_str()] + DRAIN_TIME).count()
}

/// Guards against hosts that avoid an upstream after a failure but do not read the time that it
/// requests.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
#[case::unrepeatable(UpstreamKind::Unrepeatable)]
fn no_host_sends_to_an_upstream_during_a_backoff_that_it_requested(#[case] kind: UpstreamKind) {
    let system = SignalSystem::start(kind);
    let mut max = 0;
    let (served, sent) = system.run_with_callers(|| {
        std::thread::sleep(WARM_UP);
        let refusing = &system.signals[1..];
        refusing.iter().for_each(|signals| signals.request_backoff(BACKOFF, 1));
        std::thread::sleep(BACKOFF * 2);
        max = refusing.iter().map(max_in_backoff).max().unwrap();
    });
    println!("{max} requests of a host in a backoff; {served} of {sent} served");
    assert!(max <= MAX_IN_BACKOFF, "{max} requests of a host in a backoff of {BACKOFF:?}");
    // Each host is refused once by each of these upstreams, and a request fails after two refusals.
    let max_failed = ENTRIES * ((system.signals.len() - 1) / 2);
    assert!(sent - served <= max_failed, "{served} of {sent} were served");
}

/// Hosts place prompts by themselves until the next leader is found.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn a_backoff_holds_while_the_leader_and_the_plan_change(#[case] kind: UpstreamKind) {
    let mut system = SignalSystem::start(kind);
    let killed = leader(&system.system);
    let other = (killed + 1) % system.system.keepers.len();
    let mut max = 0;
    system.run_with_callers(|| {
        std::thread::sleep(WARM_UP);
        let refusing = &system.signals[1..];
        refusing.iter().for_each(|signals| signals.request_backoff(BACKOFF, 1));
        std::thread::sleep(BACKOFF / 4);
        system.system.keepers[killed].signal("-KILL");
        publish(&system.system.keepers[other], &plan_for_signals(3));
        std::thread::sleep(BACKOFF);
        max = refusing.iter().map(max_in_backoff).max().unwrap();
    });
    system.system.keepers[killed].kill();
    println!("{max} requests of a host in a backoff");
    assert!(max <= MAX_IN_BACKOFF, "{max} requests of a host in a backoff of {BACKOFF:?}");
}

/// Requests are refused at once with the end of the backoff as their retry time, unless it is within
/// their goal, and served again after it.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn no_host_sends_to_any_upstream_while_all_want_a_backoff(#[case] kind: UpstreamKind) {
    const LONG_BACKOFF: Duration = Duration::from_secs(6);
    const MIN_REFUSED: usize = 5;
    let system = SignalSystem::start(kind);
    let mut max = Vec::new();
    let mut retry_after_s = Vec::new();
    system.run_with_callers(|| {
        std::thread::sleep(WARM_UP);
        system.signals.iter().for_each(|signals| signals.request_backoff(LONG_BACKOFF, 1));
        let ends_at = Instant::now() + LONG_BACKOFF;
        for number in 0.. {
            let answer = system.request(0, &format!("refused-{number}"));
            if answer.status == 503 {
                let seconds = answer.header("retry-after").and_then(|text| text.parse().ok());
                retry_after_s.push(seconds.unwrap_or(f64::NAN));
            }
            if Instant::now() >= ends_at {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        std::thread::sleep(BACKOFF);
        max = system.signals.iter().map(max_in_backoff).collect();
    });
    println!("{max:?} requests of a host in a backoff; retry times {retry_after_s:?} s");
    assert!(max.iter().all(|max| *max <= MAX_IN_BACKOFF), "{max:?} requests in a backoff");
    assert!(retry_after_s.len() >= MIN_REFUSED, "retry times {retry_after_s:?} s");
    assert!(retry_after_s.iter().all(|seconds| *seconds > 0.0), "retry times {retry_after_s:?} s");
    wait_for("an answer after the backoff", || system.is_served(0, "after"));
}

/// The heartbeats of the upstream go on to say that it is ready.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn no_host_sends_to_an_upstream_that_stated_in_an_answer_that_it_is_leaving(
    #[case] kind: UpstreamKind,
) {
    let system = SignalSystem::start(kind);
    let mut late = Vec::new();
    let (served, sent) = system.run_with_callers(|| {
        std::thread::sleep(WARM_UP);
        let leaving = &system.signals[1..];
        leaving.iter().for_each(SharedSignals::set_leaving);
        let since = Instant::now();
        std::thread::sleep(DRAIN_TIME * 4);
        late = leaving.iter().map(|signals| count_late(signals, since)).collect();
    });
    println!("{late:?} late requests; {served} of {sent} served");
    assert!(late.iter().all(|late| *late == 0), "{late:?} late requests");
    assert!(served * 100 >= sent * 98, "{served} of {sent} were served");
}
