//! Bytes that a host holds for callers and upstreams, bounded for the whole process.
//!
//! Whoever reads slowly has its request or its answer held here meanwhile. Beyond the bound, requests are
//! refused before they are read, and answers of upstreams are read on only as others are done with: the
//! upstream is held up, and not the host's memory used up.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::refusal::BrokenOff;

/// Bytes are counted in units of this size, so that their number fits what a semaphore counts.
const UNIT_BYTES: usize = 1 << 10;

/// What is not counted of each request and of each answer: nearly all of them are smaller, and so never wait
/// for the few that are large.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// The most that is handed to a connection at once; the rest stays counted.
const PIECE_BYTES: usize = 16 << 10;

/// What a host may hold.
#[derive(Clone, Debug)]
pub(crate) struct HeldBytes {
    units: Arc<Semaphore>,
    max_units: usize,
}

/// Bytes of one request or one answer, which count until this is dropped.
#[derive(Debug, Default)]
pub(crate) struct Held {
    bytes: usize,
    permit: Option<OwnedSemaphorePermit>,
}

impl Held {
    /// Takes more bytes in; returns how many of them count.
    fn grow(&mut self, bytes: usize) -> usize {
        let before = self.bytes.saturating_sub(UNCOUNTED_BYTES);
        self.bytes += bytes;
        self.bytes.saturating_sub(UNCOUNTED_BYTES) - before
    }

    fn add(&mut self, permit: OwnedSemaphorePermit) {
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
    }
}

impl HeldBytes {
    pub(crate) fn new(max_bytes: usize) -> Self {
        let max_units = (max_bytes / UNIT_BYTES).max(1);
        Self { units: Arc::new(Semaphore::new(max_units)), max_units }
    }

    /// Counts more bytes at once; whether there was room for them.
    pub(crate) fn try_hold(&self, held: &mut Held, bytes: usize) -> bool {
        let units = self.units_of(held.grow(bytes));
        let permit = Arc::clone(&self.units).try_acquire_many_owned(units);
        permit.map(|permit| held.add(permit)).is_ok()
    }

    /// Counts more bytes as soon as there is room for them.
    pub(crate) async fn hold(&self, held: &mut Held, bytes: usize) {
        let units = self.units_of(held.grow(bytes));
        let permit = Arc::clone(&self.units).acquire_many_owned(units).await;
        // The semaphore is never closed.
        if let Ok(permit) = permit {
            held.add(permit);
        }
    }

    /// A piece that is larger than all there is takes all of it.
    fn units_of(&self, bytes: usize) -> u32 {
        let units = bytes.div_ceil(UNIT_BYTES).min(self.max_units);
        u32::try_from(units).unwrap_or(u32::MAX)
    }

    /// How many bytes are held now.
    pub(crate) fn count(&self) -> usize {
        (self.max_units - self.units.available_permits()) * UNIT_BYTES
    }
}

/// A whole body that stays counted until its last piece is handed out.
pub(crate) struct HeldBody {
    left: Bytes,
    _held: Held,
}

impl HeldBody {
    pub(crate) fn new(bytes: Bytes, held: Held) -> Self {
        Self { left: bytes, _held: held }
    }
}

impl Body for HeldBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        if self.left.is_empty() {
            return Poll::Ready(None);
        }
        let piece_bytes = self.left.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.left.split_to(piece_bytes)))))
    }

    fn is_end_stream(&self) -> bool {
        self.left.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left.len() as u64)
    }
}
