//! The output of a replica: what its caller has to write, send, apply and answer.

use std::sync::Arc;

use crate::log::{Entry, EntryId, Snapshot};
use crate::message::Envelope;
use crate::stored::HardState;

/// Last entry covered by a write, for [`Replica::record_persisted`](crate::Replica::record_persisted).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    pub(crate) last: Option<EntryId>,
}

/// Work for the caller, to be done in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Term and vote to write, if they have changed.
    pub hard_state: Option<HardState>,
    /// Snapshot received from the leader, to write in place of the former one and all entries.
    pub installed: Option<Arc<Snapshot>>,
    /// Entries to write. They replace all entries that have the index of the first one or a higher
    /// index.
    pub entries: Vec<Entry>,
    /// Messages to send, once everything above is synced.
    pub messages: Vec<Envelope>,
    /// Committed entries to apply to the state machine, after `installed`.
    pub committed: Vec<Entry>,
    /// Confirmed reads, each with its read index. A read may be answered once the entry at that
    /// index is applied.
    pub reads: Vec<(ReadId, u64)>,
}

impl Ready {
    /// Whether anything has to be written and synced.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.installed.is_some() || !self.entries.is_empty()
    }

    /// Whether there is no work.
    pub fn is_empty(&self) -> bool {
        !self.must_sync()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }

    /// Argument for [`Replica::record_persisted`](crate::Replica::record_persisted), to be called
    /// once the write is synced.
    pub fn written(&self) -> Written {
        let entry =
            self.entries.last().map(|entry| EntryId { term: entry.term, index: entry.index });
        Written { last: entry.or(self.installed.as_ref().map(|snapshot| snapshot.last)) }
    }
}

/// Identifies a read within a leader's term. Numbers start at 1 in each term that a replica
/// leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);
