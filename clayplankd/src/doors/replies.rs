//! Answers to callers that this host makes itself, and the body type of all answers.

use std::convert::Infallible;

use bytes::Bytes;
use clayplank_types::{Outcome, Refusal, RefusalReason};
use http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

/// Header with the outcome of the request, set on every answer to a caller.
pub(crate) const OUTCOME_HEADER: &str = "x-clayplank-outcome";

/// Header with the retry delay in ms; `Retry-After` has only a resolution of seconds.
pub(crate) const RETRY_MS_HEADER: &str = "x-clayplank-retry-after-ms";

/// Error of a body that was aborted: the connection is closed, so that the answer does not look
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer broke off before its end")]
pub(crate) struct BodyAborted;

pub(crate) type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Reason for which a request was not run, or failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Problem {
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The operator's key belongs to another partner.
    Forbidden(String),
    /// Nothing is served under this path, or the named item does not exist.
    NotFound(String),
    /// The request is invalid; names the field or header and the expected form.
    Malformed(String),
    /// The body is larger than allowed.
    TooLarge { limit_bytes: u64 },
    /// The caller sent its body too slowly.
    TooSlow,
    /// The request was rejected and did not run.
    Refused(Refusal),
    /// The request ran, but its answer is incomplete or missing.
    Failed(String),
    /// The request may have run; its outcome is unknown.
    Unknown(String),
    /// The idempotency key was used for a different request.
    Conflict(String),
    /// A request with the same idempotency key is in progress.
    InProgress { retry_after_ms: u64 },
}

impl Problem {
    fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::Forbidden(_) => StatusCode::FORBIDDEN,
            Self::NotFound(_) => StatusCode::NOT_FOUND,
            Self::Malformed(_) => StatusCode::BAD_REQUEST,
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::Refused(refusal) => match refusal.reason {
                RefusalReason::RateLimit | RefusalReason::QueueFull => {
                    StatusCode::TOO_MANY_REQUESTS
                }
                RefusalReason::PromptTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                RefusalReason::DeadlineOutOfReach
                | RefusalReason::NoEngine
                | RefusalReason::SettingsStale
                | RefusalReason::Leaving
                | RefusalReason::NoClaim
                | RefusalReason::OwnerUnreachable
                | RefusalReason::UpstreamRefused
                | RefusalReason::ServiceBusy
                | RefusalReason::HeldBack => StatusCode::SERVICE_UNAVAILABLE,
            },
            Self::Failed(_) => StatusCode::BAD_GATEWAY,
            Self::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
            Self::Conflict(_) | Self::InProgress { .. } => StatusCode::CONFLICT,
        }
    }

    /// Outcome of the request.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::Unauthorized
            | Self::Forbidden(_)
            | Self::NotFound(_)
            | Self::Malformed(_)
            | Self::TooLarge { .. }
            | Self::TooSlow
            | Self::Refused(_)
            | Self::Conflict(_) => Outcome::NotRun,
            Self::Failed(_) => Outcome::Failed,
            Self::Unknown(_) | Self::InProgress { .. } => Outcome::Unknown,
        }
    }

    fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Self::Refused(refusal) => Some(refusal.retry_after_ms),
            Self::InProgress { retry_after_ms } => Some(*retry_after_ms),
            _ => None,
        }
    }

    fn reason(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::Forbidden(_) => "forbidden",
            Self::NotFound(_) => "not-found",
            Self::Malformed(_) => "malformed",
            Self::TooLarge { .. } => "too-large",
            Self::TooSlow => "too-slow",
            Self::Refused(refusal) => refusal.reason.as_str(),
            Self::Failed(_) => "failed",
            Self::Unknown(_) => "unknown",
            Self::Conflict(_) => "conflict",
            Self::InProgress { .. } => "in-progress",
        }
    }

    fn message(&self) -> String {
        match self {
            Self::Unauthorized => "the bearer key is missing or not known".to_owned(),
            Self::TooLarge { limit_bytes } => {
                format!("the body is larger than {limit_bytes} bytes")
            }
            Self::TooSlow => "the body came too slowly".to_owned(),
            Self::Refused(refusal) => refusal.to_string(),
            Self::InProgress { .. } => "a call with this idempotency key is being run".to_owned(),
            Self::Forbidden(message)
            | Self::NotFound(message)
            | Self::Malformed(message)
            | Self::Failed(message)
            | Self::Unknown(message)
            | Self::Conflict(message) => message.clone(),
        }
    }

    /// JSON body of the error, also sent as an error event within a stream.
    pub(crate) fn to_json(&self) -> serde_json::Value {
        serde_json::json!({
            "error": { "type": self.reason(), "message": self.message() },
            "outcome": self.outcome(),
        })
    }

    /// The complete response to the caller.
    pub(crate) fn to_response(&self) -> Response<Body> {
        let mut response = json(self.status(), &self.to_json());
        set_outcome(&mut response, self.outcome());
        if let Some(retry_ms) = self.retry_after_ms() {
            let headers = response.headers_mut();
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_ms.div_ceil(1_000).max(1)));
            headers.insert(RETRY_MS_HEADER, HeaderValue::from(retry_ms));
        }
        response
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

pub(crate) fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never: Infallible| match never {}).boxed_unsync()
}

pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

pub(crate) fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    response
}

pub(crate) fn set_outcome(response: &mut Response<Body>, outcome: Outcome) {
    response.headers_mut().insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.as_str()));
}
