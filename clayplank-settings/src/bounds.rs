//! Times and limits that the operators of a deployment set.
//!
//! A deployment that runs at a share of its size has bounds with a fraction, such as 34.7 retries;
//! and one that does not set a bound may write `null`. Where a whole number is needed, a fraction
//! is rounded to the side on which the promise behind the bound still holds.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A day, in ms: no bound of the deployment is longer.
const DAY_MS: u32 = 86_400_000;

/// The same, in seconds.
const DAY_S: u32 = 86_400;

/// Far above what callers send in any window.
const MAX_RETRIES: u32 = 1_000_000_000;

/// Times and limits, as they are in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(from = "WrittenBounds")]
pub struct Bounds {
    /// Between two heartbeats of an upstream.
    pub heartbeat_ms: u64,
    /// A change that was acknowledged must be in force everywhere after this time.
    pub apply_ms: u64,
    /// A key that was taken away must be without effect everywhere after this time.
    pub revoke_ms: u64,
    /// Upstreams of a data centre under a cordon must get nothing after this time.
    pub cordon_ms: u64,
    /// From a planned stop until the process is killed.
    pub grace_s: f64,
    /// Retries for each first try, over all hosts.
    pub retry_ratio: f64,
    /// Retries besides, over all hosts.
    pub retry_extra: f64,
    /// The window in which both are counted.
    pub retry_window_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            apply_ms: 2_000,
            revoke_ms: 5_000,
            cordon_ms: 5_000,
            grace_s: 8.0,
            retry_ratio: 0.2,
            retry_extra: 100.0,
            retry_window_s: 10.0,
        }
    }
}

/// Bounds as a settings file has them; what is missing or `null` has its usual value.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
struct WrittenBounds {
    /// Between two heartbeats of an upstream. A fraction is rounded up: an upstream is not
    /// taken for silent too soon.
    #[schemars(range(min = 1, max = DAY_MS))]
    heartbeat_ms: Option<f64>,
    /// A change that was acknowledged must be in force everywhere after this time. A fraction is rounded
    /// down.
    #[schemars(range(min = 100, max = DAY_MS))]
    apply_ms: Option<f64>,
    /// A key that was taken away must be without effect everywhere after this time. A fraction
    /// is rounded down: no host serves the key for longer.
    #[schemars(range(min = 100, max = DAY_MS))]
    revoke_ms: Option<f64>,
    /// Upstreams of a data centre under a cordon must get nothing after this time. A fraction is rounded
    /// down.
    #[schemars(range(min = 100, max = DAY_MS))]
    cordon_ms: Option<f64>,
    /// From a planned stop until the process is killed.
    #[schemars(range(min = 0, max = DAY_S))]
    grace_s: Option<f64>,
    /// Retries for each first try, over all hosts.
    #[schemars(range(min = 0, max = MAX_RETRIES))]
    retry_ratio: Option<f64>,
    /// Retries besides, over all hosts. Hosts share it, so that a fraction counts as it is.
    #[schemars(range(min = 0, max = MAX_RETRIES))]
    retry_extra: Option<f64>,
    /// The window in which both are counted.
    #[schemars(range(min = 0.001, max = DAY_S))]
    retry_window_s: Option<f64>,
}

impl From<WrittenBounds> for Bounds {
    fn from(written: WrittenBounds) -> Self {
        let usual = Self::default();
        Self {
            heartbeat_ms: written.heartbeat_ms.map_or(usual.heartbeat_ms, |ms| ms.ceil() as u64),
            apply_ms: written.apply_ms.map_or(usual.apply_ms, |ms| ms.floor() as u64),
            revoke_ms: written.revoke_ms.map_or(usual.revoke_ms, |ms| ms.floor() as u64),
            cordon_ms: written.cordon_ms.map_or(usual.cordon_ms, |ms| ms.floor() as u64),
            grace_s: written.grace_s.unwrap_or(usual.grace_s),
            retry_ratio: written.retry_ratio.unwrap_or(usual.retry_ratio),
            retry_extra: written.retry_extra.unwrap_or(usual.retry_extra),
            retry_window_s: written.retry_window_s.unwrap_or(usual.retry_window_s),
        }
    }
}
