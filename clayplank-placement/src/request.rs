//! The placement request that a host sends for one prompt, and its possible outcomes.

use clayplank_types::{DataCentre, Fingerprint, UpstreamId};
use serde::{Deserialize, Serialize};

/// Identifies a placement by the incarnation of the requesting host and a sequence number.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct PlacementId {
    /// Number that the host draws at random when it starts.
    pub host: u64,
    /// Increases with each placement of the host.
    pub number: u64,
}

/// A request for engines that serve one prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlacementRequest {
    /// Identifies the placement from now on.
    pub id: PlacementId,
    /// Service whose engines may serve it.
    pub pool: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Upper bound of the tokens of the answer.
    pub output_tokens: u64,
    /// Route with whose typical time limit `sent_limit_ms` is compared.
    pub route: String,
    /// Time limit of that route, which callers are assumed to send until others are observed.
    pub route_limit_ms: f64,
    /// Time limit that the caller sent with this try.
    pub sent_limit_ms: f64,
    /// Time until the first token is late, counted as if this were the caller's first try.
    pub goal_ms: f64,
    /// Time for which its host has deferred it so far, in ms.
    #[serde(default)]
    pub waited_ms: f64,
    /// Time until nobody waits for the first token any more.
    pub limit_ms: f64,
    /// Longest pause between two events of the stream that is not late.
    pub pause_goal_ms: f64,
    /// Data centre of the requesting host.
    pub data_centre: DataCentre,
    /// Engines that must not serve this request: they have failed it, or do not accept requests of its
    /// host now.
    pub avoid: Vec<UpstreamId>,
    /// Engines of `avoid` that its host may use again, and the times until then in ms. Keepers learn of
    /// it by the next list of the requests that the host has queued.
    #[serde(skip)]
    pub(crate) avoid_for_ms: Vec<(UpstreamId, f64)>,
    /// Whether it was refused before and will not be retried again. The choice of engines does not depend
    /// on it.
    pub is_returning: bool,
    /// Whether its stream has started. Such a request is resumed on any engine with room, late or
    /// not.
    pub has_begun: bool,
    /// How it may wait in the admission queue; `None` if it is refused instead of queued.
    pub queue_terms: Option<QueueTerms>,
}

/// How a prompt may wait in the admission queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueTerms {
    /// Identifies the caller's request over all of its tries, at any host.
    pub fingerprint: Fingerprint,
    /// Client account; empty if the caller has none.
    pub account: String,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// Time until the caller's own deadline, in ms; until then it may come back after a refusal.
    pub deadline_ms: f64,
}

/// Pause goal of a request that tolerates any pause.
const NO_PAUSE_GOAL_MS: f64 = 1e9;

/// Value of `goal_ms` after the goal has passed, in ms. A goal is never zero, since times are
/// divided by it.
pub const MIN_GOAL_MS: f64 = 1.0;

/// Most clients abandon a request whose first token takes more than this many goals.
const LIMIT_GOALS: f64 = 4.0;

/// Prompt tokens that add as much weight as one more request.
const TOKENS_PER_WEIGHT: f64 = 10_000.0;

impl PlacementRequest {
    /// A request with a goal for its first token, and defaults for everything else.
    pub fn new(id: PlacementId, pool: &str, prompt_tokens: u64, goal_ms: f64) -> Self {
        Self {
            id,
            pool: pool.to_owned(),
            prompt_tokens,
            output_tokens: 0,
            route: String::new(),
            route_limit_ms: 0.0,
            sent_limit_ms: 0.0,
            goal_ms,
            waited_ms: 0.0,
            limit_ms: LIMIT_GOALS * goal_ms,
            pause_goal_ms: NO_PAUSE_GOAL_MS,
            data_centre: DataCentre::default(),
            avoid: Vec::new(),
            avoid_for_ms: Vec::new(),
            is_returning: false,
            has_begun: false,
            queue_terms: None,
        }
    }

    /// Avoids an engine for a time, in ms. One that is avoided for good stays so.
    pub fn avoid_for(&mut self, engine: UpstreamId, time_ms: f64) {
        if !self.avoid.contains(&engine) {
            self.avoid.push(engine.clone());
            self.avoid_for_ms.push((engine, time_ms));
        } else if let Some((_, left_ms)) = self.avoid_for_ms.iter_mut().find(|one| one.0 == engine)
        {
            *left_ms = left_ms.max(time_ms);
        }
    }

    /// Copy of the request after its caller has waited for `elapsed_ms` more.
    pub fn aged(&self, elapsed_ms: f64) -> Self {
        let mut request = self.clone();
        request.avoid_for_ms.iter_mut().for_each(|(_, left_ms)| *left_ms -= elapsed_ms);
        for (engine, _) in request.avoid_for_ms.extract_if(.., |(_, left_ms)| *left_ms <= 0.0) {
            request.avoid.retain(|avoided| *avoided != engine);
        }
        request.waited_ms += elapsed_ms;
        request.goal_ms = (request.goal_ms - elapsed_ms).max(MIN_GOAL_MS);
        request.limit_ms = (request.limit_ms - elapsed_ms).max(0.0);
        if let Some(terms) = &mut request.queue_terms {
            terms.deadline_ms = (terms.deadline_ms - elapsed_ms).max(0.0);
        }
        request
    }

    /// Whether its goal has passed.
    pub(crate) fn is_late(&self) -> bool {
        self.goal_ms <= MIN_GOAL_MS
    }

    /// Memory that it needs at its end, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// Importance of the request relative to others; 1 for one without a prompt. Long prompts weigh
    /// more because they use more of the fleet, and their callers value them accordingly.
    pub fn weight(&self) -> f64 {
        1.0 + self.prompt_tokens as f64 / TOKENS_PER_WEIGHT
    }
}

/// An engine that helps to prefill a prompt, and may reserve a part of its memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelperPart {
    /// The helping engine.
    pub engine: UpstreamId,
    /// Memory that must be reserved there beforehand, in tokens; 0 for none.
    pub reserve_tokens: u64,
}

/// The engines that serve one prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The primary engine, which receives the request and decodes the answer.
    pub engine: UpstreamId,
    /// Helpers that prefill parts of the prompt.
    pub helpers: Vec<HelperPart>,
    /// Expected time to the first token, in ms from now.
    pub first_token_ms: f64,
}

/// Outcome of a [`PlacementRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlacementOutcome {
    /// The request should be sent to these engines.
    At(Assignment),
    /// The host should ask again soon. No engine accepts the request now, but one is expected to in
    /// time, or other prompts that it would delay are about to be prefilled.
    Soon {
        /// Time until the host should ask again, in ms.
        #[serde(rename = "slot_in_ms")]
        again_in_ms: u64,
    },
    /// Refused: the request would be late, or harm others by more than it is worth.
    Full {
        /// Time until the caller should retry, in ms.
        retry_after_ms: u64,
    },
    /// Queued at the host that places prompts, which will decide. [`crate::Fleet`] never returns
    /// it.
    Queued {
        /// Estimated time until the request is placed, in ms.
        expected_ms: u64,
    },
}
