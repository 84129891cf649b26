//! Upstreams that name a limit all the time, beside all other faults.

use std::sync::atomic::Ordering;
use std::time::Duration;

use clayplank_standin::SharedLimit;

use super::run::Shared;
use super::schedule::ENTRIES;
use crate::limited::{most_allowed, most_in_window};
use crate::system::{LIMITED, System, call_with_key};

/// Requests a second that each upstream takes.
const LIMIT_PER_S: f64 = 2.0;

/// Between two requests at an entry host: all of them ask for seven times what the upstreams take.
const PAUSE: Duration = Duration::from_millis(100);

/// Starts the upstreams.
pub fn start_limited(system: &System) -> [SharedLimit; 2] {
    let limits = [SharedLimit::default(), SharedLimit::default()];
    for (number, limit) in (1_u8..).zip(&limits) {
        limit.set(Some(LIMIT_PER_S));
        system.start_limited_service(LIMITED, &format!("l{number}"), 30 + number, limit.clone());
    }
    limits
}

/// Sends requests to one entry host until the run is over.
pub fn run_limited(shared: &Shared, entry: usize, seed: u64) {
    for number in 0_u64.. {
        if shared.is_over.load(Ordering::SeqCst) {
            return;
        }
        let address = shared.system.lock().unwrap().entries[entry].callers();
        let attempt = format!("limited-{seed}-{entry}-{number}");
        call_with_key(address, &attempt, 2_000, "/limited/x", &attempt);
        std::thread::sleep(PAUSE);
    }
}

/// What each upstream got stays within its limit. A host that starts again, or wakes, may send one
/// request before it is told.
pub fn check_limits(limits: &[SharedLimit]) -> Vec<String> {
    let allowed = most_allowed(LIMIT_PER_S) + ENTRIES;
    let most = limits.iter().map(|limit| most_in_window(limit, None));
    most.filter(|most| *most > allowed)
        .map(|most| {
            format!(
                "an upstream that names a limit got {most} requests in a span, {allowed} allowed"
            )
        })
        .collect()
}
