//! Headers that are forwarded to upstreams and callers, and those that the host sets.

use http::{HeaderMap, HeaderName, HeaderValue, header};

use crate::names::HeaderNames;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and those that frame a body.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Removes hop-by-hop headers, including those that the `Connection` header names.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP).chain([&KEEP_ALIVE, &PROXY_CONNECTION]) {
        headers.remove(name);
    }
}

/// Values of the headers that a host sets on a request to an upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct UpstreamHeaders<'a> {
    pub(crate) account: Option<&'a str>,
    pub(crate) upstream: &'a str,
    pub(crate) remaining_ms: u64,
    pub(crate) last_event_id: Option<u64>,
    pub(crate) helpers: &'a str,
    pub(crate) rank: Option<u8>,
}

/// Returns the caller's headers as they are sent to an upstream.
pub(crate) fn upstream_headers(
    caller_headers: &HeaderMap,
    names: &HeaderNames,
    values: &UpstreamHeaders<'_>,
) -> HeaderMap {
    let mut headers = caller_headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    for name in [&names.account, &names.helpers, &names.priority, &names.expect_upstream] {
        headers.remove(name);
    }
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(values.remaining_ms));
    insert_nonempty(&mut headers, &names.expect_upstream, values.upstream);
    insert_nonempty(&mut headers, &names.account, values.account.unwrap_or_default());
    insert_nonempty(&mut headers, &names.helpers, values.helpers);
    if let Some(id) = values.last_event_id {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(id));
    }
    if let Some(rank) = values.rank {
        headers.insert(names.priority.clone(), HeaderValue::from(u16::from(rank)));
    }
    headers
}

fn insert_nonempty(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if value.is_empty() {
        return;
    }
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => {
            log::warn!(target: "forward", "Omitted header {name}: invalid value: {error}.")
        }
    }
}
