//! HTTP client of the stand-ins, for requests between engines and heartbeats to keepers.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

/// Sends a value as JSON. Returns the status once the complete response has arrived, or `None` after a
/// failure or the time-out.
pub(crate) async fn send_json<T: Serialize>(
    address: SocketAddr,
    method: Method,
    path: &str,
    value: &T,
    timeout: Duration,
) -> Option<StatusCode> {
    let body = Full::new(Bytes::from(serde_json::to_vec(value).ok()?));
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string())
        .body(body)
        .ok()?;
    tokio::time::timeout(timeout, exchange(address, request)).await.ok()?
}

/// Sends a request. Returns the status once the complete response has arrived, or `None` after a
/// failure.
pub(crate) async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Option<StatusCode> {
    let stream = TcpStream::connect(address).await.ok()?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.ok()?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    let status = response.status();
    response.into_body().collect().await.ok()?;
    Some(status)
}
