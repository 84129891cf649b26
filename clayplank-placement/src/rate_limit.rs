//! Upstreams that take only so many requests a second, over all hosts together: because they are cold,
//! or because they say so.
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
const COLD_SHARE: f64 = 0.7;

/// The same of what an upstream says that it takes: its limit counts over several seconds.
const NAMED_SHARE: f64 = 0.8;

/// Share that all hosts together use that decide alone.
const ALONE_SHARE: f64 = 0.25;

/// An upstream that names a lower limit gets a request in this time all the same, in ms: only its
/// answers tell when the limit ends.
const LONGEST_SPACING_MS: f64 = 5_000.0;

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

/// Who sends to an upstream, and with how many others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) enum Sender {
    /// A keeper that places for all hosts.
    #[default]
    Keeper,
    /// A host that decides alone.
    Host(HostShare),
}

/// The share of one host among all that may send by themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostShare {
    /// Tells hosts apart where chance picks some of them.
    pub seed: u64,
    /// How many hosts there are.
    pub hosts: u64,
}

impl HostShare {
    /// How many requests this host may send to an upstream in the second of a time.
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

/// How many requests a second an upstream takes, and what was sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    cold_until_ms: f64,
    /// What it takes while it is cold; 0 for any number.
    cold_per_s: f64,
    /// What it says that it takes.
    named_per_s: Option<f64>,
    /// When a keeper sent the last request, or will send it.
    last_ms: Option<f64>,
    /// Requests of a host that decides alone, in this second.
    second: u64,
    sent: u64,
}

impl RateLimit {
    /// Notes for how much longer it is cold. A word that tells less than an earlier one changes
    /// nothing: it may be late.
    pub fn note_cold(&mut self, now_ms: f64, left_ms: f64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms + left_ms);
    }

    /// Sets how many requests a second it bears while it is cold, over all hosts; 0 for any number.
    pub fn set_cold_limit(&mut self, requests_per_s: f64) {
        self.cold_per_s = requests_per_s;
    }

    /// Sets how many requests a second it says that it takes, over all hosts; `None` for any number.
    pub fn set_named_limit(&mut self, requests_per_s: Option<f64>) {
        self.named_per_s = requests_per_s;
    }

    /// Whether it is cold, and bears no more than the limit.
    pub fn is_cold(&self, now_ms: f64) -> bool {
        now_ms < self.cold_until_ms && self.cold_per_s > 0.0
    }

    /// Requests a second that it names, but for those that tell when its limit ends.
    fn named_per_s(&self) -> Option<f64> {
        self.named_per_s.map(|per_s| per_s.max(SECOND_MS / LONGEST_SPACING_MS))
    }

    /// Requests a second that it takes now; `None` for any number.
    fn per_s(&self, now_ms: f64) -> Option<f64> {
        let cold_per_s = self.is_cold(now_ms).then_some(self.cold_per_s);
        match (cold_per_s, self.named_per_s()) {
            (Some(cold_per_s), Some(named_per_s)) => Some(cold_per_s.min(named_per_s)),
            (one, other) => one.or(other),
        }
    }

    /// Whether a host may send it a request by itself.
    pub fn may_send_alone(&self, now_ms: f64, id: &UpstreamId, share: &HostShare) -> bool {
        let second = second_of(now_ms);
        let sent = if self.second == second { self.sent } else { 0 };
        self.per_s(now_ms).is_none_or(|per_s| sent < share.allowed(id, second, per_s))
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

    /// When a keeper may send the next request, in ms from now; 0 for at once.
    fn next_turn_ms(&self, now_ms: f64) -> f64 {
        let Some(last_ms) = self.last_ms else {
            return 0.0;
        };
        let after_last = |per_s: f64| last_ms + SECOND_MS / per_s;
        let cold_ms = if self.is_cold(now_ms) {
            after_last(COLD_SHARE * self.cold_per_s).min(self.cold_until_ms)
        } else {
            now_ms
        };
        let named_ms = self.named_per_s().map_or(now_ms, |per_s| after_last(NAMED_SHARE * per_s));
        (cold_ms.max(named_ms) - now_ms).max(0.0)
    }

    /// Takes the next turn, as a keeper, for a request that waits no longer than `patience_ms`. `Ok` with the
    /// time until its turn, in ms.
    ///
    /// # Errors
    /// The time until there is a turn, in ms.
    pub fn take_turn(&mut self, now_ms: f64, patience_ms: f64) -> Result<f64, f64> {
        let wait_ms = self.next_turn_ms(now_ms);
        if wait_ms > patience_ms {
            return Err(wait_ms);
        }
        self.last_ms = Some(now_ms + wait_ms);
        Ok(wait_ms)
    }

    /// When the next request may be sent, in ms from now; 0 for at once.
    pub(crate) fn wait_ms(&self, now_ms: f64, id: &UpstreamId, sender: &Sender) -> f64 {
        match sender {
            Sender::Keeper => self.next_turn_ms(now_ms),
            Sender::Host(share) if self.may_send_alone(now_ms, id, share) => 0.0,
            Sender::Host(_) => SECOND_MS - now_ms % SECOND_MS,
        }
    }

    /// Counts a request that is sent now.
    pub(crate) fn note_sent(&mut self, now_ms: f64, sender: &Sender) {
        match sender {
            Sender::Keeper => self.last_ms = Some(now_ms),
            Sender::Host(_) => self.note_sent_alone(now_ms),
        }
    }
}

fn second_of(now_ms: f64) -> u64 {
    (now_ms / SECOND_MS) as u64
}
