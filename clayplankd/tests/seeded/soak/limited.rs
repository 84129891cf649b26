//! Upstreams that have a limit during the whole run, concurrent with all other faults.

use std::sync::atomic::Ordering;
use std::time::Duration;

use clayplank_standin::SharedSignals;

use super::run::Shared;
use super::schedule::ENTRIES;
use crate::limited::{max_allowed, max_in_window};
use crate::system::{LIMITED_SERVICE, System, call_with_key};

/// Limit of each upstream in requests per second.
const LIMIT_PER_S: f64 = 2.0;

/// Pause between two requests at an entry host. In total they amount to seven times what the
/// upstreams accept.
const PAUSE: Duration = Duration::from_millis(100);

/// Starts the upstreams with their limits.
pub fn start_limited(system: &System) -> [SharedSignals; 2] {
    let limits = [SharedSignals::default(), SharedSignals::default()];
    for (number, limit) in (1_u8..).zip(&limits) {
        limit.set_limit(Some(LIMIT_PER_S));
        system.start_service_with(
            LIMITED_SERVICE,
            &format!("l{number}"),
            30 + number,
            limit.clone(),
        );
    }
    limits
}

/// Sends requests to one entry host until the run is finished.
pub fn run_limited(shared: &Shared, entry: usize, seed: u64) {
    for number in 0_u64.. {
        if shared.is_finished.load(Ordering::SeqCst) {
            return;
        }
        let address = shared.system.lock().unwrap().entries[entry].callers();
        let attempt = format!("limited-{seed}-{entry}-{number}");
        call_with_key(address, &attempt, 2_000, "/limited/x", &attempt);
        std::thread::sleep(PAUSE);
    }
}

/// Checks that each upstream received no more than its limit allows. A host that restarts or
/// resumes may send one request before it has received the limit.
pub fn check_limits(limits: &[SharedSignals]) -> Vec<String> {
    let allowed = max_allowed(LIMIT_PER_S) + ENTRIES;
    let max = limits.iter().map(|limit| max_in_window(limit, None));
    max.filter(|max| *max > allowed)
        .map(|max| {
            format!("an upstream with a limit got {max} requests in a window, {allowed} allowed")
        })
        .collect()
}
