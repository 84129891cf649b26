//! What a caller is told about its request.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How a request ended, as far as the system can swear to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ran and the whole answer was passed on.
    Answered,
    /// No byte of it reached an upstream, or the upstream proved its refusal.
    NotRun,
    /// It ran, and ended without a whole answer.
    Failed,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// The name that stands in the response header.
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

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The predicted end lies after the deadline.
    DeadlineOutOfReach,
    /// The account is over its own limit of requests a second.
    RateLimit,
    /// The account or the host has too many requests waiting.
    QueueFull,
    /// No live engine has the model.
    NoEngine,
    /// The prompt is larger than all engines of a pool together.
    PromptTooLarge,
    /// The settings could not be confirmed in time.
    SettingsStale,
    /// The host is about to stop.
    Leaving,
    /// No claim could be had for a request that must not be repeated.
    NoClaim,
    /// The owner of the engines did not answer.
    OwnerUnreachable,
    /// The upstream refused, and proved that it began nothing.
    UpstreamRefused,
    /// The service has as many requests in progress as it may.
    ServiceBusy,
    /// Upstreams ended under the same request before.
    HeldBack,
}

impl RefusalReason {
    /// The name that stands in the response body.
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

/// A request that was not run, and when it is worth asking again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("not run: {}; retry after {retry_after_ms} ms", reason.as_str())]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the request would fit, from now.
    pub retry_after_ms: u64,
}

impl Refusal {
    /// Joins a reason and a time.
    pub fn new(reason: RefusalReason, retry_after_ms: u64) -> Self {
        Self { reason, retry_after_ms }
    }
}
