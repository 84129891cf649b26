//! Sockets with the time-outs that all connections of this process have.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::TcpKeepalive;
use tokio::net::{TcpSocket, TcpStream};

/// Time-out for opening a connection; many times the round trip to the farthest data centre of a
/// region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection is closed if the peer does not acknowledge bytes for this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which retransmissions are no longer limited. Until then the kernel has closed every
/// connection with bytes that were unacknowledged when the limit was set.
pub const LIMIT_DURATION: Duration = UNACKNOWLEDGED_TIMEOUT.saturating_add(Duration::from_secs(1));

/// Idle time after which a connection is probed, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A connection is closed after this many unanswered probes, unless the operating system applies
/// the time-out for unacknowledged bytes to probes too.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Opens a connection, from the given address of this host if there is one.
pub(crate) async fn open(
    address: SocketAddr,
    source: Option<IpAddr>,
) -> Result<TcpStream, io::Error> {
    let socket = TcpSocket::new_v4()?;
    if let Some(source) = source {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = clayplank_clock::timeout(CONNECT_TIMEOUT, socket.connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_socket_timeouts(&stream);
    Ok(stream)
}

/// Closes a connection whose peer host is unresponsive, even while nothing is sent: a running host
/// answers probes however busy its program is.
pub fn set_socket_timeouts(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(target: "forward", "Could not set TCP_NODELAY on a socket: {error}.");
    }
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    let configured = socket
        .set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
        .and_then(|()| socket.set_tcp_keepalive(&probes));
    if let Err(error) = configured {
        log::debug!(target: "forward", "Could not set the time-outs of a socket: {error}.");
    }
}

/// Sets the time after which the kernel closes a connection whose peer acknowledges no bytes, or has no
/// room for them, and no probes.
pub fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    if let Err(error) = socket.set_tcp_user_timeout(Some(timeout)) {
        log::debug!(target: "forward", "Could not set the time-out of a socket: {error}.");
    }
}

/// Shortens the time for which the kernel sends unacknowledged bytes again. Keepalive is turned off, as
/// the shorter time would count for unanswered probes too, and end a connection on which all bytes have
/// been acknowledged.
pub(crate) fn limit_retransmission(stream: &TcpStream, timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    let limited =
        socket.set_keepalive(false).and_then(|()| socket.set_tcp_user_timeout(Some(timeout)));
    if let Err(error) = limited {
        log::warn!(target: "forward", "Could not limit the retransmissions of a socket: {error}.");
    }
}

/// Sets whether the end of a connection discards all bytes that the peer's host has not acknowledged.
/// Otherwise the kernel sends them on after the socket is closed.
pub(crate) fn set_discard_on_close(stream: &TcpStream, discards: bool) {
    let linger = discards.then_some(Duration::ZERO);
    if let Err(error) = socket2::SockRef::from(stream).set_linger(linger) {
        log::warn!(target: "forward", "Could not set SO_LINGER on a socket: {error}.");
    }
}
