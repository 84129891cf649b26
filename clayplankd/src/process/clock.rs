//! Elapsed time in milliseconds, and wall time.

use std::time::{SystemTime, UNIX_EPOCH};

pub(crate) use clayplank_forward::{millis, now_ms};

/// The fleet's time: milliseconds of elapsed time.
pub(crate) fn fleet_now_ms() -> f64 {
    now_ms() as f64
}

/// Milliseconds since 1970, for the replicated state alone.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// A number of this life of the process that is higher than those of former lives.
pub(crate) fn fresh_incarnation() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |time| time.as_micros() as u64)
}
