//! Requests placement of a prompt, and waits in the admission queue if the placer queues it.

use std::sync::{MutexGuard, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_placement::{Event, PlacementId, PlacementOutcome, PlacementRequest, QueueTerms};
use clayplank_routes::RequestKind;

use crate::call::{BodyPermit, Call};
use crate::choice::{MIN_FULL_RETRY_MS, PLACEMENT_RETRY_INTERVAL_MS};
use crate::clock::millis;
use crate::gate::SHUTDOWN_RETRY_MS;
use crate::placer::Placer;
use crate::queue_quota::QueuePermit;

/// A request leaves the queue this long before its caller stops waiting, so that the answer arrives
/// in time. Callers start to count up to 100 ms before their host does.
const ANSWER_MARGIN_MS: u64 = 200;

/// The same if the time at which callers leave was learned. It was observed by this host, so that
/// only the way of the answer is left out.
const LEARNED_ANSWER_MARGIN_MS: u64 = 100;

/// Retry time of a request that the placer did not decide in time, in ms. There is no appointment
/// then, so it is that of other refusals for lack of capacity.
const UNDECIDED_RETRY_MS: u64 = MIN_FULL_RETRY_MS;

/// How a wait in the admission queue ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TurnOutcome {
    /// The request was placed on an engine.
    Placed,
    /// The host is to ask for a placement again.
    Deferred,
    /// The placer refused the request.
    Refused,
    /// The placer did not decide while the caller waited; the host refused the request.
    Undecided,
    /// The host shuts down, and closes before the expected turn of the request.
    Stopping,
    /// The caller left.
    Left,
}

impl TurnOutcome {
    pub(crate) const ALL: [Self; 6] =
        [Self::Placed, Self::Deferred, Self::Refused, Self::Undecided, Self::Stopping, Self::Left];

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Deferred => "deferred",
            Self::Refused => "refused",
            Self::Undecided => "undecided",
            Self::Stopping => "stopping",
            Self::Left => "left",
        }
    }
}

fn undecided() -> (TurnOutcome, PlacementOutcome) {
    let outcome = PlacementOutcome::Full { retry_after_ms: UNDECIDED_RETRY_MS };
    (TurnOutcome::Undecided, outcome)
}

/// A host that closes before the turn; the caller may return once the host is closed.
fn stopping(closes_in: Duration) -> (TurnOutcome, PlacementOutcome) {
    let retry_after_ms = closes_in.as_millis() as u64 + SHUTDOWN_RETRY_MS;
    (TurnOutcome::Stopping, PlacementOutcome::Full { retry_after_ms })
}

/// A request for placement that may have been queued, although its answer has not arrived. Dropping
/// it before the answer reports the end of the request, which frees its turn.
struct UnansweredRequest<'a> {
    placer: &'a dyn Placer,
    id: PlacementId,
    is_answered: bool,
}

impl Drop for UnansweredRequest<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            self.placer.record_event(self.id, Event::Ended);
        }
    }
}

/// A wait in the queue, which counts as left until an outcome is set.
struct Turn<'a> {
    call: &'a Call,
    queued_at: Instant,
    outcome: TurnOutcome,
}

impl<'a> Turn<'a> {
    fn new(call: &'a Call) -> Self {
        call.entry.metrics.count_queued();
        Self { call, queued_at: Instant::now(), outcome: TurnOutcome::Left }
    }

    fn queued_ms(&self) -> u64 {
        self.queued_at.elapsed().as_millis() as u64
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let (metrics, route) = (&self.call.entry.metrics, &self.call.route.name);
        metrics.record_turn(route, self.outcome, self.queued_ms());
    }
}

impl Call {
    /// Permit to wait in the admission queue; `None` if the request must not wait there, or if the
    /// limits of this host are used up. The permit is taken before the placer is asked, so that the
    /// placer never queues more requests than the host allows.
    pub(crate) fn queue_permit(&self) -> Option<QueuePermit> {
        let may_kind_wait = match self.kind() {
            RequestKind::Repeatable | RequestKind::Stream | RequestKind::ResumableStream => true,
            RequestKind::Unrepeatable => false,
        };
        if !may_kind_wait || !self.is_engine || self.last_event_at.is_some() {
            return None;
        }
        let permit = self.entry.queue_quota.try_acquire(self.body.len())?;
        (!self.max_queue_wait().is_zero()).then_some(permit)
    }

    fn lock_body_permit(&self) -> MutexGuard<'_, BodyPermit> {
        self.body_permit.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the permission to wait. A body that waited counts towards the buffer quota again. If that
    /// has no room, the body remains counted by the queue: a placed request holds a slot, so it does
    /// not wait for buffers.
    pub(crate) fn release_queue_permit(&self, queue_permit: Option<QueuePermit>) {
        let Some(mut queue_permit) = queue_permit else {
            return;
        };
        let mut body = self.lock_body_permit();
        if self.entry.buffer_quota.try_resume(&mut body.buffer) {
            body.queue = None;
        } else {
            queue_permit.keep_body_only();
            body.queue = Some(queue_permit);
        }
    }

    /// Terms under which the request may wait in the admission queue.
    pub(crate) fn queue_terms(&self) -> QueueTerms {
        QueueTerms {
            fingerprint: self.fingerprint(),
            account: self.account.clone().unwrap_or_default(),
            rank: self.rank,
            deadline_ms: self.remaining().as_secs_f64() * 1e3,
        }
    }

    /// Maximum time for which the request may wait in the queue from now on.
    pub(crate) fn max_queue_wait(&self) -> Duration {
        let by_rule = self.caller_timeout().saturating_sub(millis(ANSWER_MARGIN_MS));
        let learned = self.queue_timeout().saturating_sub(millis(LEARNED_ANSWER_MARGIN_MS));
        by_rule.min(learned)
    }

    /// Requests a placement; waits for the decision if the request is queued.
    pub(crate) async fn place(&self, request: &PlacementRequest) -> PlacementOutcome {
        let placer = self.entry.placer.as_ref();
        let may_be_queued = request.queue_terms.is_some();
        let mut unanswered =
            UnansweredRequest { placer, id: request.id, is_answered: !may_be_queued };
        let outcome = placer.place(request).await;
        unanswered.is_answered = true;
        match outcome {
            PlacementOutcome::Queued { expected_ms } if may_be_queued => {
                self.wait_in_queue(request, expected_ms).await
            }
            PlacementOutcome::Queued { expected_ms } => {
                log::warn!(target: "forward",
                    request = self.metadata.attempt_id, expected_ms = expected_ms;
                    "A request without queue terms was queued; asks again instead");
                placer.record_event(request.id, Event::Ended);
                PlacementOutcome::Soon { again_in_ms: expected_ms.max(PLACEMENT_RETRY_INTERVAL_MS) }
            }
            PlacementOutcome::At(_)
            | PlacementOutcome::Soon { .. }
            | PlacementOutcome::Full { .. } => outcome,
        }
    }

    /// Waits in the queue until the request is decided, or until its caller must be answered.
    async fn wait_in_queue(
        &self,
        request: &PlacementRequest,
        expected_ms: u64,
    ) -> PlacementOutcome {
        let mut turn = Turn::new(self);
        // Its queue permit counts the body. Otherwise requests that wait would use up the buffers of
        // those that run, and of arrivals.
        self.lock_body_permit().buffer.suspend();
        self.log_queued(expected_ms);
        let decision = self.entry.placer.await_turn(request);
        let decided = clayplank_clock::timeout(self.max_queue_wait(), decision);
        let (turn_outcome, outcome) = tokio::select! {
            biased;
            decided = decided => match decided {
                Ok(outcome) => self.end_turn(request, outcome),
                Err(_) => undecided(),
            },
            closes_in = self.wait_until_turn_is_too_late(expected_ms) => stopping(closes_in),
        };
        turn.outcome = turn_outcome;
        self.log_decided(&turn, &outcome);
        outcome
    }

    /// How the placer's decision ends the wait.
    fn end_turn(
        &self,
        request: &PlacementRequest,
        decided: PlacementOutcome,
    ) -> (TurnOutcome, PlacementOutcome) {
        match decided {
            PlacementOutcome::At(_) => (TurnOutcome::Placed, decided),
            PlacementOutcome::Soon { .. } => (TurnOutcome::Deferred, decided),
            PlacementOutcome::Full { .. } => (TurnOutcome::Refused, decided),
            // Contrary to the placer's contract; the request gives its turn up.
            PlacementOutcome::Queued { .. } => {
                self.entry.placer.record_event(request.id, Event::Ended);
                undecided()
            }
        }
    }

    /// Waits until it is known that the host closes before a turn that is expected in `expected_ms`;
    /// returns the time until it closes. The load balancer may send the retry here again before that.
    async fn wait_until_turn_is_too_late(&self, expected_ms: u64) -> Duration {
        let expected_at = Instant::now() + millis(expected_ms);
        let closes_at = self.entry.gate.wait_until_shutting_down().await;
        if expected_at < closes_at {
            // The turn may come in time; the request is rejected when the host closes.
            return std::future::pending().await;
        }
        closes_at.saturating_duration_since(Instant::now())
    }

    fn log_queued(&self, expected_ms: u64) {
        log::info!(target: "forward",
            request = self.metadata.attempt_id, route = self.route.name,
            fingerprint:% = self.fingerprint(), expected_ms = expected_ms,
            prompt_tokens = self.metadata.prompt_tokens,
            left_ms = self.remaining().as_millis() as u64;
            "The request was queued");
    }

    fn log_decided(&self, turn: &Turn<'_>, outcome: &PlacementOutcome) {
        let retry_after_ms = match outcome {
            PlacementOutcome::Full { retry_after_ms } => *retry_after_ms,
            PlacementOutcome::At(_)
            | PlacementOutcome::Soon { .. }
            | PlacementOutcome::Queued { .. } => 0,
        };
        log::info!(target: "forward",
            request = self.metadata.attempt_id, route = self.route.name,
            fingerprint:% = self.fingerprint(), outcome = turn.outcome.as_str(),
            waited_ms = self.waited_ms(), queued_ms = turn.queued_ms(),
            retry_after_ms = retry_after_ms, left_ms = self.remaining().as_millis() as u64;
            "A queued request was decided");
    }
}
