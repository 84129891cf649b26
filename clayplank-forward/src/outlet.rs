//! The way of a stream's events to its caller.

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::held_bytes::{Held, HeldBytes};
use crate::refusal::BrokenOff;

/// An event on its way to a caller.
#[derive(Debug)]
pub(crate) struct QueuedEvent {
    pub(crate) bytes: Bytes,
    _held: Held,
}

/// Where events of one stream wait for their caller; what does not fit waits at the upstream.
#[derive(Clone)]
pub(crate) struct Outlet {
    pub(crate) sender: mpsc::Sender<Result<QueuedEvent, BrokenOff>>,
    /// The bytes that wait.
    pub(crate) queue: HeldBytes,
}

impl Outlet {
    /// Sends an event as soon as there is room for it; `false` if the caller has left.
    pub(crate) async fn send(&self, bytes: Bytes) -> bool {
        let mut held = Held::default();
        self.queue.hold(&mut held, bytes.len()).await;
        self.sender.send(Ok(QueuedEvent { bytes, _held: held })).await.is_ok()
    }

    /// Breaks the answer off.
    pub(crate) async fn break_off(&self) {
        // A caller that has left needs no word.
        self.sender.send(Err(BrokenOff)).await.ok();
    }

    /// Waits until the caller has left.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}
