//! Events and reports of placements that hosts send to the placing keeper.

use serde::{Deserialize, Serialize};

use crate::request::{Assignment, PlacementRequest};

/// Event of one placement, reported by its host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The first token arrived.
    Started {
        /// Time since the request was sent, in ms.
        took_ms: f64,
    },
    /// The stream completed, or the caller left.
    Ended,
    /// The engine answered that it failed, or that it did not run the request.
    Failed,
    /// The connection broke, or the stream stalled: the engine may have failed.
    Broken,
    /// The engine refused the connection or did not answer it.
    Unreached,
    /// The request was not run because of a helper.
    HelperFailed {
        /// Index of that helper in `Assignment::helpers`.
        position: usize,
    },
}

/// A placement that its host still runs, with all that another keeper needs to take it over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningPlacement {
    /// The request as it was sent for placement.
    pub ask: PlacementRequest,
    /// The engines that serve it.
    pub assignment: Assignment,
    /// Whether its first token has arrived.
    pub is_started: bool,
}
