//! What this host knows of requests that end upstreams: which are held back, under which upstreams
//! ended here, and which were answered.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use clayplank_clock::Instant;
use clayplank_types::{HeldBack, RequestFingerprint, SeenOutcome};

use crate::clock::millis;
use crate::placer::BoxFuture;

/// Requests that were answered here last, by which one is cleared that is held back by mistake: one
/// that many ask for is among them. At 100 answers a second, those of ten seconds.
const MAX_ANSWERED: usize = 1_024;

/// Requests under which upstreams ended here and that were not answered since.
const MAX_ENDED: usize = 1_024;

/// When to come back at the earliest with a request that is held back, in ms: another host may be
/// trying it.
const HELD_RETRY_MS: u64 = 1_000;

/// Why a request may be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passage {
    /// It is not held back.
    Free,
    /// It is held back, and this host may try it once.
    Trial,
}

/// What a host tells of a request, and when it happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub caller: String,
    /// What became of it.
    pub outcome: SeenOutcome,
    /// When.
    pub at: Instant,
}

/// Those who decide for all hosts which requests are held back: an edge of the process.
pub trait Judge: Send + Sync + 'static {
    /// Takes in what this host saw; does not wait.
    fn tell(&self, observation: Observation);

    /// Whether this host may send a request that is held back to an upstream, once.
    fn claim_trial(&self, fingerprint: RequestFingerprint) -> BoxFuture<'_, bool>;
}

/// A host that is alone, as in tests: it tells nobody, and nothing is held back.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct NoJudge;

impl Judge for NoJudge {
    fn tell(&self, _: Observation) {}

    fn claim_trial(&self, _: RequestFingerprint) -> BoxFuture<'_, bool> {
        Box::pin(std::future::ready(true))
    }
}

#[derive(Debug, Default)]
struct Seen {
    ended: HashSet<RequestFingerprint>,
    /// The newest at the end.
    answered: VecDeque<(RequestFingerprint, Instant)>,
}

/// What this host knows of requests that end upstreams.
pub struct Suspicion {
    judge: Arc<dyn Judge>,
    /// When each request that is held back may be tried next.
    held_back: ArcSwap<HashMap<RequestFingerprint, Instant>>,
    seen: Mutex<Seen>,
}

impl std::fmt::Debug for Suspicion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Suspicion").field("held_back", &self.count()).finish_non_exhaustive()
    }
}

impl Suspicion {
    /// Knows nothing yet; `judge` decides for all hosts.
    pub fn new(judge: Arc<dyn Judge>) -> Self {
        Self { judge, held_back: ArcSwap::default(), seen: Mutex::default() }
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long a request is held back until its next trial; `None` if it is not held back.
    pub fn held_for(&self, fingerprint: RequestFingerprint) -> Option<Duration> {
        let next_trial = self.held_back.load().get(&fingerprint).copied()?;
        Some(next_trial.saturating_duration_since(Instant::now()))
    }

    /// How many requests are held back.
    pub(crate) fn count(&self) -> usize {
        self.held_back.load().len()
    }

    /// Lets a request through that is not held back, and one that this host may try now; `Err` tells
    /// when to come back, in ms.
    ///
    /// # Errors
    /// The request is held back.
    pub async fn let_through(&self, fingerprint: RequestFingerprint) -> Result<Passage, u64> {
        let Some(held_for) = self.held_for(fingerprint) else {
            return Ok(Passage::Free);
        };
        if held_for.is_zero() && self.judge.claim_trial(fingerprint).await {
            log::info!(target: "forward",
                fingerprint:% = fingerprint; "Tries a request that is held back");
            return Ok(Passage::Trial);
        }
        Err((held_for.as_millis() as u64).max(HELD_RETRY_MS))
    }

    /// Takes in all requests that are held back. One that was answered here lately is told of: it may
    /// have been held back for what others did.
    pub fn set_held_back(&self, held_back: Vec<HeldBack>) {
        let now = Instant::now();
        let former = self.held_back.load_full();
        let mut next = HashMap::new();
        for HeldBack { fingerprint, caller, next_trial_in_ms, .. } in held_back {
            next.insert(fingerprint, now + millis(next_trial_in_ms));
            if former.contains_key(&fingerprint) {
                continue;
            }
            log::info!(target: "forward",
                fingerprint:% = fingerprint, caller = caller,
                next_trial_in_ms = next_trial_in_ms;
                "A request is held back");
            if let Some(at) = self.answered_at(fingerprint) {
                let outcome = SeenOutcome::Survived;
                self.judge.tell(Observation { fingerprint, caller, outcome, at });
            }
        }
        for fingerprint in former.keys().filter(|held| !next.contains_key(held)) {
            log::info!(target: "forward", fingerprint:% = fingerprint; "A request is held back no more");
        }
        self.held_back.store(Arc::new(next));
    }

    /// When a request was answered here last.
    pub(crate) fn answered_at(&self, fingerprint: RequestFingerprint) -> Option<Instant> {
        let seen = self.lock();
        let newest = seen.answered.iter().rev().find(|(known, _)| *known == fingerprint);
        newest.map(|(_, at)| *at)
    }

    /// Notes that an upstream answered a request whole.
    pub fn note_answered(&self, fingerprint: RequestFingerprint, caller: &str) {
        let at = Instant::now();
        let mut seen = self.lock();
        seen.answered.push_back((fingerprint, at));
        if seen.answered.len() > MAX_ANSWERED {
            seen.answered.pop_front();
        }
        let is_suspect = seen.ended.remove(&fingerprint);
        drop(seen);
        if is_suspect || self.held_back.load().contains_key(&fingerprint) {
            let (caller, outcome) = (caller.to_owned(), SeenOutcome::Survived);
            self.judge.tell(Observation { fingerprint, caller, outcome, at });
        }
    }

    /// Tells that an upstream ended under a request, unless that was answered since.
    pub(crate) fn note_ended(&self, observation: Observation) {
        let answered_at = self.answered_at(observation.fingerprint);
        if answered_at.is_some_and(|answered_at| answered_at >= observation.at) {
            return;
        }
        let mut seen = self.lock();
        if seen.ended.len() >= MAX_ENDED {
            log::info!(target: "forward", requests = seen.ended.len();
                "Forgets under which requests upstreams ended; the keepers know it");
            seen.ended.clear();
        }
        seen.ended.insert(observation.fingerprint);
        drop(seen);
        self.judge.tell(observation);
    }
}
