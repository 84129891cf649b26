//! Passes a stream's events on to its caller, and resumes it at another upstream.

use std::time::Duration;

use clayplank_clock::Instant;

use crate::call::Call;
use crate::clock::millis;
use crate::events::StreamEvent;
use crate::opening::{Begun, NotResumed, Timing, log_broken, open_elsewhere};
use crate::outlet::Outlet;
use crate::source::{Next, Source};

/// Silence between events after which a stream is resumed elsewhere: this many pause goals,
const SILENT_GOALS: u64 = 3;

/// but not less than this, in ms: engines cut streams themselves after a stall of 1.5 s.
const MIN_SILENCE_MS: u64 = 1_000;

/// Between two looks for an upstream that takes a broken stream, if none did.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Moves events from upstreams to a caller.
pub(crate) struct Pump {
    call: Call,
    outlet: Outlet,
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
    /// A stream to a caller that has begun at an upstream.
    pub(crate) fn new(call: Call, outlet: Outlet, source: Source, timing: Timing) -> Self {
        Self {
            last_event_id: call.facts.last_event_id,
            call,
            outlet,
            source,
            timing,
            sent_at: Instant::now(),
            longest_pause: Duration::ZERO,
        }
    }

    /// Passes events on to the end of the stream, however it ends.
    pub(crate) async fn run(mut self, first: Option<StreamEvent>) {
        let deadline = self.call.deadline;
        let outlet = self.outlet.clone();
        let end = tokio::select! {
            end = self.pass_on(first) => end,
            () = outlet.closed() => StreamEnd::CallerLeft,
            () = clayplank_clock::sleep_until(deadline) => StreamEnd::TimedOut,
        };
        match end {
            StreamEnd::Broken | StreamEnd::TimedOut => outlet.break_off().await,
            StreamEnd::Whole | StreamEnd::CallerLeft => {}
        }
        if matches!(end, StreamEnd::Whole) {
            self.call.note_answered();
        }
        self.log_end(end);
    }

    fn log_end(&self, end: StreamEnd) {
        let (call, timing) = (&self.call, &self.timing);
        log::info!(target: "forward",
            request = call.facts.attempt_id, route = call.route.name,
            upstream = self.source.upstream, outcome = end.as_str(), sent = call.sent_count,
            prompt_tokens = call.facts.prompt_tokens, helpers = timing.helpers,
            goal_ms = call.route.goal_ms, pause_goal_ms = call.pause_goal_ms(),
            expected_ms = timing.expected_ms, first_event_ms = timing.first_event_ms,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            last_event = self.last_event_id.unwrap_or_default(), waited_ms = call.waited_ms(),
            fingerprint:% = call.fingerprint;
            "A stream ended");
        call.entry.figures.count(&call.route.name, end.as_str());
    }

    /// Passes events on until the stream ends, breaks for good, or its caller leaves.
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
                next @ (Next::Event(_) | Next::End | Next::Broken(_)) => next,
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

    /// Blames the upstream for a stream that it did not end.
    fn note_broken(&mut self, cause: &'static str) {
        self.source.note_broken();
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
            Ok(begun) => {
                self.note_broken("silent");
                self.source = begun.source;
                begun.first.map_or(Next::End, Next::Event)
            }
            Err(NotResumed::NoUpstream | NotResumed::Failed) => self.source.next(left).await,
        }
    }

    /// Silence after which another upstream is asked as well.
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

    /// Sends an event to the caller; `false` if the caller has left.
    async fn send(&mut self, event: StreamEvent) -> bool {
        self.last_event_id = event.id.or(self.last_event_id);
        self.longest_pause = self.longest_pause.max(self.sent_at.elapsed());
        self.sent_at = Instant::now();
        self.call.waits_since = Some(self.sent_at);
        self.outlet.send(event.bytes).await
    }

    /// Goes on at another upstream after the last event.
    async fn resume(&mut self) -> bool {
        while self.call.may_try() {
            if let Some(begun) = self.open_at_next().await {
                return self.take_over(begun).await;
            }
        }
        false
    }

    /// One attempt at another upstream, as soon as one takes the stream.
    async fn open_at_next(&mut self) -> Option<Begun> {
        loop {
            match open_elsewhere(&mut self.call, self.last_event_id).await {
                Ok(begun) => return Some(begun),
                Err(NotResumed::NoUpstream) if !self.call.patience().is_zero() => {
                    clayplank_clock::sleep(RESUME_PAUSE).await;
                }
                Err(NotResumed::NoUpstream | NotResumed::Failed) => return None,
            }
        }
    }

    /// Goes on with a stream that was opened elsewhere; `false` if it goes on wrongly.
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
