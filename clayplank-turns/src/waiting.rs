//! The queued requests of one entry host, each with the future that waits for its decision.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use clayplank_clock::Instant;
use clayplank_placement::{PlacementId, PlacementOutcome, PlacementRequest};
use clayplank_types::HostId;
use tokio::sync::{Notify, oneshot};

use crate::await_loop::TurnKeepers;

/// State of a request that may be queued.
#[derive(Debug)]
enum TurnState {
    /// Its placement was requested, and no answer has arrived yet.
    Asked,
    /// This keeper has it in its queue; `None` after the keeper did not answer a call.
    Queued(Option<HostId>),
    /// Its decision is in the channel to the future that waits for it.
    Decided,
}

#[derive(Debug)]
struct Turn {
    /// The request as it was at `asked_at`.
    request: PlacementRequest,
    asked_at: Instant,
    state: TurnState,
    /// `None` once it is decided.
    decision: Option<oneshot::Sender<PlacementOutcome>>,
    /// Taken by the future that waits for the decision.
    receiver: Option<oneshot::Receiver<PlacementOutcome>>,
}

impl Turn {
    /// The request with the times that its caller has waited meanwhile.
    fn request_now(&self) -> PlacementRequest {
        self.request.aged(self.asked_at.elapsed().as_secs_f64() * 1e3)
    }
}

/// The requests of an entry host that are queued, or may be as soon as a keeper answers.
#[derive(Debug, Default)]
pub struct WaitingTurns {
    turns: Mutex<BTreeMap<PlacementId, Turn>>,
    /// Notified when a request is queued or taken off the list.
    changed: Notify,
}

impl WaitingTurns {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<PlacementId, Turn>> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers a request before its placement is requested: the decision on it may arrive before
    /// the answer that it was queued. `None` for a request that is never queued.
    pub fn ask<'a, K: TurnKeepers>(
        &'a self,
        keepers: &'a K,
        request: &PlacementRequest,
    ) -> Option<AskedTurn<'a, K>> {
        request.queue_terms.as_ref()?;
        let (decision, receiver) = oneshot::channel();
        let turn = Turn {
            request: request.clone(),
            asked_at: Instant::now(),
            state: TurnState::Asked,
            decision: Some(decision),
            receiver: Some(receiver),
        };
        self.lock().insert(request.id, turn);
        Some(AskedTurn { turns: self, keepers, id: request.id, is_open: true })
    }

    /// Takes the receiver of the decision on a request; `None` if it is not queued.
    pub(crate) fn take_receiver(
        &self,
        id: PlacementId,
    ) -> Option<oneshot::Receiver<PlacementOutcome>> {
        self.lock().get_mut(&id)?.receiver.take()
    }

    fn set_queued(&self, id: PlacementId, keeper: HostId) {
        if let Some(turn) = self.lock().get_mut(&id).filter(|turn| turn.decision.is_some()) {
            turn.state = TurnState::Queued(Some(keeper));
        }
        self.changed.notify_one();
    }

    /// Takes a request off the list. Returns it with its times brought up to date.
    pub(crate) fn remove(&self, id: PlacementId) -> Option<PlacementRequest> {
        let removed = self.lock().remove(&id);
        self.changed.notify_one();
        removed.map(|turn| turn.request_now())
    }

    /// Hands a decision to the future that waits for it. Returns whether the request is known.
    pub(crate) fn deliver(&self, id: PlacementId, outcome: PlacementOutcome) -> bool {
        let mut turns = self.lock();
        let Some(turn) = turns.get_mut(&id) else {
            return false;
        };
        turn.state = TurnState::Decided;
        if let Some(decision) = turn.decision.take() {
            // The receiver is gone only while its future is dropped, which then reports the end.
            decision.send(outcome).ok();
        }
        true
    }

    /// All queued requests, with their times brought up to date, for a call to `keeper`, which
    /// thereby has them in its queue.
    pub(crate) fn list(&self, keeper: &HostId) -> Vec<PlacementRequest> {
        let mut turns = self.lock();
        let queued = turns.values_mut().filter_map(|turn| match &mut turn.state {
            TurnState::Asked | TurnState::Decided => None,
            TurnState::Queued(queued_at) => {
                *queued_at = Some(keeper.clone());
                Some(turn.request_now())
            }
        });
        queued.collect()
    }

    /// Records that `keeper` did not answer a call: it may not have any of the requests in its queue.
    pub(crate) fn set_unanswered(&self, keeper: &HostId) {
        for turn in self.lock().values_mut() {
            if let TurnState::Queued(queued_at) = &mut turn.state {
                queued_at.take_if(|queued_at| queued_at == keeper);
            }
        }
    }

    /// Whether `keeper` has queued a request, and has not failed to answer a call since.
    pub(crate) fn is_queued_at(&self, keeper: &HostId) -> bool {
        let is_there =
            |turn: &Turn| matches!(&turn.state, TurnState::Queued(Some(at)) if at == keeper);
        self.lock().values().any(is_there)
    }

    /// All queued requests, for decisions without a keeper.
    pub(crate) fn queued(&self) -> Vec<PlacementRequest> {
        let turns = self.lock();
        let queued = turns.values().filter(|turn| matches!(turn.state, TurnState::Queued(_)));
        queued.map(Turn::request_now).collect()
    }

    /// Waits until a request is queued.
    pub(crate) async fn wait_for_queued(&self) {
        self.wait_until(|keepers| keepers.next().is_some()).await;
    }

    /// Whether a request is queued.
    pub(crate) fn has_queued(&self) -> bool {
        self.lock().values().any(|turn| matches!(turn.state, TurnState::Queued(_)))
    }

    /// Waits until a call to `keeper` is of no more use: because nothing is queued any more, or, if
    /// the call may be replaced, because another keeper has queued a request, on which `keeper`
    /// can't decide yet.
    pub(crate) async fn wait_for_other_call(&self, keeper: &HostId, may_replace: bool) {
        self.wait_until(|keepers| {
            let mut is_empty = true;
            for queued_at in keepers {
                is_empty = false;
                if may_replace && queued_at != Some(keeper) {
                    return true;
                }
            }
            is_empty
        })
        .await;
    }

    /// Waits for a condition on the keepers that have queued requests of this host.
    async fn wait_until(&self, is_met: impl Fn(&mut dyn Iterator<Item = Option<&HostId>>) -> bool) {
        loop {
            let is_met_now = {
                let turns = self.lock();
                let mut keepers = turns.values().filter_map(|turn| match &turn.state {
                    TurnState::Queued(keeper) => Some(keeper.as_ref()),
                    TurnState::Asked | TurnState::Decided => None,
                });
                is_met(&mut keepers)
            };
            if is_met_now {
                return;
            }
            self.changed.notified().await;
        }
    }
}

/// A registered request whose placement was requested. Dropping it gives the request up.
#[derive(Debug)]
pub struct AskedTurn<'a, K: TurnKeepers> {
    turns: &'a WaitingTurns,
    keepers: &'a K,
    id: PlacementId,
    is_open: bool,
}

impl<K: TurnKeepers> AskedTurn<'_, K> {
    /// Records that a keeper has queued the request; [`crate::await_turn`] must follow.
    pub fn set_queued(mut self, keeper: HostId) {
        self.is_open = false;
        self.turns.set_queued(self.id, keeper);
    }

    /// Records that the request was decided at once.
    pub fn set_decided(mut self) {
        self.is_open = false;
        self.turns.remove(self.id);
    }
}

impl<K: TurnKeepers> Drop for AskedTurn<'_, K> {
    fn drop(&mut self) {
        if self.is_open {
            self.turns.remove(self.id);
            self.keepers.report_ended(self.id);
        }
    }
}
