//! Forwards requests to plain services.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method};

use crate::client::{HttpClient, UpstreamError, request_to};

/// Headers that are not forwarded: hop-by-hop headers (RFC 9110, section 7.6.1), and `host` and
/// `authorization`, which are meant for this system.
const UNFORWARDED_HEADERS: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "authorization",
];

/// A request as received from the caller.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// HTTP method.
    pub method: Method,
    /// Path with query.
    pub path: String,
    /// Headers, including those that are not forwarded.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// The complete answer of a service.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Headers, without those of the connection to the service.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Sends a request to a service, without retries, and reads the complete answer.
///
/// # Errors
/// The error tells whether the service may have executed the request.
pub async fn forward(
    client: &HttpClient,
    service: SocketAddr,
    request: &ServiceRequest,
    timeout: Duration,
    limit_bytes: usize,
) -> Result<ServiceAnswer, UpstreamError> {
    let mut builder = request_to(request.method.clone(), service, &request.path);
    if let Some(headers) = builder.headers_mut() {
        headers.extend(end_to_end_headers(&request.headers));
    }
    let response =
        client.exchange(service, builder, request.body.clone(), timeout, limit_bytes).await?;
    let (head, body) = response.into_parts();
    Ok(ServiceAnswer {
        status: head.status.as_u16(),
        headers: end_to_end_headers(&head.headers),
        body,
    })
}

/// Returns the headers to forward: all but [`UNFORWARDED_HEADERS`] and `content-length`.
fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let is_forwarded = |name: &HeaderName| {
        !UNFORWARDED_HEADERS.contains(&name.as_str()) && name != http::header::CONTENT_LENGTH
    };
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}
