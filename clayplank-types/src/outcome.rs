//! Outcomes and refusals of requests, as reported to their callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Outcome of a request, as far as the system can guarantee it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran, and the complete answer was forwarded.
    Answered,
    /// It did not run: no byte of it reached an upstream, or the upstream proved that it refused
    /// the request.
    NotRun,
    /// It ran, and ended without a complete answer.
    Failed,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Name of the outcome in the response header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Failed => "failed",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reason for which a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The predicted completion is later than the deadline.
    DeadlineOutOfReach,
    /// The account exceeds its limit of requests per second.
    RateLimit,
    /// Too many requests of the account or on the host are waiting.
    QueueFull,
    /// No live engine serves the model.
    NoEngine,
    /// The prompt exceeds the capacity of all engines of a pool together.
    PromptTooLarge,
    /// The settings could not be confirmed within their time-out.
    SettingsStale,
    /// The host is shutting down.
    Leaving,
    /// No claim was obtained for a request that must not be repeated.
    NoClaim,
    /// The owner of the engines did not answer.
    OwnerUnreachable,
    /// The upstream refused the request, and proved that it had not started it.
    UpstreamRefused,
    /// The service has reached its limit of requests in progress.
    ServiceBusy,
    /// The request is quarantined, since upstreams terminated while they ran it before.
    HeldBack,
}

impl RefusalReason {
    /// Name of the reason in the response body.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::DeadlineOutOfReach => "deadline-out-of-reach",
            Self::RateLimit => "rate-limit",
            Self::QueueFull => "queue-full",
            Self::NoEngine => "no-engine",
            Self::PromptTooLarge => "prompt-too-large",
            Self::SettingsStale => "settings-stale",
            Self::Leaving => "leaving",
            Self::NoClaim => "no-claim",
            Self::OwnerUnreachable => "owner-unreachable",
            Self::UpstreamRefused => "upstream-refused",
            Self::ServiceBusy => "service-busy",
            Self::HeldBack => "held-back",
        }
    }
}

/// Refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("not run: {}; retry after {retry_after_ms} ms", reason.as_str())]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time from now after which the request can be expected to be admitted, in ms.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Creates a refusal with a retry delay in ms.
    pub fn new(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self { reason, retry_after_ms }
    }
}
