//! Client of the platform's list of live and leaving hosts, which may be outdated.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode};
use serde::Deserialize;

use crate::client::{HttpClient, UpstreamError, request_to};

/// Time-out of a request for the list.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of the list.
const MAX_LIST_BYTES: usize = 4 << 20;

/// State of a host or upstream in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    /// It is running.
    Live,
    /// It is about to stop.
    Leaving,
}

/// Fetches the list: states by the name of the host or upstream.
///
/// # Errors
/// The platform did not answer with a valid list.
pub async fn fetch_platform_hosts(
    client: &HttpClient,
    platform: SocketAddr,
) -> Result<BTreeMap<String, HostState>, UpstreamError> {
    let request = request_to(Method::GET, platform, "/hosts");
    let response =
        client.exchange(platform, request, Bytes::new(), TIMEOUT, MAX_LIST_BYTES).await?;
    if response.status() != StatusCode::OK {
        return Err(UpstreamError::Status {
            address: platform,
            status: response.status().as_u16(),
        });
    }
    serde_json::from_slice(response.body())
        .map_err(|_| UpstreamError::NoAnswer { address: platform })
}
