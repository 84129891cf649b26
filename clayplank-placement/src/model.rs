//! Cost model that engines publish: durations of prefill, decoding and passes.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Cost of an engine's work. All engines of a service share one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct EngineModel {
    /// Requests that the engine runs concurrently.
    #[schemars(range(min = 1))]
    pub slots: u32,
    /// Tokens that fit in the KV cache.
    #[schemars(range(min = 1))]
    pub memory_tokens: u64,
    /// Steps between two events of a stream while any stream is decoded.
    #[schemars(range(min = 1))]
    pub steps_per_event: u32,
    /// Duration of an empty step, in ms.
    pub step_ms: f64,
    /// Time added to a step for each sequence that is decoded, in ms.
    pub per_sequence_ms: f64,
    /// Time added to a step for each 1000 tokens of context of a sequence that is decoded, in ms.
    pub context_per_1000_tokens_ms: f64,
    /// Prompt tokens that are prefilled per second.
    #[schemars(range(min = 1.0))]
    pub read_tokens_per_s: f64,
    /// Time added to prefill for each million pairs of a token and an earlier one, in ms.
    pub per_million_pairs_ms: f64,
    /// Upper bound of the prompt tokens that one step prefills.
    #[schemars(range(min = 1))]
    pub chunk_tokens: u64,
    /// Time added to a step whose prompt is split over several engines, in ms.
    pub hop_ms: f64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self::TYPICAL
    }
}

impl EngineModel {
    /// Default model: an engine of the 70-billion class, as users run it.
    pub const TYPICAL: Self = Self {
        slots: 16,
        memory_tokens: 450_000,
        steps_per_event: 46,
        step_ms: 0.925,
        per_sequence_ms: 0.004_83,
        context_per_1000_tokens_ms: 0.002_54,
        read_tokens_per_s: 256_000.0,
        per_million_pairs_ms: 0.091_7,
        chunk_tokens: 2_048,
        hop_ms: 0.1,
    };

    /// Time to prefill one of `parts` equal parts of a prompt, in ms.
    pub fn part_prefill_ms(&self, prompt_tokens: u64, parts: usize) -> f64 {
        let tokens = prompt_tokens as f64;
        let million_pairs = tokens * tokens / 2.0 / 1e6;
        let linear_ms = tokens / self.read_tokens_per_s * 1e3;
        let steps = tokens / self.chunk_tokens as f64;
        let total_ms = linear_ms + million_pairs * self.per_million_pairs_ms + steps * self.step_ms;
        total_ms / parts.max(1) as f64
    }

    /// Duration of one pass, in ms: the time between two events of the streams that an engine
    /// decodes while it prefills nothing.
    pub fn pass_ms(&self, streams: usize, context_tokens: u64) -> f64 {
        let sequences_ms = self.per_sequence_ms * streams as f64;
        let context_ms = self.context_per_1000_tokens_ms * context_tokens as f64 / 1e3;
        f64::from(self.steps_per_event) * (self.step_ms + sequences_ms + context_ms)
    }

    /// Upper bound of the prompt tokens that are prefilled between two events.
    pub fn pass_prefill_tokens(&self) -> u64 {
        u64::from(self.steps_per_event) * self.chunk_tokens
    }
}
