//! Requests under which upstreams terminate: which are quarantined, under which upstreams
//! terminated at this host, and which have been answered.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use clayplank_clock::Instant;
use clayplank_types::{Fingerprint, ObservedOutcome, QuarantineEntry};

use crate::clock::millis;
use crate::placer::BoxFuture;

/// Maximum number of recently answered requests, by which wrongly quarantined requests are cleared:
/// a request that many callers send is among them. At 100 answers per second this covers ten
/// seconds.
const MAX_ANSWERED: usize = 1_024;

/// Maximum number of requests under which upstreams terminated at this host and that have not been
/// answered since.
const MAX_TERMINATED: usize = 1_024;

/// Minimum retry time for a quarantined request, in ms: another host may be trying it.
const MIN_QUARANTINE_RETRY_MS: u64 = 1_000;

/// Reason why a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is not quarantined.
    NotQuarantined,
    /// The request is quarantined, and this host may try it once.
    Trial,
}

/// Outcome of a request at an upstream, as observed by this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Caller of the request; empty if unknown.
    pub caller: String,
    /// Observed outcome.
    pub outcome: ObservedOutcome,
    /// Time of the observation.
    pub at: Instant,
}

/// Authority that decides for all hosts which requests are quarantined; implemented outside this
/// crate.
pub trait QuarantineAuthority: Send + Sync + 'static {
    /// Reports an observation of this host; does not wait.
    fn report(&self, observation: Observation);

    /// Whether this host may send a quarantined request to an upstream, once.
    fn claim_trial(&self, fingerprint: Fingerprint) -> BoxFuture<'_, bool>;
}

/// Authority of a single host, as in tests: observations are dropped, and nothing is quarantined.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoAuthority;

impl QuarantineAuthority for NoAuthority {
    fn report(&self, _: Observation) {}

    fn claim_trial(&self, _: Fingerprint) -> BoxFuture<'_, bool> {
        Box::pin(std::future::ready(true))
    }
}

#[derive(Debug, Default)]
struct LocalOutcomes {
    terminated: HashSet<Fingerprint>,
    /// Oldest first.
    answered: VecDeque<(Fingerprint, Instant)>,
}

/// This host's knowledge of requests under which upstreams terminate.
pub struct RequestQuarantine {
    authority: Arc<dyn QuarantineAuthority>,
    /// Time of the next permitted trial of each quarantined request.
    quarantined: ArcSwap<HashMap<Fingerprint, Instant>>,
    outcomes: Mutex<LocalOutcomes>,
}

impl std::fmt::Debug for RequestQuarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestQuarantine")
            .field("held_back", &self.count())
            .finish_non_exhaustive()
    }
}

impl RequestQuarantine {
    /// Creates an empty state; `quarantine_authority` decides for all hosts.
    pub fn new(authority: Arc<dyn QuarantineAuthority>) -> Self {
        Self { authority, quarantined: ArcSwap::default(), outcomes: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, LocalOutcomes> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time until the next trial of a quarantined request; `None` if it is not quarantined.
    pub fn time_to_trial(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let next_trial = self.quarantined.load().get(&fingerprint).copied()?;
        Some(next_trial.saturating_duration_since(Instant::now()))
    }

    /// Number of quarantined requests.
    pub(crate) fn count(&self) -> usize {
        self.quarantined.load().len()
    }

    /// Admits a request that is not quarantined, or that this host may try now; `Err` is the retry
    /// time in ms.
    ///
    /// # Errors
    /// The request is quarantined.
    pub async fn admit(&self, fingerprint: Fingerprint) -> Result<Admission, u64> {
        let Some(wait) = self.time_to_trial(fingerprint) else {
            return Ok(Admission::NotQuarantined);
        };
        if wait.is_zero() && self.authority.claim_trial(fingerprint).await {
            log::info!(target: "forward",
                fingerprint:% = fingerprint; "Sends a quarantined request as a trial");
            return Ok(Admission::Trial);
        }
        Err((wait.as_millis() as u64).max(MIN_QUARANTINE_RETRY_MS))
    }

    /// Replaces the set of quarantined requests. Newly quarantined requests that were recently
    /// answered here are reported: they may have been quarantined because of other requests.
    pub fn set_quarantined(&self, requests: Vec<QuarantineEntry>) {
        let now = Instant::now();
        let former = self.quarantined.load_full();
        let mut next = HashMap::new();
        for QuarantineEntry { fingerprint, caller, next_trial_in_ms, .. } in requests {
            next.insert(fingerprint, now + millis(next_trial_in_ms));
            if former.contains_key(&fingerprint) {
                continue;
            }
            log::info!(target: "forward",
                fingerprint:% = fingerprint, caller = caller,
                next_trial_in_ms = next_trial_in_ms;
                "A request is held back");
            if let Some(at) = self.answered_at(fingerprint) {
                let outcome = ObservedOutcome::Survived;
                self.authority.report(Observation { fingerprint, caller, outcome, at });
            }
        }
        for fingerprint in former.keys().filter(|known| !next.contains_key(known)) {
            log::info!(target: "forward",
                fingerprint:% = fingerprint; "A request is no longer quarantined");
        }
        self.quarantined.store(Arc::new(next));
    }

    /// Time of the last answer to a request at this host.
    pub(crate) fn answered_at(&self, fingerprint: Fingerprint) -> Option<Instant> {
        let outcomes = self.lock();
        let newest = outcomes.answered.iter().rev().find(|(known, _)| *known == fingerprint);
        newest.map(|(_, at)| *at)
    }

    /// Records that an upstream answered a request completely.
    pub fn record_answered(&self, fingerprint: Fingerprint, caller: &str) {
        let at = Instant::now();
        let mut outcomes = self.lock();
        outcomes.answered.push_back((fingerprint, at));
        if outcomes.answered.len() > MAX_ANSWERED {
            outcomes.answered.pop_front();
        }
        let is_suspect = outcomes.terminated.remove(&fingerprint);
        drop(outcomes);
        if is_suspect || self.quarantined.load().contains_key(&fingerprint) {
            let (caller, outcome) = (caller.to_owned(), ObservedOutcome::Survived);
            self.authority.report(Observation { fingerprint, caller, outcome, at });
        }
    }

    /// Reports that an upstream terminated under a request, unless the request has been answered
    /// since.
    pub(crate) fn record_terminated(&self, observation: Observation) {
        let answered_at = self.answered_at(observation.fingerprint);
        if answered_at.is_some_and(|answered_at| answered_at >= observation.at) {
            return;
        }
        let mut outcomes = self.lock();
        if outcomes.terminated.len() >= MAX_TERMINATED {
            log::info!(target: "forward", requests = outcomes.terminated.len();
                "Cleared the list of requests under which upstreams terminated; keepers retain it");
            outcomes.terminated.clear();
        }
        outcomes.terminated.insert(observation.fingerprint);
        drop(outcomes);
        self.authority.report(observation);
    }
}
