//! What is asked of a scheduler and what it decides.

use clayplank_types::{
    AccountId, AttemptId, EnginePriority, HostId, Incarnation, Priority, Refusal, RequestId,
    UpstreamId,
};

/// A request for engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The request, unique within the scheduler.
    pub request_id: RequestId,
    /// The dispatch that the grant is for.
    pub attempt_id: AttemptId,
    /// Who asks.
    pub account: AccountId,
    /// Weight of the account.
    pub share: u64,
    /// Class of the request.
    pub priority: Priority,
    /// The model that must run it.
    pub model: String,
    /// The adapter on the model.
    pub adapter: Option<String>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub max_output_tokens: u64,
    /// When it must have ended.
    pub deadline_ms: u64,
    /// Hashes of the prompt's prefixes, the shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Engines on which an earlier attempt failed.
    pub avoid: Vec<UpstreamId>,
}

impl Ask {
    /// An ask of usual priority and weight, with a short answer.
    pub fn new(
        request_id: RequestId,
        attempt_id: AttemptId,
        account: AccountId,
        model: &str,
        prompt_tokens: u64,
        deadline_ms: u64,
    ) -> Self {
        Self {
            request_id,
            attempt_id,
            account,
            share: 100,
            priority: Priority::Normal,
            model: model.to_owned(),
            adapter: None,
            prompt_tokens,
            max_output_tokens: 16,
            deadline_ms,
            prefix_hashes: Vec::new(),
            avoid: Vec::new(),
        }
    }

    /// KV cache that it needs.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// Names a grant within one life of its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId(pub u64);

/// The entry host that holds a grant.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holder {
    /// Its name.
    pub host: HostId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// Capacity reserved for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Its name.
    pub grant_id: GrantId,
    /// The request that it answers.
    pub request_id: RequestId,
    /// The class in which the engine is to read the prompt.
    pub engine_priority: EnginePriority,
    /// The adapter that its engines must be ordered to load first.
    pub load_adapter: Option<String>,
    /// One part for each engine; the last engine writes the answer.
    pub parts: Vec<GrantPart>,
}

/// What is reserved at one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantPart {
    /// The engine.
    pub engine: UpstreamId,
    /// KV cache reserved there.
    pub reserved_tokens: u64,
    /// Prompt tokens that it reads.
    pub prompt_tokens: u64,
}

/// What a scheduler decided.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Granted(Grant),
    /// The request does not run.
    Refused(RequestId, Refusal),
    /// The grant's holder is gone: end the attempt at the engine.
    Cancel(UpstreamId, AttemptId),
}

/// What an attempt took, as its holder saw it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Whether the engine said that the attempt ended.
    pub engine_ended: bool,
    /// Whether the engine failed rather than the caller.
    pub engine_failed: bool,
    /// Tokens written.
    pub output_tokens: u64,
    /// From the first token to the last.
    pub decode_ms: u64,
}
