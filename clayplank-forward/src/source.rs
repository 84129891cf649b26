//! One upstream's stream: its events as they come, and how it ends.

use std::time::Duration;

use clayplank_clock::Instant;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::Connection;
use crate::load::{LoadGuard, Outcome};

/// The largest event that is held until it is whole, in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// What an upstream's stream brings next.
pub(crate) enum Next {
    Event(StreamEvent),
    /// It ended as a whole answer does.
    End,
    /// It broke off.
    Broken(&'static str),
    /// It said nothing for too long.
    Silent,
}

/// One upstream's stream.
pub(crate) struct Source {
    pub(crate) load: LoadGuard,
    pub(crate) upstream: String,
    body: Incoming,
    splitter: EventSplitter,
    /// Held until the stream is dropped, which ends the connection.
    _connection: Connection,
}

impl Source {
    /// The events of an answer.
    pub(crate) fn new(
        upstream: String,
        body: Incoming,
        connection: Connection,
        load: LoadGuard,
    ) -> Self {
        let splitter = EventSplitter::default();
        Self { load, upstream, body, splitter, _connection: connection }
    }

    /// The next event, or why there is none.
    pub(crate) async fn next(&mut self, patience: Duration) -> Next {
        let Self { load, body, splitter, .. } = self;
        let next = load.unless_replaced(read_next(body, splitter, patience)).await;
        next.unwrap_or(Next::Broken("replaced"))
    }

    /// Notes that the upstream did not end its stream, and gives back what it took.
    pub(crate) fn note_broken(&mut self) {
        self.load.note_outcome(Outcome::Broken);
        self.load.end();
    }
}

async fn read_next(body: &mut Incoming, splitter: &mut EventSplitter, patience: Duration) -> Next {
    let until = Instant::now() + patience;
    loop {
        if let Some(event) = splitter.next_event() {
            return Next::Event(event);
        }
        match clayplank_clock::timeout_at(until, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Some(bytes) = frame.data_ref() {
                    splitter.push(bytes);
                    if splitter.held_bytes() > MAX_EVENT_BYTES {
                        return Next::Broken("an event is too large");
                    }
                }
            }
            Ok(None) if splitter.is_mid_event() => {
                return Next::Broken("ended inside an event");
            }
            Ok(None) => return Next::End,
            Ok(Some(Err(_))) => return Next::Broken("the connection failed"),
            Err(_) => return Next::Silent,
        }
    }
}
