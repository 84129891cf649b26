//! Forwards event streams: the head is sent with the first event, later events as they arrive.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use crate::buffer_quota::BufferQuota;
use crate::call::Call;
use crate::caller_queue::{CallerQueue, QueuedEvent};
use crate::gate::ProgressGuard;
use crate::headers::strip_hop_by_hop;
use crate::opening::{Opened, StartedStream, open};
use crate::pump::Pump;
use crate::refusal::{AnswerBody, BrokenOff, Refusal};

/// Maximum number of events queued for a slow caller; beyond it, the upstream is not read.
const MAX_QUEUED_EVENTS: usize = 64;

/// Maximum number of queued bytes, which takes effect when events are large.
const MAX_QUEUED_BYTES: usize = 256 << 10;

/// Forwards a request until its first event; later events are forwarded in a background task.
pub(crate) async fn run(mut call: Call, guard: ProgressGuard) -> Response<AnswerBody> {
    let (entry, deadline) = (Arc::clone(&call.entry), call.deadline);
    let opened = entry.gate.unless_ending(open(&mut call));
    let opened = clayplank_clock::timeout_at(deadline, opened).await;
    call.set_answered();
    match opened {
        Ok(Ok(Opened::Started(started))) => respond(call, guard, *started),
        Ok(Ok(Opened::Other(response))) => response,
        Ok(Err(refusal)) => call.abandon(refusal),
        Err(_) => {
            call.may_have_run |= !call.tried.is_empty();
            call.abandon(Refusal::TimedOut)
        }
    }
}

/// Sends the head, and then events as they arrive.
fn respond(call: Call, guard: ProgressGuard, started: StartedStream) -> Response<AnswerBody> {
    let StartedStream { mut head, source, first, timing } = started;
    strip_hop_by_hop(&mut head.headers);
    call.entry.metrics.record_first_byte(&call.route.name, call.waited_ms());
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
    let quota = BufferQuota::new(MAX_QUEUED_BYTES);
    let pump = Pump::new(call, CallerQueue { sender, quota }, source, timing);
    tokio::spawn(async move {
        pump.run(first).await;
        drop(guard);
    });
    Response::from_parts(head, EventBody { receiver }.boxed_unsync())
}

/// A body of events; it ends with an error if the stream broke off.
struct EventBody {
    receiver: mpsc::Receiver<Result<QueuedEvent, BrokenOff>>,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let next = self.receiver.poll_recv(context);
        next.map(|next| next.map(|event| event.map(|queued| Frame::data(queued.bytes))))
    }
}
