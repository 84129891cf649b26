//! Stream of events from one upstream.

use std::time::Duration;

use clayplank_clock::Instant;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::answer::Framing;
use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::Connection;
use crate::load::{LoadGuard, Outcome};
use crate::survivals::AnswerProgress;

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Result of reading the next event of a stream.
pub(crate) enum Next {
    Event(StreamEvent),
    /// The stream ended completely.
    End,
    /// The stream broke off.
    Broken(&'static str),
    /// No event came within the time-out.
    TimedOut,
}

/// The stream of one upstream.
pub(crate) struct EventSource {
    pub(crate) load: LoadGuard,
    pub(crate) upstream: String,
    pub(crate) progress: AnswerProgress,
    framing: Framing,
    body: Incoming,
    splitter: EventSplitter,
    /// Closes the connection when the stream is dropped.
    _connection: Connection,
}

impl EventSource {
    /// Creates the stream of events in a response body.
    pub(crate) fn new(
        upstream: String,
        framing: Framing,
        body: Incoming,
        connection: Connection,
        load: LoadGuard,
    ) -> Self {
        let splitter = EventSplitter::default();
        let progress = AnswerProgress::default();
        Self { load, upstream, progress, framing, body, splitter, _connection: connection }
    }

    /// Reads the next event, or the reason why there is none.
    pub(crate) async fn next(&mut self, timeout: Duration) -> Next {
        let Self { load, framing, body, splitter, .. } = self;
        let next = load.unless_replaced(read_next(body, splitter, timeout)).await;
        match next.unwrap_or(Next::Broken("replaced")) {
            Next::End if !load.is_complete_at_close(*framing).await => {
                Next::Broken("the upstream ended")
            }
            next @ (Next::Event(_) | Next::End | Next::Broken(_) | Next::TimedOut) => next,
        }
    }

    /// Records that the upstream did not complete its stream, and releases the attempt's load.
    pub(crate) fn record_broken(&mut self) {
        self.load.record_outcome(Outcome::Broken);
        self.load.release();
    }
}

async fn read_next(body: &mut Incoming, splitter: &mut EventSplitter, timeout: Duration) -> Next {
    let deadline = Instant::now() + timeout;
    loop {
        if let Some(event) = splitter.next_event() {
            return Next::Event(event);
        }
        match clayplank_clock::timeout_at(deadline, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                    if splitter.buffered_bytes() > MAX_EVENT_BYTES {
                        return Next::Broken("an event is too large");
                    }
                }
            }
            Ok(None) if splitter.is_mid_event() => {
                return Next::Broken("ended inside an event");
            }
            Ok(None) => return Next::End,
            Ok(Some(Err(_))) => return Next::Broken("the connection failed"),
            Err(_) => return Next::TimedOut,
        }
    }
}
