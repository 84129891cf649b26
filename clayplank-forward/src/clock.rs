//! Elapsed time in milliseconds.

use std::time::Duration;

pub use clayplank_clock::now_ms;

/// A span of milliseconds.
pub fn millis(span_ms: u64) -> Duration {
    Duration::from_millis(span_ms)
}
