//! Which upstreams this host reaches, as its latest connections show.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Number of unreached upstreams from which on the links of this host may be at fault: a few may
/// have failed by themselves.
const MIN_FAILED_UPSTREAMS: usize = 3;

/// Time for which a failed connection counts without a further one, in ms.
const FAILURE_RETENTION_MS: u64 = 10_000;

/// Time within which connections to several upstreams break if the links of this host do, in ms;
/// upstreams that fail by themselves rarely do so at once.
const BREAK_WINDOW_MS: u64 = 1_000;

/// Results of the latest connections to upstreams.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Time of the latest failed connection to each upstream that has not been connected to since,
    /// in ms.
    failed_at_ms: HashMap<SocketAddr, u64>,
    /// Time of the latest connection to any upstream, in ms.
    connected_at_ms: u64,
    /// Time at which an open connection to each upstream last broke, in ms.
    broken_at_ms: HashMap<SocketAddr, u64>,
}

impl Reachability {
    /// Records a connection to an upstream.
    pub fn record_connected(&mut self, now_ms: u64, address: SocketAddr) {
        self.failed_at_ms.remove(&address);
        self.connected_at_ms = now_ms;
    }

    /// Records a connection that was refused or not answered.
    pub fn record_failed(&mut self, now_ms: u64, address: SocketAddr) {
        self.failed_at_ms.retain(|_, failed_at_ms| is_recent(now_ms, *failed_at_ms));
        self.failed_at_ms.insert(address, now_ms);
    }

    /// Records that an open connection to an upstream broke, or that nothing came from it any more.
    pub fn record_broken(&mut self, now_ms: u64, address: SocketAddr) {
        self.broken_at_ms.retain(|_, broken_at_ms| now_ms < *broken_at_ms + BREAK_WINDOW_MS);
        self.broken_at_ms.insert(address, now_ms);
    }

    /// Whether a connection that broke says nothing about its upstream, as those to others broke or
    /// failed too.
    pub fn may_have_broken_links(&self, now_ms: u64) -> bool {
        let broken = self.broken_at_ms.iter();
        let broken = broken.filter(|(_, broken_at_ms)| now_ms < **broken_at_ms + BREAK_WINDOW_MS);
        let failed = self.failed_at_ms.iter();
        let failed = failed.filter(|(_, failed_at_ms)| is_recent(now_ms, **failed_at_ms));
        let upstreams: HashSet<_> = broken.chain(failed).map(|(address, _)| address).collect();
        upstreams.len() >= MIN_FAILED_UPSTREAMS
    }

    /// Whether the latest connection to an upstream failed.
    pub fn has_failed(&self, now_ms: u64, address: SocketAddr) -> bool {
        self.failed_at_ms.get(&address).is_some_and(|failed_at_ms| is_recent(now_ms, *failed_at_ms))
    }

    /// Number of upstreams to which the latest connection failed.
    pub fn count_failed(&self, now_ms: u64) -> usize {
        self.failed_at_ms.values().filter(|failed_at_ms| is_recent(now_ms, **failed_at_ms)).count()
    }

    /// Whether a failure to connect to an upstream may be due to this host: others failed too.
    pub fn is_impaired(&self, now_ms: u64) -> bool {
        self.count_failed(now_ms) >= MIN_FAILED_UPSTREAMS
    }

    /// Whether this host seems to reach no upstream.
    pub fn is_cut_off(&self, now_ms: u64) -> bool {
        let failed_since = self.failed_at_ms.values().filter(|failed_at_ms| {
            is_recent(now_ms, **failed_at_ms) && **failed_at_ms >= self.connected_at_ms
        });
        failed_since.count() >= MIN_FAILED_UPSTREAMS
    }
}

fn is_recent(now_ms: u64, failed_at_ms: u64) -> bool {
    now_ms < failed_at_ms + FAILURE_RETENTION_MS
}
