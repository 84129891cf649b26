//! Upstreams that are cold, and bear only so many requests a second, over all hosts together.
//!
//! A keeper that places spaces its requests to each of them evenly. A host that decides alone sees
//! only its own requests, and has a share: in each second, chance picks the hosts that may send to an
//! upstream. Shares that hosts could save up would let all of them send in the same moment.

use std::hash::{Hash, Hasher};

use clayplank_types::UpstreamId;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Share of what a cold upstream bears that a keeper uses. Two keepers may place for a moment, and
/// hosts that hear neither send beside them.
const KEEPER_SHARE: f64 = 0.7;

/// Share that all hosts together use that decide alone.
const ALONE_SHARE: f64 = 0.25;

const SECOND_MS: f64 = 1_000.0;

/// How upstreams of a service bear their start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests a second that a cold upstream bears, over all hosts.
    #[schemars(range(min = 0.001))]
    pub requests_per_s: f64,
    /// How long an upstream stays cold after its start, in ms.
    #[serde(default)]
    pub lasts_ms: u64,
}

/// Who sends to cold upstreams, and with how many others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Sender {
    /// A keeper that places for all hosts.
    #[default]
    Keeper,
    /// A host that decides alone.
    Host(ColdShare),
}

/// The share of one host among all that may send to cold upstreams by themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdShare {
    /// Tells hosts apart where chance picks some of them.
    pub seed: u64,
    /// How many hosts there are.
    pub hosts: u64,
}

impl ColdShare {
    /// How many requests this host may send to a cold upstream in the second of a time.
    fn allowed(&self, id: &UpstreamId, second: u64, requests_per_s: f64) -> u64 {
        let mean = ALONE_SHARE * requests_per_s / self.hosts.max(1) as f64;
        let is_picked = self.draw(id, second) < mean.fract();
        mean as u64 + u64::from(is_picked)
    }

    /// A number from 0 to 1 that chance gives this host for an upstream and a second.
    fn draw(&self, id: &UpstreamId, second: u64) -> f64 {
        let mut hasher = SipHasher13::new();
        (self.seed, id.as_str(), second).hash(&mut hasher);
        hasher.finish() as f64 / u64::MAX as f64
    }
}

/// What is known of an upstream's cold time, and what was sent to it meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cold {
    until_ms: f64,
    requests_per_s: f64,
    /// A keeper sends the next request no sooner.
    next_ms: f64,
    /// Requests of a host that decides alone, in this second.
    second: u64,
    sent: u64,
}

impl Cold {
    /// Notes for how much longer it is cold. A word that tells less than an earlier one changes
    /// nothing: it may be late.
    pub fn note(&mut self, now_ms: f64, left_ms: f64) {
        self.until_ms = self.until_ms.max(now_ms + left_ms);
    }

    /// Sets how many requests a second it bears while it is cold, over all hosts; 0 for any number.
    pub fn set_limit(&mut self, requests_per_s: f64) {
        self.requests_per_s = requests_per_s;
    }

    /// Whether it bears no more than the limit.
    pub fn is_cold(&self, now_ms: f64) -> bool {
        now_ms < self.until_ms && self.requests_per_s > 0.0
    }

    /// Whether a host may send it a request by itself.
    pub fn may_send_alone(&self, now_ms: f64, id: &UpstreamId, share: &ColdShare) -> bool {
        let second = second_of(now_ms);
        let sent = if self.second == second { self.sent } else { 0 };
        !self.is_cold(now_ms) || sent < share.allowed(id, second, self.requests_per_s)
    }

    /// Counts a request of a host that decided alone.
    pub fn note_sent_alone(&mut self, now_ms: f64) {
        let second = second_of(now_ms);
        if self.second != second {
            self.second = second;
            self.sent = 0;
        }
        self.sent += 1;
    }

    /// When the next request may be sent, in ms from now; 0 for at once.
    pub(crate) fn wait_ms(&self, now_ms: f64, id: &UpstreamId, sender: &Sender) -> f64 {
        if !self.is_cold(now_ms) {
            return 0.0;
        }
        match sender {
            Sender::Keeper => (self.next_ms.min(self.until_ms) - now_ms).max(0.0),
            Sender::Host(share) if self.may_send_alone(now_ms, id, share) => 0.0,
            Sender::Host(_) => SECOND_MS - now_ms % SECOND_MS,
        }
    }

    /// Counts a request that is sent now.
    pub(crate) fn note_sent(&mut self, now_ms: f64, sender: &Sender) {
        match sender {
            Sender::Keeper if self.is_cold(now_ms) => {
                let spacing_ms = SECOND_MS / (KEEPER_SHARE * self.requests_per_s);
                self.next_ms = self.next_ms.max(now_ms) + spacing_ms;
            }
            Sender::Keeper => {}
            Sender::Host(_) => self.note_sent_alone(now_ms),
        }
    }
}

fn second_of(now_ms: f64) -> u64 {
    (now_ms / SECOND_MS) as u64
}
