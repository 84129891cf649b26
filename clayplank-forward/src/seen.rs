//! What a host saw of one upstream: its answers, its failures, and the load that it told.

use clayplank_placement::{RateLimit, avoid_ms};

/// Load that an upstream told counts for this long, in ms.
const LOAD_AGE_MS: u64 = 1_000;

/// Weight of a new observation in the mean time of an upstream's answers.
const TIME_SHARE: f64 = 0.2;

/// What was seen of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct Seen {
    pub(crate) in_flight: u64,
    failures: u32,
    avoid_until_ms: u64,
    told_load: u64,
    told_at_ms: u64,
    mean_ms: f64,
    pub(crate) rate_limit: RateLimit,
    /// It takes no request before, as the keeper said that gives its turns.
    pub(crate) next_turn_ms: u64,
}

impl Seen {
    /// Whether it failed lately.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// How long an answer would take, from the load and the times that were seen.
    pub(crate) fn expected_ms(&self, slots: u32, now_ms: u64) -> f64 {
        let is_fresh = self.told_at_ms > 0 && now_ms < self.told_at_ms + LOAD_AGE_MS;
        let load = if is_fresh { self.told_load.max(self.in_flight) } else { self.in_flight };
        let slots = f64::from(slots.max(1));
        let queue = 1.0 + load as f64 / slots;
        self.mean_ms.max(1.0) * queue + load as f64
    }

    /// A request there has ended.
    pub(crate) fn note_end(&mut self, now_ms: u64, took_ms: u64, is_good: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.mean_ms += TIME_SHARE * (took_ms as f64 - self.mean_ms);
        if is_good {
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
            self.avoid_until_ms = now_ms + avoid_ms(self.failures) as u64;
        }
    }

    /// It told of requests that run or wait there.
    pub(crate) fn note_load(&mut self, now_ms: u64, load: u64) {
        self.told_load = load;
        self.told_at_ms = now_ms;
    }
}
