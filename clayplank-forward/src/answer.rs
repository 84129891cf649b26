//! Checks whether a response is the upstream's answer to the request that was sent.

use http::response::Parts;
use http::{HeaderMap, StatusCode, header};

use crate::names::HeaderNames;
use crate::request_metadata::header_text;

/// Classification of a response by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The upstream's answer to this request.
    Valid,
    /// The upstream states that it did not run the request.
    NotRun,
    /// Another incarnation of the upstream uses the address; the request was not run.
    Replaced,
    /// The response belongs to another request or is incomplete; whether the request ran is
    /// unknown.
    Foreign,
}

/// Classifies a response by its head.
pub(crate) fn classify_head(head: &Parts, names: &HeaderNames, attempt_id: &str) -> Verdict {
    let headers = &head.headers;
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Replaced;
    }
    let echoed = header_text(headers, &names.attempt_id);
    if echoed.is_some_and(|echoed| echoed != attempt_id) {
        return Verdict::Foreign;
    }
    if headers.contains_key(&names.not_run) {
        return Verdict::NotRun;
    }
    let is_encoded = headers.contains_key(header::CONTENT_ENCODING);
    let is_marked = echoed.is_some() && headers.contains_key(&names.seal);
    if head.status.is_success() && (is_encoded || !is_marked) {
        return Verdict::Foreign;
    }
    Verdict::Valid
}

/// Rate limit that a response declares for its upstream, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum DeclaredLimit {
    /// No limit is declared.
    None,
    /// Maximum number of requests per second.
    PerSecond(f64),
    /// The header's value is not a valid rate.
    Unreadable,
}

/// Parses the rate limit that a response declares.
pub(crate) fn parse_limit(headers: &HeaderMap, names: &HeaderNames) -> DeclaredLimit {
    let Some(value) = headers.get(&names.limit) else {
        return DeclaredLimit::None;
    };
    let rate = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match rate {
        Some(rate) if rate.is_finite() && rate >= 0.0 => DeclaredLimit::PerSecond(rate),
        Some(_) | None => DeclaredLimit::Unreadable,
    }
}

/// Parses the numbers of running and waiting requests that a response states.
pub(crate) fn parse_load(headers: &HeaderMap, names: &HeaderNames) -> Option<(u64, u64)> {
    let mut parts = header_text(headers, &names.load)?.split(',');
    let running = parts.next()?.trim().parse().ok()?;
    let waiting = parts.next()?.trim().parse().ok()?;
    Some((running, waiting))
}
