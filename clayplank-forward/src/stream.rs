//! Answers in events: passed on as they come, and resumed at another upstream.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::attempt::{Attempt, BUSY_RETRY_MS};
use crate::call::Call;
use crate::choice::Chosen;
use crate::clock::millis;
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::Connection;
use crate::gate::ProgressGuard;
use crate::headers::strip_hop_by_hop;
use crate::load::LoadGuard;
use crate::refusal::{AnswerBody, BrokenOff, Refusal, full};

/// Events that wait for a caller that reads slowly; more hold the upstream up.
const QUEUED_EVENTS: usize = 64;

/// An upstream may take this many times what was expected until its first event, and a margin.
const FIRST_EVENT_FACTOR: f64 = 4.0;

/// The margin, in ms: a pass of a busy engine and the way there.
const FIRST_EVENT_MARGIN_MS: f64 = 1_000.0;

/// Nor less than this many goals: what an engine has read of a long prompt is lost with the attempt.
const FIRST_EVENT_GOALS: f64 = 2.0;

/// Silence between events after which a stream is resumed elsewhere: this many pause goals,
const SILENT_GOALS: u64 = 3;

/// but not less than this, in ms: engines cut streams themselves after a stall of 1.5 s.
const MIN_SILENCE_MS: u64 = 1_000;

/// What an upstream's stream brings next.
enum Next {
    Event(StreamEvent),
    /// It ended as a whole answer does.
    End,
    /// It broke off.
    Broken(&'static str),
    /// It said nothing for too long.
    Silent,
}

/// One upstream's stream.
struct Source {
    body: Incoming,
    splitter: EventSplitter,
    load: LoadGuard,
    upstream: String,
    _connection: Connection,
}

impl Source {
    async fn next(&mut self, patience: Duration) -> Next {
        let until = Instant::now() + patience;
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Next::Event(event);
            }
            match tokio::time::timeout_at(until, self.body.frame()).await {
                Ok(Some(Ok(frame))) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                Ok(None) if self.splitter.is_mid_event() => {
                    return Next::Broken("ended inside an event");
                }
                Ok(None) => return Next::End,
                Ok(Some(Err(_))) => return Next::Broken("the connection failed"),
                Err(_) => return Next::Silent,
            }
        }
    }

    fn note_failed(&mut self) {
        self.load.note_outcome(false);
    }
}

/// A stream that has begun: the head of its answer, and its first event.
struct Begun {
    head: Parts,
    source: Source,
    first: Option<StreamEvent>,
    timing: Timing,
}

/// How a stream began, for the line that tells of its end.
#[derive(Clone, Copy)]
struct Timing {
    expected_ms: u64,
    first_event_ms: u64,
    helpers: usize,
}

enum Opened {
    Begun(Box<Begun>),
    /// An answer that is no stream.
    Other(Response<AnswerBody>),
}

/// Runs a request until its first event; the rest follows beside the answer.
pub(crate) async fn run(mut call: Call, guard: ProgressGuard) -> Response<AnswerBody> {
    let opened = tokio::time::timeout_at(call.deadline, open(&mut call)).await;
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

/// Tries upstreams until one sends a first event.
async fn open(call: &mut Call) -> Result<Opened, Refusal> {
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
        return take_other(head, body, load).await;
    }
    let splitter = EventSplitter::default();
    let mut source = Source { body, splitter, load, upstream, _connection: connection };
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
    source.note_failed();
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
async fn take_other(mut head: Parts, body: Incoming, mut load: LoadGuard) -> Tried {
    let is_failure = head.status.is_server_error();
    load.note_outcome(!is_failure);
    strip_hop_by_hop(&mut head.headers);
    match body.collect().await {
        Ok(collected) => {
            Tried::Other(Response::from_parts(head, full(collected.to_bytes())), !is_failure)
        }
        Err(error) => {
            log::info!(target: "forward", "An answer was not whole: {error}.");
            Tried::Lost
        }
    }
}

fn log_broken(call: &Call, upstream: &str, cause: &str, last_event_id: Option<u64>) {
    call.entry.figures.count_attempt("broken");
    log::info!(target: "forward",
        request = call.facts.attempt_id, route = call.route.name, upstream = upstream,
        cause = cause, last_event = last_event_id.unwrap_or_default(),
        waited_ms = call.waited_ms();
        "A stream broke off at its upstream");
}

/// Sends the head out, and the events as they come.
fn respond(call: Call, guard: ProgressGuard, begun: Begun) -> Response<AnswerBody> {
    let Begun { mut head, source, first, timing } = begun;
    strip_hop_by_hop(&mut head.headers);
    call.entry.figures.record_first_byte(&call.route.name, call.waited_ms());
    let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
    let pump = Pump {
        last_event_id: call.facts.last_event_id,
        call,
        sender,
        source,
        timing,
        sent_at: Instant::now(),
        longest_pause: Duration::ZERO,
    };
    tokio::spawn(async move {
        pump.run(first).await;
        drop(guard);
    });
    Response::from_parts(head, EventBody { receiver }.boxed_unsync())
}

/// Moves events from upstreams to a caller.
struct Pump {
    call: Call,
    sender: mpsc::Sender<Result<Bytes, BrokenOff>>,
    source: Source,
    last_event_id: Option<u64>,
    timing: Timing,
    sent_at: Instant,
    longest_pause: Duration,
}

/// How a stream to a caller ended.
#[derive(Clone, Copy)]
enum StreamEnd {
    Whole,
    Broken,
    CallerLeft,
    TimedOut,
}

impl StreamEnd {
    fn as_str(self) -> &'static str {
        match self {
            Self::Whole => "answered",
            Self::Broken => "broken_off",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "timed_out",
        }
    }
}

impl Pump {
    async fn run(mut self, first: Option<StreamEvent>) {
        let deadline = self.call.deadline;
        let sender = self.sender.clone();
        let end = tokio::select! {
            end = self.pass_on(first) => end,
            () = sender.closed() => StreamEnd::CallerLeft,
            () = tokio::time::sleep_until(deadline) => StreamEnd::TimedOut,
        };
        match end {
            StreamEnd::Broken | StreamEnd::TimedOut => {
                sender.send(Err(BrokenOff)).await.ok();
            }
            StreamEnd::Whole | StreamEnd::CallerLeft => {}
        }
        self.log_end(end);
    }

    fn log_end(&self, end: StreamEnd) {
        let (call, timing) = (&self.call, &self.timing);
        log::info!(target: "forward",
            request = call.facts.attempt_id, route = call.route.name,
            upstream = self.source.upstream, outcome = end.as_str(), sent = call.sent_count,
            prompt_tokens = call.facts.prompt_tokens, helpers = timing.helpers,
            expected_ms = timing.expected_ms, first_event_ms = timing.first_event_ms,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            last_event = self.last_event_id.unwrap_or_default(), waited_ms = call.waited_ms();
            "A stream ended");
        call.entry.figures.count(&call.route.name, end.as_str());
    }

    async fn pass_on(&mut self, first: Option<StreamEvent>) -> StreamEnd {
        let Some(first) = first else {
            return StreamEnd::Whole;
        };
        if !self.send(first).await {
            return StreamEnd::CallerLeft;
        }
        loop {
            let next = match self.source.next(self.silence()).await {
                Next::Silent => self.next_or_resumed().await,
                next => next,
            };
            match next {
                Next::Event(event) if self.follows(&event) => {
                    if !self.send(event).await {
                        return StreamEnd::CallerLeft;
                    }
                }
                Next::End => return StreamEnd::Whole,
                Next::Event(_) => return StreamEnd::Broken,
                Next::Broken(cause) => {
                    self.note_broken(cause);
                    if !self.resume().await {
                        return StreamEnd::Broken;
                    }
                }
                Next::Silent => return StreamEnd::TimedOut,
            }
        }
    }

    fn note_broken(&mut self, cause: &'static str) {
        self.source.note_failed();
        log_broken(&self.call, &self.source.upstream, cause, self.last_event_id);
    }

    /// Asks another upstream while the first one is silent, and takes what comes
    /// first: a silent engine may only be reading a long prompt.
    async fn next_or_resumed(&mut self) -> Next {
        let left = self.call.left();
        if !self.call.may_try() {
            return self.source.next(left).await;
        }
        let last_event_id = self.last_event_id;
        let resumed = tokio::select! {
            next = self.source.next(left) => return next,
            resumed = open_elsewhere(&mut self.call, last_event_id) => resumed,
        };
        match resumed {
            Some(begun) => {
                self.note_broken("silent");
                self.source = begun.source;
                begun.first.map_or(Next::End, Next::Event)
            }
            None => self.source.next(left).await,
        }
    }

    fn silence(&self) -> Duration {
        let goal_ms = self.call.route.pause_goal_ms.unwrap_or_default();
        millis((goal_ms * SILENT_GOALS).max(MIN_SILENCE_MS))
    }

    /// Whether an event is the one after the last that was passed on.
    fn follows(&self, event: &StreamEvent) -> bool {
        match (event.id, self.last_event_id) {
            (Some(id), Some(last)) => id == last + 1,
            (Some(_), None) | (None, _) => true,
        }
    }

    async fn send(&mut self, event: StreamEvent) -> bool {
        self.last_event_id = event.id.or(self.last_event_id);
        self.longest_pause = self.longest_pause.max(self.sent_at.elapsed());
        self.sent_at = Instant::now();
        self.sender.send(Ok(event.bytes)).await.is_ok()
    }

    /// Goes on at another upstream after the last event.
    async fn resume(&mut self) -> bool {
        while self.call.may_try() {
            if let Some(begun) = open_elsewhere(&mut self.call, self.last_event_id).await {
                return self.take_over(begun).await;
            }
        }
        false
    }

    async fn take_over(&mut self, begun: Begun) -> bool {
        self.source = begun.source;
        match begun.first {
            Some(event) if self.follows(&event) => self.send(event).await,
            Some(_) => false,
            // The former upstream had sent all but the end.
            None => true,
        }
    }
}

/// One attempt to go on after an event at another upstream.
async fn open_elsewhere(call: &mut Call, last_event_id: Option<u64>) -> Option<Begun> {
    let chosen = call.choose().await.ok()?;
    match open_at(call, chosen, last_event_id).await {
        Tried::Begun(begun) => Some(*begun),
        Tried::Other(..) | Tried::NotRun | Tried::Lost => None,
    }
}

/// A body of events; ends with an error if the stream was broken off.
struct EventBody {
    receiver: mpsc::Receiver<Result<Bytes, BrokenOff>>,
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        self.receiver.poll_recv(context).map(|next| next.map(|event| event.map(Frame::data)))
    }
}
