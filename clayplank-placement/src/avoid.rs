//! Time for which an upstream is avoided after failures.

/// Time for which an upstream is avoided after its first failure, in ms. It doubles with each
/// further failure in a row.
const BASE_AVOID_MS: f64 = 500.0;

/// Upper bound of this time, in ms, so that the recovery of an upstream is noticed.
const MAX_AVOID_MS: f64 = 8_000.0;

/// Failures in a row that are counted; [`MAX_AVOID_MS`] is reached before.
const MAX_FAILURES: u32 = 8;

/// Time, in ms, for which an upstream is avoided after this many failures in a row, the latest
/// included.
pub fn avoid_ms(failures: u32) -> f64 {
    let doublings = failures.clamp(1, MAX_FAILURES) - 1;
    (BASE_AVOID_MS * f64::from(1_u32 << doublings)).min(MAX_AVOID_MS)
}
