//! Which keeper an entry host follows.
//!
//! Each host ranks the keepers by a hash of both names, and follows the first one that answers: hosts
//! spread evenly without telling each other, those of a keeper that is lost spread over all others, and
//! all come back to it. A keeper that failed is followed again once a question beside the one that is
//! followed was answered, so that no host is without news while it waits for one that is gone.

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

    /// The keepers in the order in which they are to be asked: by rank those that are not in doubt,
    /// then those whose doubt ends first.
    pub fn order(&self, keepers: &[HostId]) -> Vec<HostId> {
        let doubted_until = |keeper: &HostId| self.doubts.get(keeper).map(|doubt| doubt.until_ms);
        let rank = |keeper: &HostId| weigh(self.own.as_str(), keeper);
        let mut order = keepers.to_vec();
        order.sort_by_cached_key(|one| (doubted_until(one), Reverse(rank(one))));
        order
    }

    /// The keepers in doubt that may be asked again by now. They stay in doubt until they have
    /// answered, and are not named again for a while.
    pub fn take_due(&mut self, now_ms: u64, keepers: &[HostId]) -> Vec<HostId> {
        let mut due = Vec::new();
        for keeper in keepers {
            let Some(doubt) = self.doubts.get_mut(keeper) else {
                continue;
            };
            if doubt.until_ms <= now_ms {
                doubt.until_ms = now_ms + doubt.pause_ms;
                due.push(keeper.clone());
            }
        }
        due
    }

    /// Notes that a keeper did not answer, or does not hear a leader.
    pub fn note_failed(&mut self, now_ms: u64, keeper: HostId) {
        let former = self.doubts.get(&keeper).map_or(0, |doubt| doubt.pause_ms);
        let pause_ms = (2 * former).clamp(DOUBT_MS, MAX_DOUBT_MS);
        self.doubts.insert(keeper, Doubt { until_ms: now_ms + pause_ms, pause_ms });
    }

    /// Notes that a keeper confirmed what it holds, or hears a leader.
    pub fn note_answered(&mut self, keeper: &HostId) {
        self.doubts.remove(keeper);
    }
}
