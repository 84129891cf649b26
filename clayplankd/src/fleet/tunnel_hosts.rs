//! Entry hosts that may open tunnels for hosts that do not reach upstreams themselves.

use std::collections::HashMap;

use clayplank_types::HostId;
use rand::seq::IteratorRandom;

/// Maximum number of hosts in a list.
const MAX_LISTED: usize = 8;

/// Time after which a follower that sent no request, or a list of another keeper, no longer counts,
/// in ms.
const EXPIRY_MS: u64 = 5_000;

/// Interval at which a keeper exchanges lists with the leader, in ms.
const EXCHANGE_INTERVAL_MS: u64 = 1_000;

/// Latest follow request of an entry host.
#[derive(Clone, Copy, Debug)]
struct Follower {
    requested_ms: u64,
    /// Whether it stated that it reaches no upstream.
    is_cut_off: bool,
}

/// Entry hosts that follow this keeper, and lists that other keepers sent of theirs.
#[derive(Debug, Default)]
pub(crate) struct TunnelHostRegistry {
    followers: HashMap<HostId, Follower>,
    /// Latest list of each keeper, and the time of its arrival in ms.
    reported: HashMap<HostId, (Vec<HostId>, u64)>,
    exchanged_at_ms: Option<u64>,
}

impl TunnelHostRegistry {
    /// Records a follow request of an entry host.
    pub(crate) fn record_follower(&mut self, now_ms: u64, host: HostId, is_cut_off: bool) {
        self.followers.insert(host, Follower { requested_ms: now_ms, is_cut_off });
    }

    /// Records the list that another keeper sent.
    pub(crate) fn record_reported(&mut self, now_ms: u64, keeper: HostId, hosts: Vec<HostId>) {
        self.reported.insert(keeper, (hosts, now_ms));
    }

    /// Whether a list should be exchanged with the leader now; if so, counts it as exchanged.
    pub(crate) fn take_exchange(&mut self, now_ms: u64) -> bool {
        let is_due = self.exchanged_at_ms.is_none_or(|at| now_ms >= at + EXCHANGE_INTERVAL_MS);
        if is_due {
            self.exchanged_at_ms = Some(now_ms);
        }
        is_due
    }

    /// Some of the followers that reach upstreams.
    pub(crate) fn sample_followers(&mut self, now_ms: u64) -> Vec<HostId> {
        self.followers.retain(|_, follower| now_ms < follower.requested_ms + EXPIRY_MS);
        let open = self.followers.iter().filter(|(_, follower)| !follower.is_cut_off);
        open.map(|(host, _)| host.clone()).sample(&mut rand::rng(), MAX_LISTED)
    }

    /// Some of all entry hosts that reach upstreams, as far as this keeper knows, for another host.
    pub(crate) fn sample(&mut self, now_ms: u64, requester: &HostId) -> Vec<HostId> {
        self.reported.retain(|_, (_, received_ms)| now_ms < *received_ms + EXPIRY_MS);
        let mut hosts = self.sample_followers(now_ms);
        let reported = self.reported.values().flat_map(|(hosts, _)| hosts);
        // A list may be older than what a follower stated since.
        hosts.extend(reported.filter(|host| !self.followers.contains_key(*host)).cloned());
        hosts.retain(|host| host != requester);
        hosts.sort();
        hosts.dedup();
        hosts.into_iter().sample(&mut rand::rng(), MAX_LISTED)
    }
}
