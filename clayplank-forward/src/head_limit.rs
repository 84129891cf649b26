//! Limits what is read from an upstream before the head of its final response.
//!
//! The HTTP library limits the size of each head, but not the number of interim responses (1xx) before
//! the final one. Without a limit, an upstream that sends them at full speed occupies the host's thread,
//! and delays all other requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// More bytes than allowed came before the head of the final response.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("more than {limit_bytes} bytes before the head of the final response")]
struct HeadTooLarge {
    limit_bytes: usize,
}

/// Whether the head of the final response has arrived, shared with the stream that it ends the limit of.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadArrival(Arc<AtomicBool>);

impl HeadArrival {
    pub(crate) fn record(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn is_recorded(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// A connection from which a limited number of bytes is read until the head has arrived; reading more
/// fails.
#[derive(Debug)]
pub(crate) struct HeadLimited<S> {
    stream: S,
    arrival: HeadArrival,
    limit_bytes: usize,
    read_bytes: usize,
}

impl<S> HeadLimited<S> {
    pub(crate) fn new(stream: S, arrival: HeadArrival, limit_bytes: usize) -> Self {
        Self { stream, arrival, limit_bytes, read_bytes: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimited<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit_bytes = self.limit_bytes;
        if self.read_bytes > limit_bytes && !self.arrival.is_recorded() {
            return Poll::Ready(Err(io::Error::other(HeadTooLarge { limit_bytes })));
        }
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - filled_before;
        self.read_bytes = self.read_bytes.saturating_add(read);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimited<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
