//! How long an upstream that failed is avoided.

/// After a first failure an upstream is avoided for this long, in ms; twice as long after the next.
const BASE_AVOID_MS: f64 = 500.0;

/// And never longer than this, in ms, so that one that has recovered is found out.
const MAX_AVOID_MS: f64 = 8_000.0;

/// Failures in a row that are counted; the longest time is reached before.
const MAX_FAILURES: u32 = 8;

/// How long, in ms, an upstream is avoided after so many failures in a row, the last among them.
pub fn avoid_ms(failures: u32) -> f64 {
    let doublings = failures.clamp(1, MAX_FAILURES) - 1;
    (BASE_AVOID_MS * f64::from(1_u32 << doublings)).min(MAX_AVOID_MS)
}
