//! Decisions on queued requests, kept until their hosts have them.

use std::collections::BTreeMap;

use clayplank_placement::{Assignment, PlacementId, PlacementOutcome};

use crate::queue::QUEUE_LEASE_MS;

/// A decision that was fetched is kept for this long, in ms: the reply may be lost, and the host
/// asks again after its time-out.
const REPEAT_MS: f64 = 2_000.0;

/// What was decided on a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Verdict {
    /// It was placed.
    Placed(Assignment),
    /// Its caller should return at this time.
    Refused {
        /// Time of the appointment.
        return_at_ms: f64,
    },
    /// Its caller left. A list of its host that was sent earlier may still name it.
    Left,
}

#[derive(Clone, Debug)]
struct Decision {
    verdict: Verdict,
    drop_at_ms: f64,
    is_fetched: bool,
}

/// Decisions by request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Decided {
    by_id: BTreeMap<PlacementId, Decision>,
}

impl Decided {
    pub(crate) fn insert(&mut self, now_ms: f64, id: PlacementId, verdict: Verdict) {
        let is_fetched = verdict == Verdict::Left;
        let drop_at_ms = now_ms + if is_fetched { REPEAT_MS } else { QUEUE_LEASE_MS };
        self.by_id.insert(id, Decision { verdict, drop_at_ms, is_fetched });
    }

    pub(crate) fn remove(&mut self, id: PlacementId) -> Option<Verdict> {
        self.by_id.remove(&id).map(|one| one.verdict)
    }

    pub(crate) fn get(&self, id: PlacementId) -> Option<&Verdict> {
        self.by_id.get(&id).map(|one| &one.verdict)
    }

    /// Outcome of a decision, which is kept for some time in case the reply is lost.
    pub(crate) fn fetch(&mut self, now_ms: f64, id: PlacementId) -> Option<PlacementOutcome> {
        let one = self.by_id.get_mut(&id)?;
        if !one.is_fetched {
            one.is_fetched = true;
            one.drop_at_ms = now_ms + REPEAT_MS;
        }
        match &one.verdict {
            Verdict::Placed(assignment) => Some(PlacementOutcome::At(assignment.clone())),
            Verdict::Refused { return_at_ms } => {
                let retry_after_ms = (return_at_ms - now_ms).max(0.0) as u64;
                Some(PlacementOutcome::Full { retry_after_ms })
            }
            Verdict::Left => None,
        }
    }

    /// Removes old decisions. Returns the placements that were never fetched, whose slots must be
    /// freed.
    pub(crate) fn take_stale(&mut self, now_ms: f64) -> Vec<PlacementId> {
        let stale = self.by_id.extract_if(.., |_, one| one.drop_at_ms < now_ms);
        let unfetched =
            stale.filter(|(_, one)| !one.is_fetched && matches!(one.verdict, Verdict::Placed(_)));
        unfetched.map(|(id, _)| id).collect()
    }
}
