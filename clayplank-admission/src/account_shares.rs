//! Slot time that each client account received recently, by which turns go round the accounts.

use std::collections::BTreeMap;

/// Half-life of the slot time that counts, in ms: somewhat more than a short request occupies its
/// slot, so that an account that floods is still known as such when its requests end.
const HALF_LIFE_MS: f64 = 3_000.0;

/// Slot time of one round, as a share of what all accounts received recently. Within a round the
/// earliest deadline goes first, so smaller rounds are fairer and make more requests late.
const ROUND_SHARE: f64 = 0.1;

/// Smallest slot time of a round, in ms: some requests of a common length.
const MIN_ROUND_MS: f64 = 10_000.0;

/// Upper bound of the accounts that are tracked per pool. The one with the smallest share is
/// dropped beyond it, which equals a new account.
const MAX_ACCOUNTS: usize = 1_024;

#[derive(Clone, Debug, Default)]
struct PoolShares {
    updated_ms: f64,
    /// Decayed slot time by account up to `updated_ms`, in ms.
    by_account: BTreeMap<String, f64>,
    total_ms: f64,
}

/// Shares of the accounts in the slot time of each pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountShares {
    by_pool: BTreeMap<String, PoolShares>,
}

impl AccountShares {
    /// Records slot time that an account was granted.
    pub(crate) fn record(&mut self, now_ms: f64, pool: &str, account: &str, slot_ms: f64) {
        let shares = self.by_pool.entry(pool.to_owned()).or_default();
        shares.decay(now_ms);
        *shares.by_account.entry(account.to_owned()).or_default() += slot_ms;
        shares.total_ms += slot_ms;
        if shares.by_account.len() > MAX_ACCOUNTS {
            shares.drop_smallest();
        }
    }

    /// Slot time that an account received recently, in ms.
    pub(crate) fn received_ms(&self, pool: &str, account: &str) -> f64 {
        let shares = self.by_pool.get(pool);
        shares.and_then(|shares| shares.by_account.get(account)).copied().unwrap_or_default()
    }

    /// Slot time of one round of turns, in ms.
    pub(crate) fn round_ms(&self, pool: &str) -> f64 {
        let total_ms = self.by_pool.get(pool).map_or(0.0, |shares| shares.total_ms);
        (ROUND_SHARE * total_ms).max(MIN_ROUND_MS)
    }
}

impl PoolShares {
    /// Decays all sums to a time. Between two calls all sums are of the same age, so their
    /// comparison needs no decay.
    fn decay(&mut self, now_ms: f64) {
        let kept = 0.5_f64.powf((now_ms - self.updated_ms).max(0.0) / HALF_LIFE_MS);
        self.updated_ms = now_ms;
        self.total_ms *= kept;
        self.by_account.values_mut().for_each(|received_ms| *received_ms *= kept);
    }

    fn drop_smallest(&mut self) {
        let smallest = self.by_account.iter().min_by(|(_, left), (_, right)| left.total_cmp(right));
        if let Some(account) = smallest.map(|(account, _)| account.clone()) {
            self.by_account.remove(&account);
        }
    }
}
