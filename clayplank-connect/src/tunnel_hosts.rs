//! Peers through which this host may reach upstreams.

use std::collections::HashMap;
use std::net::SocketAddr;

use rand::seq::SliceRandom;

/// Maximum number of peers that are asked for one connection.
const MAX_ASKED: usize = 3;

/// Time for which a peer that could not help is not asked, in ms.
const AVOID_MS: u64 = 2_000;

/// Age at which the list is requested anew, in ms.
const REFRESH_MS: u64 = 30_000;

/// The same while this host is cut off, when other hosts may be too, and the interval between two
/// requests.
const REQUEST_INTERVAL_MS: u64 = 1_000;

/// Peers that may open tunnels for this host, as a keeper named them.
#[derive(Debug, Default)]
pub(crate) struct TunnelHosts {
    hosts: Vec<SocketAddr>,
    /// Peers that could not help, each with the end of the time for which they are not asked, in ms.
    avoided_until_ms: HashMap<SocketAddr, u64>,
    /// Time of the latest list, in ms; `None` before the first.
    listed_at_ms: Option<u64>,
    /// Time of the latest request for a list, in ms.
    requested_at_ms: Option<u64>,
}

impl TunnelHosts {
    /// Replaces the list.
    pub(crate) fn set(&mut self, now_ms: u64, hosts: Vec<SocketAddr>) {
        self.listed_at_ms = Some(now_ms);
        self.hosts = hosts;
    }

    /// Whether a new list should be requested now; if so, counts it as requested.
    pub(crate) fn take_request(&mut self, now_ms: u64, is_cut_off: bool) -> bool {
        let refresh_ms = if is_cut_off { REQUEST_INTERVAL_MS } else { REFRESH_MS };
        let is_due =
            |at_ms: Option<u64>, age_ms| at_ms.is_none_or(|at_ms| now_ms >= at_ms + age_ms);
        let is_requested = is_due(self.listed_at_ms, refresh_ms)
            && is_due(self.requested_at_ms, REQUEST_INTERVAL_MS);
        if is_requested {
            self.requested_at_ms = Some(now_ms);
        }
        is_requested
    }

    /// Records that a peer could not help.
    pub(crate) fn avoid(&mut self, now_ms: u64, host: SocketAddr) {
        self.avoided_until_ms.retain(|_, until_ms| now_ms < *until_ms);
        self.avoided_until_ms.insert(host, now_ms + AVOID_MS);
    }

    /// Peers to ask for a connection, in this order; a random one comes first, so that the load is
    /// spread.
    pub(crate) fn choose(&self, now_ms: u64) -> Vec<SocketAddr> {
        let is_avoided = |host: &SocketAddr| {
            self.avoided_until_ms.get(host).is_some_and(|until_ms| now_ms < *until_ms)
        };
        let mut hosts: Vec<_> = self.hosts.clone();
        hosts.shuffle(&mut rand::rng());
        hosts.sort_by_key(is_avoided);
        hosts.truncate(MAX_ASKED);
        hosts
    }
}
