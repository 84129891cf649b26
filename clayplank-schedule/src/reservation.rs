//! Reservation requests to a scheduler, and its decisions on them.

use clayplank_types::{
    AccountId, AttemptId, EnginePriority, HostId, Incarnation, Priority, Refusal, RequestId,
    UpstreamId,
};

/// A reservation request: asks for capacity on one or more engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// The request, unique within the scheduler.
    pub request_id: RequestId,
    /// The attempt that the grant is for.
    pub attempt_id: AttemptId,
    /// The account that is charged for the request.
    pub account: AccountId,
    /// Weight of the account in fair queueing; 0 counts as 1.
    pub weight: u64,
    /// Priority class of the request.
    pub priority: Priority,
    /// Name of the model that must run it.
    pub model: String,
    /// Name of the adapter that must be loaded on the model, if any.
    pub adapter: Option<String>,
    /// Length of the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_output_tokens: u64,
    /// Time in ms, on the scheduler's clock, by which the request must complete.
    pub deadline_ms: u64,
    /// Hashes of the prompt's block-aligned prefixes, shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Engines on which an earlier attempt failed.
    pub avoided_engines: Vec<UpstreamId>,
}

impl ReservationRequest {
    /// A request of normal priority and default weight (100), with at most 16 output tokens.
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
            weight: 100,
            priority: Priority::Normal,
            model: model.to_owned(),
            adapter: None,
            prompt_tokens,
            max_output_tokens: 16,
            deadline_ms,
            prefix_hashes: Vec::new(),
            avoided_engines: Vec::new(),
        }
    }

    /// KV cache the request needs: its prompt and the longest allowed output, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// Identifies a grant within one incarnation of the pool's owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantId(pub u64);

/// The entry host that holds a grant, in one of its incarnations.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct GrantHolder {
    /// Identifier of the host.
    pub host: HostId,
    /// Incarnation of the host; a restart raises it.
    pub incarnation: Incarnation,
}

/// Capacity reserved for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Identifier of the grant.
    pub grant_id: GrantId,
    /// The request that was granted.
    pub request_id: RequestId,
    /// Priority class in which the engine schedules the prefill.
    pub engine_priority: EnginePriority,
    /// Adapter that at least one of the engines must load before it can run the request.
    pub load_adapter: Option<String>,
    /// One part for each engine; the last engine generates the output.
    pub parts: Vec<GrantPart>,
}

/// Capacity reserved on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantPart {
    /// Identifier of the engine.
    pub engine: UpstreamId,
    /// Reserved KV cache, in tokens.
    pub reserved_tokens: u64,
    /// Number of prompt tokens in this engine's share of the prompt.
    pub prompt_tokens: u64,
}

/// A decision of the scheduler, to be carried out by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run with the granted capacity.
    Granted(Grant),
    /// The request is refused, with the reason and the time to wait before a retry.
    Refused(RequestId, Refusal),
    /// The attempt's grant was revoked: cancel the attempt at the engine.
    Cancel(UpstreamId, AttemptId),
}

/// Outcome and resource use of an attempt, as observed by the grant's holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Whether the engine confirmed that the attempt ended.
    pub engine_ended: bool,
    /// Whether the attempt failed at the engine rather than at the caller.
    pub engine_failed: bool,
    /// Number of output tokens generated.
    pub output_tokens: u64,
    /// Time from the first output token to the last, in ms.
    pub decode_ms: u64,
}
