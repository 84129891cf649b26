//! The runtime's clock in milliseconds.

use std::sync::OnceLock;
use std::time::Duration;

use tokio::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();

/// Milliseconds since the process first asked; never goes back.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// A span of milliseconds.
pub fn millis(span_ms: u64) -> Duration {
    Duration::from_millis(span_ms)
}
