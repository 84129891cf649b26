//! Which keeper an entry host follows.
//!
//! Each host ranks the keepers by a hash of both names, and follows the first one that answers: hosts
//! spread evenly without telling each other, those of a keeper that is lost spread over all others, and
//! all come back to it.

use std::cmp::Reverse;
use std::collections::HashMap;

use clayplank_types::HostId;

use crate::owner::weigh;

/// A keeper that failed is not asked for this long, in ms; after each further failure twice as long.
const DOUBT_MS: u64 = 1_000;
const MAX_DOUBT_MS: u64 = 30_000;

/// Until when a keeper is not asked.
#[derive(Clone, Copy, Debug)]
struct Doubt {
    until_ms: u64,
    pause_ms: u64,
}

/// The keepers as an entry host ranks them.
#[derive(Debug)]
pub struct KeeperChoice {
    own: HostId,
    doubts: HashMap<HostId, Doubt>,
}

impl KeeperChoice {
    /// The choice of a host; it knows nothing against any keeper.
    pub fn new(own: HostId) -> Self {
        Self { own, doubts: HashMap::new() }
    }

    /// The keeper to follow: the first by rank of those that are not in doubt, or else the one whose
    /// doubt ends first.
    pub fn choose(&self, now_ms: u64, keepers: &[HostId]) -> Option<HostId> {
        let doubted_until = |keeper: &HostId| {
            let doubt = self.doubts.get(keeper).filter(|doubt| now_ms < doubt.until_ms);
            doubt.map_or(0, |doubt| doubt.until_ms)
        };
        let rank = |keeper: &HostId| weigh(self.own.as_str(), keeper);
        keepers.iter().min_by_key(|one| (doubted_until(one), Reverse(rank(one)))).cloned()
    }

    /// Notes that a keeper did not answer, or does not hear a leader.
    pub fn note_failed(&mut self, now_ms: u64, keeper: HostId) {
        let former = self.doubts.get(&keeper).map_or(0, |doubt| doubt.pause_ms);
        let pause_ms = (2 * former).clamp(DOUBT_MS, MAX_DOUBT_MS);
        self.doubts.insert(keeper, Doubt { until_ms: now_ms + pause_ms, pause_ms });
    }

    /// Notes that a keeper confirmed what it holds.
    pub fn note_answered(&mut self, keeper: &HostId) {
        self.doubts.remove(keeper);
    }
}
