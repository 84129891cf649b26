//! The connection of a caller, with the time after which a caller that acknowledges nothing is gone.
//!
//! The kernel's time-out for unacknowledged bytes also ends a connection whose peer acknowledges
//! everything, but reads nothing, so that it has no room for more (RFC 9293, section 3.8.6.1). While an
//! answer is sent, the time-out is therefore the longest time for which callers wait for answers.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use clayplank_connect::{set_socket_timeouts, set_unacknowledged_timeout};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection of a caller.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    /// Time-out for unacknowledged bytes while an answer is sent.
    answer_timeout: Duration,
    /// Whether bytes were written after the last ones that were read.
    is_answering: bool,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, answer_timeout: Duration) -> Self {
        Self { stream, answer_timeout, is_answering: false }
    }

    fn start_answer(&mut self) {
        if !self.is_answering {
            self.is_answering = true;
            set_unacknowledged_timeout(&self.stream, self.answer_timeout);
        }
    }

    fn end_answer(&mut self) {
        if self.is_answering {
            self.is_answering = false;
            set_socket_timeouts(&self.stream);
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.end_answer();
        }
        polled
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.start_answer();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.start_answer();
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
