//! Prompt parts that upstreams survived.
//!
//! A part that terminates upstreams does so shortly after they begin to write an answer. An upstream
//! has survived the parts of a prompt if it still works some time after it began: its answer goes
//! on, or it responds to a request that was sent later.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::{Fingerprint, UpstreamId};

/// Time after the start of an answer within which a prompt may terminate its upstream.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(400);

/// Minimum time between the two events that show that an answer goes on. A host that was suspended
/// reads all events that arrived meanwhile at once.
const CONFIRMATION_TIME: Duration = Duration::from_millis(100);

/// Time for which survivals, and answers that may still be followed by one, are remembered.
const RETENTION: Duration = Duration::from_secs(10);

/// Number of remembered parts, and of upstreams, above which expired ones are removed.
const PRUNE_THRESHOLD: usize = 1_024;

/// Maximum number of remembered parts.
const MAX_PARTS: usize = 8_192;

/// Maximum number of complete answers of one upstream that may still be followed by a survival.
const MAX_UNCONFIRMED: usize = 64;

/// Progress of an answer, from its first event on.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerProgress {
    first_event_at: Option<Instant>,
    last_event_at: Option<Instant>,
    /// Time of the first event after [`SURVIVAL_TIME`].
    settled_at: Option<Instant>,
}

impl AnswerProgress {
    /// Records an event; returns whether it is the first to show that the upstream survived.
    pub(crate) fn record_event(&mut self, now: Instant) -> bool {
        let first_event_at = *self.first_event_at.get_or_insert(now);
        let previous_at = self.last_event_at.replace(now);
        if now < first_event_at + SURVIVAL_TIME {
            return false;
        }
        let settled_at = *self.settled_at.get_or_insert(now);
        let confirmed_at = settled_at + CONFIRMATION_TIME;
        now >= confirmed_at && previous_at.is_some_and(|previous_at| previous_at < confirmed_at)
    }

    /// Time of the first event.
    pub(crate) fn first_event_at(&self) -> Option<Instant> {
        self.first_event_at
    }

    /// Whether the upstream may have terminated because of the prompt, if it has.
    pub(crate) fn is_suspicious(&self) -> bool {
        let written_for = self.first_event_at.zip(self.last_event_at);
        written_for.is_none_or(|(first_at, last_at)| last_at - first_at < SURVIVAL_TIME)
    }
}

/// A complete answer whose upstream has not been heard of since.
#[derive(Debug)]
struct Unconfirmed {
    parts: Vec<Fingerprint>,
    begun_at: Instant,
}

/// Survivals that this host has observed.
#[derive(Debug, Default)]
pub(crate) struct Survivals {
    /// Start of the latest answer that an upstream survived, by part.
    by_part: HashMap<Fingerprint, Instant>,
    unconfirmed: HashMap<UpstreamId, VecDeque<Unconfirmed>>,
}

impl Survivals {
    /// Start of the latest answer to a prompt with this part that an upstream survived.
    pub(crate) fn latest(&self, part: Fingerprint) -> Option<Instant> {
        self.by_part.get(&part).copied()
    }

    /// Records that an upstream survived this part.
    pub(crate) fn record(&mut self, part: Fingerprint, begun_at: Instant) {
        let latest = self.by_part.entry(part).or_insert(begun_at);
        *latest = begun_at.max(*latest);
        if self.by_part.len() > PRUNE_THRESHOLD {
            self.by_part.retain(|_, begun_at| begun_at.elapsed() < RETENTION);
        }
        if self.by_part.len() > MAX_PARTS {
            self.by_part.clear();
        }
    }

    /// Records that an upstream completed an answer, which it may not survive.
    pub(crate) fn record_complete(
        &mut self,
        upstream: &UpstreamId,
        parts: Vec<Fingerprint>,
        begun_at: Instant,
    ) {
        let answers = self.unconfirmed.entry(upstream.clone()).or_default();
        answers.push_back(Unconfirmed { parts, begun_at });
        if answers.len() > MAX_UNCONFIRMED {
            answers.pop_front();
        }
        if self.unconfirmed.len() > PRUNE_THRESHOLD {
            self.unconfirmed.retain(|_, answers| {
                answers.back().is_some_and(|answer| answer.begun_at.elapsed() < RETENTION)
            });
        }
    }

    /// Takes the complete answers that an upstream has survived, as it responded to a request sent at
    /// this time; returns the parts and the start of each.
    pub(crate) fn take_survived(
        &mut self,
        upstream: &UpstreamId,
        sent_at: Instant,
    ) -> Vec<(Vec<Fingerprint>, Instant)> {
        let Some(answers) = self.unconfirmed.get_mut(upstream) else {
            return Vec::new();
        };
        let (survived, remaining): (Vec<_>, Vec<_>) =
            answers.drain(..).partition(|answer| answer.begun_at + SURVIVAL_TIME <= sent_at);
        answers.extend(remaining);
        if answers.is_empty() {
            self.unconfirmed.remove(upstream);
        }
        survived.into_iter().map(|answer| (answer.parts, answer.begun_at)).collect()
    }
}
