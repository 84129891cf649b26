//! How long prompts usually hold their places, by pool.

use std::collections::HashMap;

/// Share of the newest one in the mean: about the last fifty count.
const NEWEST_SHARE: f64 = 0.02;

/// Means of the times for which places were held, in ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotTimes {
    by_pool: HashMap<String, f64>,
}

impl SlotTimes {
    /// Notes that a prompt that was served has left its place.
    pub(crate) fn note(&mut self, pool: &str, slot_ms: f64) {
        match self.by_pool.get_mut(pool) {
            Some(mean_ms) => *mean_ms += NEWEST_SHARE * (slot_ms - *mean_ms),
            None => {
                self.by_pool.insert(pool.to_owned(), slot_ms);
            }
        }
    }

    /// The usual time; `None` while none has ended.
    pub(crate) fn mean_ms(&self, pool: &str) -> Option<f64> {
        self.by_pool.get(pool).copied()
    }
}
