//! The calls by which an entry host awaits the decisions on its queued requests.

use std::collections::HashMap;
use std::future::Future;
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_placement::{PlacementId, PlacementOutcome, PlacementRequest};
use clayplank_types::HostId;

use crate::waiting::WaitingTurns;
use crate::{AWAIT_TIMEOUT_MS, Decisions};

/// Time for which a keeper that did not answer is not called, unless another leader is found earlier
/// or the keeper queues a request. Elections take about half a second; a call to a frozen leader in
/// between would delay the decisions of its deputy by its whole time-out.
const KEEPER_BACKOFF: Duration = Duration::from_millis(1_000);

/// Minimum time between the starts of two calls that are answered. It bounds the calls of a host
/// whose requests are decided one by one.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(5);

/// The keepers of an entry host, and what it does without them.
pub trait TurnKeepers: Send + Sync {
    /// Keepers that may decide on queued requests, in the order in which they are tried: the leader,
    /// then its deputy.
    fn placing_keepers(&self) -> Vec<HostId>;

    /// Waits until another leader is found.
    fn wait_for_other_leader(&self) -> impl Future<Output = ()> + Send;

    /// Sends all queued requests to a keeper and waits for decisions; `None` if it does not answer.
    /// The call is dropped after [`AWAIT_TIMEOUT_MS`].
    fn call_keeper(
        &self,
        keeper: &HostId,
        queued: &[PlacementRequest],
    ) -> impl Future<Output = Option<Decisions>> + Send;

    /// Records that a keeper did not answer such a call in time.
    fn record_unanswered(&self, keeper: &HostId);

    /// Places or refuses a request without a keeper.
    fn decide_locally(&self, request: &PlacementRequest) -> PlacementOutcome;

    /// Reports that a request has ended: its caller has left, or nobody waits for it.
    fn report_ended(&self, id: PlacementId);

    /// Handles a decision on a request that is not on the list of this host.
    fn record_unexpected(&self, id: PlacementId, outcome: &PlacementOutcome);
}

/// Keepers that did not answer recently, and the ends of their backoffs.
#[derive(Debug, Default)]
struct Unanswered {
    until: HashMap<HostId, Instant>,
    /// The keeper that led when the backoffs began.
    leader: Option<HostId>,
}

impl Unanswered {
    fn insert(&mut self, keeper: HostId) {
        self.until.insert(keeper, Instant::now() + KEEPER_BACKOFF);
    }

    /// The first of `keepers` that is not in its backoff. All backoffs end when another keeper
    /// leads, which may have been the unresponsive deputy before. The backoff of a keeper ends when
    /// it queues a request: a list sent to its deputy would have both decide on that request, each
    /// without the other's placements.
    fn first_other(&mut self, keepers: Vec<HostId>, turns: &WaitingTurns) -> Option<HostId> {
        if self.leader.as_ref() != keepers.first() {
            self.leader = keepers.first().cloned();
            self.until.clear();
        }
        let now = Instant::now();
        self.until.retain(|keeper, until| now < *until && !turns.is_queued_at(keeper));
        keepers.into_iter().find(|keeper| !self.until.contains_key(keeper))
    }
}

/// Awaits the decisions on all queued requests of a host, with at most one call at a time and only
/// while something is queued.
pub async fn run_await_loop<K: TurnKeepers>(turns: &WaitingTurns, keepers: &K) {
    let mut unanswered = Unanswered::default();
    // Keeper whose call was replaced by one with a longer list.
    let mut replaced_at = None;
    loop {
        turns.wait_for_queued().await;
        let Some(keeper) = unanswered.first_other(keepers.placing_keepers(), turns) else {
            decide_all_locally(turns, keepers);
            continue;
        };
        // Only one call is replaced until one is answered or times out: if each request that the
        // deputy queues started a new time-out, a silent leader would keep all requests waiting.
        let may_replace = replaced_at.take().as_ref() != Some(&keeper);
        let started = Instant::now();
        let queued = turns.list(&keeper);
        let call = clayplank_clock::timeout(
            Duration::from_millis(AWAIT_TIMEOUT_MS),
            keepers.call_keeper(&keeper, &queued),
        );
        let answer = tokio::select! {
            answer = call => answer.ok().flatten(),
            () = turns.wait_for_other_call(&keeper, may_replace) => {
                replaced_at = turns.has_queued().then_some(keeper);
                continue;
            }
            () = keepers.wait_for_other_leader() => continue,
        };
        match answer {
            Some(decisions) => {
                for (id, outcome) in decisions {
                    deliver(turns, keepers, id, &outcome);
                }
                clayplank_clock::sleep_until(started + MIN_CALL_INTERVAL).await;
            }
            None => {
                keepers.record_unanswered(&keeper);
                turns.set_unanswered(&keeper);
                unanswered.insert(keeper);
            }
        }
    }
}

fn deliver<K: TurnKeepers>(
    turns: &WaitingTurns,
    keepers: &K,
    id: PlacementId,
    outcome: &PlacementOutcome,
) {
    // A keeper that has not decided says so by leaving the request out.
    if matches!(outcome, PlacementOutcome::Queued { .. }) {
        return;
    }
    if !turns.deliver(id, outcome.clone()) {
        keepers.record_unexpected(id, outcome);
    }
}

/// Decides on each queued request without a keeper, since none answers.
fn decide_all_locally<K: TurnKeepers>(turns: &WaitingTurns, keepers: &K) {
    for request in turns.queued() {
        turns.deliver(request.id, keepers.decide_locally(&request));
    }
}

/// A request whose future waits for its decision. Dropping it undecided gives the request up.
struct AwaitedTurn<'a, K: TurnKeepers> {
    turns: &'a WaitingTurns,
    keepers: &'a K,
    id: PlacementId,
    is_open: bool,
}

impl<K: TurnKeepers> Drop for AwaitedTurn<'_, K> {
    fn drop(&mut self) {
        self.turns.remove(self.id);
        if self.is_open {
            self.keepers.report_ended(self.id);
        }
    }
}

/// Waits for the decision on a queued request. Dropping the future takes the request off the list
/// and reports its end. A request that is not on the list is decided locally.
pub async fn await_turn<K: TurnKeepers>(
    turns: &WaitingTurns,
    keepers: &K,
    request: &PlacementRequest,
) -> PlacementOutcome {
    let mut turn = AwaitedTurn { turns, keepers, id: request.id, is_open: true };
    let decision = match turns.take_receiver(request.id) {
        Some(receiver) => receiver.await.ok(),
        None => None,
    };
    turn.is_open = false;
    decision.unwrap_or_else(|| keepers.decide_locally(request))
}
