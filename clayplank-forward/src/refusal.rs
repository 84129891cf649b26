//! Responses that the host generates itself, and the bodies of all responses.

use std::convert::Infallible;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// The answer was broken off; its connection is closed with it, so that the answer does not appear
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off")]
pub struct BrokenOff;

/// Body of a response to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Reason why a request gets no answer from an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request cannot be read.
    Malformed,
    /// No route matches.
    NoRoute,
    /// The account's key is missing or unknown.
    NoAccount,
    /// The prompt has more parts than are read.
    TooManyParts,
    /// The body is larger than allowed.
    TooLarge,
    /// The body was not received within the time-out.
    TooSlow,
    /// No serving plan is known, or it may be out of date.
    NoPlan { retry_after_ms: u64 },
    /// Nothing was sent, or the upstream did not run the request.
    NotRun { retry_after_ms: u64 },
    /// The request, or a part of its prompt, is quarantined because upstreams terminated under it;
    /// this time it was not sent.
    Quarantined { retry_after_ms: u64 },
    /// The time limit has passed; the request may have run.
    TimedOut,
    /// The request may have run, and its answer was lost.
    Failed,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::TooManyParts => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoAccount => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoPlan { .. } | Self::NotRun { .. } | Self::Quarantined { .. } => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Self::Failed => StatusCode::BAD_GATEWAY,
        }
    }

    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::NoRoute => "no_route",
            Self::NoAccount => "no_account",
            Self::TooManyParts => "too_many_prompt_parts",
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
            Self::NoPlan { .. } => "no_plan",
            Self::NotRun { .. } => "not_run",
            Self::Quarantined { .. } => "held_back",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
        }
    }

    /// Retry time in ms, if the request has not run.
    pub(crate) fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NoPlan { retry_after_ms }
            | Self::NotRun { retry_after_ms }
            | Self::Quarantined { retry_after_ms } => Some(retry_after_ms),
            Self::Malformed
            | Self::NoRoute
            | Self::NoAccount
            | Self::TooManyParts
            | Self::TooLarge
            | Self::TooSlow
            | Self::TimedOut
            | Self::Failed => None,
        }
    }

    /// The response to the caller.
    pub(crate) fn to_response(self) -> Response<AnswerBody> {
        let body = format!("{{\"error\":\"{}\"}}", self.as_str());
        let mut response = Response::new(full(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry_after_ms) = self.retry_after_ms() {
            let seconds = format!("{:.3}", retry_after_ms as f64 / 1e3);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}

/// A body that is complete from the start.
pub(crate) fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}
