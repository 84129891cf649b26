//! What a replica wants done.

use std::sync::Arc;

use crate::log::{Entry, EntryId, Snapshot};
use crate::message::Envelope;
use crate::stored::HardState;

/// Up to where a write reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    pub(crate) last: Option<EntryId>,
}

/// What the caller has to carry out, in the order of the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ready {
    /// Write this.
    pub hard_state: Option<HardState>,
    /// Write this, and drop all entries.
    pub installed: Option<Arc<Snapshot>>,
    /// Write these; they replace all entries from the first one's index on.
    pub entries: Vec<Entry>,
    /// Once all that is synced, send these.
    pub messages: Vec<Envelope>,
    /// Apply these, after `installed` if there is one.
    pub committed: Vec<Entry>,
    /// Answer these reads once the entry was applied.
    pub reads: Vec<(ReadId, u64)>,
}

impl Ready {
    /// Whether something has to be synced.
    pub fn must_sync(&self) -> bool {
        self.hard_state.is_some() || self.installed.is_some() || !self.entries.is_empty()
    }

    /// Whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        !self.must_sync()
            && self.messages.is_empty()
            && self.committed.is_empty()
            && self.reads.is_empty()
    }

    /// What to tell the replica once the write is synced.
    pub fn last_written(&self) -> Written {
        let entry =
            self.entries.last().map(|entry| EntryId { term: entry.term, index: entry.index });
        Written { last: entry.or(self.installed.as_ref().map(|snapshot| snapshot.last)) }
    }
}

/// Names a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReadId(pub u64);
