//! Forwards answers that are not streams: they are read completely before the first byte is sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_types::UpstreamId;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;

use crate::answer::parse_framing;
use crate::attempt::{Attempt, BUSY_RETRY_MS, CUT_OFF_RETRY_MS};
use crate::buffer_quota::{BufferPermit, CountedBody};
use crate::call::Call;
use crate::choice::Chosen;
use crate::gate::ProgressGuard;
use crate::headers::strip_hop_by_hop;
use crate::load::Outcome;
use crate::refusal::{AnswerBody, Refusal};
use crate::survivals::AnswerProgress;
use crate::whole_body::read_whole_body;

/// A request is abandoned this long before its time limit, so that the response still arrives in
/// time.
const ABANDON_MARGIN: Duration = Duration::from_millis(20);

/// Forwards a request until it has an answer.
pub(crate) async fn run(mut call: Call, _guard: ProgressGuard) -> Response<AnswerBody> {
    let deadline = call.deadline - ABANDON_MARGIN;
    let entry = Arc::clone(&call.entry);
    let tried = entry.gate.unless_ending(try_upstreams(&mut call));
    let tried = clayplank_clock::timeout_at(deadline, tried).await;
    call.set_answered();
    match tried {
        Ok(Ok(response)) => response,
        Ok(Err(refusal)) => call.abandon(refusal),
        Err(_) => {
            call.may_have_run |= call.sent_count > 0 || !call.tried.is_empty();
            call.deadline = Instant::now();
            call.abandon(Refusal::TimedOut)
        }
    }
}

/// An upstream's answer that was read completely.
struct CompleteAnswer {
    upstream: UpstreamId,
    head: Parts,
    bytes: Bytes,
    buffer_permit: BufferPermit,
}

/// Result of one attempt.
enum AttemptResult {
    Succeeded(CompleteAnswer),
    /// The upstream responded with an error; another upstream may do better.
    Failed(CompleteAnswer),
    NotRun,
    /// This host reaches no upstream; nothing was sent.
    CutOff,
    MayHaveRun,
}

/// Tries upstreams until one succeeds or no further attempt is allowed.
async fn try_upstreams(call: &mut Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut failed_answer = None;
    let mut refusal = Refusal::Failed;
    loop {
        let chosen = match call.choose().await {
            Ok(chosen) => chosen,
            Err(refused) => {
                refusal = refused;
                break;
            }
        };
        match try_one(call, chosen).await {
            AttemptResult::Succeeded(answer) => return Ok(finish(call, answer)),
            AttemptResult::Failed(answer) => failed_answer = Some(answer),
            AttemptResult::NotRun => refusal = Refusal::NotRun { retry_after_ms: BUSY_RETRY_MS },
            AttemptResult::CutOff => {
                refusal = Refusal::NotRun { retry_after_ms: CUT_OFF_RETRY_MS };
                break;
            }
            AttemptResult::MayHaveRun => {}
        }
        if !call.may_retry() {
            break;
        }
    }
    match failed_answer {
        // The upstream's error is the answer if no other upstream does better.
        Some(answer) => Ok(finish(call, answer)),
        None => Err(refusal),
    }
}

/// Makes one attempt, up to the end of the answer.
async fn try_one(call: &mut Call, chosen: Chosen) -> AttemptResult {
    let upstream = chosen.record.heartbeat.id.clone();
    let timeout = call.attempt_timeout();
    let (response, connection, mut load) =
        match call.attempt(chosen, call.metadata.last_event_id, timeout).await {
            Attempt::Answered(response, connection, load) => (response, connection, *load),
            Attempt::NotRun => return AttemptResult::NotRun,
            Attempt::CutOff => return AttemptResult::CutOff,
            Attempt::MayHaveRun => return AttemptResult::MayHaveRun,
        };
    let begun_at = Instant::now();
    let framing = parse_framing(response.status(), response.headers());
    let (head, body) = response.into_parts();
    let read = clayplank_clock::timeout(timeout, read_whole_body(body, &call.entry.buffer_quota));
    // An answer of a replaced upstream counts as incomplete.
    let mut read = load.unless_replaced(read).await.unwrap_or(Ok(None));
    if read.is_err() {
        call.record_cut_off(timeout);
    }
    if matches!(read, Ok(Some(_))) && !load.is_complete_at_close(framing).await {
        read = Ok(None);
    }
    drop(connection);
    let is_good = matches!(read, Ok(Some(_))) && !head.status.is_server_error();
    load.record_outcome(match &read {
        Ok(Some(_)) if is_good => Outcome::Good,
        Ok(Some(_)) => Outcome::Failed,
        Ok(None) | Err(_) => Outcome::Broken,
    });
    drop(load);
    match read {
        Ok(Some(_)) => call.record_answered(&upstream, begun_at),
        Ok(None) | Err(_) => call.record_break(&upstream, AnswerProgress::default()),
    }
    match read {
        Ok(Some((bytes, buffer_permit))) if is_good => {
            AttemptResult::Succeeded(CompleteAnswer { upstream, head, bytes, buffer_permit })
        }
        Ok(Some((bytes, buffer_permit))) => {
            AttemptResult::Failed(CompleteAnswer { upstream, head, bytes, buffer_permit })
        }
        Ok(None) | Err(_) => AttemptResult::MayHaveRun,
    }
}

fn finish(call: &Call, answer: CompleteAnswer) -> Response<AnswerBody> {
    let CompleteAnswer { upstream, mut head, bytes, buffer_permit } = answer;
    strip_hop_by_hop(&mut head.headers);
    log::info!(target: "forward",
        request = call.metadata.attempt_id, route = call.route.name, upstream = upstream.as_str(),
        status = head.status.as_u16(), goal_ms = call.route.goal_ms, sent = call.sent_count,
        waited_ms = call.waited_ms(), fingerprint:% = call.fingerprint(),
        left_ms = call.remaining().as_millis() as u64;
        "Answered");
    call.entry.metrics.count(&call.route.name, "answered");
    call.entry.metrics.record_first_byte(&call.route.name, call.waited_ms());
    Response::from_parts(head, CountedBody::new(bytes, buffer_permit).boxed_unsync())
}
