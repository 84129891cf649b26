//! Rate limits of upstreams over all hosts: while they are cold, and as they declare them.
//!
//! A keeper that places requests spaces them evenly for each upstream. A standalone host, which
//! sends without a keeper, sees only its own requests and gets a share of the limit: in each
//! second, a random subset of the hosts may send to an upstream. If hosts could save up their
//! shares, all of them might send at the same time.

use std::hash::{Hash, Hasher};

use clayplank_types::UpstreamId;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Share of a cold upstream's limit that a keeper uses. Two keepers may place for a short time, and
/// hosts that reach neither send as well.
const COLD_SHARE: f64 = 0.7;

/// Share of a declared limit that a keeper uses. Declared limits count over several seconds.
const DECLARED_SHARE: f64 = 0.8;

/// Share of a limit that all standalone hosts use together.
const STANDALONE_SHARE: f64 = 0.25;

/// Longest interval between two requests to an upstream that declares a lower limit, in ms: only
/// its answers show when the limit ends.
const MAX_SPACING_MS: f64 = 5_000.0;

const SECOND_MS: f64 = 1_000.0;

/// Limit of the upstreams of a service after their start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests per second that a cold upstream can serve, over all hosts.
    #[schemars(range(min = 0.001))]
    pub requests_per_s: f64,
    /// Time for which an upstream stays cold after its start, in ms.
    #[serde(default)]
    pub lasts_ms: u64,
}

/// Sender of the requests to an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Sender {
    /// A keeper that places for all hosts.
    #[default]
    Keeper,
    /// A standalone host.
    Host(HostShare),
}

/// Share of one host among all hosts that may send without a keeper.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    /// Distinguishes hosts in the random choice of those that may send.
    pub seed: u64,
    /// Number of such hosts, this one included.
    pub hosts: u64,
}

impl HostShare {
    /// Number of requests that this host may send to an upstream in the given second.
    fn allowed(&self, id: &UpstreamId, second: u64, requests_per_s: f64) -> u64 {
        let mean = STANDALONE_SHARE * requests_per_s / self.hosts.max(1) as f64;
        let is_picked = self.draw(id, second) < mean.fract();
        mean as u64 + u64::from(is_picked)
    }

    /// Number from 0 to 1, random but fixed for this host, upstream and second.
    fn draw(&self, id: &UpstreamId, second: u64) -> f64 {
        let mut hasher = SipHasher13::new();
        (self.seed, id.as_str(), second).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}

/// Rate limit of an upstream, and the requests sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    cold_until_ms: f64,
    /// Limit while it is cold, in requests per second; 0 for no limit.
    cold_per_s: f64,
    /// Limit that it declares, in requests per second.
    declared_per_s: Option<f64>,
    /// Time of the latest request by a keeper, which may be in the future.
    last_request_ms: Option<f64>,
    /// Time of the latest work from a keeper, which may be a helper part of another engine's
    /// prompt.
    last_work_ms: Option<f64>,
    /// Latest second in which a standalone host sent requests, and their number.
    second: u64,
    sent: u64,
}

impl RateLimit {
    /// Records that it stays cold for `remaining_ms` more. A report of a shorter time than an
    /// earlier report is ignored, since it may be outdated.
    pub fn record_cold(&mut self, now_ms: f64, remaining_ms: f64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms + remaining_ms);
    }

    /// Sets its limit while it is cold over all hosts, in requests per second; 0 for no limit.
    pub fn set_cold_limit(&mut self, requests_per_s: f64) {
        self.cold_per_s = requests_per_s;
    }

    /// Sets the limit that it declares over all hosts, in requests per second; `None` for no limit.
    pub fn set_declared_limit(&mut self, requests_per_s: Option<f64>) {
        self.declared_per_s = requests_per_s;
    }

    /// Whether it is cold and has a limit while it is.
    pub fn is_cold(&self, now_ms: f64) -> bool {
        now_ms < self.cold_until_ms && self.cold_per_s > 0.0
    }

    /// Declared limit in requests per second, raised to one request per [`MAX_SPACING_MS`], since
    /// these requests show when the limit ends.
    fn declared_per_s(&self) -> Option<f64> {
        self.declared_per_s.map(|per_s| per_s.max(SECOND_MS / MAX_SPACING_MS))
    }

    /// Limit that applies now, in requests per second; `None` for no limit.
    fn per_s(&self, now_ms: f64) -> Option<f64> {
        let cold_per_s = self.is_cold(now_ms).then_some(self.cold_per_s);
        match (cold_per_s, self.declared_per_s()) {
            (Some(cold_per_s), Some(declared_per_s)) => Some(cold_per_s.min(declared_per_s)),
            (one, other) => one.or(other),
        }
    }

    /// Whether a standalone host may send a request now.
    pub fn may_send_without_permit(&self, now_ms: f64, id: &UpstreamId, share: &HostShare) -> bool {
        let second = second_of(now_ms);
        let sent = if self.second == second { self.sent } else { 0 };
        self.per_s(now_ms).is_none_or(|per_s| sent < share.allowed(id, second, per_s))
    }

    /// Counts a request of a standalone host.
    pub fn record_sent_without_permit(&mut self, now_ms: f64) {
        let second = second_of(now_ms);
        if self.second != second {
            self.second = second;
            self.sent = 0;
        }
        self.sent += 1;
    }

    /// Time until the declared limit permits a keeper to send a request, in ms; 0 for now.
    fn declared_wait_ms(&self, now_ms: f64) -> f64 {
        let last = self.last_request_ms.zip(self.declared_per_s());
        last.map_or(0.0, |(last_ms, per_s)| wait_after(last_ms, DECLARED_SHARE * per_s, now_ms))
    }

    /// Time until the cold limit permits a keeper to send work, in ms; 0 for now.
    fn cold_wait_ms(&self, now_ms: f64) -> f64 {
        match self.last_work_ms.filter(|_| self.is_cold(now_ms)) {
            Some(last_ms) => {
                let wait_ms = wait_after(last_ms, COLD_SHARE * self.cold_per_s, now_ms);
                wait_ms.min(self.cold_until_ms - now_ms)
            }
            None => 0.0,
        }
    }

    /// Acquires the next permit of a keeper at the declared limit, for a request that waits at most
    /// `max_wait_ms`. Returns the time until the permit is valid, in ms.
    ///
    /// # Errors
    ///
    /// The time until the next permit, in ms, if it is longer than that.
    pub fn acquire_permit(&mut self, now_ms: f64, max_wait_ms: f64) -> Result<f64, f64> {
        let wait_ms = self.declared_wait_ms(now_ms);
        if wait_ms > max_wait_ms {
            return Err(wait_ms);
        }
        self.last_request_ms = Some(now_ms + wait_ms);
        Ok(wait_ms)
    }

    /// Whether it declares a limit.
    pub(crate) fn has_declared_limit(&self) -> bool {
        self.declared_per_s.is_some()
    }

    /// Time until it may receive any work, in ms; 0 for now.
    pub(crate) fn work_wait_ms(&self, now_ms: f64, id: &UpstreamId, sender: &Sender) -> f64 {
        match sender {
            Sender::Keeper => self.cold_wait_ms(now_ms),
            Sender::Host(_) if !self.is_cold(now_ms) => 0.0,
            Sender::Host(_) => self.wait_ms(now_ms, id, sender),
        }
    }

    /// Time until it may receive a request, in ms; 0 for now.
    pub(crate) fn wait_ms(&self, now_ms: f64, id: &UpstreamId, sender: &Sender) -> f64 {
        match sender {
            Sender::Keeper => self.cold_wait_ms(now_ms).max(self.declared_wait_ms(now_ms)),
            Sender::Host(share) if self.may_send_without_permit(now_ms, id, share) => 0.0,
            Sender::Host(_) => SECOND_MS - now_ms % SECOND_MS,
        }
    }

    /// Counts a request that is sent now.
    pub(crate) fn record_sent(&mut self, now_ms: f64, sender: &Sender) {
        self.last_request_ms = Some(now_ms);
        self.record_part(now_ms, sender);
    }

    /// Counts a helper part for another engine's prompt, which is work but not a request.
    pub(crate) fn record_part(&mut self, now_ms: f64, sender: &Sender) {
        self.last_work_ms = Some(now_ms);
        if matches!(sender, Sender::Host(_)) {
            self.record_sent_without_permit(now_ms);
        }
    }
}

/// Time until the interval of a limit has passed since the last request, in ms.
fn wait_after(last_ms: f64, per_s: f64, now_ms: f64) -> f64 {
    (last_ms + SECOND_MS / per_s - now_ms).max(0.0)
}

fn second_of(now_ms: f64) -> u64 {
    (now_ms / SECOND_MS) as u64
}
