//! Bounds the bytes that a host buffers for callers and upstreams, over the whole process.
//!
//! Requests and answers of slow readers are buffered here. Once the quota is used up, requests are
//! rejected before they are read, and answers of upstreams are read only as buffers become free:
//! this applies back-pressure to the upstream instead of using up the host's memory.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::refusal::BrokenOff;

/// Bytes are counted in units of this size, so that the total fits the permits of a semaphore.
const UNIT_BYTES: usize = 1 << 10;

/// Bytes of each request and each answer that are not counted: nearly all are smaller, and thus
/// never wait for the few large ones.
pub(crate) const UNCOUNTED_BYTES: usize = 16 << 10;

/// Maximum number of bytes passed to a connection at once; the rest remains counted.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// Quota of bytes that may be buffered at the same time.
#[derive(Clone, Debug)]
pub(crate) struct BufferQuota {
    units: Arc<Semaphore>,
    max_units: usize,
}

/// Buffered bytes of one request or one answer; they count towards the quota until this is dropped.
#[derive(Debug, Default)]
pub(crate) struct BufferPermit {
    bytes: usize,
    permit: Option<OwnedSemaphorePermit>,
    /// Units that were given back by [`BufferPermit::suspend`].
    suspended_units: usize,
}

impl BufferPermit {
    /// Stops counting the bytes, which count towards another bound of the host's memory meanwhile.
    pub(crate) fn suspend(&mut self) {
        self.suspended_units += self.permit.take().map_or(0, |permit| permit.num_permits());
    }

    /// Gives back what exceeds this number of bytes.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        self.bytes = self.bytes.min(bytes);
        let units = self.bytes.saturating_sub(UNCOUNTED_BYTES).div_ceil(UNIT_BYTES);
        if let Some(permit) = &mut self.permit {
            drop(permit.split(permit.num_permits().saturating_sub(units)));
        }
    }

    /// Adds bytes and returns how many of them count towards the quota.
    fn grow(&mut self, bytes: usize) -> usize {
        let before = self.bytes.saturating_sub(UNCOUNTED_BYTES);
        self.bytes += bytes;
        self.bytes.saturating_sub(UNCOUNTED_BYTES) - before
    }

    fn add(&mut self, permit: OwnedSemaphorePermit) {
        match &mut self.permit {
            Some(existing) => existing.merge(permit),
            None => self.permit = Some(permit),
        }
    }
}

impl BufferQuota {
    pub(crate) fn new(max_bytes: usize) -> Self {
        let max_units = (max_bytes / UNIT_BYTES).max(1);
        Self { units: Arc::new(Semaphore::new(max_units)), max_units }
    }

    /// Counts more bytes without waiting; returns whether the quota allows them.
    pub(crate) fn try_acquire(&self, buffer_permit: &mut BufferPermit, bytes: usize) -> bool {
        let units = self.units_of(buffer_permit.grow(bytes));
        let permit = Arc::clone(&self.units).try_acquire_many_owned(units);
        permit.map(|permit| buffer_permit.add(permit)).is_ok()
    }

    /// Counts suspended bytes again without waiting; returns whether the quota allows them.
    pub(crate) fn try_resume(&self, buffer_permit: &mut BufferPermit) -> bool {
        let units = u32::try_from(buffer_permit.suspended_units).unwrap_or(u32::MAX);
        let Ok(permit) = Arc::clone(&self.units).try_acquire_many_owned(units) else {
            return false;
        };
        buffer_permit.suspended_units = 0;
        buffer_permit.add(permit);
        true
    }

    /// Counts more bytes as soon as the quota allows them.
    pub(crate) async fn acquire(&self, buffer_permit: &mut BufferPermit, bytes: usize) {
        let units = self.units_of(buffer_permit.grow(bytes));
        let permit = Arc::clone(&self.units).acquire_many_owned(units).await;
        // The semaphore is never closed.
        if let Ok(permit) = permit {
            buffer_permit.add(permit);
        }
    }

    /// A chunk larger than the whole quota takes all of it.
    fn units_of(&self, bytes: usize) -> u32 {
        let units = bytes.div_ceil(UNIT_BYTES).min(self.max_units);
        u32::try_from(units).unwrap_or(u32::MAX)
    }

    /// Number of bytes counted at present.
    pub(crate) fn count(&self) -> usize {
        (self.max_units - self.units.available_permits()) * UNIT_BYTES
    }
}

/// A complete body that remains counted until its last chunk has been taken.
pub(crate) struct CountedBody {
    remaining: Bytes,
    _buffer_permit: BufferPermit,
}

impl CountedBody {
    pub(crate) fn new(bytes: Bytes, buffer_permit: BufferPermit) -> Self {
        Self { remaining: bytes, _buffer_permit: buffer_permit }
    }
}

impl Body for CountedBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.remaining.is_empty() {
            return Poll::Ready(None);
        }
        let chunk_bytes = self.remaining.len().min(MAX_CHUNK_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.remaining.split_to(chunk_bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining.len() as u64)
    }
}
