//! Share of an engine in one request, and queued prefill work.

use crate::request::PlacementId;

/// Whether the engine decodes the answer of a request or only helps to prefill its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    Primary,
    Helper,
}

/// Share of an engine in one request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: PlacementId,
    pub(crate) kind: JobKind,
    /// Whether the first token of the request is still awaited.
    pub(crate) is_prefilling: bool,
    /// Whether several engines prefill the prompt. Such parts are prefilled before unsplit prompts.
    pub(crate) is_split: bool,
    /// Estimated prefill time that remains for its part, in ms.
    pub(crate) remaining_ms: f64,
    pub(crate) remaining_tokens: f64,
    pub(crate) memory_tokens: u64,
    pub(crate) context_tokens: u64,
    pub(crate) pause_goal_ms: f64,
    /// Time from its placement to its first token that is not late, in ms.
    pub(crate) goal_ms: f64,
    pub(crate) first_token_due_ms: f64,
    pub(crate) weight: f64,
}

impl Job {
    pub(crate) fn is_queued(&self) -> bool {
        self.is_prefilling && self.remaining_ms > 0.0
    }

    /// Prefill work that remains for its part.
    pub(crate) fn queued(&self) -> PrefillWork {
        PrefillWork { tokens: self.remaining_tokens, prefill_ms: self.remaining_ms }
    }
}

/// An amount of prefill work.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillWork {
    pub(crate) tokens: f64,
    pub(crate) prefill_ms: f64,
}

impl PrefillWork {
    /// Sum of both.
    pub(crate) fn plus(self, other: Self) -> Self {
        Self { tokens: self.tokens + other.tokens, prefill_ms: self.prefill_ms + other.prefill_ms }
    }
}
