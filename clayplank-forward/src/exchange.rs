//! One request to one upstream, on a dedicated connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::TcpKeepalive;
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinHandle;

/// Time-out for opening a connection; many times the round trip to the farthest data centre of a
/// region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// A connection is closed if the peer does not acknowledge bytes for this time.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle time after which a connection is probed, and the interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// A connection is closed after this many unanswered probes, unless the operating system applies
/// the time-out for unacknowledged bytes to probes too.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection failed; the request may have run.
    #[error("the connection failed: {0}")]
    Failed(#[source] hyper::Error),
}

/// Reason why a small request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened, or failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The response broke off.
    #[error("the answer broke off: {0}")]
    BrokenOff(#[source] hyper::Error),
    /// The response did not arrive within the time-out.
    #[error("no answer in time")]
    TimedOut,
}

/// Aborts the task of a connection when it is dropped, with the response that uses it.
#[derive(Debug)]
pub(crate) struct Connection(JoinHandle<()>);

impl Drop for Connection {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Opens a connection with the time-outs that all sockets of this process have.
///
/// # Errors
/// The peer refused the connection, or did not answer in time.
pub async fn connect(address: SocketAddr) -> Result<TcpStream, std::io::Error> {
    let socket = TcpSocket::new_v4()?;
    let stream = clayplank_clock::timeout(CONNECT_TIMEOUT, socket.connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    set_socket_timeouts(&stream);
    Ok(stream)
}

/// Whether connections to an address are refused because nothing listens there.
pub(crate) async fn is_refused(address: SocketAddr) -> bool {
    let refused = connect(address).await.err();
    refused.is_some_and(|error| error.kind() == ErrorKind::ConnectionRefused)
}

/// Closes a connection whose peer host is unresponsive, even while nothing is sent: a running host
/// answers probes however busy its program is.
pub(crate) fn set_socket_timeouts(stream: &TcpStream) {
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

/// Sends a request and waits for the head of the response.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), ExchangeError> {
    let stream = connect(address).await.map_err(ExchangeError::Connect)?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(ExchangeError::Failed)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!(target: "forward", "A connection to an upstream failed: {error}.");
        }
    });
    let guard = Connection(task);
    let response = sender.send_request(request).await.map_err(ExchangeError::Failed)?;
    Ok((response, guard))
}

/// Sends a small request, such as a command to an engine, and returns the status and the complete
/// body.
///
/// # Errors
/// No complete response came in time.
pub async fn request_complete(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let call = async {
        let (response, _connection) = exchange(address, request).await?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(CallError::BrokenOff)?;
        Ok((status, body.to_bytes()))
    };
    clayplank_clock::timeout(timeout, call).await.map_err(|_| CallError::TimedOut)?
}
