//! Answers that come whole: they are read to their end before the first byte goes out.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::attempt::{Attempt, BUSY_RETRY_MS};
use crate::call::Call;
use crate::clock::millis;
use crate::gate::ProgressGuard;
use crate::headers::strip_hop_by_hop;
use crate::refusal::{AnswerBody, Refusal, full};

/// The largest answer that is held, in bytes; callers' requests are no larger either.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A request that may be repeated waits this many goals for one upstream before another is asked.
const PATIENCE_GOALS: u64 = 3;

/// How long before its time limit a request is given up, so that the answer comes in time.
const GIVE_UP_MARGIN: Duration = Duration::from_millis(20);

/// Runs a request until it has an answer.
pub(crate) async fn run(mut call: Call, _guard: ProgressGuard) -> Response<AnswerBody> {
    let deadline = call.deadline - GIVE_UP_MARGIN;
    match tokio::time::timeout_at(deadline, try_upstreams(&mut call)).await {
        Ok(Ok(response)) => response,
        Ok(Err(refusal)) => call.give_up(refusal),
        Err(_) => {
            call.may_have_run |= call.sent_count > 0 || !call.tried.is_empty();
            call.deadline = Instant::now();
            call.give_up(Refusal::TimedOut)
        }
    }
}

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
        let upstream = chosen.record.heartbeat.id.clone();
        let patience = patience(call);
        match call.attempt(chosen, call.facts.last_event_id, patience).await {
            Attempt::Answered(response, connection, mut load) => {
                let (head, body) = response.into_parts();
                let read = tokio::time::timeout(patience, read_whole(body)).await;
                drop(connection);
                let is_good = matches!(read, Ok(Some(_))) && !head.status.is_server_error();
                load.note_outcome(is_good);
                drop(load);
                if let Ok(Some(bytes)) = read {
                    if is_good {
                        return Ok(finish(call, upstream.as_str(), head, bytes));
                    }
                    failed_answer = Some((upstream, head, bytes));
                }
            }
            Attempt::NotRun => refusal = Refusal::NotRun { retry_after_ms: BUSY_RETRY_MS },
            Attempt::Lost => {}
        }
        if !call.may_try() {
            break;
        }
    }
    match failed_answer {
        // The upstream's own failure is its answer if no other does better.
        Some((upstream, head, bytes)) => Ok(finish(call, upstream.as_str(), head, bytes)),
        None => Err(refusal),
    }
}

/// How long one upstream may take while another could be asked.
fn patience(call: &Call) -> Duration {
    let is_last = !call.kind().may_repeat() || call.sent_count + 1 >= call.route.max_attempts;
    let left = call.left();
    if is_last { left } else { left.min(millis(call.route.goal_ms * PATIENCE_GOALS)) }
}

/// The whole body, or `None` if it broke off.
async fn read_whole(body: Incoming) -> Option<Bytes> {
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(collected) => Some(collected.to_bytes()),
        Err(error) => {
            log::info!(target: "forward", "An answer was not whole: {error}.");
            None
        }
    }
}

fn finish(call: &Call, upstream: &str, mut head: Parts, bytes: Bytes) -> Response<AnswerBody> {
    strip_hop_by_hop(&mut head.headers);
    log::info!(target: "forward",
        request = call.facts.attempt_id, route = call.route.name, upstream = upstream,
        status = head.status.as_u16(), sent = call.sent_count, waited_ms = call.waited_ms();
        "Answered");
    call.entry.figures.count(&call.route.name, "answered");
    call.entry.figures.record_first_byte(&call.route.name, call.waited_ms());
    Response::from_parts(head, full(bytes))
}
