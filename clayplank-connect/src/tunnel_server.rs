//! Serves tunnels: connects to upstreams on behalf of peers that do not reach them.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::connector::Connector;
use crate::tunnel_protocol::{
    FRAME_HEADER_BYTES, MAGIC, TunnelReply, TunnelRequest, read_request, write_reply,
};

/// Maximum number of open tunnels; each takes two file descriptors and a buffer.
const MAX_TUNNELS: usize = 200;

/// Maximum size of a frame, in bytes.
const MAX_FRAME_BYTES: usize = 8 << 10;

/// Time-out for connecting to an upstream. It leaves the peer time to ask another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The same if the links of this host may be broken, so that the peer soon asks another one.
const IMPAIRED_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);

/// Time-out for receiving a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the peer's remaining bytes are read after the upstream has closed its connection.
/// Closing a socket with unread bytes resets it, and what was sent may be lost.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// What a host knows of the upstreams to which it may connect on behalf of its peers.
pub trait UpstreamAccess: Send + Sync + 'static {
    /// Whether this host may connect to an address: an upstream is registered there that accepts
    /// requests of this host.
    fn is_open(&self, address: SocketAddr) -> bool;

    /// Records that an upstream requested a backoff from this host, in an answer to a peer.
    fn record_backoff(&self, address: SocketAddr, backoff_ms: u64);
}

/// Connects to upstreams on behalf of peers.
pub struct TunnelServer {
    connector: Arc<Connector>,
    access: Arc<dyn UpstreamAccess>,
    permits: Semaphore,
    is_closed: AtomicBool,
    replies: Mutex<BTreeMap<&'static str, u64>>,
}

impl std::fmt::Debug for TunnelServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("TunnelServer").finish_non_exhaustive()
    }
}

/// Whether the peer sends a tunnel request; waits for its first byte.
///
/// # Errors
/// The connection failed.
pub async fn is_tunnel_request(stream: &TcpStream) -> io::Result<bool> {
    let mut first = [0];
    Ok(stream.peek(&mut first).await? == first.len() && first[0] == MAGIC[0])
}

impl TunnelServer {
    /// Creates a server of tunnels to the upstreams that `access` allows.
    pub fn new(connector: Arc<Connector>, access: Arc<dyn UpstreamAccess>) -> Self {
        let permits = Semaphore::new(MAX_TUNNELS);
        let is_closed = AtomicBool::new(false);
        Self { connector, access, permits, is_closed, replies: Mutex::default() }
    }

    /// Serves one connection of a peer until it ends.
    pub async fn serve(&self, peer: TcpStream) {
        crate::set_socket_timeouts(&peer);
        if let Err(error) = self.serve_request(peer).await {
            log::debug!(target: "inner", "A tunnel of a peer failed: {error}.");
        }
    }

    async fn serve_request(&self, mut peer: TcpStream) -> io::Result<()> {
        let request = clayplank_clock::timeout(REQUEST_TIMEOUT, read_request(&mut peer)).await;
        let address = match request.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?? {
            TunnelRequest::Connect(address) => address,
            TunnelRequest::Backoff { upstream, backoff_ms } => {
                self.access.record_backoff(upstream, backoff_ms);
                return write_reply(&mut peer, TunnelReply::Connected).await;
            }
        };
        let connected = self.connect(address).await;
        let reply = *connected.as_ref().err().unwrap_or(&TunnelReply::Connected);
        self.count(reply);
        write_reply(&mut peer, reply).await?;
        match connected {
            Ok((upstream, _permit)) => pass(peer, upstream).await,
            Err(_) => Ok(()),
        }
    }

    /// Connects to an upstream. Never opens a tunnel itself.
    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<(TcpStream, tokio::sync::SemaphorePermit<'_>), TunnelReply> {
        let permit = self.permits.try_acquire().map_err(|_| TunnelReply::Declined)?;
        if self.is_closed.load(Ordering::SeqCst) || !self.access.is_open(address) {
            return Err(TunnelReply::Declined);
        }
        let timeout = match self.connector.may_be_at_fault(address) {
            true => IMPAIRED_CONNECT_TIMEOUT,
            false => CONNECT_TIMEOUT,
        };
        let connected = self.connector.connect_within(address, timeout).await;
        let upstream = connected.map_err(|error| {
            if self.connector.may_be_at_fault(address) {
                TunnelReply::NoPath
            } else if error.kind() == io::ErrorKind::ConnectionRefused {
                TunnelReply::Refused
            } else {
                TunnelReply::Unreachable
            }
        })?;
        Ok((upstream, permit))
    }

    /// Declines all further requests, as this host is about to stop.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Number of open tunnels.
    pub fn open_tunnels(&self) -> usize {
        MAX_TUNNELS - self.permits.available_permits()
    }

    fn count(&self, reply: TunnelReply) {
        let mut replies = self.replies.lock().unwrap_or_else(PoisonError::into_inner);
        *replies.entry(reply.as_str()).or_default() += 1;
    }

    /// Metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let mut text = String::new();
        let replies = self.replies.lock().unwrap_or_else(PoisonError::into_inner);
        for (reply, count) in replies.iter() {
            writeln!(text, "clayplank_tunnel_requests_total{{reply=\"{reply}\"}} {count}").ok();
        }
        writeln!(text, "clayplank_tunnels_open {}", self.open_tunnels()).ok();
        text
    }
}

/// Passes bytes on in both directions until either side ends.
async fn pass(mut peer: TcpStream, mut upstream: TcpStream) -> io::Result<()> {
    let (mut from_peer, mut to_peer) = peer.split();
    let (mut from_upstream, mut to_upstream) = upstream.split();
    tokio::select! {
        // A peer that closes its connection has abandoned the request.
        copied = tokio::io::copy(&mut from_peer, &mut to_upstream) => return copied.map(drop),
        passed = pass_frames(&mut from_upstream, &mut to_peer) => passed?,
    }
    to_peer.shutdown().await?;
    let mut sink = tokio::io::sink();
    let drained =
        clayplank_clock::timeout(DRAIN_TIMEOUT, tokio::io::copy(&mut from_peer, &mut sink)).await;
    drained.map_or(Ok(()), |drained| drained.map(drop))
}

/// Passes an upstream's bytes on in frames, the last one empty.
async fn pass_frames(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
) -> io::Result<()> {
    let mut frame = vec![0; FRAME_HEADER_BYTES + MAX_FRAME_BYTES];
    loop {
        let size = from.read(&mut frame[FRAME_HEADER_BYTES..]).await?;
        frame[..FRAME_HEADER_BYTES].copy_from_slice(&(size as u16).to_be_bytes());
        to.write_all(&frame[..FRAME_HEADER_BYTES + size]).await?;
        if size == 0 {
            return Ok(());
        }
    }
}
