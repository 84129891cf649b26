//! Which upstreams this host reaches, as its latest connections show.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Number of unreached upstreams from which on the links of this host may be at fault: a few may
/// have failed by themselves.
const MIN_FAILED_UPSTREAMS: usize = 3;

/// Time for which a failed connection counts without a further one, in ms.
const FAILURE_RETENTION_MS: u64 = 10_000;

/// Time after a connection to any upstream during which a refused one is due to its upstream, in
/// ms: links that refuse connections refuse all of them.
const SOUND_LINKS_MS: u64 = 1_000;

/// Time within which connections to several upstreams break if the links of this host do, in ms;
/// upstreams that fail by themselves rarely do so at once.
const BREAK_WINDOW_MS: u64 = 1_000;

/// A failed connection to an upstream.
#[derive(Clone, Copy, Debug)]
struct Failure {
    at_ms: u64,
    /// Whether the links of this host may be the cause.
    may_be_of_links: bool,
}

/// Results of the latest connections to upstreams.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// The latest failed connection to each upstream that has not been connected to since.
    failures: HashMap<SocketAddr, Failure>,
    /// Time of the latest connection to any upstream, in ms; `None` before the first.
    connected_at_ms: Option<u64>,
    /// Time at which an open connection to each upstream last broke, in ms.
    broken_at_ms: HashMap<SocketAddr, u64>,
}

impl Reachability {
    /// Records a connection to an upstream.
    pub fn record_connected(&mut self, now_ms: u64, address: SocketAddr) {
        self.failures.remove(&address);
        self.connected_at_ms = Some(now_ms);
    }

    /// Records a connection that was not answered.
    pub fn record_failed(&mut self, now_ms: u64, address: SocketAddr) {
        self.record_failure(address, Failure { at_ms: now_ms, may_be_of_links: true });
    }

    /// Records a connection that was refused.
    pub fn record_refused(&mut self, now_ms: u64, address: SocketAddr) {
        let has_sound_links =
            self.connected_at_ms.is_some_and(|at_ms| now_ms < at_ms + SOUND_LINKS_MS);
        self.record_failure(address, Failure { at_ms: now_ms, may_be_of_links: !has_sound_links });
    }

    fn record_failure(&mut self, address: SocketAddr, failure: Failure) {
        self.failures.retain(|_, earlier| earlier.is_recent(failure.at_ms));
        self.failures.insert(address, failure);
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
        let failed = self.failures.iter().filter(|(_, failure)| failure.is_recent(now_ms));
        let upstreams: HashSet<_> =
            broken.map(|(address, _)| address).chain(failed.map(|(address, _)| address)).collect();
        upstreams.len() >= MIN_FAILED_UPSTREAMS
    }

    /// Whether the latest connection to an upstream failed.
    pub fn has_failed(&self, now_ms: u64, address: SocketAddr) -> bool {
        self.failures.get(&address).is_some_and(|failure| failure.is_recent(now_ms))
    }

    /// Number of upstreams to which the latest connection failed.
    pub fn count_failed(&self, now_ms: u64) -> usize {
        self.failures.values().filter(|failure| failure.is_recent(now_ms)).count()
    }

    /// Whether a failure to connect to an upstream may be due to this host: others failed too.
    pub fn is_impaired(&self, now_ms: u64) -> bool {
        self.count_failed(now_ms) >= MIN_FAILED_UPSTREAMS
    }

    /// Whether this host seems to reach no upstream.
    pub fn is_cut_off(&self, now_ms: u64) -> bool {
        let failed_since = self.failures.values().filter(|failure| {
            failure.is_recent(now_ms)
                && failure.may_be_of_links
                && Some(failure.at_ms) >= self.connected_at_ms
        });
        failed_since.count() >= MIN_FAILED_UPSTREAMS
    }
}

impl Failure {
    fn is_recent(self, now_ms: u64) -> bool {
        now_ms < self.at_ms + FAILURE_RETENTION_MS
    }
}
