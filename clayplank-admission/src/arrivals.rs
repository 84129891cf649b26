//! Moving averages of the work that fresh requests bring, by pool.

use std::collections::BTreeMap;

use clayplank_placement::Demand;

/// Time constant of the averages, in ms. Overloads that callers feel last for seconds; an average
/// over less than a second follows the random variation of arrivals instead.
const TIME_CONSTANT_MS: f64 = 2_000.0;

/// Work of fresh requests per ms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ArrivalRate {
    /// Slots that are asked for per ms.
    pub(crate) slots_per_ms: f64,
    /// Prefill work per ms, in ms of one engine.
    pub(crate) prefill_ms_per_ms: f64,
}

#[derive(Clone, Copy, Debug)]
struct PoolArrivals {
    since_ms: f64,
    updated_ms: f64,
    /// Decayed sums up to `updated_ms`.
    slots: f64,
    prefill_ms: f64,
}

/// Arrivals of all pools.
#[derive(Clone, Debug, Default)]
pub(crate) struct Arrivals {
    by_pool: BTreeMap<String, PoolArrivals>,
}

impl Arrivals {
    /// Records the first try of a caller.
    pub(crate) fn record(&mut self, now_ms: f64, pool: &str, demand: &Demand) {
        if !self.by_pool.contains_key(pool) {
            let first =
                PoolArrivals { since_ms: now_ms, updated_ms: now_ms, slots: 0.0, prefill_ms: 0.0 };
            self.by_pool.insert(pool.to_owned(), first);
        }
        if let Some(one) = self.by_pool.get_mut(pool) {
            let kept = kept_share(now_ms - one.updated_ms);
            one.slots = one.slots * kept + 1.0;
            one.prefill_ms = one.prefill_ms * kept + demand.prefill_ms;
            one.updated_ms = now_ms;
        }
    }

    /// Average rate of a pool. The sums cover less than the time constant shortly after the first
    /// arrival, so they are divided by the time that they cover.
    pub(crate) fn rate(&self, now_ms: f64, pool: &str) -> ArrivalRate {
        let Some(one) = self.by_pool.get(pool) else {
            return ArrivalRate::default();
        };
        let kept = kept_share(now_ms - one.updated_ms);
        let covered_ms = TIME_CONSTANT_MS * (1.0 - kept_share(now_ms - one.since_ms));
        let covered_ms = covered_ms.max(TIME_CONSTANT_MS / 10.0);
        ArrivalRate {
            slots_per_ms: one.slots * kept / covered_ms,
            prefill_ms_per_ms: one.prefill_ms * kept / covered_ms,
        }
    }
}

fn kept_share(span_ms: f64) -> f64 {
    (-span_ms.max(0.0) / TIME_CONSTANT_MS).exp()
}
