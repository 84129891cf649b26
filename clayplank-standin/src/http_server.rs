//! HTTP server loop and response helpers that all stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use serde::Serialize;
use tokio::net::TcpListener;

/// Response body that may end with an error, which breaks the connection.
pub type Body = UnsyncBoxBody<Bytes, ServeError>;

/// Reason that a server did not start or that a response broke off.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The server cannot listen on its address.
    #[error("cannot listen on {address}")]
    Bind {
        /// Address from the command line or the test.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A fault that was injected on request; not a failure of the stand-in.
    #[error("the answer breaks off, as asked")]
    Broken,
}

/// Listens on an address.
///
/// # Errors
/// The address is in use or does not belong to this machine.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).await.map_err(|source| ServeError::Bind { address, source })
}

/// Serves connections until the task is dropped.
pub(crate) async fn serve<F, R>(listener: TcpListener, answer: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Response<Body>, ServeError>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).ok();
        let answer = answer.clone();
        tokio::spawn(async move {
            let service = service_fn(answer);
            let builder = auto::Builder::new(TokioExecutor::new());
            // An error here is visible to the peer too, as the connection ends; nothing else needs it.
            builder.serve_connection(TokioIo::new(stream), service).await.ok();
        });
    }
}

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
    response
}

pub(crate) fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

pub(crate) async fn read_body(body: Incoming) -> Bytes {
    match body.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(_) => Bytes::new(),
    }
}
