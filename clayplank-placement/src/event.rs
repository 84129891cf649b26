//! What hosts tell of their placements.

use serde::{Deserialize, Serialize};

use crate::request::{Ask, Assignment};

/// What a host tells of a placement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// Its first token came.
    Started {
        /// Since it was sent.
        took_ms: f64,
    },
    /// It ended well, or its caller left.
    Ended,
    /// The engine answered that it failed, or did not run it.
    Failed,
    /// The connection broke off, or nothing more came: the engine may have died.
    Broken,
    /// No connection to the engine could be had.
    Unreached,
    /// It was not run, and a helper is at fault.
    HelperFailed {
        /// Among the helpers of its assignment.
        position: usize,
    },
}

/// A placement that its host still runs, enough to take it over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewed {
    /// What was asked for.
    pub ask: Ask,
    /// What was assigned.
    pub assignment: Assignment,
    /// Whether its first token has come.
    pub is_started: bool,
}
