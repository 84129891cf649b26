//! Delivers a request to an upstream while the upstream accepts requests.

use std::net::SocketAddr;

use bytes::Bytes;
use clayplank_types::UpstreamId;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::entry::Entry;
use crate::exchange::{Connection, ExchangeError, exchange};

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DeliveryError {
    /// The upstream stopped accepting requests before anything was sent.
    #[error("the upstream accepts no requests any more")]
    NotAccepting,
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

/// Opens a connection, sends a request if the upstream still accepts one then, and waits for the head
/// of the response.
pub(crate) async fn deliver(
    entry: &Entry,
    upstream: &UpstreamId,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<(Response<Incoming>, Connection), DeliveryError> {
    let stream = entry.connector.connect(address).await.map_err(ExchangeError::Connect)?;
    if !entry.directory.accepts_request(upstream) {
        return Err(DeliveryError::NotAccepting);
    }
    Ok(exchange(stream, request).await?)
}
