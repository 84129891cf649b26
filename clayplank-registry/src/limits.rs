//! Limits that upstreams name in their answers: requests a second that they take from all hosts together.
//!
//! Soft state, as the registry is. Of two observations of an upstream the later one holds. That it names no limit
//! counts as of when the request was sent: its answer may have been made before a limit was named.

use std::collections::BTreeMap;

use clayplank_types::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::registry::Cursor;

/// That an upstream named no limit is remembered for this long, in ms: far longer than an earlier
/// observation may be late.
const LIFTED_KEPT_MS: u64 = 120_000;

/// What an answer told of an upstream's limit, by the clock of this host.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedLimit {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Requests a second that it takes from all hosts; `None` for any number.
    pub requests_per_s: Option<f64>,
    /// When that was so.
    pub at_ms: u64,
}

/// The same on its way to another host, whose clock reads otherwise.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgedLimit {
    /// Which upstream.
    pub upstream: UpstreamId,
    /// Requests a second that it takes from all hosts; `None` for any number.
    pub requests_per_s: Option<f64>,
    /// How long ago that was so, in ms.
    pub age_ms: u64,
}

impl ObservedLimit {
    /// For another host.
    pub fn to_aged(&self, now_ms: u64) -> AgedLimit {
        AgedLimit {
            upstream: self.upstream.clone(),
            requests_per_s: self.requests_per_s,
            age_ms: now_ms.saturating_sub(self.at_ms),
        }
    }
}

impl AgedLimit {
    /// By the clock of this host.
    pub fn into_observed(self, now_ms: u64) -> ObservedLimit {
        ObservedLimit {
            upstream: self.upstream,
            requests_per_s: self.requests_per_s,
            at_ms: now_ms.saturating_sub(self.age_ms),
        }
    }
}

/// What became of an observation.
#[derive(Clone, Debug, PartialEq)]
pub enum Noted {
    /// It changed the limit.
    Changed,
    /// It told what is known.
    Unchanged,
    /// What is known is later, and differs; whoever told this should learn it.
    Outdated(ObservedLimit),
}

/// What changed after a cursor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitChanges {
    /// Where the receiver stands with these.
    pub cursor: Cursor,
    /// Limits that are new or changed.
    pub limits: Vec<AgedLimit>,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    requests_per_s: Option<f64>,
    at_ms: u64,
    change: u64,
}

impl Held {
    fn to_observed(self, upstream: &UpstreamId) -> ObservedLimit {
        let Self { requests_per_s, at_ms, .. } = self;
        ObservedLimit { upstream: upstream.clone(), requests_per_s, at_ms }
    }
}

/// Limits by upstream.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    cursor: Cursor,
    held: BTreeMap<UpstreamId, Held>,
}

impl Limits {
    /// No limits; `life` tells these from others'.
    pub fn new(life: u64) -> Self {
        Self { cursor: Cursor { life, change: 0 }, held: BTreeMap::new() }
    }

    /// Takes in what another host observed. That there is no limit is remembered also where none is known:
    /// others may still know one.
    pub fn learn(&mut self, observed: &ObservedLimit) -> Noted {
        let ObservedLimit { upstream, requests_per_s, at_ms } = observed;
        if requests_per_s.is_none() && !self.held.contains_key(upstream) {
            self.put(upstream, None, *at_ms);
            return Noted::Unchanged;
        }
        self.note(observed)
    }

    /// Takes in an observation of this host.
    pub fn note(&mut self, observed: &ObservedLimit) -> Noted {
        let ObservedLimit { upstream, requests_per_s, at_ms } = observed;
        let (requests_per_s, at_ms) = (*requests_per_s, *at_ms);
        let known = self.held.get(upstream).copied();
        match known {
            None if requests_per_s.is_none() => return Noted::Unchanged,
            Some(known) if known.requests_per_s == requests_per_s => {
                let held = Held { at_ms: known.at_ms.max(at_ms), ..known };
                self.held.insert(upstream.clone(), held);
                return Noted::Unchanged;
            }
            Some(known) if known.at_ms > at_ms => {
                // Followers may have been told what this host was.
                self.put(upstream, known.requests_per_s, known.at_ms);
                return Noted::Outdated(known.to_observed(upstream));
            }
            None | Some(_) => {}
        }
        self.put(upstream, requests_per_s, at_ms);
        Noted::Changed
    }

    fn put(&mut self, upstream: &UpstreamId, requests_per_s: Option<f64>, at_ms: u64) {
        self.cursor.change += 1;
        let held = Held { requests_per_s, at_ms, change: self.cursor.change };
        self.held.insert(upstream.clone(), held);
    }

    /// Requests a second that an upstream takes, if it named a limit.
    pub fn limit_per_s(&self, upstream: &UpstreamId) -> Option<f64> {
        self.held.get(upstream)?.requests_per_s
    }

    /// The limit of an upstream as it was observed, if it named one.
    pub fn observed_of(&self, upstream: &UpstreamId) -> Option<ObservedLimit> {
        let held = self.held.get(upstream).filter(|held| held.requests_per_s.is_some())?;
        Some(held.to_observed(upstream))
    }

    /// The upstreams that name a limit, with it.
    pub fn limited(&self) -> impl Iterator<Item = (&UpstreamId, f64)> {
        self.held.iter().filter_map(|(id, held)| Some((id, held.requests_per_s?)))
    }

    /// The limits that are in force, as they were observed.
    pub fn observed(&self) -> impl Iterator<Item = ObservedLimit> {
        let in_force = self.held.iter().filter(|(_, held)| held.requests_per_s.is_some());
        in_force.map(|(id, held)| held.to_observed(id))
    }

    /// What a follower lacks that knows these limits up to a cursor.
    pub fn changes_after(&self, now_ms: u64, cursor: Cursor) -> LimitChanges {
        let known = if cursor.life == self.cursor.life { cursor.change } else { 0 };
        let changed = self.held.iter().filter(|(_, held)| held.change > known);
        let limits = changed.map(|(id, held)| held.to_observed(id).to_aged(now_ms));
        LimitChanges { cursor: self.cursor, limits: limits.collect() }
    }

    /// Forgets upstreams that are not known any more, and limits that were lifted long ago.
    pub fn forget(&mut self, now_ms: u64, is_known: impl Fn(&UpstreamId) -> bool) {
        self.held.retain(|id, held| {
            let is_in_force = held.requests_per_s.is_some();
            is_known(id) && (is_in_force || now_ms < held.at_ms + LIFTED_KEPT_MS)
        });
    }
}
