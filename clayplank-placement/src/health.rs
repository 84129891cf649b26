//! How well an engine does its work: its failures, its slowness, and the pace that it told.

use crate::avoid::avoid_ms;

/// A first token that took this many times what was expected speaks of a slow engine.
const SLOW_FACTOR: f64 = 2.0;

/// Shorter delays, in ms, say nothing of an engine: the way there and the passes vary.
const SLOW_MIN_MS: f64 = 150.0;

/// An engine is never taken for slower than this; beyond, nothing more is learned.
const MAX_SLOWNESS: f64 = 8.0;

/// Time, in ms, in which what was learned of an engine's slowness loses half of its weight.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;

/// A pace that an engine told is used for this long, in ms: slow ones are asked again before.
const PACE_VALID_MS: f64 = 2_500.0;

/// An engine is asked for its pace this often at most, in ms: each question has its price.
const PACE_REQUEST_INTERVAL_MS: f64 = 700.0;

/// Beyond this pace an engine is slow, and asked again until it is not.
const SLOW_PACE: f64 = 1.2;

/// An answer shows for this long, in ms, that an engine lives whose heartbeats are missing.
const ANSWER_VALID_MS: f64 = 3_000.0;

/// Time, in ms, in which what was counted of an engine's failures loses half of its weight, so that one
/// that fails no more is tried again.
const FAILURE_HALF_LIFE_MS: f64 = 4_000.0;

/// An engine is taken to have served so many more requests than were counted: one failure of an engine
/// of which nothing else is known may be chance.
const ASSUMED_SERVED: f64 = 1.0;

/// A share that is less than this counts as none: what is left of an old doubt would keep an engine
/// idle beside others for as long as these have room.
const MIN_FAILURE_SHARE: f64 = 0.05;

/// What is known of an engine's failures and slowness.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    /// When an answer of it was last seen.
    answered_at_ms: f64,
    /// In a row.
    failures: u32,
    avoid_until_ms: f64,
    /// Requests that it failed and that it served, as they weighed at this time.
    failed: f64,
    served: f64,
    counted_at_ms: f64,
    /// What its first tokens showed, in the same terms as its pace, as of this time.
    slowness: f64,
    slowness_at_ms: f64,
    /// What the engine itself told: how many times longer its work takes than the model says.
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

    /// How many times longer its work takes than the model says: as it told itself lately,
    /// or, if that is more, as its answers showed.
    pub(crate) fn slowness(&self, now_ms: f64) -> f64 {
        self.reported_pace(now_ms).max(self.observed_slowness(now_ms))
    }

    /// What it told itself, if that is not too old.
    pub(crate) fn reported_pace(&self, now_ms: f64) -> f64 {
        if now_ms < self.pace_at_ms + PACE_VALID_MS { self.pace } else { 1.0 }
    }

    fn observed_slowness(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.slowness_at_ms).max(0.0);
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age_ms / SLOWNESS_HALF_LIFE_MS)
    }

    pub(crate) fn note_failure(&mut self, now_ms: f64) {
        self.failures = self.failures.saturating_add(1);
        self.avoid_until_ms = now_ms + avoid_ms(self.failures);
        self.decay_counts(now_ms);
        self.failed += 1.0;
    }

    /// A request was served to its end.
    pub(crate) fn note_served(&mut self, now_ms: f64) {
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

    /// Share of its requests that it seems to fail.
    pub(crate) fn failed_share(&self, now_ms: f64) -> f64 {
        let factor = self.decay_factor(now_ms);
        let failed = self.failed * factor;
        let share = failed / (failed + self.served * factor + ASSUMED_SERVED);
        if share < MIN_FAILURE_SHARE { 0.0 } else { share }
    }

    pub(crate) fn note_success(&mut self, now_ms: f64) {
        self.failures = 0;
        self.answered_at_ms = now_ms;
    }

    /// Whether an answer of it was seen lately.
    pub(crate) fn has_answered_recently(&self, now_ms: f64) -> bool {
        now_ms <= self.answered_at_ms + ANSWER_VALID_MS
    }

    /// Takes in the pace that the engine told.
    pub(crate) fn note_pace(&mut self, now_ms: f64, pace: f64) {
        self.pace = pace.clamp(1.0, MAX_SLOWNESS);
        self.pace_at_ms = now_ms;
        self.answered_at_ms = now_ms;
    }

    /// Whether it was slow when it last told its pace.
    pub(crate) fn is_slow(&self) -> bool {
        self.pace > SLOW_PACE
    }

    /// Whether it may be asked for its pace again; if so, it counts as asked.
    pub(crate) fn take_pace_request(&mut self, now_ms: f64) -> bool {
        let is_due = now_ms >= self.requested_at_ms + PACE_REQUEST_INTERVAL_MS;
        if is_due {
            self.requested_at_ms = now_ms;
        }
        is_due
    }

    /// Learns from how long a first token took.
    pub(crate) fn note_first_token(&mut self, now_ms: f64, expected_ms: f64, took_ms: f64) {
        let is_late = took_ms > SLOW_FACTOR * expected_ms && took_ms > expected_ms + SLOW_MIN_MS;
        let observed = if is_late { took_ms / expected_ms.max(1.0) } else { 1.0 };
        let previous = self.observed_slowness(now_ms);
        self.slowness = ((previous + observed) / 2.0).clamp(1.0, MAX_SLOWNESS);
        self.slowness_at_ms = now_ms;
        self.answered_at_ms = now_ms;
    }
}
