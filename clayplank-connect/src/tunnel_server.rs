//! Serves tunnels: connects to upstreams on behalf of peers that do not reach them.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::fmt::Write as _;
use std::future::Future;
use std::io;
use std::net::{Shutdown, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::connector::Connector;
use crate::socket::{LIMIT_DURATION, limit_retransmission, set_discard_on_close};
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

    /// Waits until no upstream at an address accepts new work.
    fn wait_until_not_accepting(
        &self,
        address: SocketAddr,
    ) -> Pin<Box<dyn Future<Output = ()> + Send + '_>>;

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
            Ok((upstream, _permit)) => {
                let timeout = self.connector.delivery_timeout();
                tokio::select! {
                    passed = pass(&peer, &upstream, timeout) => passed,
                    never = self.limit_delivery(address, &upstream, timeout) => match never {},
                }
            }
            Err(_) => Ok(()),
        }
    }

    /// Limits retransmissions to an upstream for some time once it accepts no requests any more.
    async fn limit_delivery(
        &self,
        address: SocketAddr,
        upstream: &TcpStream,
        timeout: Duration,
    ) -> Infallible {
        self.access.wait_until_not_accepting(address).await;
        limit_retransmission(upstream, timeout);
        clayplank_clock::sleep(LIMIT_DURATION).await;
        crate::set_socket_timeouts(upstream);
        std::future::pending().await
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
async fn pass(
    peer: &TcpStream,
    upstream: &TcpStream,
    delivery_timeout: Duration,
) -> io::Result<()> {
    tokio::select! {
        // A peer that closes its connection has abandoned the request.
        passed = pass_request(peer, upstream, delivery_timeout) => return passed,
        passed = pass_frames(upstream, peer) => passed?,
    }
    socket2::SockRef::from(peer).shutdown(Shutdown::Write)?;
    let mut unread = vec![0; MAX_FRAME_BYTES];
    let drained = clayplank_clock::timeout(DRAIN_TIMEOUT, async {
        while read(peer, &mut unread).await? > 0 {}
        Ok(())
    });
    drained.await.unwrap_or(Ok(()))
}

/// Passes the bytes of a request on. Bytes that come long after the former ones were held back, by
/// a link or because this host was frozen, and the upstream may have stopped accepting requests since.
async fn pass_request(
    from: &TcpStream,
    to: &TcpStream,
    delivery_timeout: Duration,
) -> io::Result<()> {
    let mut bytes = vec![0; MAX_FRAME_BYTES];
    let mut has_begun = false;
    loop {
        let waits_since = Instant::now();
        let size = read(from, &mut bytes).await?;
        if size == 0 {
            return Ok(());
        }
        if !std::mem::replace(&mut has_begun, true) {
            // Until the answer begins, a peer that leaves has abandoned the request.
            set_discard_on_close(to, true);
        }
        if waits_since.elapsed() > delivery_timeout {
            return Err(io::ErrorKind::TimedOut.into());
        }
        write_all(to, &bytes[..size]).await?;
    }
}

/// Passes an upstream's bytes on in frames, the last one empty.
async fn pass_frames(from: &TcpStream, to: &TcpStream) -> io::Result<()> {
    let mut frame = vec![0; FRAME_HEADER_BYTES + MAX_FRAME_BYTES];
    let mut has_begun = false;
    loop {
        let size = read(from, &mut frame[FRAME_HEADER_BYTES..]).await?;
        if !std::mem::replace(&mut has_begun, true) {
            set_discard_on_close(from, false);
        }
        frame[..FRAME_HEADER_BYTES].copy_from_slice(&(size as u16).to_be_bytes());
        write_all(to, &frame[..FRAME_HEADER_BYTES + size]).await?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Reads some bytes of a shared socket; none at the end of the connection.
async fn read(stream: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

/// Writes all bytes to a shared socket.
async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(size) => bytes = &bytes[size..],
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
