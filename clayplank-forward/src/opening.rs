//! Opens a stream: tries upstreams until one sends a first event.

use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::UpstreamId;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::attempt::{Attempt, BUSY_RETRY_MS};
use crate::call::Call;
use crate::choice::Chosen;
use crate::clock::millis;
use crate::events::StreamEvent;
use crate::headers::strip_hop_by_hop;
use crate::load::{LoadGuard, Outcome};
use crate::refusal::{AnswerBody, Refusal, full};
use crate::source::{Next, Source};

/// An upstream may take this many times what was expected until its first event, and a margin.
const FIRST_EVENT_FACTOR: f64 = 4.0;

/// The margin, in ms: a pass of a busy engine and the way there.
const FIRST_EVENT_MARGIN_MS: f64 = 1_000.0;

/// Nor less than this many goals: what an engine has read of a long prompt is lost with the attempt.
const FIRST_EVENT_GOALS: f64 = 2.0;

/// A stream that has begun: the head of its answer, and its first event.
pub(crate) struct Begun {
    pub(crate) head: Parts,
    pub(crate) source: Source,
    pub(crate) first: Option<StreamEvent>,
    pub(crate) timing: Timing,
}

/// How a stream began, for the line that tells of its end.
#[derive(Clone, Copy)]
pub(crate) struct Timing {
    pub(crate) expected_ms: u64,
    pub(crate) first_event_ms: u64,
    pub(crate) helpers: usize,
}

/// What the attempts to open a stream came to.
pub(crate) enum Opened {
    Begun(Box<Begun>),
    /// An answer that is no stream.
    Other(Response<AnswerBody>),
}

/// Tries upstreams until one sends a first event.
pub(crate) async fn open(call: &mut Call) -> Result<Opened, Refusal> {
    let mut refusal = Refusal::Failed;
    let mut failed_answer = None;
    loop {
        let chosen = match call.choose().await {
            Ok(chosen) => chosen,
            Err(none) => {
                refusal = none;
                break;
            }
        };
        match open_at(call, chosen, call.facts.last_event_id).await {
            Tried::Begun(begun) => return Ok(Opened::Begun(begun)),
            Tried::Other(response, is_final) => {
                if is_final {
                    return Ok(Opened::Other(response));
                }
                failed_answer = Some(response);
            }
            Tried::NotRun => refusal = Refusal::NotRun { retry_after_ms: BUSY_RETRY_MS },
            Tried::Lost => {}
        }
        if !call.may_try() {
            break;
        }
    }
    failed_answer.map(Opened::Other).ok_or(refusal)
}

/// What one attempt to open a stream came to.
enum Tried {
    Begun(Box<Begun>),
    /// Another answer of the upstream, and whether no other upstream could do better.
    Other(Response<AnswerBody>, bool),
    NotRun,
    Lost,
}

/// One attempt, up to its first event.
async fn open_at(call: &mut Call, chosen: Chosen, last_event_id: Option<u64>) -> Tried {
    let patience = first_event_patience(call, chosen.expected_ms);
    let began = Instant::now();
    let expected_ms = chosen.expected_ms as u64;
    let helpers = chosen.helpers.split(',').filter(|helper| !helper.is_empty()).count();
    let upstream = chosen.record.heartbeat.id.to_string();
    let (response, connection, load) = match call.attempt(chosen, last_event_id, patience).await {
        Attempt::Answered(response, connection, load) => (response, connection, load),
        Attempt::NotRun => return Tried::NotRun,
        Attempt::Lost => return Tried::Lost,
    };
    let (head, body) = response.into_parts();
    if !head.status.is_success() {
        return take_other(call, head, body, load).await;
    }
    let mut source = Source::new(upstream, body, connection, load);
    let first = match source.next(patience.saturating_sub(began.elapsed())).await {
        Next::Event(event) => Some(event),
        Next::End => None,
        Next::Broken(cause) => return note_lost(call, source, cause, last_event_id),
        Next::Silent => return note_lost(call, source, "silent", last_event_id),
    };
    source.load.note_started();
    let first_event_ms = began.elapsed().as_millis() as u64;
    let timing = Timing { expected_ms, first_event_ms, helpers };
    Tried::Begun(Box::new(Begun { head, source, first, timing }))
}

fn note_lost(call: &Call, mut source: Source, cause: &str, last_event_id: Option<u64>) -> Tried {
    source.note_broken();
    log_broken(call, &source.upstream, cause, last_event_id);
    Tried::Lost
}

fn first_event_patience(call: &Call, expected_ms: f64) -> Duration {
    let is_last = !call.kind().may_repeat() || call.sent_count + 1 >= call.route.max_attempts;
    let usual_ms = expected_ms * FIRST_EVENT_FACTOR + FIRST_EVENT_MARGIN_MS;
    let usual_ms = usual_ms.max(call.route.goal_ms as f64 * FIRST_EVENT_GOALS);
    let left = call.left();
    if is_last { left } else { left.min(millis(usual_ms as u64)) }
}

/// An answer that is no stream, such as the upstream's own failure.
async fn take_other(call: &Call, mut head: Parts, body: Incoming, mut load: LoadGuard) -> Tried {
    let is_failure = head.status.is_server_error();
    load.note_outcome(if is_failure { Outcome::Failed } else { Outcome::Good });
    strip_hop_by_hop(&mut head.headers);
    match body.collect().await {
        Ok(collected) => {
            call.note_answered();
            Tried::Other(Response::from_parts(head, full(collected.to_bytes())), !is_failure)
        }
        Err(error) => {
            log::info!(target: "forward", "An answer was not whole: {error}.");
            Tried::Lost
        }
    }
}

/// Notes that an upstream did not end its stream, and tells so.
pub(crate) fn log_broken(call: &Call, upstream: &str, cause: &str, last_event_id: Option<u64>) {
    call.note_break(&UpstreamId::new(upstream));
    call.entry.figures.count_attempt("broken");
    log::info!(target: "forward",
        request = call.facts.attempt_id, route = call.route.name, upstream = upstream,
        cause = cause, last_event = last_event_id.unwrap_or_default(),
        waited_ms = call.waited_ms(), fingerprint:% = call.fingerprint;
        "A stream broke off at its upstream");
}

/// Why a stream does not go on at another upstream.
pub(crate) enum NotResumed {
    /// No upstream takes it; nothing was sent.
    NoUpstream,
    /// The one that was chosen did not go on.
    Failed,
}

/// One attempt to go on after an event at another upstream.
pub(crate) async fn open_elsewhere(
    call: &mut Call,
    last_event_id: Option<u64>,
) -> Result<Begun, NotResumed> {
    let chosen = call.choose().await.map_err(|_| NotResumed::NoUpstream)?;
    match open_at(call, chosen, last_event_id).await {
        Tried::Begun(begun) => Ok(*begun),
        Tried::Other(..) | Tried::NotRun | Tried::Lost => Err(NotResumed::Failed),
    }
}
