//! Bounded queue of a stream's events to its caller.

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::buffer_quota::{BufferPermit, BufferQuota};
use crate::refusal::BrokenOff;

/// An event queued for a caller.
#[derive(Debug)]
pub(crate) struct QueuedEvent {
    pub(crate) bytes: Bytes,
    _buffer_permit: BufferPermit,
}

/// Queue of one stream's events to its caller; while it is full, the upstream is not read.
#[derive(Clone)]
pub(crate) struct CallerQueue {
    pub(crate) sender: mpsc::Sender<Result<QueuedEvent, BrokenOff>>,
    /// Quota of queued bytes.
    pub(crate) quota: BufferQuota,
}

impl CallerQueue {
    /// Queues an event as soon as there is room; `false` if the caller has disconnected.
    pub(crate) async fn send(&self, bytes: Bytes) -> bool {
        let mut buffer_permit = BufferPermit::default();
        self.quota.acquire(&mut buffer_permit, bytes.len()).await;
        self.sender.send(Ok(QueuedEvent { bytes, _buffer_permit: buffer_permit })).await.is_ok()
    }

    /// Ends the answer with an error, so that it does not appear complete.
    pub(crate) async fn break_off(&self) {
        // A caller that has disconnected needs no error.
        self.sender.send(Err(BrokenOff)).await.ok();
    }

    /// Waits until the caller has disconnected.
    pub(crate) async fn closed(&self) {
        self.sender.closed().await;
    }
}
