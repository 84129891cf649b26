//! A request that was taken in whole: what it is, and what became of it so far.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_routes::{RequestKind, Route};
use clayplank_types::{RequestFingerprint, UpstreamId};
use http::Response;
use http::request::Parts;

use crate::clock::{millis, now_ms};
use crate::entry::Entry;
use crate::facts::RequestFacts;
use crate::held_bytes::Held;
use crate::refusal::{AnswerBody, Refusal};

/// Connections that may fail, beyond the first, before a request is given up.
const MAX_UNREACHED: usize = 3;

/// An event stream whose route has no goal for pauses is given this one, in ms.
const USUAL_PAUSE_GOAL_MS: u64 = 1_000;

/// Callers give a stream up after this many goals,
const PATIENCE_GOALS: f64 = 4.0;

/// or after this many pause goals, whichever is later.
const PATIENCE_PAUSE_GOALS: f64 = 8.0;

/// Callers of streams wait this long at least, in ms.
const MIN_PATIENCE_MS: f64 = 2_000.0;

/// A request that was taken in whole, on its way to upstreams.
pub(crate) struct Call {
    pub(crate) entry: Arc<Entry>,
    pub(crate) facts: RequestFacts,
    /// Who sent it; empty if nothing tells.
    pub(crate) caller: String,
    /// The same whenever its caller sends it again, at any host.
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    /// The body counts in what this host holds.
    pub(crate) _held: Held,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) is_engine: bool,
    pub(crate) account: Option<String>,
    pub(crate) rank: u8,
    pub(crate) arrived: Instant,
    /// Since when its caller waits for the next event, once its stream has begun.
    pub(crate) waits_since: Option<Instant>,
    pub(crate) deadline: Instant,
    /// Upstreams that it was sent to, or that could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// Engines that failed it as helpers.
    pub(crate) unfit_helpers: Vec<UpstreamId>,
    /// How often it was written to an upstream.
    pub(crate) sent_count: u32,
    /// Whether one of them may have run it.
    pub(crate) may_have_run: bool,
    /// Whether its caller has an answer, or the head of one.
    pub(crate) is_answered: bool,
    /// Whether it is held back, and may be sent once all the same.
    pub(crate) is_trial: bool,
}

/// A call that is dropped without an answer has lost its caller: the line says where it was.
impl Drop for Call {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        log::info!(target: "forward",
            request = self.facts.attempt_id, route = self.route.name,
            upstream = self.tried.last().map_or("", UpstreamId::as_str),
            sent = self.sent_count, prompt_tokens = self.facts.prompt_tokens,
            waited_ms = self.waited_ms(), left_ms = self.left().as_millis() as u64;
            "The caller left before an answer");
        self.entry.figures.count(&self.route.name, "caller_left_early");
    }
}

impl Call {
    /// Whether it must not be sent to an upstream: others ended under the same request.
    pub(crate) fn is_held_back(&self) -> bool {
        let may_be_tried = self.is_trial && self.sent_count == 0;
        !may_be_tried && self.entry.suspicion.held_for(self.fingerprint).is_some()
    }

    /// Whether another attempt may be made, and pays for it.
    pub(crate) fn may_try(&self) -> bool {
        if self.is_held_back() {
            return false;
        }
        if self.sent_count == 0 {
            // Nothing was written yet, but each connection that failed took time.
            return self.tried.len() <= MAX_UNREACHED;
        }
        let is_allowed = !self.may_have_run || self.route.kind.may_repeat();
        is_allowed
            && self.sent_count < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.entry.lock_budget().take_retry(now_ms(), &self.service)
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// How long its caller has waited for the first event, or for the next one.
    pub(crate) fn waited(&self) -> Duration {
        self.waits_since.unwrap_or(self.arrived).elapsed()
    }

    /// How long its caller still waits for an event.
    pub(crate) fn patience(&self) -> Duration {
        let goal_ms = self.route.goal_ms as f64;
        let pause_goal_ms = self.pause_goal_ms() as f64;
        let patience_ms = (PATIENCE_GOALS * goal_ms)
            .max(PATIENCE_PAUSE_GOALS * pause_goal_ms)
            .max(MIN_PATIENCE_MS);
        millis(patience_ms as u64).saturating_sub(self.waited()).min(self.left())
    }

    /// The longest pause between its events that is in time.
    pub(crate) fn pause_goal_ms(&self) -> u64 {
        self.route.pause_goal_ms.unwrap_or(USUAL_PAUSE_GOAL_MS)
    }

    pub(crate) fn waited_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// The answer to a caller whose request got none.
    pub(crate) fn give_up(&self, refusal: Refusal) -> Response<AnswerBody> {
        let is_over = Instant::now() >= self.deadline;
        let told = if is_over {
            Refusal::TimedOut
        } else if self.may_have_run {
            Refusal::Failed
        } else if let Some(held_for) = self.entry.suspicion.held_for(self.fingerprint) {
            Refusal::HeldBack { retry_after_ms: held_for.as_millis() as u64 }
        } else {
            refusal
        };
        log::info!(target: "forward",
            request = self.facts.attempt_id, route = self.route.name, outcome = told.as_str(),
            tried = self.tried.len(), sent = self.sent_count, waited_ms = self.waited_ms(),
            retry_after_ms = told.retry_after_ms().unwrap_or_default(),
            prompt_tokens = self.facts.prompt_tokens, plan = self.entry.gate.plan_version(),
            fingerprint:% = self.fingerprint,
            left_ms = self.left().as_millis() as u64;
            "Gave a request up");
        self.entry.figures.count(&self.route.name, told.as_str());
        told.to_response()
    }

    /// Notes that an upstream answered it whole, and lived.
    pub(crate) fn note_answered(&self) {
        self.entry.suspicion.note_answered(self.fingerprint, &self.caller);
    }

    pub(crate) fn kind(&self) -> RequestKind {
        self.route.kind
    }
}
