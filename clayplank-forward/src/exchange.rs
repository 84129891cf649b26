//! One request to one upstream, on a dedicated connection.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use clayplank_connect::{ConnectError, Connector};
use clayplank_types::is_final_status;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::JoinHandle;

use crate::head_limit::{HeadArrival, HeadLimited};

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of bytes that are read before the head of the final response has arrived: a head of
/// the maximum size, after interim responses or with the start of its body.
const MAX_BYTES_BEFORE_HEAD: usize = 2 * MAX_HEAD_BYTES;

/// Maximum number of headers of a response.
const MAX_HEADERS: usize = 512;

/// Maximum size of the response body to a small request, in bytes; the largest are load reports.
const MAX_SMALL_BODY_BYTES: usize = 256 << 10;

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// Nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[source] ConnectError),
    /// The connection failed; the request may have run.
    #[error("the connection failed: {0}")]
    Failed(#[source] hyper::Error),
    /// The response has a status that no final answer can have; the request may have run.
    #[error("the status {0} is not that of a final answer")]
    NotFinal(StatusCode),
}

/// Reason why a small request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened, or failed.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
    /// The body of the response broke off or is too large.
    #[error("the body of the answer could not be read: {0}")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The response did not arrive within the time-out.
    #[error("no answer in time")]
    TimedOut,
}

/// Aborts the task of a connection when it is dropped, with the response that uses it.
#[derive(Debug)]
pub(crate) struct Connection {
    task: JoinHandle<()>,
    tunnel_host: Option<SocketAddr>,
}

impl Connection {
    /// The peer through which the connection goes; `None` if it is direct.
    pub(crate) fn tunnel_host(&self) -> Option<SocketAddr> {
        self.tunnel_host
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether connections to an address are refused because nothing listens there.
pub(crate) async fn is_refused(connector: &Connector, address: SocketAddr) -> bool {
    let refused = connector.connect(address).await.err();
    refused.is_some_and(|error| error.is_refused())
}

/// Sends a request on a new connection and waits for the head of the response. `supervision` runs
/// in the task of the connection, which it wakes.
pub(crate) async fn exchange(
    stream: impl AsyncRead + AsyncWrite + Unpin + Send + 'static,
    tunnel_host: Option<SocketAddr>,
    request: Request<Full<Bytes>>,
    supervision: impl Future<Output = ()> + Send + 'static,
) -> Result<(Response<Incoming>, Connection), ExchangeError> {
    let arrival = HeadArrival::default();
    let stream = HeadLimited::new(stream, arrival.clone(), MAX_BYTES_BEFORE_HEAD);
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(ExchangeError::Failed)?;
    let task = tokio::spawn(async move {
        let mut connection = pin!(connection);
        let ended = tokio::select! {
            biased;
            () = supervision => connection.await,
            ended = connection.as_mut() => ended,
        };
        if let Err(error) = ended {
            log::debug!(target: "forward", "A connection to an upstream failed: {error}.");
        }
    });
    let guard = Connection { task, tunnel_host };
    let response = sender.send_request(request).await.map_err(ExchangeError::Failed)?;
    arrival.record();
    let status = response.status();
    if !is_final_status(status.as_u16()) {
        return Err(ExchangeError::NotFinal(status));
    }
    Ok((response, guard))
}

/// Sends a small request, such as a command to an engine, and returns the status and the complete
/// body.
///
/// # Errors
/// No complete response came in time.
pub async fn request_complete(
    connector: &Connector,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let call = async {
        let stream = connector.connect(address).await.map_err(ExchangeError::Connect)?;
        let tunnel_host = stream.tunnel_host();
        let (response, _connection) =
            exchange(stream, tunnel_host, request, std::future::pending()).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_SMALL_BODY_BYTES);
        let body = body.collect().await.map_err(CallError::Body)?;
        Ok((status, body.to_bytes()))
    };
    clayplank_clock::timeout(timeout, call).await.map_err(|_| CallError::TimedOut)?
}
