//! Delivers a request to an upstream while the upstream accepts requests.
//!
//! The kernel sends bytes again until they are acknowledged, for seconds if a link is broken, and
//! after the socket was closed too. So once an upstream stops accepting requests, bytes that do not
//! reach its host soon are discarded. What its host has acknowledged is not affected.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use clayplank_connect::{LIMIT_DURATION, UpstreamStream};
use clayplank_types::UpstreamId;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::entry::Entry;
use crate::exchange::{Connection, ExchangeError, exchange};

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DeliveryError {
    /// The upstream stopped accepting requests before anything was sent.
    #[error("the upstream accepts no requests any more")]
    NotAccepting,
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

/// Opens a connection, sends a request if the upstream still accepts one then, and waits for the head
/// of the response.
pub(crate) async fn deliver(
    entry: &Arc<Entry>,
    upstream: &UpstreamId,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), DeliveryError> {
    let stream = entry.connector.connect(address).await.map_err(ExchangeError::Connect)?;
    if !entry.directory.accepts_request(upstream) {
        return Err(DeliveryError::NotAccepting);
    }
    let tunnel_host = stream.tunnel_host();
    let progress = Arc::new(Progress::default());
    let limit = limit_delivery(Arc::clone(entry), upstream.clone(), Arc::clone(&progress));
    let stream = DeliveryStream {
        stream,
        progress: Arc::clone(&progress),
        timeout: entry.connector.delivery_timeout(),
        is_limited: false,
    };
    let answered = exchange(stream, tunnel_host, request, limit).await?;
    progress.record_answered();
    Ok(answered)
}

/// Limits retransmissions for some time once the upstream accepts no requests any more.
async fn limit_delivery(entry: Arc<Entry>, upstream: UpstreamId, progress: Arc<Progress>) {
    entry.directory.wait_until_not_accepting(&upstream).await;
    progress.is_limited.store(true, Ordering::SeqCst);
    clayplank_clock::sleep(LIMIT_DURATION).await;
    progress.is_limited.store(false, Ordering::SeqCst);
}

/// Progress of a delivery, shared with the task of its connection.
#[derive(Debug, Default)]
struct Progress {
    /// Whether the upstream has stopped accepting requests.
    is_limited: AtomicBool,
    /// Whether the head of the response has arrived.
    is_answered: AtomicBool,
}

impl Progress {
    fn record_answered(&self) {
        self.is_answered.store(true, Ordering::SeqCst);
    }

    /// Whether retransmissions should be limited now.
    fn is_limited(&self) -> bool {
        self.is_limited.load(Ordering::SeqCst) && !self.is_answered.load(Ordering::SeqCst)
    }
}

/// The connection of a delivery, which applies the limit when it is polled. A connection that ends
/// before the head of the response discards the bytes that have not been acknowledged.
#[derive(Debug)]
struct DeliveryStream {
    stream: UpstreamStream,
    progress: Arc<Progress>,
    /// Time for which unacknowledged bytes are sent again under the limit.
    timeout: Duration,
    /// Whether the limit is applied.
    is_limited: bool,
}

impl DeliveryStream {
    fn poll_inner(self: Pin<&mut Self>) -> Pin<&mut UpstreamStream> {
        let this = self.get_mut();
        let is_limited = this.progress.is_limited();
        if is_limited != this.is_limited {
            this.is_limited = is_limited;
            this.stream.set_retransmission_limit(is_limited.then_some(this.timeout));
        }
        Pin::new(&mut this.stream)
    }
}

impl Drop for DeliveryStream {
    fn drop(&mut self) {
        if !self.progress.is_answered.load(Ordering::SeqCst) {
            self.stream.discard_on_close();
        }
    }
}

impl AsyncRead for DeliveryStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_inner().poll_read(context, buffer)
    }
}

impl AsyncWrite for DeliveryStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_inner().poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_inner().poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_inner().poll_shutdown(context)
    }
}
