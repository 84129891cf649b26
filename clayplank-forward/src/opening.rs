//! Opens a stream: tries upstreams until one sends a first event.

use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::UpstreamId;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::answer::parse_framing;
use crate::attempt::{Attempt, BUSY_RETRY_MS, CUT_OFF_RETRY_MS};
use crate::buffer_quota::CountedBody;
use crate::call::Call;
use crate::choice::Chosen;
use crate::clock::millis;
use crate::events::StreamEvent;
use crate::headers::strip_hop_by_hop;
use crate::load::{LoadGuard, Outcome};
use crate::refusal::{AnswerBody, Refusal};
use crate::source::{EventSource, Next};
use crate::survivals::AnswerProgress;
use crate::whole_body::read_whole_body;

/// The time-out for the first event is the expected time multiplied by this factor, plus a margin.
const FIRST_EVENT_FACTOR: f64 = 4.0;

/// Margin in ms, for one step of a busy engine and the network.
const FIRST_EVENT_MARGIN_MS: f64 = 1_000.0;

/// A started stream: the head of the response, and the first event.
pub(crate) struct StartedStream {
    pub(crate) head: Parts,
    pub(crate) source: EventSource,
    pub(crate) first: Option<StreamEvent>,
    pub(crate) timing: Timing,
}

/// Timing of a stream's start, for the log line about its end.
#[derive(Clone, Copy)]
pub(crate) struct Timing {
    pub(crate) expected_ms: u64,
    pub(crate) first_event_ms: u64,
    pub(crate) helpers: usize,
}

/// Result of the attempts to open a stream.
pub(crate) enum Opened {
    Started(Box<StartedStream>),
    /// A response that is not a stream.
    Other(Response<AnswerBody>),
}

/// Tries upstreams until one sends a first event.
pub(crate) async fn open(call: &mut Call) -> Result<Opened, Refusal> {
    let mut refusal = Refusal::Failed;
    let mut failed_answer = None;
    loop {
        let chosen = match call.choose().await {
            Ok(chosen) => chosen,
            Err(refused) => {
                refusal = refused;
                break;
            }
        };
        match open_at(call, chosen, call.metadata.last_event_id).await {
            OpenResult::Started(started) => return Ok(Opened::Started(started)),
            OpenResult::Other(response, is_final) => {
                if is_final {
                    return Ok(Opened::Other(response));
                }
                failed_answer = Some(response);
            }
            OpenResult::NotRun => refusal = Refusal::NotRun { retry_after_ms: BUSY_RETRY_MS },
            OpenResult::CutOff => {
                refusal = Refusal::NotRun { retry_after_ms: CUT_OFF_RETRY_MS };
                break;
            }
            OpenResult::MayHaveRun => {}
        }
        if !call.may_retry() {
            break;
        }
    }
    failed_answer.map(Opened::Other).ok_or(refusal)
}

/// Result of one attempt to open a stream.
enum OpenResult {
    Started(Box<StartedStream>),
    /// Another response of the upstream, and whether it is final because no other upstream could do
    /// better.
    Other(Response<AnswerBody>, bool),
    NotRun,
    /// This host reaches no upstream; nothing was sent.
    CutOff,
    MayHaveRun,
}

/// Makes one attempt, up to the first event.
async fn open_at(call: &mut Call, chosen: Chosen, last_event_id: Option<u64>) -> OpenResult {
    let timeout = first_event_timeout(call, chosen.expected_ms);
    let started_at = Instant::now();
    let expected_ms = chosen.expected_ms as u64;
    let helpers = chosen.helpers.split(',').filter(|helper| !helper.is_empty()).count();
    let upstream = chosen.record.heartbeat.id.clone();
    let (response, connection, load) = match call.attempt(chosen, last_event_id, timeout).await {
        Attempt::Answered(response, connection, load) => (response, connection, *load),
        Attempt::NotRun => return OpenResult::NotRun,
        Attempt::CutOff => return OpenResult::CutOff,
        Attempt::MayHaveRun => return OpenResult::MayHaveRun,
    };
    let (head, body) = response.into_parts();
    if !head.status.is_success() {
        return read_other(call, &upstream, head, body, load).await;
    }
    let framing = parse_framing(head.status, &head.headers);
    let mut source = EventSource::new(upstream.to_string(), framing, body, connection, load);
    let first = match source.next(timeout.saturating_sub(started_at.elapsed())).await {
        Next::Event(event) => {
            source.progress.record_event(Instant::now());
            Some(event)
        }
        Next::End => None,
        Next::Broken(cause) => return record_broken(call, source, cause, last_event_id),
        Next::TimedOut => return record_broken(call, source, "silent", last_event_id),
    };
    source.load.record_started();
    let first_event_ms = started_at.elapsed().as_millis() as u64;
    let timing = Timing { expected_ms, first_event_ms, helpers };
    OpenResult::Started(Box::new(StartedStream { head, source, first, timing }))
}

fn record_broken(
    call: &Call,
    mut source: EventSource,
    cause: &str,
    last_event_id: Option<u64>,
) -> OpenResult {
    source.record_broken();
    log_broken(call, &source, cause, last_event_id);
    OpenResult::MayHaveRun
}

/// Time-out for the first event. An attempt that times out loses all that its engine has prefilled, so
/// it is only cut off if another one still has the time that this one was expected to need.
fn first_event_timeout(call: &Call, expected_ms: f64) -> Duration {
    let timeout = millis((expected_ms * FIRST_EVENT_FACTOR + FIRST_EVENT_MARGIN_MS) as u64);
    let remaining = call.remaining();
    let has_time_for_another = timeout + millis(expected_ms as u64) <= remaining;
    if call.is_last_attempt() || !has_time_for_another { remaining } else { timeout }
}

/// Reads a response that is not a stream, such as an error of the upstream.
async fn read_other(
    call: &Call,
    upstream: &UpstreamId,
    mut head: Parts,
    body: Incoming,
    mut load: LoadGuard,
) -> OpenResult {
    let is_failure = head.status.is_server_error();
    let framing = parse_framing(head.status, &head.headers);
    load.record_outcome(if is_failure { Outcome::Failed } else { Outcome::Good });
    strip_hop_by_hop(&mut head.headers);
    match read_whole_body(body, &call.entry.buffer_quota).await {
        Some(_) if !load.is_complete_at_close(framing).await => {
            load.record_outcome(Outcome::Broken);
            call.record_break(upstream, AnswerProgress::default());
            OpenResult::MayHaveRun
        }
        Some((bytes, buffer_permit)) => {
            call.record_answered(upstream, Instant::now());
            let body = CountedBody::new(bytes, buffer_permit).boxed_unsync();
            OpenResult::Other(Response::from_parts(head, body), !is_failure)
        }
        None => OpenResult::MayHaveRun,
    }
}

/// Records and logs that an upstream did not complete its stream.
pub(crate) fn log_broken(
    call: &Call,
    source: &EventSource,
    cause: &str,
    last_event_id: Option<u64>,
) {
    call.record_break(&UpstreamId::new(source.upstream.as_str()), source.progress);
    call.entry.metrics.count_attempt("broken");
    log::info!(target: "forward",
        request = call.metadata.attempt_id, route = call.route.name, upstream = source.upstream,
        cause = cause, last_event = last_event_id.unwrap_or_default(),
        waited_ms = call.waited_ms(), fingerprint:% = call.fingerprint();
        "A stream broke off at its upstream");
}

/// Reason why a stream was not resumed at another upstream.
pub(crate) enum NotResumed {
    /// No upstream accepts the stream; nothing was sent.
    NoUpstream,
    /// The chosen upstream did not resume the stream.
    Failed,
}

/// Makes one attempt to resume a stream, after an event, at another upstream.
pub(crate) async fn open_elsewhere(
    call: &mut Call,
    last_event_id: Option<u64>,
) -> Result<StartedStream, NotResumed> {
    let chosen = call.choose().await.map_err(|_| NotResumed::NoUpstream)?;
    match open_at(call, chosen, last_event_id).await {
        OpenResult::Started(started) => Ok(*started),
        OpenResult::CutOff => Err(NotResumed::NoUpstream),
        OpenResult::Other(..) | OpenResult::NotRun | OpenResult::MayHaveRun => {
            Err(NotResumed::Failed)
        }
    }
}
