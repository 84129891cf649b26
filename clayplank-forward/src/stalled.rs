//! Cuts off a peer that reads nothing for too long: what waits for it takes memory of this host.

use std::future::Future;
use std::io::{Error, ErrorKind, Result};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

type Sleep = Pin<Box<dyn Future<Output = ()> + Send>>;

/// A connection on which writes fail once none has made progress for some time.
pub(crate) struct StallLimited {
    stream: TcpStream,
    patience: Duration,
    /// Runs while a write waits.
    stalled: Option<Sleep>,
}

impl StallLimited {
    pub(crate) fn new(stream: TcpStream, patience: Duration) -> Self {
        Self { stream, patience, stalled: None }
    }

    /// What a write came to; one that waits has until the end of the patience.
    fn limit<T>(&mut self, context: &mut Context<'_>, written: Poll<Result<T>>) -> Poll<Result<T>> {
        if written.is_ready() {
            self.stalled = None;
            return written;
        }
        let patience = self.patience;
        let stalled =
            self.stalled.get_or_insert_with(|| Box::pin(clayplank_clock::sleep(patience)));
        match stalled.as_mut().poll(context) {
            Poll::Ready(()) => {
                log::info!(target: "forward",
                    patience_ms = patience.as_millis() as u64;
                    "A caller that reads nothing is cut off");
                Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the peer reads nothing")))
            }
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for StallLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for StallLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.limit(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.limit(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
