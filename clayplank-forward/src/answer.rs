//! Whether an answer is what the upstream made of this request.

use http::response::Parts;
use http::{HeaderMap, StatusCode, header};

use crate::facts::text;
use crate::names::HeaderNames;

/// What the head of an answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It is the upstream's answer to this request.
    Own,
    /// The request was not run.
    NotRun,
    /// Another life of an upstream has the address; the request was not run.
    Replaced,
    /// It is an answer to something else, or not whole: nothing is known of the request.
    Foreign,
}

/// Reads the head of an answer.
pub(crate) fn judge(head: &Parts, names: &HeaderNames, attempt_id: &str) -> Verdict {
    let headers = &head.headers;
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::Replaced;
    }
    let echoed = text(headers, &names.attempt_id);
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
    Verdict::Own
}

/// What an answer tells of the requests that its upstream takes, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum NamedLimit {
    /// Any number.
    None,
    /// So many a second.
    PerSecond(f64),
    /// Something that is no rate.
    Unreadable,
}

/// The limit that an answer names.
pub(crate) fn scan_limit(headers: &HeaderMap, names: &HeaderNames) -> NamedLimit {
    let Some(value) = headers.get(&names.limit) else {
        return NamedLimit::None;
    };
    let rate = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match rate {
        Some(rate) if rate.is_finite() && rate >= 0.0 => NamedLimit::PerSecond(rate),
        Some(_) | None => NamedLimit::Unreadable,
    }
}

/// Requests running and waiting, as an answer tells.
pub(crate) fn scan_load(headers: &HeaderMap, names: &HeaderNames) -> Option<(u64, u64)> {
    let mut parts = text(headers, &names.load)?.split(',');
    let running = parts.next()?.trim().parse().ok()?;
    let waiting = parts.next()?.trim().parse().ok()?;
    Some((running, waiting))
}
