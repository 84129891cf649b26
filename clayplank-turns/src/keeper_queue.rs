//! The admission queue of the placing keeper, with the calls by which hosts await its decisions.

use std::collections::HashMap;

use clayplank_placement::{
    Assignment, Event, PlacementId, PlacementOutcome, PlacementRequest, RunningPlacement,
};
use tokio::sync::oneshot;

use crate::Decisions;
use crate::admission_control::AdmissionControl;
use crate::host_turns::HostTurns;

/// A decision on a queued request that was sent to its host.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The request as its host sent it last.
    pub request: PlacementRequest,
    /// What was decided; never [`PlacementOutcome::Queued`].
    pub outcome: PlacementOutcome,
}

/// A call of a host that awaits decisions.
#[derive(Debug)]
pub struct HostCall {
    /// Gets the decisions as soon as there are some. Fails if a newer call of the host replaces
    /// this one, or if the keeper no longer places.
    pub decisions: oneshot::Receiver<Decisions>,
    /// Decisions that were sent at once.
    pub sent: Vec<Decision>,
}

/// The queue of one keeper, and the calls of the hosts.
#[derive(Debug, Default)]
pub struct KeeperQueue<L> {
    admission: L,
    hosts: HashMap<u64, HostTurns>,
}

impl<L: AdmissionControl> KeeperQueue<L> {
    /// A queue whose decisions `admission` makes.
    pub fn new(admission: L) -> Self {
        Self { admission, hosts: HashMap::new() }
    }

    /// Decides on an arrival. If it is queued, a call that its host awaits already can be answered
    /// with the decision on it.
    pub fn place(&mut self, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome {
        let outcome = self.admission.place(now_ms, request);
        if matches!(outcome, PlacementOutcome::Queued { .. }) {
            self.hosts.entry(request.id.host).or_default().renew(now_ms, request);
        }
        outcome
    }

    /// Takes over a host's call with all of its queued requests. `placed` finds the placement of a
    /// request that this keeper or another one has placed although the host still lists it: the
    /// reply was lost, so it is answered again.
    pub fn start_call(
        &mut self,
        now_ms: f64,
        host: u64,
        queued: &[PlacementRequest],
        placed: impl Fn(PlacementId) -> Option<Assignment>,
    ) -> HostCall {
        let turns = self.hosts.entry(host).or_default();
        let (mut known, mut unknown) = (Decisions::new(), Vec::new());
        for request in queued {
            turns.renew(now_ms, request);
            match placed(request.id) {
                Some(assignment) => known.push((request.id, PlacementOutcome::At(assignment))),
                None => unknown.push(request.clone()),
            }
        }
        self.admission.renew(now_ms, host, &unknown);
        let (sender, decisions) = oneshot::channel();
        turns.set_call(sender);
        let is_known = |id: &PlacementId| known.iter().any(|(one, _)| one == id);
        let undecided: Vec<_> =
            turns.waiting_ids().into_iter().filter(|id| !is_known(id)).collect();
        known.extend(self.admission.take_decisions(host, &undecided));
        HostCall { decisions, sent: turns.answer(known) }
    }

    /// Decides what can be decided now, and answers the calls of the hosts concerned. Decisions on
    /// requests of a host without a call are left in the admission control, which frees the slots of those that
    /// no call fetches. Returns the decisions that were sent.
    pub fn advance(&mut self, now_ms: f64) -> Vec<Decision> {
        self.admission.advance(now_ms);
        let mut sent = Vec::new();
        for (host, turns) in &mut self.hosts {
            if turns.has_waiting() && turns.has_open_call() {
                let decisions = self.admission.take_decisions(*host, &turns.waiting_ids());
                sent.extend(turns.answer(decisions));
            }
        }
        self.hosts.retain(|_, turns| turns.expire(now_ms));
        sent
    }

    /// Applies an event of a placement or of a queued request.
    pub fn apply_event(&mut self, now_ms: f64, id: PlacementId, event: Event) {
        self.admission.apply_event(now_ms, id, event);
        match event {
            Event::Started { .. } => {}
            Event::Ended
            | Event::Failed
            | Event::Broken
            | Event::Unreached
            | Event::HelperFailed { .. } => {
                if let Some(turns) = self.hosts.get_mut(&id.host) {
                    turns.remove(id);
                }
            }
        }
    }

    /// Adds placements that another keeper made. A request among them that is queued here leaves
    /// the queue, and its host's call is answered with the placement: that keeper's reply was lost.
    pub fn take_over(&mut self, now_ms: f64, placed: &[RunningPlacement]) {
        for one in placed {
            let id = one.ask.id;
            let turns = self.hosts.get_mut(&id.host).filter(|turns| turns.is_waiting(id));
            if let Some(turns) = turns {
                // Takes it off the queue before the placement of the same id is added.
                self.admission.apply_event(now_ms, id, Event::Ended);
                turns.answer(vec![(id, PlacementOutcome::At(one.assignment.clone()))]);
                turns.remove(id);
            }
        }
        self.admission.take_over(now_ms, placed);
    }

    /// Drops all placements and queued requests, for a keeper that no longer places. Calls that wait
    /// fail, so that their hosts turn to the keeper that places now.
    pub fn forget(&mut self) {
        self.admission.forget();
        self.hosts.clear();
    }

    /// Whether all of these requests wait for a decision here.
    pub fn knows_all(&self, host: u64, queued: &[PlacementRequest]) -> bool {
        let turns = self.hosts.get(&host);
        queued.iter().all(|one| turns.is_some_and(|turns| turns.is_waiting(one.id)))
    }

    /// Whether any host waits for a decision.
    pub fn has_waiting(&self) -> bool {
        self.hosts.values().any(HostTurns::has_waiting)
    }

    /// What decides here.
    pub fn admission(&self) -> &L {
        &self.admission
    }

    /// What decides here, to update its engines.
    pub fn admission_mut(&mut self) -> &mut L {
        &mut self.admission
    }
}
