//! Requests and prompt parts under which upstreams terminate: which are quarantined, under which
//! upstreams terminated at this host, and which upstreams have survived.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use clayplank_clock::Instant;
use clayplank_types::{Fingerprint, ObservedOutcome, QuarantineEntry, SuspectKind, UpstreamId};
use tokio::sync::watch;

use crate::clock::millis;
use crate::placer::BoxFuture;
use crate::survivals::Survivals;

/// Maximum number of recently answered requests, by which wrongly quarantined requests are cleared:
/// a request that many callers send is among them. At 100 answers per second this covers ten
/// seconds.
const MAX_ANSWERED: usize = 1_024;

/// Maximum number of requests and parts under which upstreams terminated at this host and that no
/// upstream has survived since.
const MAX_TERMINATED: usize = 1_024;

/// Minimum retry time for a quarantined request, in ms: another host may be trying it.
const MIN_QUARANTINE_RETRY_MS: u64 = 1_000;

/// Retry time for a request that is not tried again unless an operator lifts its quarantine.
const NO_TRIAL_RETRY: Duration = Duration::from_secs(86_400);

/// A part is no suspect in a termination this soon after the start of an answer that another
/// upstream survived. It is shorter than the time within which a part that terminates upstreams has
/// to be quarantined, as it may do so only since the upstreams were changed.
const RECENT_SURVIVAL: Duration = Duration::from_secs(2);

/// Additional time until a trial of a request of which several parts are quarantined: its outcome
/// says less than that of a request with one of them.
const SEVERAL_PARTS_DELAY: Duration = Duration::from_secs(60);

/// Fingerprints by which a request may be quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineKeys {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Fingerprints of the parts of its prompt that other requests may share.
    pub prompt_parts: Vec<Fingerprint>,
}

impl QuarantineKeys {
    /// Keys of a request whose prompt shares no parts with others.
    pub fn of_request(request: Fingerprint) -> Self {
        Self { request, prompt_parts: Vec::new() }
    }

    fn iter(&self) -> impl Iterator<Item = Fingerprint> {
        std::iter::once(self.request).chain(self.prompt_parts.iter().copied())
    }
}

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
    /// Whether the request or a part of its prompt was observed.
    pub kind: SuspectKind,
    /// Fingerprint of the request or of the part.
    pub fingerprint: Fingerprint,
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Caller of the request; empty if unknown, or if upstreams survived a part.
    pub caller: String,
    /// Whether this host has seen an upstream survive the part before; false for requests.
    pub has_survived: bool,
    /// Observed outcome.
    pub outcome: ObservedOutcome,
    /// Time of the observation.
    pub at: Instant,
}

/// Authority that decides for all hosts which requests and parts are quarantined; implemented
/// outside this crate.
pub trait QuarantineAuthority: Send + Sync + 'static {
    /// Reports an observation of this host; does not wait.
    fn report(&self, observation: Observation);

    /// Whether this host may send a request that is quarantined, or has a quarantined part, to an
    /// upstream, once.
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
    /// Time of the latest termination under each suspect.
    terminated: HashMap<Fingerprint, Instant>,
    /// Oldest first.
    answered: VecDeque<(Fingerprint, Instant)>,
    survivals: Survivals,
}

/// A quarantined request or part.
#[derive(Clone, Copy, Debug)]
struct Quarantined {
    kind: SuspectKind,
    /// Time of the next permitted trial; `None` if there are no more.
    next_trial: Option<Instant>,
}

impl Quarantined {
    /// Time until a trial that may take place this long after the next permitted one.
    fn time_to_trial(&self, delay: Duration) -> Duration {
        let remaining = |at: Instant| (at + delay).saturating_duration_since(Instant::now());
        self.next_trial.map_or(NO_TRIAL_RETRY, remaining)
    }
}

/// This host's knowledge of requests and prompt parts under which upstreams terminate.
pub struct RequestQuarantine {
    authority: Arc<dyn QuarantineAuthority>,
    quarantined: ArcSwap<HashMap<Fingerprint, Quarantined>>,
    /// Notified of each change of the above.
    changes: watch::Sender<()>,
    outcomes: Mutex<LocalOutcomes>,
}

impl std::fmt::Debug for RequestQuarantine {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RequestQuarantine")
            .field("quarantined", &self.quarantined)
            .finish_non_exhaustive()
    }
}

impl RequestQuarantine {
    /// Creates an empty state; `authority` decides for all hosts.
    pub fn new(authority: Arc<dyn QuarantineAuthority>) -> Self {
        Self {
            authority,
            quarantined: ArcSwap::default(),
            changes: watch::Sender::default(),
            outcomes: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, LocalOutcomes> {
        self.outcomes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time until the next trial of a request that is quarantined, or has a quarantined part; `None`
    /// if neither is the case.
    pub fn time_to_trial(&self, keys: &QuarantineKeys) -> Option<Duration> {
        let quarantined = self.quarantined.load();
        let held = || keys.iter().filter_map(|fingerprint| quarantined.get(&fingerprint));
        let delay = if held().count() > 1 { SEVERAL_PARTS_DELAY } else { Duration::ZERO };
        held().map(|one| one.time_to_trial(delay)).max()
    }

    /// Waits until a request is quarantined, or a part of its prompt.
    pub(crate) async fn wait_until_quarantined(&self, keys: &QuarantineKeys) {
        let mut changes = self.changes.subscribe();
        while self.time_to_trial(keys).is_none() {
            // The sender lives as long as `self`.
            changes.changed().await.ok();
        }
    }

    /// Number of quarantined requests or parts.
    pub(crate) fn count(&self, kind: SuspectKind) -> usize {
        self.quarantined.load().values().filter(|one| one.kind == kind).count()
    }

    /// Admits a request that is not quarantined, or that this host may try now; `Err` is the retry
    /// time in ms.
    ///
    /// # Errors
    /// The request is quarantined, or a part of its prompt.
    pub async fn admit(&self, keys: &QuarantineKeys) -> Result<Admission, u64> {
        let Some(wait) = self.time_to_trial(keys) else {
            return Ok(Admission::NotQuarantined);
        };
        if wait.is_zero() && self.claim_trials(keys).await {
            log::info!(target: "forward",
                fingerprint:% = keys.request; "Sends a quarantined request as a trial");
            return Ok(Admission::Trial);
        }
        Err((wait.as_millis() as u64).max(MIN_QUARANTINE_RETRY_MS))
    }

    /// Claims a trial of each of the keys that is quarantined.
    async fn claim_trials(&self, keys: &QuarantineKeys) -> bool {
        let quarantined = self.quarantined.load_full();
        for fingerprint in keys.iter().filter(|key| quarantined.contains_key(key)) {
            if !self.authority.claim_trial(fingerprint).await {
                return false;
            }
        }
        true
    }

    /// Replaces the set of quarantined requests and parts. Those newly quarantined that upstreams
    /// recently survived here are reported: they may have been quarantined because of others.
    pub fn set_quarantined(&self, entries: Vec<QuarantineEntry>) {
        let now = Instant::now();
        let former = self.quarantined.load_full();
        let mut next = HashMap::new();
        for QuarantineEntry { kind, fingerprint, caller, next_trial_in_ms, .. } in entries {
            let next_trial = next_trial_in_ms.map(|in_ms| now + millis(in_ms));
            next.insert(fingerprint, Quarantined { kind, next_trial });
            if former.contains_key(&fingerprint) {
                continue;
            }
            log::info!(target: "forward",
                fingerprint:% = fingerprint, kind = kind.as_str(), caller = caller,
                next_trial_in_ms = next_trial_in_ms;
                "A request is held back");
            let survived_at = match kind {
                SuspectKind::Request => self.answered_at(fingerprint),
                SuspectKind::PromptPart => self.lock().survivals.latest(fingerprint),
            };
            if let Some(at) = survived_at {
                self.report_survived(kind, fingerprint, caller, at);
            }
        }
        for fingerprint in former.keys().filter(|known| !next.contains_key(known)) {
            log::info!(target: "forward",
                fingerprint:% = fingerprint; "A request is no longer quarantined");
        }
        self.quarantined.store(Arc::new(next));
        self.changes.send_replace(());
    }

    fn report_survived(
        &self,
        kind: SuspectKind,
        fingerprint: Fingerprint,
        caller: String,
        at: Instant,
    ) {
        self.authority.report(Observation {
            kind,
            fingerprint,
            request: fingerprint,
            caller,
            has_survived: kind == SuspectKind::PromptPart,
            outcome: ObservedOutcome::Survived,
            at,
        });
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
        let is_suspect = outcomes.terminated.remove(&fingerprint).is_some();
        drop(outcomes);
        if is_suspect || self.quarantined.load().contains_key(&fingerprint) {
            self.report_survived(SuspectKind::Request, fingerprint, caller.to_owned(), at);
        }
    }

    /// Records that an upstream survived the parts of a prompt, to which it began to write an
    /// answer at this time.
    pub(crate) fn record_parts_survived(&self, parts: &[Fingerprint], begun_at: Instant) {
        let quarantined = self.quarantined.load();
        for part in parts {
            let mut outcomes = self.lock();
            outcomes.survivals.record(*part, begun_at);
            let terminated_at = outcomes.terminated.get(part).copied();
            // Terminations after the start of the answer are not cleared by it.
            if terminated_at.is_some_and(|terminated_at| terminated_at <= begun_at) {
                outcomes.terminated.remove(part);
            }
            drop(outcomes);
            if terminated_at.is_some() || quarantined.contains_key(part) {
                self.report_survived(SuspectKind::PromptPart, *part, String::new(), begun_at);
            }
        }
    }

    /// Records that an upstream completed an answer, which it may not survive.
    pub(crate) fn record_answer_complete(
        &self,
        upstream: &UpstreamId,
        keys: &QuarantineKeys,
        begun_at: Instant,
    ) {
        if !keys.prompt_parts.is_empty() {
            let parts = keys.prompt_parts.clone();
            self.lock().survivals.record_complete(upstream, parts, begun_at);
        }
    }

    /// Whether upstreams terminated under one of these parts, and none has survived it since.
    pub(crate) fn has_suspects(&self, parts: &[Fingerprint]) -> bool {
        let quarantined = self.quarantined.load();
        let outcomes = self.lock();
        let is_suspect =
            |part| outcomes.terminated.contains_key(part) || quarantined.contains_key(part);
        parts.iter().any(is_suspect)
    }

    /// Records that an upstream responded to a request sent at this time.
    pub(crate) fn record_response(&self, upstream: &UpstreamId, sent_at: Instant) {
        let survived = self.lock().survivals.take_survived(upstream, sent_at);
        for (parts, begun_at) in survived {
            self.record_parts_survived(&parts, begun_at);
        }
    }

    /// Whether this host has seen an upstream survive a part.
    pub(crate) fn has_survived(&self, part: Fingerprint) -> bool {
        self.lock().survivals.latest(part).is_some()
    }

    /// Whether a termination says nothing about a suspect, because upstreams survived it at about
    /// the same time or later.
    fn is_cleared(&self, observation: &Observation) -> bool {
        let Observation { kind, fingerprint, at, .. } = observation;
        match kind {
            SuspectKind::Request => {
                self.answered_at(*fingerprint).is_some_and(|answered_at| answered_at >= *at)
            }
            SuspectKind::PromptPart => {
                let survived_at = self.lock().survivals.latest(*fingerprint);
                survived_at.is_some_and(|survived_at| survived_at + RECENT_SURVIVAL >= *at)
            }
        }
    }

    /// Reports that an upstream terminated under a suspect, unless it is cleared.
    pub(crate) fn record_terminated(&self, observation: Observation) {
        if self.is_cleared(&observation) {
            return;
        }
        let mut outcomes = self.lock();
        if outcomes.terminated.len() >= MAX_TERMINATED {
            log::info!(target: "forward", suspects = outcomes.terminated.len();
                "Cleared the list of requests under which upstreams terminated; keepers retain it");
            outcomes.terminated.clear();
        }
        outcomes.terminated.insert(observation.fingerprint, observation.at);
        drop(outcomes);
        self.authority.report(observation);
    }
}
