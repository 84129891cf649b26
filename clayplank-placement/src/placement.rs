//! A prompt that was placed, and until when it is waited for.

use clayplank_types::UpstreamId;

use crate::request::{Ask, Assignment};

/// A placement whose host says nothing is dropped this long, in ms, after its time limit.
const EXPIRY_MARGIN_MS: f64 = 5_000.0;

/// A placement that its host does not list is kept this long, in ms: the list may be older.
const SETTLE_MS: f64 = 1_000.0;

/// A first token that is this many times later than expected, and by a margin in ms, makes the
/// engines that read for it suspect of being slow.
const SUSPECT_FACTOR: f64 = 1.5;
const SUSPECT_MARGIN_MS: f64 = 100.0;

/// One prompt that was placed.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) engine: UpstreamId,
    pub(crate) helpers: Vec<UpstreamId>,
    pub(crate) placed_at_ms: f64,
    /// When its first token was expected, from when it was placed.
    pub(crate) expected_ms: f64,
    pub(crate) is_started: bool,
    /// When it is dropped if its host says nothing.
    pub(crate) expires_at_ms: f64,
}

impl Placement {
    pub(crate) fn new(now_ms: f64, request: &Ask, assignment: &Assignment) -> Self {
        Self {
            engine: assignment.engine.clone(),
            helpers: assignment.helpers.iter().map(|part| part.engine.clone()).collect(),
            placed_at_ms: now_ms,
            expected_ms: assignment.first_token_ms,
            is_started: false,
            expires_at_ms: now_ms + request.limit_ms + EXPIRY_MARGIN_MS,
        }
    }

    /// The engines that it loads, the one that writes its answer first.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &UpstreamId> {
        std::iter::once(&self.engine).chain(&self.helpers)
    }

    /// Whether its host's lists should have it by now.
    pub(crate) fn is_settled(&self, now_ms: f64) -> bool {
        self.placed_at_ms + SETTLE_MS < now_ms
    }

    /// Whether its first token is later than its engines' usual work explains.
    pub(crate) fn is_late(&self, now_ms: f64) -> bool {
        let waited_ms = now_ms - self.placed_at_ms;
        !self.is_started && waited_ms > SUSPECT_FACTOR * self.expected_ms + SUSPECT_MARGIN_MS
    }
}
