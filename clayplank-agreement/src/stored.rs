//! What a replica starts from.

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ReplicaId};
use crate::log::{Entry, EntryId, Snapshot};

/// What must be on disk before a replica speaks of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The newest term that was seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// What a replica starts from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// The newest snapshot.
    pub snapshot: Snapshot,
    /// Entries after it.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// The common start of the first replicas of a log.
    pub fn genesis(configuration: Configuration, data: Vec<u8>) -> Self {
        let last = EntryId { term: 1, index: 1 };
        let snapshot = Snapshot { last, configuration, data };
        Self { hard_state: HardState { term: 1, vote: None }, snapshot, entries: Vec::new() }
    }

    /// The start of a replica that joins an existing log.
    pub fn blank() -> Self {
        Self::default()
    }
}
