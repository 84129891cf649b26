//! What a host asks of the fleet for one prompt, and what it is told.

use clayplank_types::{DataCentre, UpstreamId};
use serde::{Deserialize, Serialize};

/// Names a placement: the host that asked, in this life, and its count.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct PlacementId {
    /// Drawn by the host when it started.
    pub host: u64,
    /// Rises with each placement of the host.
    pub number: u64,
}

/// One prompt that wants engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// Names the placement from now on.
    pub id: PlacementId,
    /// The service whose engines may serve it.
    pub pool: String,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub output_tokens: u64,
    /// Whose callers' time limits its own is compared with.
    pub route: String,
    /// The time limit of that route, which callers send unless others are seen.
    pub route_limit_ms: f64,
    /// The time limit that its caller sent with this try.
    pub sent_limit_ms: f64,
    /// Time until its first token is late, as if its caller were new.
    pub goal_ms: f64,
    /// How long its host has held it before asking, in ms.
    #[serde(default)]
    pub waited_ms: f64,
    /// Time until nobody waits for its first token any more.
    pub limit_ms: f64,
    /// The longest pause between two events of its stream that is not late.
    pub pause_goal_ms: f64,
    /// Where the host stands that asks.
    pub data_centre: DataCentre,
    /// Engines that have failed it.
    pub avoid: Vec<UpstreamId>,
    /// Whether it was refused before, and will not come back once more.
    pub is_returning: bool,
    /// How long ago its caller tried first, if it comes back after a refusal.
    #[serde(skip)]
    pub(crate) since_first_try_ms: f64,
    /// Whether its stream has begun: it goes on wherever there is room, late or not.
    pub has_begun: bool,
}

/// A pause between events that matters to nobody.
const NO_PAUSE_GOAL_MS: f64 = 1e9;

/// What is left of a goal that has passed, in ms: a goal is never zero, since times are divided
/// by it.
pub const PASSED_GOAL_MS: f64 = 1.0;

/// First tokens later than this many goals are given up by most clients.
const LIMIT_GOALS: f64 = 4.0;

/// So many tokens weigh as much as one more request.
const TOKENS_PER_WEIGHT: f64 = 10_000.0;

impl Ask {
    /// A prompt with a goal for its first token, and nothing else set.
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
            is_returning: false,
            since_first_try_ms: 0.0,
            has_begun: false,
        }
    }

    /// The same for a caller that tried first so long ago, in ms; 0 for one that is new.
    pub(crate) fn with_time_since_first_try(&self, since_first_try_ms: f64) -> Self {
        let is_returning = self.is_returning || since_first_try_ms > 0.0;
        Self { is_returning, since_first_try_ms, ..self.clone() }
    }

    /// Whether its goal has passed.
    pub(crate) fn is_late(&self) -> bool {
        self.goal_ms <= PASSED_GOAL_MS
    }

    /// Memory that it needs in the end.
    pub fn memory_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    /// What it counts when it competes with others: long prompts take more of
    /// the fleet, and their callers value them accordingly.
    pub fn weight(&self) -> f64 {
        1.0 + self.prompt_tokens as f64 / TOKENS_PER_WEIGHT
    }
}

/// An engine that reads a part of a prompt, and may hold a part of its memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Which engine.
    pub engine: UpstreamId,
    /// Memory that has to be reserved there beforehand; 0 for none.
    pub reserve_tokens: u64,
}

/// Engines for one prompt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Assignment {
    /// The engine that gets the request and writes the answer.
    pub engine: UpstreamId,
    /// Engines that read with it.
    pub helpers: Vec<Part>,
    /// When its first token is expected, from now.
    pub first_token_ms: f64,
}

/// The outcome of an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Placed {
    /// To be sent there.
    At(Assignment),
    /// It should ask again soon: no engine has a free slot, but one is expected in time, or others are
    /// read soon that it would hold up.
    Soon {
        /// Time until it should ask again.
        #[serde(rename = "slot_in_ms")]
        again_in_ms: u64,
    },
    /// It would not be in time, or take more of others than it is worth; when to come back.
    Full {
        /// Time until room is expected.
        retry_after_ms: u64,
    },
}
