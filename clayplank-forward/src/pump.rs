//! Forwards a stream's events to its caller, and resumes the stream at another upstream if it
//! breaks.

use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::UpstreamId;

use crate::call::Call;
use crate::caller_queue::CallerQueue;
use crate::clock::millis;
use crate::events::StreamEvent;
use crate::opening::{NotResumed, StartedStream, Timing, log_broken, open_elsewhere};
use crate::source::{EventSource, Next};

/// Minimum time without an event, in ms, after which another upstream is tried; engines themselves abort
/// streams after a stall of 1.5 s.
const MIN_SILENCE_MS: u64 = 1_000;

/// Interval between attempts to find an upstream for a broken stream.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Forwards events from upstreams to a caller.
pub(crate) struct Pump {
    call: Call,
    queue: CallerQueue,
    source: EventSource,
    last_event_id: Option<u64>,
    timing: Timing,
    sent_at: Instant,
    longest_pause: Duration,
}

/// Reason why a stream to a caller ended.
#[derive(Clone, Copy)]
enum StreamEnd {
    Complete,
    Broken,
    CallerLeft,
    TimedOut,
}

impl StreamEnd {
    fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "answered",
            Self::Broken => "broken_off",
            Self::CallerLeft => "caller_left",
            Self::TimedOut => "timed_out",
        }
    }
}

impl Pump {
    /// Creates the pump of a stream that an upstream has started.
    pub(crate) fn new(call: Call, queue: CallerQueue, source: EventSource, timing: Timing) -> Self {
        Self {
            last_event_id: call.metadata.last_event_id,
            call,
            queue,
            source,
            timing,
            sent_at: Instant::now(),
            longest_pause: Duration::ZERO,
        }
    }

    /// Forwards events until the stream ends for any reason, and logs its end.
    pub(crate) async fn run(mut self, first: Option<StreamEvent>) {
        let deadline = self.call.deadline;
        let queue = self.queue.clone();
        let end = tokio::select! {
            end = self.forward(first) => end,
            () = queue.closed() => StreamEnd::CallerLeft,
            () = clayplank_clock::sleep_until(deadline) => StreamEnd::TimedOut,
        };
        match end {
            StreamEnd::Broken | StreamEnd::TimedOut => queue.break_off().await,
            StreamEnd::Complete | StreamEnd::CallerLeft => {}
        }
        if matches!(end, StreamEnd::Complete) {
            let begun_at = self.source.progress.first_event_at().unwrap_or_else(Instant::now);
            self.call.record_answered(&UpstreamId::new(self.source.upstream.as_str()), begun_at);
        }
        self.log_end(end);
    }

    fn log_end(&self, end: StreamEnd) {
        let (call, timing) = (&self.call, &self.timing);
        log::info!(target: "forward",
            request = call.metadata.attempt_id, route = call.route.name,
            upstream = self.source.upstream, outcome = end.as_str(), sent = call.sent_count,
            prompt_tokens = call.metadata.prompt_tokens, helpers = timing.helpers,
            goal_ms = call.route.goal_ms, pause_goal_ms = call.pause_goal_ms(),
            expected_ms = timing.expected_ms, first_event_ms = timing.first_event_ms,
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            last_event = self.last_event_id.unwrap_or_default(), waited_ms = call.waited_ms(),
            fingerprint:% = call.fingerprint(), left_ms = call.remaining().as_millis() as u64;
            "A stream ended");
        call.entry.metrics.count(&call.route.name, end.as_str());
    }

    /// Forwards events until the stream ends, breaks without being resumed, or the caller
    /// disconnects.
    async fn forward(&mut self, first: Option<StreamEvent>) -> StreamEnd {
        let Some(first) = first else {
            return StreamEnd::Complete;
        };
        if !self.send(first).await {
            return StreamEnd::CallerLeft;
        }
        loop {
            let next = match self.source.next(self.silence_timeout()).await {
                Next::TimedOut => self.next_or_resumed().await,
                next @ (Next::Event(_) | Next::End | Next::Broken(_)) => next,
            };
            match next {
                Next::Event(event) if self.follows(&event) => {
                    if !self.send(event).await {
                        return StreamEnd::CallerLeft;
                    }
                }
                Next::End => return StreamEnd::Complete,
                Next::Event(_) => return StreamEnd::Broken,
                Next::Broken(cause) => {
                    self.record_broken(cause);
                    if !self.resume().await {
                        return StreamEnd::Broken;
                    }
                }
                Next::TimedOut => return StreamEnd::TimedOut,
            }
        }
    }

    /// Records that the upstream failed to complete the stream.
    fn record_broken(&mut self, cause: &'static str) {
        self.source.record_broken();
        log_broken(&self.call, &self.source, cause, self.last_event_id);
    }

    /// Tries another upstream while the current one is unresponsive, and uses whichever sends an
    /// event first: the current engine may only be prefilling a long prompt.
    async fn next_or_resumed(&mut self) -> Next {
        let remaining = self.call.remaining();
        if !self.call.may_retry() {
            return self.source.next(remaining).await;
        }
        let last_event_id = self.last_event_id;
        let resumed = tokio::select! {
            next = self.source.next(remaining) => return next,
            resumed = open_elsewhere(&mut self.call, last_event_id) => resumed,
        };
        match resumed {
            Ok(started) => {
                self.record_broken("silent");
                self.source = started.source;
                started.first.map_or(Next::End, Next::Event)
            }
            Err(NotResumed::NoUpstream | NotResumed::Failed) => self.source.next(remaining).await,
        }
    }

    /// Time without an event after which another upstream is tried in parallel: as long as that one is
    /// expected to need for the prompt, since the current one may go on before.
    fn silence_timeout(&self) -> Duration {
        millis(self.timing.expected_ms.max(MIN_SILENCE_MS))
    }

    /// Whether an event directly follows the last one that was forwarded.
    fn follows(&self, event: &StreamEvent) -> bool {
        match (event.id, self.last_event_id) {
            (Some(id), Some(last)) => id == last + 1,
            (Some(_), None) | (None, _) => true,
        }
    }

    /// Sends an event to the caller; `false` if the caller has disconnected.
    async fn send(&mut self, event: StreamEvent) -> bool {
        self.last_event_id = event.id.or(self.last_event_id);
        self.longest_pause = self.longest_pause.max(self.sent_at.elapsed());
        self.sent_at = Instant::now();
        self.call.last_event_at = Some(self.sent_at);
        self.record_progress();
        self.queue.send(event.bytes).await
    }

    /// Records an event of the current upstream.
    fn record_progress(&mut self) {
        let progress = &mut self.source.progress;
        if progress.record_event(Instant::now())
            && let Some(begun_at) = progress.first_event_at()
        {
            self.call.record_survived(begun_at);
        }
    }

    /// Resumes the stream at another upstream, after the last forwarded event.
    async fn resume(&mut self) -> bool {
        while self.call.may_retry() {
            if let Some(started) = self.open_at_next().await {
                return self.switch_to(started).await;
            }
        }
        false
    }

    /// Makes one attempt at another upstream, as soon as one accepts the stream.
    async fn open_at_next(&mut self) -> Option<StartedStream> {
        loop {
            match open_elsewhere(&mut self.call, self.last_event_id).await {
                Ok(started) => return Some(started),
                Err(NotResumed::NoUpstream) if !self.call.caller_timeout().is_zero() => {
                    clayplank_clock::sleep(RESUME_RETRY_INTERVAL).await;
                }
                Err(NotResumed::NoUpstream | NotResumed::Failed) => return None,
            }
        }
    }

    /// Continues with a stream opened at another upstream; `false` if its first event is out of
    /// sequence or the caller has disconnected.
    async fn switch_to(&mut self, started: StartedStream) -> bool {
        self.source = started.source;
        match started.first {
            Some(event) if self.follows(&event) => self.send(event).await,
            Some(_) => false,
            // The previous upstream had sent everything but the end of the stream.
            None => true,
        }
    }
}
