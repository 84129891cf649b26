//! Quarantine of requests that make upstreams terminate.
//!
//! All requests that were running at an upstream when it terminated become suspects: one of them
//! may have caused it, the others were running there by chance. A request that terminates upstreams
//! does so at each upstream that runs it, so a complete answer by an upstream clears a request of
//! all earlier terminations. A request is quarantined when three upstreams have terminated under
//! it, one after the other, without a complete answer in between. Hosts do not send a quarantined
//! request to any upstream, except for a few trials.
//!
//! The effect, with one request that terminates each upstream that runs it, sent 12 times a second
//! beside 80 other requests a second to 18 upstreams for 12 s: without quarantine, there were 119
//! and 120 terminations and 69 to 85 % of the other requests were served; with it, 4 and 7
//! terminations and 99.8 %.
//!
//! The quarantine is part of the replicated state, so that it is in force at each host that serves,
//! also after all hosts have restarted. Otherwise more upstreams would have to terminate before the
//! hosts identified the same request again.

use std::collections::BTreeMap;

use clayplank_types::{
    Fingerprint, HostTimestamp, ObservedOutcome, QuarantineEntry, SuspectObservation, UpstreamId,
};
use serde::{Deserialize, Serialize};

/// Number of separate terminations under a request after which it is quarantined. Two may coincide
/// by chance with a request that is sent twice while upstreams are being killed for other reasons;
/// the users' requirement limits the terminations after the third.
const MIN_TERMINATIONS: usize = 3;

/// Terminations less than this time apart, in ms, count as one. The failure of a rack or a data
/// centre terminates many upstreams at once, and a request that many callers send may have been
/// running at several of them. Hosts observe such terminations within a few milliseconds.
const COINCIDENCE_WINDOW_MS: u64 = 30;

/// Retention time of a suspect since its latest reported termination, and of an explained upstream
/// since its attribution, in ms. Quarantined requests do not expire.
const SUSPECT_RETENTION_MS: u64 = 600_000;

/// Intervals in ms before the first, second, … trial of a quarantined request; the last one
/// repeats. Trials are needed because a request may be quarantined by mistake, or upstreams may be
/// fixed so that they run it. They are rare because each may terminate one upstream: at most four
/// on the first day, then one a day.
const TRIAL_INTERVALS_MS: [u64; 4] = [60_000, 600_000, 14_400_000, 86_400_000];

/// Maximum number of suspects of all callers: more than the requests that run at once at 300
/// engines with ten slots each.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of suspects of one caller: the largest caller sends a quarter of all requests.
const MAX_SUSPECTS_PER_CALLER: usize = 1_024;

/// Maximum number of quarantined requests of one caller; the one quarantined first is lifted to
/// make room. The limit prevents one caller from using up [`MAX_QUARANTINED`].
const MAX_QUARANTINED_PER_CALLER: usize = 64;

/// Maximum number of quarantined requests of all callers: the list sent to a host then takes about
/// 10 kB.
const MAX_QUARANTINED: usize = 512;

/// Maximum number of upstreams whose termination is explained by a quarantined request.
const MAX_EXPLAINED_UPSTREAMS: usize = 1_024;

/// The termination of an upstream while it was running a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Termination {
    upstream: UpstreamId,
    /// Time by the keepers' clocks, in ms since the Unix epoch.
    at_ms: u64,
    /// Time by the clock of the host that observed it, if reported.
    seen: Option<HostTimestamp>,
}

impl Termination {
    /// Whether the two terminations are far enough apart to count separately. Times by the keepers'
    /// clocks include the delay of the report, which varies by more than the window when keepers
    /// are busy. Terminations observed by the same host are therefore compared by the clock of that
    /// host.
    fn is_separate_from(&self, other: &Self) -> bool {
        let distance_ms = match (self.seen, other.seen) {
            (Some(a), Some(b)) if a.life == b.life => a.at_ms.abs_diff(b.at_ms),
            _ => self.at_ms.abs_diff(other.at_ms),
        };
        distance_ms >= COINCIDENCE_WINDOW_MS
    }
}

/// Quarantine state of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantineState {
    /// Start of the quarantine, in ms since the Unix epoch.
    since_ms: u64,
    /// Number of trials granted so far.
    trials: usize,
    /// Earliest time of the next trial, in ms since the Unix epoch.
    next_trial_ms: u64,
}

/// A request that was running at upstreams when they terminated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    caller: String,
    /// Terminations under the request, ordered by `at_ms`, one per upstream.
    ends: Vec<Termination>,
    /// Time of the latest report of a termination, in ms since the Unix epoch.
    heard_ms: u64,
    /// `None` while the request is not quarantined.
    held: Option<QuarantineState>,
}

impl Suspect {
    /// Records a termination, unless one of the same upstream is recorded already.
    fn record_termination(&mut self, termination: Termination) {
        if self.ends.iter().all(|known| known.upstream != termination.upstream) {
            let index = self.ends.partition_point(|known| known.at_ms <= termination.at_ms);
            self.ends.insert(index, termination);
        }
    }

    /// Upstreams that terminated under the request.
    fn terminated_upstreams(&self) -> Vec<UpstreamId> {
        self.ends.iter().map(|termination| termination.upstream.clone()).collect()
    }

    /// The entry sent to hosts if the request is quarantined, otherwise `None`.
    fn to_entry(&self, now_ms: u64, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        let quarantine = self.held?;
        Some(QuarantineEntry {
            fingerprint,
            caller: self.caller.clone(),
            ended: self.terminated_upstreams(),
            next_trial_in_ms: quarantine.next_trial_ms.saturating_sub(now_ms),
        })
    }

    /// Number of terminations, with those within [`COINCIDENCE_WINDOW_MS`] counted as one.
    fn separate_terminations(&self) -> usize {
        let mut count = 0;
        let mut last_counted: Option<&Termination> = None;
        for termination in &self.ends {
            if last_counted.is_none_or(|last| termination.is_separate_from(last)) {
                count += 1;
                last_counted = Some(termination);
            }
        }
        count
    }
}

/// Reply to a host that requests a trial of a quarantined request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialReply {
    /// The host may send the request once; no other host may until the next trial.
    Granted,
    /// The request is not quarantined, so hosts may send it freely.
    NotNeeded,
    /// The next trial is not due yet.
    TooEarly {
        /// Remaining time until a trial can be claimed, in ms.
        next_in_ms: u64,
    },
}

/// Changes of the quarantine caused by reported observations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineChanges {
    /// Requests that are now quarantined and were not before.
    pub held_back: Vec<QuarantineEntry>,
    /// Requests whose quarantine was lifted.
    pub lifted: Vec<Fingerprint>,
}

impl QuarantineChanges {
    /// Whether the quarantine is unchanged, so that hosts need no update.
    pub fn is_empty(&self) -> bool {
        self.held_back.is_empty() && self.lifted.is_empty()
    }
}

/// All suspects, including the quarantined requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspects {
    /// Revision that last changed the list of quarantined requests or their trial times.
    pub(crate) revision: u64,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Upstreams whose termination is attributed to a quarantined request, with the time of the
    /// attribution. Other requests that were running there do not become suspects.
    explained: BTreeMap<UpstreamId, u64>,
}

impl Suspects {
    /// Applies the observations of a host.
    pub(crate) fn apply(
        &mut self,
        now_ms: u64,
        observations: &[SuspectObservation],
    ) -> QuarantineChanges {
        self.remove_expired(now_ms);
        let mut changes = QuarantineChanges::default();
        for observation in observations {
            let at_ms = now_ms.saturating_sub(observation.ago_ms);
            match &observation.outcome {
                ObservedOutcome::Ended(upstream) => {
                    let termination =
                        Termination { upstream: upstream.clone(), at_ms, seen: observation.seen };
                    self.apply_termination(now_ms, observation, termination, &mut changes);
                }
                ObservedOutcome::Survived => {
                    self.apply_survival(at_ms, observation.fingerprint, &mut changes);
                }
            }
        }
        changes
    }

    /// Records the termination of an upstream, and quarantines the request once
    /// [`MIN_TERMINATIONS`] is reached.
    fn apply_termination(
        &mut self,
        now_ms: u64,
        observation: &SuspectObservation,
        termination: Termination,
        changes: &mut QuarantineChanges,
    ) {
        let fingerprint = observation.fingerprint;
        let suspect = self.suspects.get_mut(&fingerprint);
        if let Some(suspect) = suspect.filter(|suspect| suspect.held.is_some()) {
            // The request stays quarantined, and this termination is attributed to it.
            suspect.heard_ms = now_ms;
            self.explain(now_ms, fingerprint, vec![termination.upstream]);
            return;
        }
        if self.explained.contains_key(&termination.upstream) {
            return;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(&observation.caller);
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            caller: observation.caller.clone(),
            ends: Vec::new(),
            heard_ms: now_ms,
            held: None,
        });
        suspect.heard_ms = now_ms;
        suspect.record_termination(termination);
        if suspect.separate_terminations() < MIN_TERMINATIONS {
            return;
        }
        let next_trial_ms = now_ms + TRIAL_INTERVALS_MS[0];
        suspect.held = Some(QuarantineState { since_ms: now_ms, trials: 0, next_trial_ms });
        let terminated = suspect.terminated_upstreams();
        changes.held_back.extend(suspect.to_entry(now_ms, fingerprint));
        self.explain(now_ms, fingerprint, terminated);
        self.limit_quarantined(&observation.caller, changes);
    }

    /// Attributes the termination of upstreams to the quarantined request `by`, and removes these
    /// terminations from the other suspects.
    fn explain(&mut self, now_ms: u64, by: Fingerprint, upstreams: Vec<UpstreamId>) {
        for (fingerprint, suspect) in &mut self.suspects {
            if *fingerprint != by && suspect.held.is_none() {
                suspect.ends.retain(|termination| !upstreams.contains(&termination.upstream));
            }
        }
        self.suspects.retain(|_, suspect| suspect.held.is_some() || !suspect.ends.is_empty());
        self.explained.extend(upstreams.into_iter().map(|upstream| (upstream, now_ms)));
        while self.explained.len() > MAX_EXPLAINED_UPSTREAMS {
            let oldest = self.explained.iter().min_by_key(|(_, explained_ms)| **explained_ms);
            let Some(oldest) = oldest.map(|(upstream, _)| upstream.clone()) else {
                return;
            };
            self.explained.remove(&oldest);
        }
    }

    /// Clears a request of all terminations up to `at_ms`, the time at which an upstream answered
    /// it completely, and lifts its quarantine if too few terminations remain.
    fn apply_survival(
        &mut self,
        at_ms: u64,
        fingerprint: Fingerprint,
        changes: &mut QuarantineChanges,
    ) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.ends.retain(|termination| termination.at_ms > at_ms);
        if suspect.held.is_some() && suspect.separate_terminations() < MIN_TERMINATIONS {
            suspect.held = None;
            changes.lifted.push(fingerprint);
        }
        if suspect.held.is_none() && suspect.ends.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Grants a trial of a quarantined request if one is due, and schedules the next.
    pub(crate) fn claim_trial(&mut self, now_ms: u64, fingerprint: Fingerprint) -> TrialReply {
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(quarantine) = suspect.and_then(|suspect| suspect.held.as_mut()) else {
            return TrialReply::NotNeeded;
        };
        if now_ms < quarantine.next_trial_ms {
            return TrialReply::TooEarly { next_in_ms: quarantine.next_trial_ms - now_ms };
        }
        quarantine.trials += 1;
        let last = TRIAL_INTERVALS_MS.len() - 1;
        quarantine.next_trial_ms = now_ms + TRIAL_INTERVALS_MS[quarantine.trials.min(last)];
        TrialReply::Granted
    }

    /// Lifts the quarantine of a request and removes the terminations recorded under it. Returns
    /// whether it was quarantined.
    pub(crate) fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let removed = self.suspects.remove(&fingerprint);
        removed.is_some_and(|suspect| suspect.held.is_some())
    }

    /// All quarantined requests, ordered by fingerprint.
    pub(crate) fn quarantined(&self, now_ms: u64) -> Vec<QuarantineEntry> {
        self.suspects
            .iter()
            .filter_map(|(fingerprint, suspect)| suspect.to_entry(now_ms, *fingerprint))
            .collect()
    }

    fn remove_expired(&mut self, now_ms: u64) {
        let is_fresh = |heard_ms: u64| now_ms < heard_ms + SUSPECT_RETENTION_MS;
        self.suspects.retain(|_, suspect| suspect.held.is_some() || is_fresh(suspect.heard_ms));
        self.explained.retain(|_, explained_ms| is_fresh(*explained_ms));
    }

    /// Removes the suspect whose latest reported termination is the oldest to make room for another
    /// one, if there are too many suspects of the caller, or of all callers. Quarantined requests
    /// do not count.
    fn make_room(&mut self, caller: &str) {
        if self.suspects.len() < MAX_SUSPECTS_PER_CALLER {
            return;
        }
        let is_evictable = |suspect: &Suspect| suspect.held.is_none();
        let of_caller = self
            .suspects
            .values()
            .filter(|suspect| is_evictable(suspect) && suspect.caller == caller)
            .count();
        let all = self.suspects.values().filter(|suspect| is_evictable(suspect)).count();
        let is_caller_full = of_caller >= MAX_SUSPECTS_PER_CALLER;
        if !is_caller_full && all < MAX_SUSPECTS {
            return;
        }
        let candidates = self.suspects.iter().filter(|(_, suspect)| {
            is_evictable(suspect) && (!is_caller_full || suspect.caller == caller)
        });
        let oldest = candidates.min_by_key(|(_, suspect)| suspect.heard_ms).map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }

    /// Lifts the quarantine that started first, of the caller's requests or of all, if there are
    /// too many.
    fn limit_quarantined(&mut self, caller: &str, changes: &mut QuarantineChanges) {
        let quarantined = || self.suspects.iter().filter(|(_, suspect)| suspect.held.is_some());
        let of_caller = || quarantined().filter(|(_, suspect)| suspect.caller == caller);
        let since = |suspect: &Suspect| suspect.held.map(|quarantine| quarantine.since_ms);
        let oldest = if of_caller().count() > MAX_QUARANTINED_PER_CALLER {
            of_caller().min_by_key(|(_, suspect)| since(suspect))
        } else if quarantined().count() > MAX_QUARANTINED {
            quarantined().min_by_key(|(_, suspect)| since(suspect))
        } else {
            None
        };
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
            changes.lifted.push(oldest);
        }
    }
}
