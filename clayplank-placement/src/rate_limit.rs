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
const DECLARED_SHARE: f64 = 0.8;

/// Share that all hosts together use that decide alone.
const STANDALONE_SHARE: f64 = 0.25;

/// An upstream that names a lower limit gets a request in this time all the same, in ms: only its
/// answers tell when the limit ends.
const MAX_SPACING_MS: f64 = 5_000.0;

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
        let mean = STANDALONE_SHARE * requests_per_s / self.hosts.max(1) as f64;
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
    declared_per_s: Option<f64>,
    /// When a keeper sent the last request, or will send it.
    last_request_ms: Option<f64>,
    /// When a keeper last sent work, a part of a prompt that another engine answers perhaps.
    last_work_ms: Option<f64>,
    /// Requests of a host that decides alone, in this second.
    second: u64,
    sent: u64,
}

impl RateLimit {
    /// Notes for how much longer it is cold. A word that tells less than an earlier one changes
    /// nothing: it may be late.
    pub fn note_cold(&mut self, now_ms: f64, remaining_ms: f64) {
        self.cold_until_ms = self.cold_until_ms.max(now_ms + remaining_ms);
    }

    /// Sets how many requests a second it bears while it is cold, over all hosts; 0 for any number.
    pub fn set_cold_limit(&mut self, requests_per_s: f64) {
        self.cold_per_s = requests_per_s;
    }

    /// Sets how many requests a second it says that it takes, over all hosts; `None` for any number.
    pub fn set_named_limit(&mut self, requests_per_s: Option<f64>) {
        self.declared_per_s = requests_per_s;
    }

    /// Whether it is cold, and bears no more than the limit.
    pub fn is_cold(&self, now_ms: f64) -> bool {
        now_ms < self.cold_until_ms && self.cold_per_s > 0.0
    }

    /// Requests a second that it names, but for those that tell when its limit ends.
    fn declared_per_s(&self) -> Option<f64> {
        self.declared_per_s.map(|per_s| per_s.max(SECOND_MS / MAX_SPACING_MS))
    }

    /// Requests a second that it takes now; `None` for any number.
    fn per_s(&self, now_ms: f64) -> Option<f64> {
        let cold_per_s = self.is_cold(now_ms).then_some(self.cold_per_s);
        match (cold_per_s, self.declared_per_s()) {
            (Some(cold_per_s), Some(declared_per_s)) => Some(cold_per_s.min(declared_per_s)),
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

    /// When the next turn at its named limit comes, in ms from now; 0 for at once.
    fn declared_wait_ms(&self, now_ms: f64) -> f64 {
        let last = self.last_request_ms.zip(self.declared_per_s());
        last.map_or(0.0, |(last_ms, per_s)| wait_after(last_ms, DECLARED_SHARE * per_s, now_ms))
    }

    /// When a keeper may send work to it as far as it is cold, in ms from now; 0 for at once.
    fn cold_wait_ms(&self, now_ms: f64) -> f64 {
        match self.last_work_ms.filter(|_| self.is_cold(now_ms)) {
            Some(last_ms) => {
                let wait_ms = wait_after(last_ms, COLD_SHARE * self.cold_per_s, now_ms);
                wait_ms.min(self.cold_until_ms - now_ms)
            }
            None => 0.0,
        }
    }

    /// Takes the next turn, as a keeper, for a request that waits no longer than `patience_ms`. `Ok` with the
    /// time until its turn, in ms.
    ///
    /// # Errors
    /// The time until there is a turn, in ms.
    pub fn take_turn(&mut self, now_ms: f64, max_wait_ms: f64) -> Result<f64, f64> {
        let wait_ms = self.declared_wait_ms(now_ms);
        if wait_ms > max_wait_ms {
            return Err(wait_ms);
        }
        self.last_request_ms = Some(now_ms + wait_ms);
        Ok(wait_ms)
    }

    /// Whether it names a limit.
    pub(crate) fn has_declared_limit(&self) -> bool {
        self.declared_per_s.is_some()
    }

    /// When it may get any work, in ms from now; 0 for at once.
    pub(crate) fn work_wait_ms(&self, now_ms: f64, id: &UpstreamId, sender: &Sender) -> f64 {
        match sender {
            Sender::Keeper => self.cold_wait_ms(now_ms),
            Sender::Host(_) if !self.is_cold(now_ms) => 0.0,
            Sender::Host(_) => self.wait_ms(now_ms, id, sender),
        }
    }

    /// When the next request may be sent, in ms from now; 0 for at once.
    pub(crate) fn wait_ms(&self, now_ms: f64, id: &UpstreamId, sender: &Sender) -> f64 {
        match sender {
            Sender::Keeper => self.cold_wait_ms(now_ms).max(self.declared_wait_ms(now_ms)),
            Sender::Host(share) if self.may_send_alone(now_ms, id, share) => 0.0,
            Sender::Host(_) => SECOND_MS - now_ms % SECOND_MS,
        }
    }

    /// Counts a request that is sent now.
    pub(crate) fn note_sent(&mut self, now_ms: f64, sender: &Sender) {
        self.last_request_ms = Some(now_ms);
        self.note_part(now_ms, sender);
    }

    /// Counts a part of a prompt that it reads for another engine: no request, but work.
    pub(crate) fn note_part(&mut self, now_ms: f64, sender: &Sender) {
        self.last_work_ms = Some(now_ms);
        if matches!(sender, Sender::Host(_)) {
            self.note_sent_alone(now_ms);
        }
    }
}

/// Time from now until the next of so many a second after the last one, in ms.
fn wait_after(last_ms: f64, per_s: f64, now_ms: f64) -> f64 {
    (last_ms + SECOND_MS / per_s - now_ms).max(0.0)
}

fn second_of(now_ms: f64) -> u64 {
    (now_ms / SECOND_MS) as u64
}
