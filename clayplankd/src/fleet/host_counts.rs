//! How many entry hosts there are: what all of them share is divided by their number.

use std::collections::HashMap;

use clayplank_types::HostId;

/// A host that did not follow for this long, in ms, counts no more, and neither does what another keeper
/// told that long ago.
const GONE_MS: u64 = 5_000;

/// Entry hosts that follow this keeper, and those that follow others.
#[derive(Debug, Default)]
pub(crate) struct HostCounts {
    /// When each host last followed this keeper, in ms.
    own: HashMap<HostId, u64>,
    /// How many follow each of the others, and when it told so.
    relayed: HashMap<HostId, (u64, u64)>,
    /// What the leader told, and when: one that has just begun to lead knows only some of them.
    told: (u64, u64),
}

impl HostCounts {
    pub(crate) fn note_own(&mut self, now_ms: u64, host: HostId) {
        self.own.insert(host, now_ms);
    }

    pub(crate) fn note_relayed(&mut self, now_ms: u64, keeper: HostId, hosts: u64) {
        self.relayed.insert(keeper, (hosts, now_ms));
    }

    pub(crate) fn note_told(&mut self, now_ms: u64, hosts: u64) {
        self.told = (hosts, now_ms);
    }

    /// Hosts that follow this keeper.
    pub(crate) fn own(&mut self, now_ms: u64) -> u64 {
        self.own.retain(|_, heard_ms| now_ms < *heard_ms + GONE_MS);
        self.own.len() as u64
    }

    /// All hosts, as far as it is known here.
    pub(crate) fn all(&mut self, now_ms: u64) -> u64 {
        self.relayed.retain(|_, (_, told_ms)| now_ms < *told_ms + GONE_MS);
        let relayed: u64 = self.relayed.values().map(|(hosts, _)| hosts).sum();
        let (told, told_ms) = self.told;
        let told = if now_ms < told_ms + GONE_MS { told } else { 0 };
        (self.own(now_ms) + relayed).max(told)
    }
}
