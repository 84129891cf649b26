//! Time in milliseconds.

use std::time::Duration;

pub use clayplank_clock::now_ms;

/// Converts milliseconds to a duration.
pub fn millis(span_ms: u64) -> Duration {
    Duration::from_millis(span_ms)
}
