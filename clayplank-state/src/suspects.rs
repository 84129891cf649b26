//! Requests under which upstreams ended, and those that are held back for it.
//!
//! All that ran at an upstream when it ended is a suspect; one request ends each upstream that runs
//! it, the others were merely there. What an upstream answers whole has not ended it. A request under
//! which three upstreams ended, one after the other, and that none answered in between is held back:
//! no host sends it to an upstream, but for a few trials.
//!
//! One body that ends what runs it, 12 times a second beside 80 other requests and before 18
//! upstreams, ended 119 and 120 of them in 12 s while nothing remembered it, and 4 and 7 with this; of
//! the others 69 to 85% were served, and 99.8% with this (processes, `crashing.rs`).
//!
//! It is a part of the replicated state, and so in force at each host that serves, also after all
//! of them started again: what one request has ended must not be found out anew by more ends.

use std::collections::BTreeMap;

use clayplank_types::{
    HeldBack, HostMoment, RequestFingerprint, SeenOutcome, Sighting, UpstreamId,
};
use serde::{Deserialize, Serialize};

/// Upstreams that end under a request before it is held back. Two may end by chance under one that
/// is tried twice while others are killed; the users' rule counts from the third.
const HELD_AFTER: usize = 3;

/// Upstreams that end within this time, in ms, count as one: what kills a rack or a data centre
/// kills them at once, and a request that many ask for may have run at several of them. Hosts see
/// such ends within a few milliseconds of each other.
const SAME_MOMENT_MS: u64 = 30;

/// Suspects of which nothing was heard for this long, in ms, are forgotten.
const FORGET_SUSPECT_MS: u64 = 600_000;

/// From one trial of a request that is held back to the next, in ms. A caller must not be shut out
/// for good by a mistake, or once upstreams run the request well, and each trial may cost one
/// upstream: four in a day, and one a day after that.
const TRIAL_PAUSES_MS: [u64; 4] = [60_000, 600_000, 14_400_000, 86_400_000];

/// Suspects of all callers that are remembered: all that run at 300 engines of ten places, and more.
const MAX_SUSPECTS: usize = 4_096;

/// Suspects of one caller: the largest has a quarter of all requests.
const MAX_SUSPECTS_OF_CALLER: usize = 1_024;

/// Requests of one caller that are held back; the oldest makes room, so that no caller fills
/// what protects all. At 512 in all, the list for a host takes some 10 kB.
const MAX_HELD_OF_CALLER: usize = 64;

/// Requests that are held back.
const MAX_HELD: usize = 512;

/// Upstreams whose end is explained by a request that is held back.
const MAX_EXPLAINED: usize = 1_024;

/// An upstream that ended under a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct End {
    upstream: UpstreamId,
    at_ms: u64,
    /// By the clock of the host that saw it.
    seen: Option<HostMoment>,
}

impl End {
    /// Whether it came so long after another one that both count. The time of a command holds how long the
    /// word was on its way, which differs by more where keepers are busy: ends that one host saw are told apart
    /// by its own clock.
    fn is_apart_from(&self, former: &Self) -> bool {
        let apart_ms = match (self.seen, former.seen) {
            (Some(own), Some(other)) if own.life == other.life => own.at_ms.abs_diff(other.at_ms),
            _ => self.at_ms.abs_diff(former.at_ms),
        };
        apart_ms >= SAME_MOMENT_MS
    }
}

/// Since when a request is held back, and when it may be tried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Held {
    since_ms: u64,
    trials: usize,
    next_trial_ms: u64,
}

/// A request under which upstreams ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Suspect {
    caller: String,
    /// In the order of their times.
    ends: Vec<End>,
    heard_ms: u64,
    held: Option<Held>,
}

impl Suspect {
    /// Adds an end, unless it is known.
    fn add(&mut self, end: End) {
        if self.ends.iter().all(|known| known.upstream != end.upstream) {
            let place = self.ends.partition_point(|known| known.at_ms <= end.at_ms);
            self.ends.insert(place, end);
        }
    }

    /// Upstreams that ended under it.
    fn ended(&self) -> Vec<UpstreamId> {
        self.ends.iter().map(|end| end.upstream.clone()).collect()
    }

    /// The request as hosts know it, if it is held back.
    fn describe(&self, now_ms: u64, fingerprint: RequestFingerprint) -> Option<HeldBack> {
        let held = self.held?;
        Some(HeldBack {
            fingerprint,
            caller: self.caller.clone(),
            ended: self.ended(),
            next_trial_in_ms: held.next_trial_ms.saturating_sub(now_ms),
        })
    }

    /// How often upstreams ended, those that ended at once counted as one.
    fn moments(&self) -> usize {
        let mut count = 0;
        let mut last: Option<&End> = None;
        for end in &self.ends {
            if last.is_none_or(|last| end.is_apart_from(last)) {
                count += 1;
                last = Some(end);
            }
        }
        count
    }
}

/// What a host is told that would try a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Trial {
    /// It may, once; no other host may until the next time.
    Granted,
    /// The request is not held back.
    NotNeeded,
    /// Not yet.
    TooEarly {
        /// When it may be claimed again.
        next_in_ms: u64,
    },
}

/// What sightings led to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdicts {
    /// Requests that are held back from now on.
    pub held_back: Vec<HeldBack>,
    /// Requests that are not held back any more.
    pub lifted: Vec<RequestFingerprint>,
}

impl Verdicts {
    /// Whether nothing has changed for hosts.
    pub fn is_empty(&self) -> bool {
        self.held_back.is_empty() && self.lifted.is_empty()
    }
}

/// All suspects.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Suspects {
    /// The revision of the settings that changed what is held back last.
    pub(crate) revision: u64,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
    /// Upstreams that a request ended which is held back, and when that was learned: what else
    /// ran there is no suspect for it.
    explained: BTreeMap<UpstreamId, u64>,
}

impl Suspects {
    /// Takes in what a host saw.
    pub(crate) fn note(&mut self, now_ms: u64, sightings: &[Sighting]) -> Verdicts {
        self.forget(now_ms);
        let mut verdicts = Verdicts::default();
        for sighting in sightings {
            let at_ms = now_ms.saturating_sub(sighting.ago_ms);
            match &sighting.outcome {
                SeenOutcome::Ended(upstream) => {
                    let end = End { upstream: upstream.clone(), at_ms, seen: sighting.seen };
                    self.note_end(now_ms, sighting, end, &mut verdicts);
                }
                SeenOutcome::Survived => {
                    self.note_survived(at_ms, sighting.fingerprint, &mut verdicts);
                }
            }
        }
        verdicts
    }

    fn note_end(&mut self, now_ms: u64, sighting: &Sighting, end: End, verdicts: &mut Verdicts) {
        let fingerprint = sighting.fingerprint;
        let known = self.suspects.get_mut(&fingerprint);
        if let Some(suspect) = known.filter(|suspect| suspect.held.is_some()) {
            // It stays held back; what it ended meanwhile has its explanation.
            suspect.heard_ms = now_ms;
            self.explain(now_ms, fingerprint, vec![end.upstream]);
            return;
        }
        if self.explained.contains_key(&end.upstream) {
            return;
        }
        if !self.suspects.contains_key(&fingerprint) {
            self.make_room(&sighting.caller);
        }
        let suspect = self.suspects.entry(fingerprint).or_insert_with(|| Suspect {
            caller: sighting.caller.clone(),
            ends: Vec::new(),
            heard_ms: now_ms,
            held: None,
        });
        suspect.heard_ms = now_ms;
        suspect.add(end);
        if suspect.moments() < HELD_AFTER {
            return;
        }
        let next_trial_ms = now_ms + TRIAL_PAUSES_MS[0];
        suspect.held = Some(Held { since_ms: now_ms, trials: 0, next_trial_ms });
        let ended = suspect.ended();
        verdicts.held_back.extend(suspect.describe(now_ms, fingerprint));
        self.explain(now_ms, fingerprint, ended);
        self.limit_held(&sighting.caller, verdicts);
    }

    /// Takes upstreams that one request ended off the others' accounts.
    fn explain(&mut self, now_ms: u64, by: RequestFingerprint, ended: Vec<UpstreamId>) {
        for (fingerprint, suspect) in &mut self.suspects {
            if *fingerprint != by && suspect.held.is_none() {
                suspect.ends.retain(|end| !ended.contains(&end.upstream));
            }
        }
        self.suspects.retain(|_, suspect| suspect.held.is_some() || !suspect.ends.is_empty());
        self.explained.extend(ended.into_iter().map(|upstream| (upstream, now_ms)));
        while self.explained.len() > MAX_EXPLAINED {
            let oldest = self.explained.iter().min_by_key(|(_, learned_ms)| **learned_ms);
            let Some(oldest) = oldest.map(|(upstream, _)| upstream.clone()) else {
                return;
            };
            self.explained.remove(&oldest);
        }
    }

    /// An upstream lived through it: what ended before that time, it has not ended.
    fn note_survived(
        &mut self,
        at_ms: u64,
        fingerprint: RequestFingerprint,
        verdicts: &mut Verdicts,
    ) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return;
        };
        suspect.ends.retain(|end| end.at_ms > at_ms);
        if suspect.held.is_some() && suspect.moments() < HELD_AFTER {
            suspect.held = None;
            verdicts.lifted.push(fingerprint);
        }
        if suspect.held.is_none() && suspect.ends.is_empty() {
            self.suspects.remove(&fingerprint);
        }
    }

    /// Lets one host try a request that is held back, if it is time.
    pub(crate) fn claim_trial(&mut self, now_ms: u64, fingerprint: RequestFingerprint) -> Trial {
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(held) = suspect.and_then(|suspect| suspect.held.as_mut()) else {
            return Trial::NotNeeded;
        };
        if now_ms < held.next_trial_ms {
            return Trial::TooEarly { next_in_ms: held.next_trial_ms - now_ms };
        }
        held.trials += 1;
        let last = TRIAL_PAUSES_MS.len() - 1;
        held.next_trial_ms = now_ms + TRIAL_PAUSES_MS[held.trials.min(last)];
        Trial::Granted
    }

    /// Holds a request back no more, and forgets what ended under it; whether it was held back.
    pub(crate) fn lift(&mut self, fingerprint: RequestFingerprint) -> bool {
        let was = self.suspects.remove(&fingerprint);
        was.is_some_and(|suspect| suspect.held.is_some())
    }

    /// All requests that are held back.
    pub(crate) fn held_back(&self, now_ms: u64) -> Vec<HeldBack> {
        self.suspects
            .iter()
            .filter_map(|(fingerprint, suspect)| suspect.describe(now_ms, *fingerprint))
            .collect()
    }

    fn forget(&mut self, now_ms: u64) {
        let is_fresh = |heard_ms: u64| now_ms < heard_ms + FORGET_SUSPECT_MS;
        self.suspects.retain(|_, suspect| suspect.held.is_some() || is_fresh(suspect.heard_ms));
        self.explained.retain(|_, learned_ms| is_fresh(*learned_ms));
    }

    /// Forgets the suspect of which nothing was heard for the longest time, if there are too many
    /// of a caller, or of all.
    fn make_room(&mut self, caller: &str) {
        if self.suspects.len() < MAX_SUSPECTS_OF_CALLER {
            return;
        }
        let is_free = |suspect: &Suspect| suspect.held.is_none();
        let of_caller =
            self.suspects.values().filter(|one| is_free(one) && one.caller == caller).count();
        let all = self.suspects.values().filter(|one| is_free(one)).count();
        let is_crowded = of_caller >= MAX_SUSPECTS_OF_CALLER;
        if !is_crowded && all < MAX_SUSPECTS {
            return;
        }
        let candidates = self
            .suspects
            .iter()
            .filter(|(_, one)| is_free(one) && (!is_crowded || one.caller == caller));
        let oldest = candidates.min_by_key(|(_, one)| one.heard_ms).map(|(id, _)| *id);
        if let Some(oldest) = oldest {
            self.suspects.remove(&oldest);
        }
    }

    /// Lifts the oldest of a caller's requests that are held back, or of all, if there are too many.
    fn limit_held(&mut self, caller: &str, verdicts: &mut Verdicts) {
        let held = || self.suspects.iter().filter(|(_, suspect)| suspect.held.is_some());
        let of_caller = || held().filter(|(_, suspect)| suspect.caller == caller);
        let since = |suspect: &Suspect| suspect.held.map(|held| held.since_ms);
        let oldest = if of_caller().count() > MAX_HELD_OF_CALLER {
            of_caller().min_by_key(|(_, suspect)| since(suspect))
        } else if held().count() > MAX_HELD {
            held().min_by_key(|(_, suspect)| since(suspect))
        } else {
            None
        };
        if let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&oldest);
            verdicts.lifted.push(oldest);
        }
    }
}
