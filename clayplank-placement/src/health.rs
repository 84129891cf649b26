//! Health of an engine: its failures, the slowness observed in its answers, and the pace that it
//! reports.

use crate::avoid::avoid_ms;

/// A first token that takes more than this many times its expected time indicates a slow engine.
const SLOW_FACTOR: f64 = 2.0;

/// Delays of a first token below this, in ms, say nothing about an engine, since network times and
/// passes vary.
const MIN_SLOW_DELAY_MS: f64 = 150.0;

/// Upper bound of an engine's slowness; higher values are treated as this one.
const MAX_SLOWNESS: f64 = 8.0;

/// Half-life of the observed slowness, in ms.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;

/// Time for which a reported pace is used, in ms. Slow engines are queried again before it expires.
const PACE_VALID_MS: f64 = 2_500.0;

/// Shortest interval between two queries of an engine for its pace, in ms, since each query has a
/// cost.
const PACE_REQUEST_INTERVAL_MS: f64 = 700.0;

/// Pace above which an engine is slow, and is queried again until it no longer is.
const SLOW_PACE: f64 = 1.2;

/// Time for which an answer shows that an engine without heartbeats is alive, in ms.
const ANSWER_VALID_MS: f64 = 3_000.0;

/// Half-life of the counts of failed and served requests, in ms, so that an engine that has stopped
/// failing is used again.
const FAILURE_HALF_LIFE_MS: f64 = 4_000.0;

/// Served requests that are assumed in addition to those counted: a single failure of an otherwise
/// unknown engine may be chance.
const ASSUMED_SERVED: f64 = 1.0;

/// Failure shares below this count as zero. A small remainder would otherwise keep an engine idle
/// for as long as others have room.
const MIN_FAILURE_SHARE: f64 = 0.05;

/// Failures and slowness of an engine.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// Time of its latest answer.
    answered_at_ms: f64,
    /// Failures in a row.
    failures: u32,
    avoid_until_ms: f64,
    /// Requests that it failed and that it served, decayed up to `counted_at_ms`.
    failed: f64,
    served: f64,
    counted_at_ms: f64,
    /// Slowness observed in its first tokens at `slowness_at_ms`, in the same unit as `pace`.
    slowness: f64,
    slowness_at_ms: f64,
    /// Pace that the engine reported: the factor by which its work takes longer than the cost model
    /// predicts.
    pace: f64,
    pace_at_ms: f64,
    requested_at_ms: f64,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            answered_at_ms: 0.0,
            failures: 0,
            avoid_until_ms: 0.0,
            failed: 0.0,
            served: 0.0,
            counted_at_ms: 0.0,
            slowness: 1.0,
            slowness_at_ms: 0.0,
            pace: 1.0,
            pace_at_ms: f64::NEG_INFINITY,
            requested_at_ms: f64::NEG_INFINITY,
        }
    }
}

impl Health {
    pub(crate) fn is_avoided(&self, now_ms: f64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Factor by which its work takes longer than the cost model predicts: its recently reported
    /// pace or the slowness observed in its answers, whichever is higher.
    pub(crate) fn slowness(&self, now_ms: f64) -> f64 {
        self.reported_pace(now_ms).max(self.observed_slowness(now_ms))
    }

    /// Reported pace, or 1 if the report is too old.
    pub(crate) fn reported_pace(&self, now_ms: f64) -> f64 {
        if now_ms < self.pace_at_ms + PACE_VALID_MS { self.pace } else { 1.0 }
    }

    fn observed_slowness(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.slowness_at_ms).max(0.0);
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age_ms / SLOWNESS_HALF_LIFE_MS)
    }

    pub(crate) fn record_failure(&mut self, now_ms: f64) {
        self.failures = self.failures.saturating_add(1);
        self.avoid_until_ms = now_ms + avoid_ms(self.failures);
        self.decay_counts(now_ms);
        self.failed += 1.0;
    }

    /// Records that a request was served to its end.
    pub(crate) fn record_served(&mut self, now_ms: f64) {
        self.decay_counts(now_ms);
        self.served += 1.0;
    }

    fn decay_counts(&mut self, now_ms: f64) {
        let factor = self.decay_factor(now_ms);
        self.failed *= factor;
        self.served *= factor;
        self.counted_at_ms = now_ms;
    }

    fn decay_factor(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.counted_at_ms).max(0.0);
        0.5_f64.powf(age_ms / FAILURE_HALF_LIFE_MS)
    }

    /// Estimated share of its requests that it fails, from 0 to 1.
    pub(crate) fn failed_share(&self, now_ms: f64) -> f64 {
        let factor = self.decay_factor(now_ms);
        let failed = self.failed * factor;
        let share = failed / (failed + self.served * factor + ASSUMED_SERVED);
        if share < MIN_FAILURE_SHARE { 0.0 } else { share }
    }

    pub(crate) fn record_success(&mut self, now_ms: f64) {
        self.failures = 0;
        self.answered_at_ms = now_ms;
    }

    /// Whether it answered within the last [`ANSWER_VALID_MS`].
    pub(crate) fn has_answered_recently(&self, now_ms: f64) -> bool {
        now_ms <= self.answered_at_ms + ANSWER_VALID_MS
    }

    /// Records the pace that the engine reported.
    pub(crate) fn record_pace(&mut self, now_ms: f64, pace: f64) {
        self.pace = pace.clamp(1.0, MAX_SLOWNESS);
        self.pace_at_ms = now_ms;
        self.answered_at_ms = now_ms;
    }

    /// Whether the latest reported pace was slow.
    pub(crate) fn is_slow(&self) -> bool {
        self.pace > SLOW_PACE
    }

    /// Whether it may be queried for its pace now; if so, counts it as queried.
    pub(crate) fn take_pace_request(&mut self, now_ms: f64) -> bool {
        let is_due = now_ms >= self.requested_at_ms + PACE_REQUEST_INTERVAL_MS;
        if is_due {
            self.requested_at_ms = now_ms;
        }
        is_due
    }

    /// Updates the observed slowness from the time that a first token took.
    pub(crate) fn record_first_token(&mut self, now_ms: f64, expected_ms: f64, took_ms: f64) {
        let is_late =
            took_ms > SLOW_FACTOR * expected_ms && took_ms > expected_ms + MIN_SLOW_DELAY_MS;
        let observed = if is_late { took_ms / expected_ms.max(1.0) } else { 1.0 };
        let previous = self.observed_slowness(now_ms);
        self.slowness = ((previous + observed) / 2.0).clamp(1.0, MAX_SLOWNESS);
        self.slowness_at_ms = now_ms;
        self.answered_at_ms = now_ms;
    }
}
