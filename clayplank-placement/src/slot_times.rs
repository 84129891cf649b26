//! Average times for which prompts occupy a slot, by pool.

use std::collections::HashMap;

/// Weight of the newest value in the moving average, which covers about 50 prompts.
const NEWEST_SHARE: f64 = 0.02;

/// Moving averages of slot times by pool, in ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotTimes {
    by_pool: HashMap<String, f64>,
}

impl SlotTimes {
    /// Records the slot time of a prompt that was served.
    pub(crate) fn record(&mut self, pool: &str, slot_ms: f64) {
        match self.by_pool.get_mut(pool) {
            Some(mean_ms) => *mean_ms += NEWEST_SHARE * (slot_ms - *mean_ms),
            None => {
                self.by_pool.insert(pool.to_owned(), slot_ms);
            }
        }
    }

    /// Average slot time of a pool, in ms; `None` until a prompt has been served there.
    pub(crate) fn mean_ms(&self, pool: &str) -> Option<f64> {
        self.by_pool.get(pool).copied()
    }
}
