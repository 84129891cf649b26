//! Answers that come whole: they are read to their end before the first byte goes out.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
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
use crate::gate::ProgressGuard;
use crate::headers::strip_hop_by_hop;
use crate::held_bytes::{Held, HeldBody, HeldBytes};
use crate::load::Outcome;
use crate::refusal::{AnswerBody, Refusal};

/// The largest answer that is held, in bytes; callers' requests are no larger either.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A request that may be repeated waits this many goals for one upstream before another is asked.
const PATIENCE_GOALS: u64 = 3;

/// How long before its time limit a request is given up, so that the answer comes in time.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(20);

/// Runs a request until it has an answer.
pub(crate) async fn run(mut call: Call, _guard: ProgressGuard) -> Response<AnswerBody> {
    let deadline = call.deadline - GIVE_UP_MARGIN;
    let tried = clayplank_clock::timeout_at(deadline, try_upstreams(&mut call)).await;
    call.is_answered = true;
    match tried {
        Ok(Ok(response)) => response,
        Ok(Err(refusal)) => call.give_up(refusal),
        Err(_) => {
            call.may_have_run |= call.sent_count > 0 || !call.tried.is_empty();
            call.deadline = Instant::now();
            call.give_up(Refusal::TimedOut)
        }
    }
}

/// An upstream's answer that was read to its end.
struct Whole {
    upstream: UpstreamId,
    head: Parts,
    bytes: Bytes,
    held: Held,
}

/// What one attempt brought.
enum Tried {
    Good(Whole),
    /// The upstream's own failure; another may do better.
    Bad(Whole),
    NotRun,
    Lost,
}

/// Tries upstreams until one answers well, or no other may be tried.
async fn try_upstreams(call: &mut Call) -> Result<Response<AnswerBody>, Refusal> {
    let mut failed_answer = None;
    let mut refusal = Refusal::Failed;
    loop {
        let chosen = match call.choose().await {
            Ok(chosen) => chosen,
            Err(none) => {
                refusal = none;
                break;
            }
        };
        match try_one(call, chosen).await {
            Tried::Good(answer) => return Ok(finish(call, answer)),
            Tried::Bad(answer) => failed_answer = Some(answer),
            Tried::NotRun => refusal = Refusal::NotRun { retry_after_ms: BUSY_RETRY_MS },
            Tried::Lost => {}
        }
        if !call.may_try() {
            break;
        }
    }
    match failed_answer {
        // The upstream's own failure is its answer if no other does better.
        Some(answer) => Ok(finish(call, answer)),
        None => Err(refusal),
    }
}

/// One attempt, up to the end of its answer.
async fn try_one(call: &mut Call, chosen: Chosen) -> Tried {
    let upstream = chosen.record.heartbeat.id.clone();
    let patience = patience(call);
    let (response, connection, mut load) =
        match call.attempt(chosen, call.facts.last_event_id, patience).await {
            Attempt::Answered(response, connection, load) => (response, connection, load),
            Attempt::NotRun => return Tried::NotRun,
            Attempt::Lost => return Tried::Lost,
        };
    let (head, body) = response.into_parts();
    let read = clayplank_clock::timeout(patience, read_whole(body, &call.entry.held_bytes));
    // What broke off counts as what was not whole.
    let read = load.unless_replaced(read).await.unwrap_or(Ok(None));
    drop(connection);
    let is_good = matches!(read, Ok(Some(_))) && !head.status.is_server_error();
    load.note_outcome(match &read {
        Ok(Some(_)) if is_good => Outcome::Good,
        Ok(Some(_)) => Outcome::Failed,
        Ok(None) | Err(_) => Outcome::Broken,
    });
    drop(load);
    match read {
        Ok(Some(_)) => call.note_answered(),
        Ok(None) | Err(_) => call.note_break(&upstream),
    }
    match read {
        Ok(Some((bytes, held))) if is_good => Tried::Good(Whole { upstream, head, bytes, held }),
        Ok(Some((bytes, held))) => Tried::Bad(Whole { upstream, head, bytes, held }),
        Ok(None) | Err(_) => Tried::Lost,
    }
}

/// How long one upstream may take while another could be asked.
fn patience(call: &Call) -> Duration {
    let is_last = !call.kind().may_repeat() || call.sent_count + 1 >= call.route.max_attempts;
    let left = call.left();
    if is_last { left } else { left.min(millis(call.route.goal_ms * PATIENCE_GOALS)) }
}

/// The whole body, or `None` if it broke off or is too large. While this host holds as much as it may, the
/// upstream is held up.
async fn read_whole(mut body: Incoming, held_bytes: &HeldBytes) -> Option<(Bytes, Held)> {
    let mut read = BytesMut::new();
    let mut held = Held::default();
    while let Some(frame) = body.frame().await {
        let frame = match frame {
            Ok(frame) => frame,
            Err(error) => {
                log::info!(target: "forward", "An answer was not whole: {error}.");
                return None;
            }
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        if read.len() + bytes.len() > MAX_ANSWER_BYTES {
            log::info!(target: "forward", "An answer is larger than {MAX_ANSWER_BYTES} bytes.");
            return None;
        }
        held_bytes.hold(&mut held, bytes.len()).await;
        read.extend_from_slice(bytes);
    }
    Some((read.freeze(), held))
}

fn finish(call: &Call, answer: Whole) -> Response<AnswerBody> {
    let Whole { upstream, mut head, bytes, held } = answer;
    strip_hop_by_hop(&mut head.headers);
    log::info!(target: "forward",
        request = call.facts.attempt_id, route = call.route.name, upstream = upstream.as_str(),
        status = head.status.as_u16(), goal_ms = call.route.goal_ms, sent = call.sent_count,
        waited_ms = call.waited_ms(), fingerprint:% = call.fingerprint;
        "Answered");
    call.entry.figures.count(&call.route.name, "answered");
    call.entry.figures.record_first_byte(&call.route.name, call.waited_ms());
    Response::from_parts(head, HeldBody::new(bytes, held).boxed_unsync())
}
