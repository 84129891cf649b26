//! Properties of a request that are parsed from its head.

use http::request::Parts;
use http::{HeaderMap, HeaderName};

use crate::names::HeaderNames;

/// Properties of a request that a host needs to forward it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestMetadata {
    /// The caller's id of this attempt; empty if not given.
    pub attempt_id: String,
    /// Host name that the request is addressed to.
    pub host: String,
    /// Time for which the caller waits, in ms.
    pub deadline_ms: Option<u64>,
    /// Id of the last event that the caller has received.
    pub last_event_id: Option<u64>,
    /// Number of tokens of the prompt; 0 if not given.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer; 0 if not given.
    pub output_tokens: u64,
    /// Key of the client account.
    pub key: Option<String>,
}

impl RequestMetadata {
    /// Parses a head; missing or unreadable values are left empty.
    pub fn parse(head: &Parts, names: &HeaderNames) -> Self {
        let headers = &head.headers;
        let (prompt_tokens, output_tokens) = parse_token_counts(headers, &names.token_counts);
        let host = header_text(headers, &http::header::HOST).or(head.uri.host());
        Self {
            attempt_id: header_text(headers, &names.attempt_id).unwrap_or_default().to_owned(),
            host: host.unwrap_or_default().to_owned(),
            deadline_ms: header_number(headers, &names.deadline_ms),
            last_event_id: header_number(headers, &names.last_event_id),
            prompt_tokens,
            output_tokens,
            key: parse_bearer_key(headers),
        }
    }
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

pub(crate) fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

fn parse_token_counts(headers: &HeaderMap, name: &HeaderName) -> (u64, u64) {
    let Some((prompt, output)) = header_text(headers, name).and_then(|value| value.split_once(','))
    else {
        return (0, 0);
    };
    let read = |part: &str| part.trim().parse().unwrap_or(0);
    (read(prompt), read(output))
}

/// Returns the bearer key (RFC 6750, section 2.1).
fn parse_bearer_key(headers: &HeaderMap) -> Option<String> {
    let value = header_text(headers, &http::header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}
