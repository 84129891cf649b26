//! Upstreams with a request rate limit that applies to all hosts together.

use std::time::{Duration, Instant};

use clayplank_standin::SharedSignals;
use rstest::rstest;

use crate::answer::Answer;
use crate::failover::leader;
use crate::host::Host;
use crate::signals::{ENTRIES, SignalSystem, UpstreamKind, busiest};
use crate::system::{System, wait_for};

/// Limit, in requests per second, of an upstream under pressure.
const LIMIT_PER_S: f64 = 1.0;

/// Within this time all hosts must have received a limit.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Length of the time window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time during which requests are sent after `PROPAGATION_TIME`.
const RUN: Duration = Duration::from_secs(9);

/// Time during which requests are sent before a limit is set.
const WARM_UP: Duration = Duration::from_secs(2);

/// Maximum number of requests from all hosts within one window: 1.5 times what the
/// limit allows, plus 5.
pub fn max_allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Maximum number of arrivals within one window, counted from `since` on if given.
pub fn max_in_window(limit: &SharedSignals, since: Option<Instant>) -> usize {
    let mut arrivals = limit.arrivals();
    arrivals.retain(|at| since.is_none_or(|since| *at >= since));
    let within = |(first, from): (usize, &Instant)| {
        arrivals[first..].iter().take_while(|at| **at < *from + WINDOW).count()
    };
    arrivals.iter().enumerate().map(within).max().unwrap_or_default()
}

/// Requests to upstreams with a limit, as logged by each host: their number, with the number of
/// first attempts in parentheses.
fn logged_sends(system: &System) -> String {
    let of_host = |host: &Host| {
        let lines = host.lines("Sends to an upstream with a limit");
        let first = lines.iter().filter(|line| line["sent"] == 1).count();
        format!("{} ({first})", lines.len())
    };
    system.entries.iter().map(of_host).collect::<Vec<_>>().join(", ")
}

/// Sets a limit at the busiest upstream after the warm-up; returns it and the instant by which all
/// hosts must know the limit.
fn limit_busiest(limits: &[SharedSignals]) -> (&SharedSignals, Instant) {
    std::thread::sleep(WARM_UP);
    let limit = busiest(limits);
    limit.set_limit(Some(LIMIT_PER_S));
    (limit, Instant::now() + PROPAGATION_TIME)
}

/// Guards against hosts that each use a limit in full: an upstream with a limit of one request per
/// second received 26 requests within four seconds.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn hosts_told_of_a_limit_stay_below_it_together(#[case] kind: UpstreamKind) {
    let limited = SignalSystem::start(kind);
    let mut max = 0;
    let (served, sent) = limited.run_with_callers(|| {
        let (limit, since) = limit_busiest(&limited.signals);
        std::thread::sleep(PROPAGATION_TIME + RUN);
        max = max_in_window(limit, Some(since));
    });
    println!("{}", logged_sends(&limited.system));
    println!(
        "{max} requests in a window, {} allowed; {served} of {sent} served",
        max_allowed(LIMIT_PER_S)
    );
    assert!(max <= max_allowed(LIMIT_PER_S), "{max} requests in a window of {WINDOW:?}");
    assert!(
        served * 100 >= sent * 98,
        "{served} of {sent} were served, with free capacity at other upstreams"
    );
}

/// The leader is killed while an upstream has a limit, which the next leader must know.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn a_limit_survives_a_change_of_leader(#[case] kind: UpstreamKind) {
    let mut limited = SignalSystem::start(kind);
    let first = leader(&limited.system);
    let mut max = 0;
    let (served, sent) = limited.run_with_callers(|| {
        let (limit, since) = limit_busiest(&limited.signals);
        std::thread::sleep(PROPAGATION_TIME);
        limited.system.keepers[first].signal("-KILL");
        std::thread::sleep(RUN);
        max = max_in_window(limit, Some(since));
    });
    println!(
        "{max} requests in a window, {} allowed; {served} of {sent} served",
        max_allowed(LIMIT_PER_S)
    );
    limited.system.keepers[first].kill();
    assert!(max <= max_allowed(LIMIT_PER_S), "{max} requests in a window of {WINDOW:?}");
    assert!(served * 10 >= sent * 9, "{served} of {sent} were served");
}

/// All upstreams have a limit far below the request rate. Their capacity is used, and excess
/// requests are refused immediately with a `retry-after` time.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn the_capacity_of_upstreams_with_a_limit_is_used(#[case] kind: UpstreamKind) {
    const EACH_LIMIT_PER_S: f64 = 2.0;
    let limited = SignalSystem::start(kind);
    let mut max = Vec::new();
    let mut refused = Answer::default();
    let (served, sent) = limited.run_with_callers(|| {
        std::thread::sleep(WARM_UP);
        limited.signals.iter().for_each(|limit| limit.set_limit(Some(EACH_LIMIT_PER_S)));
        let since = Instant::now() + PROPAGATION_TIME;
        std::thread::sleep(PROPAGATION_TIME);
        let mut number = 0;
        wait_for("a refusal", || {
            number += 1;
            refused = limited.request(0, &format!("refused-{number}"));
            refused.status != 200
        });
        std::thread::sleep(RUN);
        max = limited.signals.iter().map(|limit| max_in_window(limit, Some(since))).collect();
    });
    let run_s = (PROPAGATION_TIME + RUN).as_secs_f64();
    let capacity = EACH_LIMIT_PER_S * limited.signals.len() as f64 * run_s;
    println!("{max:?} requests in a window; {served} of {sent} served, capacity for {capacity}");
    assert!(
        max.iter().all(|max| *max <= max_allowed(EACH_LIMIT_PER_S)),
        "{max:?} requests in a window"
    );
    assert!(served as f64 > capacity / 2.0, "{served} served, capacity for {capacity}");
    assert_eq!(refused.status, 503, "{}", refused.text());
    assert!(refused.header("retry-after").is_some());
}

/// Waits until consecutive requests at all hosts are served, as without limits.
fn wait_until_unlimited(limited: &SignalSystem) {
    const CONSECUTIVE_SERVED: usize = 40;
    let (mut number, mut streak) = (0, 0);
    wait_for("requests that are all served", || {
        number += 1;
        let is_served = limited.is_served(number % ENTRIES, &format!("after-{number}"));
        streak = if is_served { streak + 1 } else { 0 };
        streak >= CONSECUTIVE_SERVED
    });
}

#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn a_removed_limit_no_longer_applies(#[case] kind: UpstreamKind) {
    let limited = SignalSystem::start(kind);
    limited.signals.iter().for_each(|limit| limit.set_limit(Some(LIMIT_PER_S)));
    limited.run_with_callers(|| std::thread::sleep(PROPAGATION_TIME));
    limited.signals.iter().for_each(|limit| limit.set_limit(None));
    wait_until_unlimited(&limited);
}

/// The leader may end after it has accepted a report of a removed limit and before it has told the
/// other keepers.
#[rstest]
#[case::engines(UpstreamKind::Engines)]
#[case::service(UpstreamKind::Service)]
fn a_limit_removed_while_the_leader_ends_no_longer_applies(#[case] kind: UpstreamKind) {
    const REPORT_TIME: Duration = Duration::from_millis(400);
    let mut limited = SignalSystem::start(kind);
    let killed = leader(&limited.system);
    limited.signals.iter().for_each(|limit| limit.set_limit(Some(LIMIT_PER_S)));
    limited.run_with_callers(|| {
        std::thread::sleep(PROPAGATION_TIME);
        limited.signals.iter().for_each(|limit| limit.set_limit(None));
        std::thread::sleep(REPORT_TIME);
        limited.system.keepers[killed].signal("-KILL");
    });
    wait_until_unlimited(&limited);
    limited.system.keepers[killed].kill();
}
