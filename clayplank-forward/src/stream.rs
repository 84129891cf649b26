//! Answers in events: the head goes out with the first event, the rest as it comes.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use tokio::sync::mpsc;

use crate::call::Call;
use crate::gate::ProgressGuard;
use crate::headers::strip_hop_by_hop;
use crate::held_bytes::HeldBytes;
use crate::opening::{Begun, Opened, open};
use crate::outlet::{Outlet, QueuedEvent};
use crate::pump::Pump;
use crate::refusal::{AnswerBody, BrokenOff, Refusal};

/// Events that wait for a caller that reads slowly; more hold the upstream up.
const QUEUED_EVENTS: usize = 64;

/// The same in bytes, which binds where events are large.
const QUEUED_BYTES: usize = 256 << 10;

/// Runs a request until its first event; the rest follows beside the answer.
pub(crate) async fn run(mut call: Call, guard: ProgressGuard) -> Response<AnswerBody> {
    let opened = clayplank_clock::timeout_at(call.deadline, open(&mut call)).await;
    call.is_answered = true;
    match opened {
        Ok(Ok(Opened::Begun(begun))) => respond(call, guard, *begun),
        Ok(Ok(Opened::Other(response))) => response,
        Ok(Err(refusal)) => call.give_up(refusal),
        Err(_) => {
            call.may_have_run |= !call.tried.is_empty();
            call.give_up(Refusal::TimedOut)
        }
    }
}

/// Sends the head out, and the events as they come.
fn respond(call: Call, guard: ProgressGuard, begun: Begun) -> Response<AnswerBody> {
    let Begun { mut head, source, first, timing } = begun;
    strip_hop_by_hop(&mut head.headers);
    call.entry.figures.record_first_byte(&call.route.name, call.waited_ms());
    let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
    let queue = HeldBytes::new(QUEUED_BYTES);
    let pump = Pump::new(call, Outlet { sender, queue }, source, timing);
    tokio::spawn(async move {
        pump.run(first).await;
        drop(guard);
    });
    Response::from_parts(head, EventBody { receiver }.boxed_unsync())
}

/// A body of events; ends with an error if the stream was broken off.
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
