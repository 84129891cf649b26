//! HTTP client, whose errors tell whether a failed request may have been executed.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use clayplank_types::is_final_status;
use http::{Request, Response};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::sync::Notify;

/// Time-out for opening a connection to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of interim responses (1xx) before the answer. The HTTP library sets no limit, and
/// reading them takes time of the process.
const MAX_INTERIM_RESPONSES: usize = 64;

/// Idle time after which a pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Reason for which an upstream gave no usable answer. It tells whether the request may have been
/// executed.
#[derive(Debug, thiserror::Error)]
pub enum UpstreamError {
    /// No connection could be opened, so no byte of the request was sent.
    #[error("{address} cannot be reached")]
    NotSent {
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// The upstream rejected the request and reported that it started nothing.
    #[error("{address} refused, and began nothing")]
    NotStarted {
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// The request was sent and no answer was received; it may have been executed.
    #[error("{address} gave no answer")]
    NoAnswer {
        /// Address of the upstream.
        address: SocketAddr,
    },
    /// The upstream answered with an unexpected status.
    #[error("{address} answered with status {status}")]
    Status {
        /// Address of the upstream.
        address: SocketAddr,
        /// HTTP status code.
        status: u16,
    },
    /// The body of the answer exceeds the size limit.
    #[error("{address} answered with more than {limit_bytes} bytes")]
    TooLarge {
        /// Address of the upstream.
        address: SocketAddr,
        /// Size limit, in bytes.
        limit_bytes: usize,
    },
    /// The request could not be serialized, so nothing was sent.
    #[error("the request to {address} is malformed")]
    Malformed {
        /// Address of the upstream.
        address: SocketAddr,
    },
}

impl UpstreamError {
    /// Whether the upstream has certainly not started the request.
    pub fn proves_not_started(&self) -> bool {
        match self {
            Self::NotSent { .. } | Self::NotStarted { .. } | Self::Malformed { .. } => true,
            Self::NoAnswer { .. } | Self::Status { .. } | Self::TooLarge { .. } => false,
        }
    }
}

/// An HTTP client with a connection pool. A connection whose answer was not read to its end is
/// closed and not reused.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, BoxBody<Bytes, Infallible>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let mut builder = Client::builder(TokioExecutor::new());
        builder.pool_idle_timeout(IDLE_TIMEOUT).pool_timer(TokioTimer::new());
        Self { client: builder.build(connector) }
    }
}

impl HttpClient {
    /// Sends a request and waits for the head of the answer; `timeout` covers both.
    pub(crate) async fn send(
        &self,
        address: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let mut request = request
            .body(BoxBody::new(Full::new(body)))
            .map_err(|_| UpstreamError::Malformed { address })?;
        let interim_excess = limit_interim_responses(&mut request);
        let answered = async {
            tokio::select! {
                answered = self.client.request(request) => Some(answered),
                () = interim_excess.notified() => None,
            }
        };
        let answered = clayplank_clock::timeout(timeout, answered).await;
        let Ok(Some(answered)) = answered else {
            return Err(UpstreamError::NoAnswer { address });
        };
        match answered {
            Ok(response) if is_final_status(response.status().as_u16()) => Ok(response),
            Ok(response) => {
                Err(UpstreamError::Status { address, status: response.status().as_u16() })
            }
            Err(error) if error.is_connect() => Err(UpstreamError::NotSent { address }),
            Err(_) => Err(UpstreamError::NoAnswer { address }),
        }
    }

    /// Sends a request and reads the complete answer, within `timeout` in total and up to
    /// `limit_bytes` of body.
    pub(crate) async fn exchange(
        &self,
        address: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Result<Response<Bytes>, UpstreamError> {
        let started_at = clayplank_clock::Instant::now();
        let response = self.send(address, request, body, timeout).await?;
        let (head, body) = response.into_parts();
        let remaining = timeout.saturating_sub(started_at.elapsed());
        match clayplank_clock::timeout(remaining, Limited::new(body, limit_bytes).collect()).await {
            Ok(Ok(collected)) => Ok(Response::from_parts(head, collected.to_bytes())),
            Ok(Err(error)) if error.is::<LengthLimitError>() => {
                Err(UpstreamError::TooLarge { address, limit_bytes })
            }
            Ok(Err(_)) | Err(_) => Err(UpstreamError::NoAnswer { address }),
        }
    }
}

/// Counts the interim responses to a request, and notifies once there are too many.
fn limit_interim_responses<B>(request: &mut Request<B>) -> Arc<Notify> {
    let excess = Arc::new(Notify::new());
    let (notifier, count) = (Arc::clone(&excess), AtomicUsize::new(0));
    hyper::ext::on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::SeqCst) == MAX_INTERIM_RESPONSES {
            notifier.notify_one();
        }
    });
    excess
}

/// Creates a request builder for a path at an address.
pub(crate) fn request_to(
    method: http::Method,
    address: SocketAddr,
    path: &str,
) -> http::request::Builder {
    Request::builder().method(method).uri(format!("http://{address}{path}"))
}
