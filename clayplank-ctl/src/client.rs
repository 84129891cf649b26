//! HTTP client for the operators' API of a host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

/// Time-out of a request, including the connection and its answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Upper bound of the body of an answer. The longest are plans and lists of upstreams.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Reason for which a request got no usable answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClientError {
    #[error("{0} cannot be reached")]
    Connect(SocketAddr, #[source] std::io::Error),
    #[error("{0} gave no answer")]
    NoAnswer(SocketAddr),
    #[error("{0} gave an answer of more than {MAX_ANSWER_BYTES} bytes")]
    TooLong(SocketAddr),
    #[error("{0} gave an answer that is not JSON")]
    NotJson(SocketAddr),
}

/// Status and JSON body of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) value: Value,
}

/// Sends one request over a new connection; `key` is sent as a bearer token.
pub(crate) async fn send(
    host: SocketAddr,
    key: Option<&str>,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Answer, ClientError> {
    let text = body.map(ToString::to_string).unwrap_or_default();
    let mut request =
        Request::builder().method(method).uri(path).header(http::header::HOST, host.to_string());
    if let Some(key) = key {
        request = request.header(http::header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let no_answer = || ClientError::NoAnswer(host);
    let request = request.body(Full::new(Bytes::from(text))).map_err(|_| no_answer())?;
    tokio::time::timeout(TIMEOUT, exchange(host, request)).await.map_err(|_| no_answer())?
}

async fn exchange(host: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, ClientError> {
    let no_answer = || ClientError::NoAnswer(host);
    let stream =
        TcpStream::connect(host).await.map_err(|source| ClientError::Connect(host, source))?;
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| no_answer())?;
    tokio::spawn(connection);
    let response = sender.send_request(request).await.map_err(|_| no_answer())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let bytes = body.map_err(|error| match error.is::<LengthLimitError>() {
        true => ClientError::TooLong(host),
        false => no_answer(),
    })?;
    let value =
        serde_json::from_slice(&bytes.to_bytes()).map_err(|_| ClientError::NotJson(host))?;
    Ok(Answer { status, value })
}
