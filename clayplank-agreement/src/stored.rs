//! The persistent state of a replica.

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ReplicaId};
use crate::log::{Entry, EntryId, Snapshot};

/// Term and vote. They must be synced to disk before a message that depends on them is sent.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term that the replica knows.
    pub term: u64,
    /// Candidate that received the replica's vote in that term.
    pub vote: Option<ReplicaId>,
}

/// Persistent state from which a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Latest snapshot of the state machine.
    pub snapshot: Snapshot,
    /// Log entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl StoredState {
    /// Initial state of the first members of a log: a snapshot at index 1 with `data` as the
    /// state machine. It is identical on all of them.
    pub fn genesis(configuration: Configuration, data: Vec<u8>) -> Self {
        let last = EntryId { term: 1, index: 1 };
        let snapshot = Snapshot { last, configuration, data };
        Self { hard_state: HardState { term: 1, vote: None }, snapshot, entries: Vec::new() }
    }

    /// Empty state of a replica that joins an existing log.
    pub fn blank() -> Self {
        Self::default()
    }
}
