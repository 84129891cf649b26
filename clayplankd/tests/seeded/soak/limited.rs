//! Upstreams that have a limit during the whole run and request backoffs, one of which leaves,
//! concurrent with all other faults.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use clayplank_standin::SharedSignals;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::run::Shared;
use super::schedule::ENTRIES;
use crate::backoff::{MAX_IN_BACKOFF, count_late, max_in_backoff};
use crate::limited::{max_allowed, max_in_window};
use crate::signals::HOST_HEADER;
use crate::system::{LIMITED_SERVICE, System, call_with_headers};

/// Limit of each upstream in requests per second.
const LIMIT_PER_S: f64 = 2.0;

/// Pause between two requests at an entry host. In total they amount to seven times what the
/// upstreams accept.
const PAUSE: Duration = Duration::from_millis(100);

/// Upstreams; the last one leaves during the run.
const UPSTREAMS: u8 = 3;

/// Range of the pause between two backoffs, in ms.
const BACKOFF_PAUSE_MS: std::ops::Range<u64> = 500..2_500;

/// Range of the backoffs that upstreams request, in ms.
const BACKOFF_MS: std::ops::Range<u64> = 800..4_000;

/// Starts the upstreams with their limits.
pub fn start_limited(system: &System) -> Vec<SharedSignals> {
    let start = |number| {
        let signals = SharedSignals::default();
        signals.set_limit(Some(LIMIT_PER_S));
        let id = format!("l{number}");
        system.start_service_with(LIMITED_SERVICE, &id, 30 + number, signals.clone());
        signals
    };
    (1..=UPSTREAMS).map(start).collect()
}

/// Sends requests to one entry host until the run is finished.
pub fn run_limited(shared: &Shared, entry: usize, seed: u64) {
    for number in 0_u64.. {
        if shared.is_finished.load(Ordering::SeqCst) {
            return;
        }
        let (address, process) = {
            let host = &shared.system.lock().unwrap().entries[entry];
            (host.callers(), host.process())
        };
        let attempt = format!("limited-{seed}-{entry}-{number}");
        // A process that is started again knows nothing of earlier answers.
        let host = format!("{entry} {process:?}");
        let headers = [(HOST_HEADER, host.as_str())];
        call_with_headers(address, &attempt, 2_000, "/limited/x", &headers, &attempt);
        std::thread::sleep(PAUSE);
    }
}

/// Lets upstreams request backoffs, and one of them leave, until the run is finished. Returns the
/// time since which it is leaving.
pub fn run_signals(shared: &Shared, signals: &[SharedSignals], seed: u64) -> Instant {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (leaving, staying) = signals.split_last().unwrap();
    std::thread::sleep(Duration::from_millis(rng.random_range(BACKOFF_PAUSE_MS)));
    leaving.set_leaving();
    let leaving_since = Instant::now();
    while !shared.is_finished.load(Ordering::SeqCst) {
        let upstream = &staying[rng.random_range(0..staying.len())];
        let backoff = Duration::from_millis(rng.random_range(BACKOFF_MS));
        upstream.request_backoff(backoff, rng.random_range(1..=2));
        std::thread::sleep(Duration::from_millis(rng.random_range(BACKOFF_PAUSE_MS)));
    }
    leaving_since
}

/// Checks that each upstream received no more than its limit allows, and no requests that it did
/// not want. A host that restarts or resumes may send one request before it has received the limit.
pub fn check_signals(signals: &[SharedSignals], leaving_since: Instant) -> Vec<String> {
    let allowed = max_allowed(LIMIT_PER_S) + ENTRIES;
    let mut violations = Vec::new();
    for one in signals {
        let (in_window, in_backoff) = (max_in_window(one, None), max_in_backoff(one));
        if in_window > allowed {
            violations.push(format!(
                "an upstream with a limit got {in_window} requests in a window, {allowed} allowed"
            ));
        }
        if in_backoff > MAX_IN_BACKOFF {
            violations.push(format!(
                "an upstream got {in_backoff} requests of a host in a backoff, \
                 {MAX_IN_BACKOFF} allowed"
            ));
        }
    }
    let late = signals.last().map_or(0, |leaving| count_late(leaving, leaving_since));
    if late > 0 {
        violations.push(format!("an upstream that is leaving got {late} late requests"));
    }
    violations
}
