//! The queued requests of one host at the placing keeper, and the call that awaits decisions.

use std::collections::BTreeMap;

use clayplank_placement::{PlacementId, PlacementRequest};
use tokio::sync::oneshot;

use crate::Decisions;
use crate::keeper_queue::Decision;

/// Time after which a request that its host no longer lists is dropped here, in ms. It is longer
/// than the lease of the queue (1,000 ms), after which the request is no longer decided.
const KEEP_MS: f64 = 2_000.0;

/// A queued request, and the time at which its host last asked for it.
#[derive(Debug)]
struct Waiting {
    request: PlacementRequest,
    renewed_ms: f64,
}

/// Queued requests of one host, and its call.
#[derive(Debug, Default)]
pub(crate) struct HostTurns {
    waiting: BTreeMap<PlacementId, Waiting>,
    /// The newest call of the host, if it was not answered yet.
    call: Option<oneshot::Sender<Decisions>>,
}

impl HostTurns {
    /// Adds or renews a queued request.
    pub(crate) fn renew(&mut self, now_ms: f64, request: &PlacementRequest) {
        let waiting = Waiting { request: request.clone(), renewed_ms: now_ms };
        self.waiting.insert(request.id, waiting);
    }

    /// Requests of the host whose decisions were not sent.
    pub(crate) fn waiting_ids(&self) -> Vec<PlacementId> {
        self.waiting.keys().copied().collect()
    }

    /// Whether the decision on a request is still to be sent.
    pub(crate) fn is_waiting(&self, id: PlacementId) -> bool {
        self.waiting.contains_key(&id)
    }

    /// Whether the decision on any request is still to be sent.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Replaces the host's call by a newer one. The former call fails.
    pub(crate) fn set_call(&mut self, call: oneshot::Sender<Decisions>) {
        self.call = Some(call);
    }

    /// Whether the host awaits decisions now.
    pub(crate) fn has_open_call(&self) -> bool {
        self.call.as_ref().is_some_and(|call| !call.is_closed())
    }

    /// Answers the call with decisions, if there are any. Returns those that were sent. A call that
    /// was given up meanwhile leaves them to the next one.
    pub(crate) fn answer(&mut self, decisions: Decisions) -> Vec<Decision> {
        if decisions.is_empty() {
            return Vec::new();
        }
        let Some(call) = self.call.take() else {
            return Vec::new();
        };
        if call.send(decisions.clone()).is_err() {
            return Vec::new();
        }
        let sent = decisions.into_iter().filter_map(|(id, outcome)| {
            let request = self.waiting.remove(&id)?.request;
            Some(Decision { request, outcome })
        });
        sent.collect()
    }

    /// Drops a request that has ended.
    pub(crate) fn remove(&mut self, id: PlacementId) {
        self.waiting.remove(&id);
    }

    /// Drops what the host has not asked for recently. Returns whether anything is left.
    pub(crate) fn expire(&mut self, now_ms: f64) -> bool {
        self.waiting.retain(|_, one| now_ms < one.renewed_ms + KEEP_MS);
        self.has_open_call() || self.has_waiting()
    }
}
