//! Properties of a request that are parsed from its head.

use clayplank_types::Fingerprint;
use http::request::Parts;
use http::{HeaderMap, HeaderName};

use crate::names::HeaderNames;

/// Maximum number of prompt parts that are read; a request with more is rejected.
const MAX_PROMPT_PARTS: usize = 256;

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
    /// Fingerprints of the prompt parts that other requests may share, without repetitions: all but
    /// the last one.
    pub prompt_parts: Vec<Fingerprint>,
    /// Whether there are more prompt parts than a host reads.
    pub has_too_many_parts: bool,
    /// Key of the client account.
    pub key: Option<String>,
}

impl RequestMetadata {
    /// Parses a head; missing or unreadable values are left empty.
    pub fn parse(head: &Parts, names: &HeaderNames) -> Self {
        let headers = &head.headers;
        let (prompt_tokens, output_tokens) = parse_token_counts(headers, &names.token_counts);
        let host = header_text(headers, &http::header::HOST).or(head.uri.host());
        let (prompt_parts, has_too_many_parts) = parse_prompt_parts(headers, &names.prompt_parts);
        Self {
            attempt_id: header_text(headers, &names.attempt_id).unwrap_or_default().to_owned(),
            host: host.unwrap_or_default().to_owned(),
            deadline_ms: header_number(headers, &names.deadline_ms),
            last_event_id: header_number(headers, &names.last_event_id),
            prompt_tokens,
            output_tokens,
            prompt_parts,
            has_too_many_parts,
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

/// Returns the fingerprints of all prompt parts but the last, and whether there are too many parts.
/// Several header lines count as one list (RFC 9110, section 5.3).
fn parse_prompt_parts(headers: &HeaderMap, name: &HeaderName) -> (Vec<Fingerprint>, bool) {
    let lines = headers.get_all(name).iter().filter_map(|line| line.to_str().ok());
    let ids: Vec<_> = lines
        .flat_map(|line| line.split(','))
        .map(|part| part.split(':').next().unwrap_or_default().trim())
        .filter(|id| !id.is_empty())
        .take(MAX_PROMPT_PARTS + 1)
        .collect();
    let (Some((_, shared)), false) = (ids.split_last(), ids.len() > MAX_PROMPT_PARTS) else {
        return (Vec::new(), ids.len() > MAX_PROMPT_PARTS);
    };
    let mut parts: Vec<_> = shared.iter().map(|id| Fingerprint::of_prompt_part(id)).collect();
    parts.sort_unstable();
    parts.dedup();
    (parts, false)
}

/// Returns the bearer key (RFC 6750, section 2.1).
fn parse_bearer_key(headers: &HeaderMap) -> Option<String> {
    let value = header_text(headers, &http::header::AUTHORIZATION)?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}
