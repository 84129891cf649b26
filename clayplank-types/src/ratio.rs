//! Estimates of the number of tokens of a text from its size in bytes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Average bytes of text per token of a model, as measured by the operator.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(transparent)]
pub struct TokenRatio {
    bytes_per_token: f64,
}

impl TokenRatio {
    /// Creates a ratio; values below 0.25 are raised to 0.25.
    pub fn new(bytes_per_token: f64) -> Self {
        Self { bytes_per_token: bytes_per_token.max(0.25) }
    }

    /// Estimated number of tokens of a text of `size_bytes`, at least 1.
    #[allow(clippy::cast_possible_truncation, reason = "a body is far smaller than 2^52 bytes")]
    pub fn tokens(self, size_bytes: usize) -> u64 {
        ((size_bytes as f64 / self.bytes_per_token).ceil() as u64).max(1)
    }

    /// Estimated size of a text of `tokens` tokens, in bytes.
    #[allow(
        clippy::cast_possible_truncation,
        reason = "a block of tokens is far smaller than 2^52 bytes"
    )]
    pub fn bytes(self, tokens: u64) -> usize {
        (tokens as f64 * self.bytes_per_token) as usize
    }
}

impl Default for TokenRatio {
    fn default() -> Self {
        Self { bytes_per_token: 4.0 }
    }
}
