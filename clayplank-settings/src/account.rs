//! Templates and client accounts, the settings that operators change at run time.

use clayplank_types::Priority;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{Check, Faults};
use crate::key::KeyDigest;

/// Defaults and limits for requests that name this template.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Scheduling priority relative to other requests.
    #[serde(default)]
    pub priority: Priority,
    /// Time from the request's arrival to its deadline, 1 to 86,400,000 ms.
    #[schemars(range(min = 1, max = 86_400_000))]
    pub deadline_ms: u64,
    /// Maximum number of tokens in an answer.
    #[schemars(range(min = 1))]
    #[serde(default = "default_output_tokens")]
    pub max_output_tokens: u64,
    /// Model for requests that name none.
    #[serde(default)]
    pub model: Option<String>,
    /// Adapter to apply to the model.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Whether the request may be retried after a failure.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
}

fn default_output_tokens() -> u64 {
    1_024
}

fn default_repeatable() -> bool {
    true
}

impl Check for Template {
    /// Does nothing: the JSON schema expresses all rules.
    fn check(&self, _at: &str, _faults: &mut Faults) {}
}

/// Account of a partner's client, with its limits. Values set here override the template's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClientAccount {
    /// SHA-256 digest of the account's bearer key.
    pub key_sha256: KeyDigest,
    /// Name of the template for requests that name none.
    #[schemars(length(min = 1))]
    pub template: String,
    /// Weight of the account's share of the capacity, 1 to 1,000,000.
    #[serde(default = "default_share")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub share: u64,
    /// Overrides the template's priority.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Overrides the template's deadline.
    #[serde(default)]
    #[schemars(range(min = 1, max = 86_400_000))]
    pub deadline_ms: Option<u64>,
    /// Overrides the template's model.
    #[serde(default)]
    pub model: Option<String>,
    /// Overrides the template's adapter.
    #[serde(default)]
    pub adapter: Option<String>,
    /// Overrides whether requests may be retried.
    #[serde(default)]
    pub repeatable: Option<bool>,
    /// Rate limit at each entry host, in requests per second. Bursts of up to two seconds' worth
    /// of requests are admitted.
    #[serde(default = "default_rate")]
    #[schemars(range(min = 1))]
    pub requests_per_s: u64,
    /// Maximum number of requests that wait or run at one entry host.
    #[serde(default = "default_waiting")]
    #[schemars(range(min = 1))]
    pub max_in_progress: u64,
    /// Retry budget, in percent of first attempts.
    #[serde(default = "default_retry_percent")]
    #[schemars(range(min = 0, max = 100))]
    pub retry_percent: u64,
}

fn default_share() -> u64 {
    100
}

fn default_rate() -> u64 {
    100
}

fn default_waiting() -> u64 {
    256
}

fn default_retry_percent() -> u64 {
    10
}

impl Check for ClientAccount {
    /// Does nothing: the JSON schema expresses all rules.
    fn check(&self, _at: &str, _faults: &mut Faults) {}
}

/// Values in force for one request: the account's where it sets them, else the template's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveSettings {
    /// Scheduling priority.
    pub priority: Priority,
    /// Time from the request's arrival to its deadline, in ms.
    pub deadline_ms: u64,
    /// Maximum number of tokens in the answer.
    pub max_output_tokens: u64,
    /// Model, if the account or the template names one.
    pub model: Option<String>,
    /// Adapter, if the account or the template names one.
    pub adapter: Option<String>,
    /// Whether a retry is allowed.
    pub repeatable: bool,
}

impl EffectiveSettings {
    /// Merges an account with a template; the account's values take precedence.
    pub fn of(account: &ClientAccount, template: &Template) -> Self {
        Self {
            priority: account.priority.unwrap_or(template.priority),
            deadline_ms: account.deadline_ms.unwrap_or(template.deadline_ms),
            max_output_tokens: template.max_output_tokens,
            model: account.model.clone().or_else(|| template.model.clone()),
            adapter: account.adapter.clone().or_else(|| template.adapter.clone()),
            repeatable: account.repeatable.unwrap_or(template.repeatable),
        }
    }
}
