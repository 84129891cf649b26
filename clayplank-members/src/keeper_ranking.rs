//! Selects the keeper that an entry host follows.
//!
//! Each host ranks the keepers by a hash of both names and follows the first one that answers.
//! Hosts therefore spread evenly without coordination; those of a failed keeper spread over all
//! others, and all of them return after it recovers. A failed keeper is followed again only after it has
//! answered a separate request that runs beside the one to the followed keeper, so that no host
//! lacks updates while it waits for a keeper that is still down.

use std::cmp::Reverse;
use std::collections::HashMap;

use clayplank_types::HostId;

use crate::rendezvous::weigh;

/// Back-off after the first failure of a keeper, in ms. It doubles with each further failure,
/// up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: u64 = 1_000;
const MAX_BACKOFF_MS: u64 = 30_000;

/// Back-off of a failed keeper.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until_ms: u64,
    delay_ms: u64,
}

/// The ranking of keepers by one entry host, with the back-off of those that failed.
#[derive(Debug)]
pub struct KeeperRanking {
    local: HostId,
    backoffs: HashMap<HostId, Backoff>,
}

impl KeeperRanking {
    /// Creates the ranking of host `local`, with no keeper in back-off.
    pub fn new(local: HostId) -> Self {
        Self { local, backoffs: HashMap::new() }
    }

    /// Returns the keepers in the order in which to query them: first those without back-off by
    /// rank, then those in back-off by the end of it.
    pub fn ranked(&self, keepers: &[HostId]) -> Vec<HostId> {
        let retry_at = |keeper: &HostId| self.backoffs.get(keeper).map(|backoff| backoff.until_ms);
        let rank = |keeper: &HostId| weigh(self.local.as_str(), keeper);
        let mut order = keepers.to_vec();
        order.sort_by_cached_key(|keeper| (retry_at(keeper), Reverse(rank(keeper))));
        order
    }

    /// Returns the keepers whose back-off has expired, for a retry. They stay in back-off until
    /// they have answered, and are returned again only after a further delay.
    pub fn take_retries(&mut self, now_ms: u64, keepers: &[HostId]) -> Vec<HostId> {
        let mut due = Vec::new();
        for keeper in keepers {
            let Some(backoff) = self.backoffs.get_mut(keeper) else {
                continue;
            };
            if backoff.until_ms <= now_ms {
                backoff.until_ms = now_ms + backoff.delay_ms;
                due.push(keeper.clone());
            }
        }
        due
    }

    /// Records that a keeper did not answer, or is not in contact with a leader.
    pub fn record_failure(&mut self, now_ms: u64, keeper: HostId) {
        let previous_ms = self.backoffs.get(&keeper).map_or(0, |backoff| backoff.delay_ms);
        let delay_ms = (2 * previous_ms).clamp(MIN_BACKOFF_MS, MAX_BACKOFF_MS);
        self.backoffs.insert(keeper, Backoff { until_ms: now_ms + delay_ms, delay_ms });
    }

    /// Records that a keeper confirmed its state, or is in contact with a leader.
    pub fn record_success(&mut self, keeper: &HostId) {
        self.backoffs.remove(keeper);
    }
}
