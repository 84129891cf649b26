//! Answers that are the host's own, and the bodies of all answers.

use std::convert::Infallible;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};

/// The answer was broken off, and its connection with it, so that it does not look whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer was broken off")]
pub struct BrokenOff;

/// The body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, BrokenOff>;

/// Why a request gets no answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request cannot be read.
    Malformed,
    /// No route fits.
    NoRoute,
    /// The account's key is missing or not known.
    NoAccount,
    /// The body is larger than allowed.
    TooLarge,
    /// The body came too slowly.
    TooSlow,
    /// No settings are known, or they may be out of date.
    NoPlan { retry_after_ms: u64 },
    /// Nothing was sent, or the upstream did not run it.
    NotRun { retry_after_ms: u64 },
    /// Upstreams ended under the same request before; this time it was not sent.
    HeldBack { retry_after_ms: u64 },
    /// The time limit is over; it may have run.
    TimedOut,
    /// It may have run, and its answer was lost.
    Failed,
}

impl Refusal {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoAccount => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::NoPlan { .. } | Self::NotRun { .. } | Self::HeldBack { .. } => {
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
            Self::TooLarge => "too_large",
            Self::TooSlow => "too_slow",
            Self::NoPlan { .. } => "no_plan",
            Self::NotRun { .. } => "not_run",
            Self::HeldBack { .. } => "held_back",
            Self::TimedOut => "timed_out",
            Self::Failed => "failed",
        }
    }

    /// When to come back, if the request has not run.
    pub(crate) fn retry_after_ms(self) -> Option<u64> {
        match self {
            Self::NoPlan { retry_after_ms }
            | Self::NotRun { retry_after_ms }
            | Self::HeldBack { retry_after_ms } => Some(retry_after_ms),
            Self::Malformed
            | Self::NoRoute
            | Self::NoAccount
            | Self::TooLarge
            | Self::TooSlow
            | Self::TimedOut
            | Self::Failed => None,
        }
    }

    /// The answer that says so.
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

/// A body that is whole.
pub(crate) fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}
