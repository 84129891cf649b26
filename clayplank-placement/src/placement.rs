//! State of one placed prompt.

use clayplank_types::UpstreamId;

use crate::request::{Assignment, PlacementRequest};

/// A placement whose host sends no report is dropped this long after its time limit, in ms.
const EXPIRY_MARGIN_MS: f64 = 5_000.0;

/// A placement that is missing in its host's list is kept for this long, in ms, since the list may
/// be older.
pub const SETTLE_MS: f64 = 1_000.0;

/// A first token that takes more than this many times its expected time, plus a margin in ms, makes
/// the engines of its prompt suspected of being slow.
const SUSPECT_FACTOR: f64 = 1.5;
const SUSPECT_MARGIN_MS: f64 = 100.0;

/// One placed prompt.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) engine: UpstreamId,
    pub(crate) helpers: Vec<UpstreamId>,
    pub(crate) placed_at_ms: f64,
    /// Expected time to its first token from `placed_at_ms`, in ms.
    pub(crate) expected_ms: f64,
    pub(crate) is_started: bool,
    /// Whether another keeper placed it, so that the time at which it took its slot is not known.
    pub(crate) is_taken_over: bool,
    /// Time at which its slot is expected to become free.
    pub(crate) expected_end_ms: f64,
    /// Time at which it is dropped unless its host reports its end.
    pub(crate) expires_at_ms: f64,
}

impl Placement {
    /// Creates a placement whose stream is expected to last for `decode_ms` after its first token.
    pub(crate) fn new(
        now_ms: f64,
        request: &PlacementRequest,
        assignment: &Assignment,
        decode_ms: f64,
    ) -> Self {
        Self {
            engine: assignment.engine.clone(),
            helpers: assignment.helpers.iter().map(|part| part.engine.clone()).collect(),
            placed_at_ms: now_ms,
            expected_ms: assignment.first_token_ms,
            is_started: false,
            is_taken_over: false,
            expected_end_ms: now_ms + assignment.first_token_ms + decode_ms,
            expires_at_ms: now_ms + request.limit_ms + EXPIRY_MARGIN_MS,
        }
    }

    /// The engines that it loads, its primary engine first.
    pub(crate) fn engines(&self) -> impl Iterator<Item = &UpstreamId> {
        std::iter::once(&self.engine).chain(&self.helpers)
    }

    /// Whether it is old enough that the lists of its host include it.
    pub(crate) fn is_settled(&self, now_ms: f64) -> bool {
        self.placed_at_ms + SETTLE_MS < now_ms
    }

    /// Whether its first token is later than the usual variation of its engines explains.
    pub(crate) fn is_late(&self, now_ms: f64) -> bool {
        let waited_ms = now_ms - self.placed_at_ms;
        !self.is_started && waited_ms > SUSPECT_FACTOR * self.expected_ms + SUSPECT_MARGIN_MS
    }
}
