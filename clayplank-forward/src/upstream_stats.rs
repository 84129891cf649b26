//! Statistics that a host keeps of one upstream: its answers, its failures and the load that it
//! reported.

use clayplank_placement::{RateLimit, avoid_ms};

/// Maximum age of a reported load, in ms; older reports are ignored.
const MAX_LOAD_AGE_MS: u64 = 1_000;

/// Weight of a new observation in the exponentially weighted mean of answer times.
const MEAN_WEIGHT: f64 = 0.2;

/// Time in ms after which the time of the longest answer counts half.
const LONGEST_HALF_LIFE_MS: f64 = 60_000.0;

/// Statistics of one upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamStats {
    pub(crate) in_flight: u64,
    failures: u32,
    avoid_until_ms: u64,
    reported_load: u64,
    reported_at_ms: u64,
    mean_ms: f64,
    /// Time of the longest recent answer, in ms, as of `longest_at_ms`; it decays.
    longest_ms: f64,
    longest_at_ms: u64,
    pub(crate) rate_limit: RateLimit,
    /// Time of the next permit, in ms, as stated by the keeper that grants permits.
    pub(crate) next_permit_ms: u64,
}

impl UpstreamStats {
    /// Whether it failed recently.
    pub(crate) fn is_avoided(&self, now_ms: u64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// Expected time of an answer in ms, from the load and the mean answer time.
    pub(crate) fn expected_ms(&self, slots: u32, now_ms: u64) -> f64 {
        let is_fresh = self.reported_at_ms > 0 && now_ms < self.reported_at_ms + MAX_LOAD_AGE_MS;
        let load = if is_fresh { self.reported_load.max(self.in_flight) } else { self.in_flight };
        let slots = f64::from(slots.max(1));
        let queue = 1.0 + load as f64 / slots;
        self.mean_ms.max(1.0) * queue + load as f64
    }

    /// Time of the longest recent answer, in ms. It halves within a time in which a service answers
    /// each kind of request many times.
    pub(crate) fn longest_ms(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.longest_at_ms) as f64;
        self.longest_ms * 0.5_f64.powf(age_ms / LONGEST_HALF_LIFE_MS)
    }

    /// Records the end of a request.
    pub(crate) fn record_end(&mut self, now_ms: u64, took_ms: u64, is_good: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.mean_ms += MEAN_WEIGHT * (took_ms as f64 - self.mean_ms);
        if is_good {
            self.longest_ms = self.longest_ms(now_ms).max(took_ms as f64);
            self.longest_at_ms = now_ms;
            self.failures = 0;
        } else {
            self.failures = self.failures.saturating_add(1);
            self.avoid_until_ms = now_ms + avoid_ms(self.failures) as u64;
        }
    }

    /// Records the reported number of running and waiting requests.
    pub(crate) fn record_load(&mut self, now_ms: u64, load: u64) {
        self.reported_load = load;
        self.reported_at_ms = now_ms;
    }
}
