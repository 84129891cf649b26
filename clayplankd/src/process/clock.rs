//! Monotonic time in milliseconds, and wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

pub(crate) use clayplank_forward::{millis, now_ms};

/// Monotonic time in ms, as a float, in which the fleet counts.
pub(crate) fn monotonic_now_ms() -> f64 {
    now_ms() as f64
}

/// Wall-clock time in ms since the Unix epoch. Only the replicated state uses it.
pub(crate) fn unix_now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// Incarnation of this process: microseconds since the Unix epoch at its start, so that it is
/// higher than the incarnations of earlier processes on this host.
pub(crate) fn new_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_micros() as u64)
}
