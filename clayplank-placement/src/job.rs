//! A request's share in one engine, and the reads that wait there.

use crate::request::PlacementId;

/// Whether a request runs at the engine or is only read there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    Primary,
    Helper,
}

/// A request's share in one engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: PlacementId,
    pub(crate) kind: JobKind,
    /// Until the first token of the request has come.
    pub(crate) is_prefilling: bool,
    /// Whether several engines read the prompt: such parts are read before others.
    pub(crate) is_split: bool,
    /// What is left of its part to be read, as far as can be known from here.
    pub(crate) remaining_ms: f64,
    pub(crate) remaining_tokens: f64,
    pub(crate) memory_tokens: u64,
    pub(crate) context_tokens: u64,
    pub(crate) pause_goal_ms: f64,
    /// Time for its first token, from when it was placed.
    pub(crate) goal_ms: f64,
    pub(crate) first_token_due_ms: f64,
    pub(crate) weight: f64,
}

impl Job {
    pub(crate) fn is_queued(&self) -> bool {
        self.is_prefilling && self.remaining_ms > 0.0
    }

    /// What is left to be read.
    pub(crate) fn queued(&self) -> PrefillWork {
        PrefillWork { tokens: self.remaining_tokens, prefill_ms: self.remaining_ms }
    }
}

/// Reads that wait on an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillWork {
    pub(crate) tokens: f64,
    pub(crate) prefill_ms: f64,
}

impl PrefillWork {
    /// Both, one after the other.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self { tokens: self.tokens + other.tokens, prefill_ms: self.prefill_ms + other.prefill_ms }
    }
}
