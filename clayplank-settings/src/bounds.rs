//! Times and limits that the operators of a deployment set.
//!
//! A deployment that runs at a fraction of its full size has fractional bounds, such as
//! 34.7 retries, and one that does not set a bound may write `null`. Where an integer is needed,
//! a fraction is rounded in the direction in which the guarantee behind the bound still holds.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One day in ms, the upper limit of all bounds in ms.
const DAY_MS: u32 = 86_400_000;

/// One day in seconds, the upper limit of all bounds in seconds.
const DAY_S: u32 = 86_400;

/// Upper limit of both retry bounds, far above what callers send in any window.
const MAX_RETRIES: u32 = 1_000_000_000;

/// Times and limits in force, with defaults filled in and fractions rounded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(from = "WrittenBounds")]
pub struct Bounds {
    /// Interval between two heartbeats of an upstream, in ms.
    pub heartbeat_ms: u64,
    /// Time after which an acknowledged change must be in force on all hosts, in ms.
    pub apply_ms: u64,
    /// Time after which a revoked key must be rejected by all hosts, in ms.
    pub revoke_ms: u64,
    /// Time after which the upstreams of a cordoned data centre must receive no more requests,
    /// in ms.
    pub cordon_ms: u64,
    /// Time after which an upstream whose draining or departure was acknowledged must receive no
    /// more requests, in ms.
    pub drain_ms: u64,
    /// Time from a planned stop until the process is killed, in seconds.
    pub grace_s: f64,
    /// Retries allowed per first attempt, over all hosts.
    pub retry_ratio: f64,
    /// Retries allowed in addition to `retry_ratio`, per window and over all hosts.
    pub retry_extra: f64,
    /// Window in which retries and first attempts are counted, in seconds.
    pub retry_window_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            apply_ms: 2_000,
            revoke_ms: 5_000,
            cordon_ms: 5_000,
            drain_ms: 2_000,
            grace_s: 8.0,
            retry_ratio: 0.2,
            retry_extra: 100.0,
            retry_window_s: 10.0,
        }
    }
}

/// Bounds as written in a settings file. A missing or `null` field takes its default.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct WrittenBounds {
    /// Interval between two heartbeats of an upstream, in ms. A fraction is rounded up, so that an
    /// upstream is not considered unresponsive too early.
    #[schemars(range(min = 1, max = DAY_MS))]
    heartbeat_ms: Option<f64>,
    /// Time after which an acknowledged change must be in force on all hosts, in ms. A fraction is
    /// rounded down.
    #[schemars(range(min = 100, max = DAY_MS))]
    apply_ms: Option<f64>,
    /// Time after which a revoked key must be rejected by all hosts, in ms. A fraction is rounded
    /// down, so that no host accepts the key for longer.
    #[schemars(range(min = 100, max = DAY_MS))]
    revoke_ms: Option<f64>,
    /// Time after which the upstreams of a cordoned data centre must receive no more requests,
    /// in ms. A fraction is rounded down.
    #[schemars(range(min = 100, max = DAY_MS))]
    cordon_ms: Option<f64>,
    /// Time after which an upstream whose draining or departure was acknowledged must receive no
    /// more requests, in ms. A fraction is rounded down.
    #[schemars(range(min = 100, max = DAY_MS))]
    drain_ms: Option<f64>,
    /// Time from a planned stop until the process is killed, in seconds.
    #[schemars(range(min = 0, max = DAY_S))]
    grace_s: Option<f64>,
    /// Retries allowed per first attempt, over all hosts.
    #[schemars(range(min = 0, max = MAX_RETRIES))]
    retry_ratio: Option<f64>,
    /// Retries allowed in addition to `retry_ratio`, per window and over all hosts. It is divided
    /// among the hosts, so a fraction is kept unrounded.
    #[schemars(range(min = 0, max = MAX_RETRIES))]
    retry_extra: Option<f64>,
    /// Window in which retries and first attempts are counted, in seconds.
    #[schemars(range(min = 0.001, max = DAY_S))]
    retry_window_s: Option<f64>,
}

impl From<WrittenBounds> for Bounds {
    fn from(written: WrittenBounds) -> Self {
        let defaults = Self::default();
        Self {
            heartbeat_ms: written.heartbeat_ms.map_or(defaults.heartbeat_ms, |ms| ms.ceil() as u64),
            apply_ms: written.apply_ms.map_or(defaults.apply_ms, |ms| ms.floor() as u64),
            revoke_ms: written.revoke_ms.map_or(defaults.revoke_ms, |ms| ms.floor() as u64),
            cordon_ms: written.cordon_ms.map_or(defaults.cordon_ms, |ms| ms.floor() as u64),
            drain_ms: written.drain_ms.map_or(defaults.drain_ms, |ms| ms.floor() as u64),
            grace_s: written.grace_s.unwrap_or(defaults.grace_s),
            retry_ratio: written.retry_ratio.unwrap_or(defaults.retry_ratio),
            retry_extra: written.retry_extra.unwrap_or(defaults.retry_extra),
            retry_window_s: written.retry_window_s.unwrap_or(defaults.retry_window_s),
        }
    }
}
