//! Number of entry hosts. Limits that all entry hosts share are divided by it.

use std::collections::HashMap;

use clayplank_types::HostId;

/// Time after which an entry host that sent no follow request, or a count reported by another
/// keeper, is no longer counted, in ms.
const EXPIRY_MS: u64 = 5_000;

/// Entry hosts that follow this keeper (receive its updates), and counts of those that follow other
/// keepers.
#[derive(Debug, Default)]
pub(crate) struct HostCounts {
    /// Time of the last follow request of each host that follows this keeper, in ms.
    local: HashMap<HostId, u64>,
    /// Number of followers of each peer keeper, and the time of its report in ms.
    peers: HashMap<HostId, (u64, u64)>,
    /// Total reported by the leader, and the time of its report in ms. A leader that was elected
    /// recently knows only some of the hosts.
    leader_count: (u64, u64),
}

impl HostCounts {
    pub(crate) fn record_local(&mut self, now_ms: u64, host: HostId) {
        self.local.insert(host, now_ms);
    }

    pub(crate) fn record_peer(&mut self, now_ms: u64, keeper: HostId, hosts: u64) {
        self.peers.insert(keeper, (hosts, now_ms));
    }

    pub(crate) fn record_leader_count(&mut self, now_ms: u64, hosts: u64) {
        self.leader_count = (hosts, now_ms);
    }

    /// Number of hosts that follow this keeper.
    pub(crate) fn count_local(&mut self, now_ms: u64) -> u64 {
        self.local.retain(|_, received_ms| now_ms < *received_ms + EXPIRY_MS);
        self.local.len() as u64
    }

    /// Number of all entry hosts, as far as this keeper knows: the larger of its own sum and the
    /// leader's total.
    pub(crate) fn count_all(&mut self, now_ms: u64) -> u64 {
        self.peers.retain(|_, (_, received_ms)| now_ms < *received_ms + EXPIRY_MS);
        let at_peers: u64 = self.peers.values().map(|(hosts, _)| hosts).sum();
        let (leader_count, received_ms) = self.leader_count;
        let leader_count = if now_ms < received_ms + EXPIRY_MS { leader_count } else { 0 };
        (self.count_local(now_ms) + at_peers).max(leader_count)
    }
}
