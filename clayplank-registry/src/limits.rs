//! Rate limits that upstreams report in their answers: requests per second that they accept from
//! all hosts together.
//!
//! Limits are soft state, as is the registry. Of two observations for an upstream the later one
//! applies. An answer without a limit counts as observed when its request was sent, since it may
//! have been produced before the upstream set a limit.

use std::collections::BTreeMap;

use clayplank_types::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::registry::Cursor;

/// Retention period of an answer without a limit, in ms; far longer than the delay of any earlier
/// observation.
const LIFTED_RETENTION_MS: u64 = 120_000;

/// An observation of an upstream's rate limit, with a timestamp of the local clock.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitObservation {
    /// The upstream that reported the limit.
    pub upstream: UpstreamId,
    /// Requests per second that it accepts from all hosts together; `None` if it has no limit.
    pub requests_per_s: Option<f64>,
    /// Time of the observation, in ms.
    pub at_ms: u64,
}

/// An observation as it is sent to another host, with its age in place of a timestamp, since clocks
/// of hosts differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedLimit {
    /// The upstream that reported the limit.
    pub upstream: UpstreamId,
    /// Requests per second that it accepts from all hosts together; `None` if it has no limit.
    pub requests_per_s: Option<f64>,
    /// Age of the observation when it is sent, in ms.
    pub age_ms: u64,
}

impl LimitObservation {
    /// Converts the timestamp to an age, to send the observation to another host.
    pub fn to_aged(&self, now_ms: u64) -> AgedLimit {
        AgedLimit {
            upstream: self.upstream.clone(),
            requests_per_s: self.requests_per_s,
            age_ms: now_ms.saturating_sub(self.at_ms),
        }
    }
}

impl AgedLimit {
    /// Converts the age to a timestamp of the local clock.
    pub fn into_observation(self, now_ms: u64) -> LimitObservation {
        LimitObservation {
            upstream: self.upstream,
            requests_per_s: self.requests_per_s,
            at_ms: now_ms.saturating_sub(self.age_ms),
        }
    }
}

/// Effect of applying an observation.
#[derive(Clone, Debug, PartialEq)]
pub enum LimitUpdateResult {
    /// The limit changed.
    Changed,
    /// The limit stays as it was.
    Unchanged,
    /// A later observation with another limit is known; the sender of the outdated one should
    /// receive it.
    Outdated(LimitObservation),
}

/// Changes of limits after a cursor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitChanges {
    /// Cursor of the receiver after it has applied these changes.
    pub cursor: Cursor,
    /// New and changed limits.
    pub limits: Vec<AgedLimit>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    requests_per_s: Option<f64>,
    at_ms: u64,
    change: u64,
}

impl Entry {
    fn to_observed(self, upstream: &UpstreamId) -> LimitObservation {
        let Self { requests_per_s, at_ms, .. } = self;
        LimitObservation { upstream: upstream.clone(), requests_per_s, at_ms }
    }
}

/// The latest known rate limit of each upstream.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    cursor: Cursor,
    entries: BTreeMap<UpstreamId, Entry>,
}

impl Limits {
    /// Creates an empty set of limits; `incarnation` distinguishes its cursors from those of other
    /// hosts and of earlier incarnations.
    pub fn new(incarnation: u64) -> Self {
        Self { cursor: Cursor { life: incarnation, change: 0 }, entries: BTreeMap::new() }
    }

    /// Applies an observation of another host. Unlike for [`Limits::apply_local`], that an upstream has no
    /// limit is stored even if no limit is known here, since other hosts may still know one.
    pub fn apply_remote(&mut self, observed: &LimitObservation) -> LimitUpdateResult {
        let LimitObservation { upstream, requests_per_s, at_ms } = observed;
        if requests_per_s.is_none() && !self.entries.contains_key(upstream) {
            self.put(upstream, None, *at_ms);
            return LimitUpdateResult::Unchanged;
        }
        self.apply_local(observed)
    }

    /// Applies an observation of the local host.
    pub fn apply_local(&mut self, observed: &LimitObservation) -> LimitUpdateResult {
        let LimitObservation { upstream, requests_per_s, at_ms } = observed;
        let (requests_per_s, at_ms) = (*requests_per_s, *at_ms);
        let known = self.entries.get(upstream).copied();
        match known {
            None if requests_per_s.is_none() => return LimitUpdateResult::Unchanged,
            Some(known) if known.requests_per_s == requests_per_s => {
                let entry = Entry { at_ms: known.at_ms.max(at_ms), ..known };
                self.entries.insert(upstream.clone(), entry);
                return LimitUpdateResult::Unchanged;
            }
            Some(known) if known.at_ms > at_ms => {
                // Followers may have received the same outdated limit: a new change number sends
                // them the current one again.
                self.put(upstream, known.requests_per_s, known.at_ms);
                return LimitUpdateResult::Outdated(known.to_observed(upstream));
            }
            None | Some(_) => {}
        }
        self.put(upstream, requests_per_s, at_ms);
        LimitUpdateResult::Changed
    }

    fn put(&mut self, upstream: &UpstreamId, requests_per_s: Option<f64>, at_ms: u64) {
        self.cursor.change += 1;
        let entry = Entry { requests_per_s, at_ms, change: self.cursor.change };
        self.entries.insert(upstream.clone(), entry);
    }

    /// Requests per second that an upstream accepts, if it has a limit.
    pub fn limit_per_s(&self, upstream: &UpstreamId) -> Option<f64> {
        self.entries.get(upstream)?.requests_per_s
    }

    /// The latest observation for an upstream, if it has a limit.
    pub fn observation_of(&self, upstream: &UpstreamId) -> Option<LimitObservation> {
        let entry = self.entries.get(upstream).filter(|entry| entry.requests_per_s.is_some())?;
        Some(entry.to_observed(upstream))
    }

    /// The upstreams that have a limit, with that limit in requests per second.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamId, f64)> {
        self.entries.iter().filter_map(|(id, entry)| Some((id, entry.requests_per_s?)))
    }

    /// The latest observations for all upstreams that have a limit.
    pub fn observations(&self) -> impl Iterator<Item = LimitObservation> {
        let in_force = self.entries.iter().filter(|(_, entry)| entry.requests_per_s.is_some());
        in_force.map(|(id, entry)| entry.to_observed(id))
    }

    /// The latest observations for all upstreams, including those whose limit was lifted recently.
    pub fn latest(&self) -> impl Iterator<Item = LimitObservation> {
        self.entries.iter().map(|(id, entry)| entry.to_observed(id))
    }

    /// The changes after the cursor of a follower; all limits if the cursor belongs to another
    /// incarnation.
    pub fn changes_after(&self, now_ms: u64, cursor: Cursor) -> LimitChanges {
        let known = if cursor.life == self.cursor.life { cursor.change } else { 0 };
        let changed = self.entries.iter().filter(|(_, entry)| entry.change > known);
        let limits = changed.map(|(id, entry)| entry.to_observed(id).to_aged(now_ms));
        LimitChanges { cursor: self.cursor, limits: limits.collect() }
    }

    /// Drops upstreams that are no longer known, and observations without a limit after their
    /// retention period.
    pub fn expire(&mut self, now_ms: u64, is_known: impl Fn(&UpstreamId) -> bool) {
        self.entries.retain(|id, entry| {
            let is_in_force = entry.requests_per_s.is_some();
            is_known(id) && (is_in_force || now_ms < entry.at_ms + LIFTED_RETENTION_MS)
        });
    }
}
