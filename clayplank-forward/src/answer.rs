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

/// How the end of a response body is marked (RFC 9112, section 6.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By a length, or by the last chunk.
    Explicit,
    /// By the end of the connection, which also ends if the upstream terminates.
    UntilClose,
}

/// Determines from its head how the body of a response ends.
pub(crate) fn parse_framing(status: StatusCode, headers: &HeaderMap) -> Framing {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_explicit = has_no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING);
    if is_explicit { Framing::Explicit } else { Framing::UntilClose }
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

/// Backoff that a response requests from the host that it is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestedBackoff {
    /// No backoff is requested.
    None,
    /// Time for which the upstream wants no requests, in ms.
    ForMs(u64),
    /// The header's value is neither a number of seconds nor a date.
    Unreadable,
}

/// Parses the backoff that a response requests: `Retry-After` of a 503 (RFC 9110, section 10.2.3),
/// with fractions of seconds allowed.
pub(crate) fn parse_backoff(head: &Parts) -> RequestedBackoff {
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return RequestedBackoff::None;
    }
    let Some(value) = head.headers.get(header::RETRY_AFTER) else {
        return RequestedBackoff::None;
    };
    let text = value.to_str().unwrap_or_default().trim();
    let backoff_ms = match text.parse::<f64>() {
        Ok(seconds) => {
            (seconds.is_finite() && seconds >= 0.0).then(|| (seconds * 1e3).ceil() as u64)
        }
        Err(_) => parse_backoff_date(text, &head.headers),
    };
    backoff_ms.map_or(RequestedBackoff::Unreadable, RequestedBackoff::ForMs)
}

/// Time from the date of a response to a date in it, in ms. The upstream's clock may differ from
/// that of this host, so only dates of the upstream are compared.
fn parse_backoff_date(text: &str, headers: &HeaderMap) -> Option<u64> {
    let until = httpdate::parse_http_date(text).ok()?;
    let sent = httpdate::parse_http_date(header_text(headers, &header::DATE)?).ok()?;
    Some(until.duration_since(sent).unwrap_or_default().as_millis() as u64)
}

/// Whether a response states that its upstream is leaving.
pub(crate) fn is_leaving(headers: &HeaderMap, names: &HeaderNames) -> bool {
    header_text(headers, &names.leaving).is_some_and(|value| value.trim() == "1")
}

/// Parses the numbers of running and waiting requests that a response states.
pub(crate) fn parse_load(headers: &HeaderMap, names: &HeaderNames) -> Option<(u64, u64)> {
    let mut parts = header_text(headers, &names.load)?.split(',');
    let running = parts.next()?.trim().parse().ok()?;
    let waiting = parts.next()?.trim().parse().ok()?;
    Some((running, waiting))
}
