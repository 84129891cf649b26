//! Quarantine of requests, and of parts of prompts, that make upstreams terminate.
//!
//! All requests that were running at an upstream when it terminated become suspects: one of them
//! may have caused it, the others were running there by chance. So do the parts of the prompts to
//! which the upstream had just begun to write an answer: requests that have nothing in common but
//! one part may each terminate an upstream. A suspect that terminates upstreams does so at each
//! upstream that runs it, so an upstream that survives it clears it of all earlier terminations. It
//! is quarantined when three upstreams have terminated under it, one after the other, and none has
//! survived it in between. Hosts do not send a quarantined request, or one with a quarantined part,
//! to any upstream, except for a few trials.
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
    Fingerprint, HostTimestamp, ObservedOutcome, QuarantineEntry, SuspectKind, SuspectObservation,
    UpstreamId,
};
use serde::{Deserialize, Serialize};

/// Number of separate terminations under a suspect after which it is quarantined. Two may coincide
/// by chance with a request that is sent twice while upstreams are being killed for other reasons;
/// the users' requirement limits the terminations after the third.
const MIN_TERMINATIONS: usize = 3;

/// The same for a part that upstreams have survived before: another part of the same prompts is the
/// more likely cause, and reaches [`MIN_TERMINATIONS`] first.
const MIN_TERMINATIONS_AFTER_SURVIVAL: usize = 6;

/// Terminations less than this time apart, in ms, count as one. The failure of a rack or a data
/// centre terminates many upstreams at once, and a request that many callers send may have been
/// running at several of them. Hosts observe such terminations within a few milliseconds.
const COINCIDENCE_WINDOW_MS: u64 = 30;

/// Retention time of a suspect since its latest reported termination, and of an explained upstream
/// since its attribution, in ms. Quarantined suspects do not expire.
const SUSPECT_RETENTION_MS: u64 = 600_000;

/// Intervals in ms before the first, second, … trial of a quarantined request; the last one
/// repeats. Trials are needed because a request may be quarantined by mistake, or upstreams may be
/// fixed so that they run it. They are rare because each may terminate one upstream: at most four
/// on the first day, then one a day.
const TRIAL_INTERVALS_MS: [u64; 4] = [60_000, 600_000, 14_400_000, 86_400_000];

/// The same for a quarantined part, which is not tried again after the last one: callers do not
/// repeat a part by chance, so whoever sends it would terminate an upstream at each trial.
const PART_TRIAL_INTERVALS_MS: [u64; 2] = [60_000, 600_000];

/// Interval before the first trial of a part that was quarantined together with others, in ms: a
/// prompt that has only one of them may show that this one is not the cause.
const AMBIGUOUS_TRIAL_INTERVAL_MS: u64 = 5_000;

/// Maximum number of suspects of all callers: more than the requests that run at once at 300
/// engines with ten slots each.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of suspects of one caller: the largest caller sends a quarter of all requests.
const MAX_SUSPECTS_PER_CALLER: usize = 1_024;

/// Maximum number of quarantined suspects of one caller; the one quarantined first is lifted to
/// make room. The limit prevents one caller from using up [`MAX_QUARANTINED`].
const MAX_QUARANTINED_PER_CALLER: usize = 64;

/// Maximum number of quarantined suspects of all callers: the list sent to a host then takes about
/// 10 kB.
const MAX_QUARANTINED: usize = 512;

/// Maximum number of upstreams whose termination is explained by a quarantined suspect.
const MAX_EXPLAINED_UPSTREAMS: usize = 1_024;

/// The termination of an upstream while it was running a suspect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Termination {
    upstream: UpstreamId,
    /// The request that was running.
    request: Fingerprint,
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

/// Interval before a trial of a quarantined suspect, if there is one after so many.
fn trial_interval_ms(kind: SuspectKind, trials: usize) -> Option<u64> {
    match kind {
        SuspectKind::Request => {
            let last = TRIAL_INTERVALS_MS.len() - 1;
            Some(TRIAL_INTERVALS_MS[trials.min(last)])
        }
        SuspectKind::PromptPart => PART_TRIAL_INTERVALS_MS.get(trials).copied(),
    }
}

/// Quarantine state of one suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantineState {
    /// Start of the quarantine, in ms since the Unix epoch.
    since_ms: u64,
    /// Number of trials granted so far.
    trials: usize,
    /// Earliest time of the next trial, in ms since the Unix epoch; `None` if there is none.
    next_trial_ms: Option<u64>,
}

impl QuarantineState {
    fn new(now_ms: u64, kind: SuspectKind, is_ambiguous: bool) -> Self {
        let interval_ms = match kind {
            SuspectKind::PromptPart if is_ambiguous => Some(AMBIGUOUS_TRIAL_INTERVAL_MS),
            SuspectKind::Request | SuspectKind::PromptPart => trial_interval_ms(kind, 0),
        };
        let next_trial_ms = interval_ms.map(|interval_ms| now_ms + interval_ms);
        Self { since_ms: now_ms, trials: 0, next_trial_ms }
    }
}

/// A request, or a part of prompts, that was running at upstreams when they terminated.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    kind: SuspectKind,
    caller: String,
    /// Whether upstreams have survived it before.
    has_survived: bool,
    /// Terminations under the suspect, ordered by `at_ms`, one per upstream.
    ends: Vec<Termination>,
    /// Time of the latest report of a termination, in ms since the Unix epoch.
    heard_ms: u64,
    /// `None` while the suspect is not quarantined.
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

    /// The entry sent to hosts if the suspect is quarantined, otherwise `None`.
    fn to_entry(&self, now_ms: u64, fingerprint: Fingerprint) -> Option<QuarantineEntry> {
        let quarantine = self.held?;
        Some(QuarantineEntry {
            kind: self.kind,
            fingerprint,
            caller: self.caller.clone(),
            ended: self.terminated_upstreams(),
            next_trial_in_ms: quarantine.next_trial_ms.map(|at_ms| at_ms.saturating_sub(now_ms)),
        })
    }

    /// Whether enough upstreams have terminated under a suspect that is not quarantined yet. A part
    /// that was in one request only need not be the cause: it is enough to quarantine the request.
    fn is_to_be_quarantined(&self) -> bool {
        let is_of_several_requests = match self.kind {
            SuspectKind::Request => true,
            SuspectKind::PromptPart => {
                self.ends.iter().any(|termination| termination.request != self.ends[0].request)
            }
        };
        self.held.is_none()
            && is_of_several_requests
            && self.separate_terminations() >= self.min_terminations()
    }

    /// Number of separate terminations after which it is quarantined.
    fn min_terminations(&self) -> usize {
        if self.has_survived { MIN_TERMINATIONS_AFTER_SURVIVAL } else { MIN_TERMINATIONS }
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
    /// The next trial is not due yet, or there are no more.
    TooEarly {
        /// Remaining time until a trial can be claimed, in ms; `None` if there are no more.
        next_in_ms: Option<u64>,
    },
}

/// Changes of the quarantine caused by reported observations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineChanges {
    /// Requests and parts that are now quarantined and were not before.
    pub held_back: Vec<QuarantineEntry>,
    /// Requests and parts whose quarantine was lifted.
    pub lifted: Vec<Fingerprint>,
}

impl QuarantineChanges {
    /// Whether the quarantine is unchanged, so that hosts need no update.
    pub fn is_empty(&self) -> bool {
        self.held_back.is_empty() && self.lifted.is_empty()
    }
}

/// All suspects, including the quarantined ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspects {
    /// Revision that last changed the list of quarantined suspects or their trial times.
    pub(crate) revision: u64,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// Upstreams whose termination is attributed to a quarantined suspect, with the time of the
    /// attribution. What else was running there does not become a suspect.
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
                    let termination = Termination {
                        upstream: upstream.clone(),
                        request: observation.request,
                        at_ms,
                        seen: observation.seen,
                    };
                    self.apply_termination(now_ms, observation, termination);
                }
                ObservedOutcome::Survived => {
                    self.apply_survival(at_ms, observation.fingerprint, &mut changes);
                }
            }
        }
        loop {
            let chosen = self.choose_for_quarantine(observations);
            if chosen.is_empty() {
                break;
            }
            self.quarantine(now_ms, &chosen, &mut changes);
        }
        changes
    }

    /// Records the termination of an upstream under a suspect.
    fn apply_termination(
        &mut self,
        now_ms: u64,
        observation: &SuspectObservation,
        termination: Termination,
    ) {
        let fingerprint = observation.fingerprint;
        let suspect = self.suspects.get_mut(&fingerprint);
        if let Some(suspect) = suspect.filter(|suspect| suspect.held.is_some()) {
            // The suspect stays quarantined, and this termination is attributed to it.
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
            kind: observation.kind,
            caller: observation.caller.clone(),
            has_survived: false,
            ends: Vec::new(),
            heard_ms: now_ms,
            held: None,
        });
        suspect.heard_ms = now_ms;
        suspect.has_survived |= observation.has_survived;
        suspect.record_termination(termination);
    }

    /// Chooses the observed suspects to quarantine next: those under which the most upstreams
    /// terminated, as they may explain what happened to the others. One request is chosen, and all
    /// parts: those that were always in the same prompts cannot be told apart.
    fn choose_for_quarantine(&self, observations: &[SuspectObservation]) -> Vec<Fingerprint> {
        let observed: BTreeMap<_, _> = observations
            .iter()
            .filter_map(|observation| self.suspects.get_key_value(&observation.fingerprint))
            .filter(|(_, suspect)| suspect.is_to_be_quarantined())
            .collect();
        let most = observed.values().map(|suspect| suspect.ends.len()).max().unwrap_or_default();
        let of_kind = |kind| {
            let chosen = observed
                .iter()
                .filter(move |(_, suspect)| suspect.kind == kind && suspect.ends.len() == most);
            chosen.map(|(fingerprint, _)| **fingerprint)
        };
        of_kind(SuspectKind::Request).take(1).chain(of_kind(SuspectKind::PromptPart)).collect()
    }

    /// Quarantines suspects and attributes the terminations under them to them.
    fn quarantine(
        &mut self,
        now_ms: u64,
        fingerprints: &[Fingerprint],
        changes: &mut QuarantineChanges,
    ) {
        let is_ambiguous = fingerprints.len() > 1;
        for fingerprint in fingerprints {
            if let Some(suspect) = self.suspects.get_mut(fingerprint) {
                suspect.held = Some(QuarantineState::new(now_ms, suspect.kind, is_ambiguous));
                changes.held_back.extend(suspect.to_entry(now_ms, *fingerprint));
            }
        }
        for fingerprint in fingerprints {
            if let Some(suspect) = self.suspects.get(fingerprint) {
                let (caller, terminated) = (suspect.caller.clone(), suspect.terminated_upstreams());
                self.explain(now_ms, *fingerprint, terminated);
                self.limit_quarantined(&caller, changes);
            }
        }
    }

    /// Attributes the termination of upstreams to the quarantined suspect `by`, and removes these
    /// terminations from the other suspects. The parts of a quarantined request stay suspects: they
    /// may be what terminates upstreams, also in other requests.
    fn explain(&mut self, now_ms: u64, by: Fingerprint, upstreams: Vec<UpstreamId>) {
        for (fingerprint, suspect) in &mut self.suspects {
            if *fingerprint != by && suspect.held.is_none() {
                suspect.ends.retain(|termination| {
                    let is_part_of_cause =
                        suspect.kind == SuspectKind::PromptPart && termination.request == by;
                    is_part_of_cause || !upstreams.contains(&termination.upstream)
                });
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

    /// Clears a suspect of all terminations up to `at_ms`, the time at which an upstream survived
    /// it, and lifts its quarantine if too few terminations remain.
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
        if suspect.held.is_some() && suspect.separate_terminations() < suspect.min_terminations() {
            suspect.held = None;
            changes.lifted.push(fingerprint);
        }
        if suspect.held.is_none() && suspect.ends.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Grants a trial of a quarantined suspect if one is due, and schedules the next.
    pub(crate) fn claim_trial(&mut self, now_ms: u64, fingerprint: Fingerprint) -> TrialReply {
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some((kind, quarantine)) =
            suspect.and_then(|suspect| Some((suspect.kind, suspect.held.as_mut()?)))
        else {
            return TrialReply::NotNeeded;
        };
        if quarantine.next_trial_ms.is_none_or(|next_trial_ms| now_ms < next_trial_ms) {
            let next_in_ms = quarantine.next_trial_ms.map(|next_trial_ms| next_trial_ms - now_ms);
            return TrialReply::TooEarly { next_in_ms };
        }
        quarantine.trials += 1;
        let interval_ms = trial_interval_ms(kind, quarantine.trials);
        quarantine.next_trial_ms = interval_ms.map(|interval_ms| now_ms + interval_ms);
        TrialReply::Granted
    }

    /// Lifts the quarantine of a suspect and removes the terminations recorded under it. Returns
    /// whether it was quarantined.
    pub(crate) fn lift(&mut self, fingerprint: Fingerprint) -> bool {
        let removed = self.suspects.remove(&fingerprint);
        removed.is_some_and(|suspect| suspect.held.is_some())
    }

    /// All quarantined suspects, ordered by fingerprint.
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

    /// Removes a suspect to make room for another one, if there are too many of the caller, or of
    /// all callers: of those with the fewest terminations, the one whose latest report is the
    /// oldest, so that a flood of suspects does not remove the one that causes it. Quarantined
    /// suspects do not count.
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
        let removed = candidates
            .min_by_key(|(_, suspect)| (suspect.ends.len(), suspect.heard_ms))
            .map(|(id, _)| *id);
        if let Some(removed) = removed {
            self.suspects.remove(&removed);
        }
    }

    /// Lifts the quarantine that started first, of the caller's suspects or of all, if there are
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
