//! What the head of a request tells, read once.

use http::request::Parts;
use http::{HeaderMap, HeaderName};

use crate::names::HeaderNames;

/// What a host has to know of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// The caller's id of this attempt; empty if there is none.
    pub attempt_id: String,
    /// The host that it names.
    pub host: String,
    /// Time that the caller waits.
    pub deadline_ms: Option<u64>,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub output_tokens: u64,
    /// The key of the client account.
    pub key: Option<String>,
}

impl RequestFacts {
    /// Reads a head; what is not there or not readable stays empty.
    pub fn scan(head: &Parts, names: &HeaderNames) -> Self {
        let headers = &head.headers;
        let (prompt_tokens, output_tokens) = scan_tokens(headers, &names.token_counts);
        let host = text(headers, &http::header::HOST).or(head.uri.host());
        Self {
            attempt_id: text(headers, &names.attempt_id).unwrap_or_default().to_owned(),
            host: host.unwrap_or_default().to_owned(),
            deadline_ms: number(headers, &names.deadline_ms),
            last_event_id: number(headers, &names.last_event_id),
            prompt_tokens,
            output_tokens,
            key: scan_key(headers),
        }
    }
}

pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

pub(crate) fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn scan_tokens(headers: &HeaderMap, name: &HeaderName) -> (u64, u64) {
    let Some((prompt, output)) = text(headers, name).and_then(|value| value.split_once(',')) else {
        return (0, 0);
    };
    let read = |part: &str| part.trim().parse().unwrap_or(0);
    (read(prompt), read(output))
}

/// The bearer key (RFC 6750, section 2.1).
fn scan_key(headers: &HeaderMap) -> Option<String> {
    let value = text(headers, &http::header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}
