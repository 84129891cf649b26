//! Which headers cross a host, and which it sets.

use http::{HeaderMap, HeaderName, HeaderValue, header};

use crate::names::HeaderNames;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that frame a body.
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

/// Takes out what concerns the connection, the headers that it names among them.
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

/// What a host tells an upstream of itself.
#[derive(Clone, Debug, Default)]
pub(crate) struct Told<'a> {
    pub(crate) account: Option<&'a str>,
    pub(crate) upstream: &'a str,
    pub(crate) left_ms: u64,
    pub(crate) last_event_id: Option<u64>,
    pub(crate) helpers: &'a str,
    pub(crate) rank: Option<u8>,
}

/// The caller's headers as an upstream gets them.
pub(crate) fn for_upstream(callers: &HeaderMap, names: &HeaderNames, told: &Told<'_>) -> HeaderMap {
    let mut headers = callers.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    for name in [&names.account, &names.helpers, &names.priority, &names.expect_upstream] {
        headers.remove(name);
    }
    headers.insert(names.deadline_ms.clone(), HeaderValue::from(told.left_ms));
    put(&mut headers, &names.expect_upstream, told.upstream);
    put(&mut headers, &names.account, told.account.unwrap_or_default());
    put(&mut headers, &names.helpers, told.helpers);
    if let Some(id) = told.last_event_id {
        headers.insert(names.last_event_id.clone(), HeaderValue::from(id));
    }
    if let Some(rank) = told.rank {
        headers.insert(names.priority.clone(), HeaderValue::from(u16::from(rank)));
    }
    headers
}

fn put(headers: &mut HeaderMap, name: &HeaderName, value: &str) {
    if value.is_empty() {
        return;
    }
    match HeaderValue::from_str(value) {
        Ok(value) => {
            headers.insert(name.clone(), value);
        }
        Err(error) => log::warn!(target: "forward", "A value does not fit header {name}: {error}."),
    }
}
