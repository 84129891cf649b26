//! A request that has been received completely, and its progress so far.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_routes::{RequestKind, Route};
use clayplank_types::{Fingerprint, UpstreamId};
use http::Response;
use http::request::Parts;

use crate::attempt::BUSY_RETRY_MS;
use crate::buffer_quota::BufferPermit;
use crate::clock::{millis, now_ms};
use crate::entry::Entry;
use crate::quarantine::QuarantineKeys;
use crate::queue_quota::QueuePermit;
use crate::refusal::{AnswerBody, Refusal};
use crate::request_metadata::RequestMetadata;

/// Failed connections, beyond the first, before a request is abandoned.
const MAX_FAILED_CONNECTS: usize = 3;

/// Maximum wait for the end of a backoff, as a share of the remaining time until the goal.
const MAX_BACKOFF_WAIT_SHARE: f64 = 0.5;

/// Maximum pause between events for routes without a pause goal, in ms.
const DEFAULT_PAUSE_GOAL_MS: u64 = 1_000;

/// Time for which callers of streams wait for an event, in latency goals of the route. They leave after the
/// longest of this and the next two values.
const CALLER_TIMEOUT_GOAL_FACTOR: f64 = 4.0;

/// The same time in pause goals of the route.
const CALLER_TIMEOUT_PAUSE_FACTOR: f64 = 8.0;

/// The same time in ms.
const MIN_CALLER_TIMEOUT_MS: f64 = 2_000.0;

/// A caller that leaves when less than this is left until its deadline, in ms, leaves because of its
/// deadline: this says nothing about the time for which callers of the route wait.
const OWN_DEADLINE_MARGIN_MS: u64 = 200;

/// Counts a body towards the buffer quota or, while its request waits in the admission queue,
/// towards the bounds of the queue.
#[derive(Debug)]
pub(crate) struct BodyPermit {
    pub(crate) buffer: BufferPermit,
    /// Kept after the wait if the buffer quota had no room for the body.
    pub(crate) queue: Option<QueuePermit>,
}

/// A request that has been received completely and is being forwarded to upstreams.
pub(crate) struct Call {
    pub(crate) entry: Arc<Entry>,
    pub(crate) metadata: RequestMetadata,
    /// Account name or digest of the caller's key; empty if the caller sent neither.
    pub(crate) caller: String,
    /// Fingerprints by which the request may be quarantined; that of the request is identical
    /// whenever the same caller repeats it, at any host.
    pub(crate) keys: QuarantineKeys,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    /// Counts the body towards a bound of the memory of this host.
    pub(crate) body_permit: Mutex<BodyPermit>,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) is_engine: bool,
    pub(crate) account: Option<String>,
    pub(crate) rank: u8,
    pub(crate) arrived: Instant,
    /// Time at which the last event was sent to the caller; `None` until the stream has started.
    pub(crate) last_event_at: Option<Instant>,
    pub(crate) deadline: Instant,
    /// Upstreams that the request was sent to, or that could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// Engines that failed as helpers of this request.
    pub(crate) failed_helpers: Vec<UpstreamId>,
    /// Longest time-out by which an attempt was cut off.
    pub(crate) longest_cut_off: Duration,
    /// Number of times that the request was written to an upstream.
    pub(crate) sent_count: u32,
    /// Whether an upstream may have run it.
    pub(crate) may_have_run: bool,
    /// Whether the caller has received an answer, or the head of one.
    pub(crate) is_answered: bool,
    /// Whether the request is quarantined, or has a quarantined part, but may be sent once as a
    /// trial.
    pub(crate) is_trial: bool,
}

/// A call that is dropped without an answer has lost its caller; logs how far it had got.
impl Drop for Call {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        log::info!(target: "forward",
            request = self.metadata.attempt_id, route = self.route.name,
            upstream = self.tried.last().map_or("", UpstreamId::as_str),
            sent = self.sent_count, prompt_tokens = self.metadata.prompt_tokens,
            waited_ms = self.waited_ms(), left_ms = self.remaining().as_millis() as u64,
            fingerprint:% = self.fingerprint();
            "The caller left before an answer");
        self.entry.metrics.count(&self.route.name, "caller_left_early");
        self.record_left();
    }
}

impl Call {
    /// Fingerprint of the request.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.keys.request
    }

    /// Whether the request may be sent although it is quarantined.
    fn may_be_tried(&self) -> bool {
        self.is_trial && self.sent_count == 0
    }

    /// Whether the request must not be sent because it is quarantined, or a part of its prompt:
    /// upstreams terminated under it.
    pub(crate) fn is_quarantined(&self) -> bool {
        !self.may_be_tried() && self.entry.quarantine.time_to_trial(&self.keys).is_some()
    }

    /// Waits until the request must not be sent any more because it is quarantined.
    pub(crate) async fn wait_until_quarantined(&self) {
        if self.may_be_tried() {
            std::future::pending::<()>().await;
        }
        self.entry.quarantine.wait_until_quarantined(&self.keys).await;
    }

    /// Whether another attempt is allowed; takes a retry from the budget if so.
    pub(crate) fn may_retry(&self) -> bool {
        if self.is_quarantined() {
            return false;
        }
        if self.sent_count == 0 {
            // Nothing was written yet, but every failed connection took time.
            return self.tried.len() <= MAX_FAILED_CONNECTS;
        }
        let is_allowed = !self.may_have_run || self.route.kind.is_repeatable();
        is_allowed
            && self.sent_count < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.entry.lock_budget().take_retry(now_ms(), &self.service)
    }

    pub(crate) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Time that the caller has waited for the first event, or for the next one.
    pub(crate) fn waited(&self) -> Duration {
        self.last_event_at.unwrap_or(self.arrived).elapsed()
    }

    /// Time for which the caller will still wait for an event.
    pub(crate) fn caller_timeout(&self) -> Duration {
        let goal_ms = self.route.goal_ms as f64;
        let pause_goal_ms = self.pause_goal_ms() as f64;
        let timeout_ms = (CALLER_TIMEOUT_GOAL_FACTOR * goal_ms)
            .max(CALLER_TIMEOUT_PAUSE_FACTOR * pause_goal_ms)
            .max(MIN_CALLER_TIMEOUT_MS);
        millis(timeout_ms as u64).saturating_sub(self.waited()).min(self.remaining())
    }

    /// Time for which the caller will still wait in the admission queue. Callers of some routes are
    /// known to leave earlier than others.
    pub(crate) fn queue_timeout(&self) -> Duration {
        let leaving_time = self.entry.leaving_times.leaving_time(&self.route.name);
        let learned = leaving_time.map(|time| time.saturating_sub(self.waited()));
        learned.unwrap_or(Duration::MAX).min(self.caller_timeout())
    }

    /// Marks the call as answered, and records how long its caller has waited for the answer or its
    /// first event.
    pub(crate) fn set_answered(&mut self) {
        self.is_answered = true;
        if self.is_engine {
            self.entry.leaving_times.record_stayed(&self.route.name, self.waited());
        }
    }

    /// Records how long the caller had waited when it left. Requests to plain services are never
    /// queued, so nothing is learned from them.
    fn record_left(&self) {
        if !self.is_engine {
            return;
        }
        let (leaving_times, route) = (&self.entry.leaving_times, &self.route.name);
        if self.remaining() > millis(OWN_DEADLINE_MARGIN_MS) {
            leaving_times.record_left(route, self.waited());
        } else {
            leaving_times.record_stayed(route, self.waited());
        }
    }

    /// Time that an upstream is expected to need for the answer or its first event.
    fn expected_work(&self) -> Duration {
        let plan = self.entry.gate.plan();
        match plan.as_ref().and_then(|plan| plan.engine_model(&self.service)) {
            Some(model) => {
                let prefill_ms = model.part_prefill_ms(self.metadata.prompt_tokens, 1);
                millis(prefill_ms as u64)
            }
            None => self.entry.directory.expected_answer(&self.service),
        }
    }

    /// Time for which a request that has not begun may wait and still be answered in time.
    pub(crate) fn remaining_goal(&self) -> Duration {
        millis(self.route.goal_ms).saturating_sub(self.waited()).min(self.remaining())
    }

    /// Time for which the request may wait for the end of a backoff. A part of the goal is left to
    /// run the request. A started stream is not rejected, so it waits as long as its caller does.
    pub(crate) fn max_backoff_wait(&self) -> Duration {
        if self.last_event_at.is_some() {
            self.caller_timeout()
        } else {
            self.remaining_goal().mul_f64(MAX_BACKOFF_WAIT_SHARE)
        }
    }

    /// Whether no attempt is allowed after the next one.
    pub(crate) fn is_last_attempt(&self) -> bool {
        !self.kind().is_repeatable() || self.sent_count + 1 >= self.route.max_attempts
    }

    /// Time-out of an attempt: an equal share of the remaining time for each attempt that is still
    /// allowed. No attempt is cut off for one that could not end in time, nor if the work may take
    /// longer than the share: as the longest recent answers of the service did, or as an earlier attempt
    /// of this request has shown.
    pub(crate) fn attempt_timeout(&self) -> Duration {
        let remaining = self.remaining();
        if self.is_last_attempt() {
            return remaining;
        }
        let share = remaining / (self.route.max_attempts - self.sent_count);
        let longest_answer = self.entry.directory.longest_answer(&self.service);
        let work = self.expected_work().max(longest_answer).max(self.longest_cut_off);
        if share <= work { remaining } else { share }
    }

    /// Records that an attempt was cut off by its time-out.
    pub(crate) fn record_cut_off(&mut self, timeout: Duration) {
        self.longest_cut_off = self.longest_cut_off.max(timeout);
    }

    /// Maximum pause between two events of the stream, in ms.
    pub(crate) fn pause_goal_ms(&self) -> u64 {
        self.route.pause_goal_ms.unwrap_or(DEFAULT_PAUSE_GOAL_MS)
    }

    pub(crate) fn waited_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Response to a caller whose request could not be answered; logs and counts it.
    pub(crate) fn abandon(&self, refusal: Refusal) -> Response<AnswerBody> {
        let is_past_deadline = Instant::now() >= self.deadline;
        let reported = if is_past_deadline && self.may_have_run {
            Refusal::TimedOut
        } else if is_past_deadline {
            Refusal::NotRun { retry_after_ms: BUSY_RETRY_MS }
        } else if self.may_have_run {
            Refusal::Failed
        } else if let Some(wait) = self.entry.quarantine.time_to_trial(&self.keys) {
            Refusal::Quarantined { retry_after_ms: wait.as_millis() as u64 }
        } else {
            self.with_backoff(refusal)
        };
        log::info!(target: "forward",
            request = self.metadata.attempt_id, route = self.route.name, outcome = reported.as_str(),
            tried = self.tried.len(), sent = self.sent_count, waited_ms = self.waited_ms(),
            retry_after_ms = reported.retry_after_ms().unwrap_or_default(),
            prompt_tokens = self.metadata.prompt_tokens, plan = self.entry.gate.plan_version(),
            fingerprint:% = self.fingerprint(),
            left_ms = self.remaining().as_millis() as u64;
            "Gave a request up");
        self.entry.metrics.count(&self.route.name, reported.as_str());
        reported.to_response()
    }

    /// Delays the retry until an upstream of the service accepts requests, if all are in a backoff.
    fn with_backoff(&self, refusal: Refusal) -> Refusal {
        match refusal {
            Refusal::NotRun { retry_after_ms } => {
                let backoff = self.entry.directory.shortest_backoff(&self.service);
                let retry_after_ms = retry_after_ms.max(backoff.as_millis() as u64);
                Refusal::NotRun { retry_after_ms }
            }
            Refusal::Malformed
            | Refusal::NoRoute
            | Refusal::NoAccount
            | Refusal::TooLarge
            | Refusal::TooSlow
            | Refusal::NoPlan { .. }
            | Refusal::Quarantined { .. }
            | Refusal::TooManyParts
            | Refusal::TimedOut
            | Refusal::Failed => refusal,
        }
    }

    /// Records that an upstream, which began to answer at this time, answered the request
    /// completely.
    pub(crate) fn record_answered(&self, upstream: &UpstreamId, begun_at: Instant) {
        let quarantine = &self.entry.quarantine;
        quarantine.record_answered(self.keys.request, &self.caller);
        quarantine.record_answer_complete(upstream, &self.keys, begun_at);
        self.confirm_survival(upstream, begun_at);
    }

    /// Records that an upstream, which began to answer at this time, survived the request so far.
    pub(crate) fn record_survived(&self, begun_at: Instant) {
        self.entry.quarantine.record_parts_survived(&self.keys.prompt_parts, begun_at);
    }

    pub(crate) fn kind(&self) -> RequestKind {
        self.route.kind
    }
}
