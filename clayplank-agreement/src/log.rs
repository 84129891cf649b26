//! The log in memory: the latest snapshot, the entries after it, and some retained before it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;

/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No-op, appended by a new leader as the first entry of its term.
    Empty,
    /// Command for the state machine, in its own encoding.
    Command(Vec<u8>),
    /// New configuration; it takes effect as soon as it is appended.
    Configuration(Configuration),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position in the log, counted from 1.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Term and index of an entry. Entries with the same id are identical (Raft's log matching
/// property).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EntryId {
    /// Term of the entry. It is the first field, so that the order of ids is Raft's rule for the
    /// more up-to-date of two logs.
    pub term: u64,
    /// Position in the log.
    pub index: u64,
}

/// State of the log and the state machine after an entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry that the snapshot includes.
    pub last: EntryId,
    /// Configuration at that entry.
    pub configuration: Configuration,
    /// State machine, in its own encoding.
    pub data: Vec<u8>,
}

/// The latest snapshot and the entries in memory.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    snapshot: Arc<Snapshot>,
    /// The entry that precedes `entries`. It may lie before the end of the snapshot: compaction
    /// retains some entries for slow followers.
    before_first: EntryId,
    entries: Vec<Entry>,
}

impl Log {
    pub(crate) fn new(snapshot: Snapshot, entries: Vec<Entry>) -> Self {
        let before_first = snapshot.last;
        Self { snapshot: Arc::new(snapshot), before_first, entries }
    }

    pub(crate) fn snapshot(&self) -> &Arc<Snapshot> {
        &self.snapshot
    }

    pub(crate) fn last(&self) -> EntryId {
        self.entries
            .last()
            .map_or(self.before_first, |entry| EntryId { term: entry.term, index: entry.index })
    }

    /// Index of the entry that precedes the first entry in memory.
    pub(crate) fn before_first_index(&self) -> u64 {
        self.before_first.index
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Term of the entry at an index; `None` if the entry was compacted or does not exist yet.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.before_first.index {
            return Some(self.before_first.term);
        }
        if index == self.snapshot.last.index {
            return Some(self.snapshot.last.term);
        }
        self.position(index).map(|position| self.entries[position].term)
    }

    /// Highest index below a mismatch at which this log may match the leader's. All entries of the
    /// conflicting entry's term are skipped.
    pub(crate) fn conflict_hint(&self, index: u64) -> u64 {
        let Some(conflicting_term) =
            self.position(index).map(|position| self.entries[position].term)
        else {
            return self.last().index.min(index.saturating_sub(1));
        };
        let lower_entries = self.entries.iter().rev().filter(|entry| entry.index < index);
        lower_entries
            .into_iter()
            .find(|entry| entry.term != conflicting_term)
            .map_or(self.before_first.index, |entry| entry.index)
    }

    fn position(&self, index: u64) -> Option<usize> {
        let position = index.checked_sub(self.before_first.index + 1)? as usize;
        (position < self.entries.len()).then_some(position)
    }

    /// Up to `max` entries, starting at an index.
    pub(crate) fn entries_from(&self, index: u64, max: usize) -> &[Entry] {
        match self.position(index) {
            Some(position) => {
                &self.entries[position..self.entries.len().min(position.saturating_add(max))]
            }
            None => &[],
        }
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last().index + 1, "entries must have consecutive indexes");
        self.entries.push(entry);
    }

    /// Removes the entry at an index and all entries after it.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Latest configuration, committed or not, and the index of its entry or of the snapshot.
    pub(crate) fn configuration(&self) -> (&Configuration, u64) {
        let latest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Configuration(configuration) if entry.index > self.snapshot.last.index => {
                Some((configuration, entry.index))
            }
            Payload::Configuration(_) | Payload::Command(_) | Payload::Empty => None,
        });
        latest.unwrap_or((&self.snapshot.configuration, self.snapshot.last.index))
    }

    /// Configuration in effect at an index.
    pub(crate) fn configuration_at(&self, index: u64) -> &Configuration {
        let latest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Configuration(configuration) if entry.index <= index => Some(configuration),
            Payload::Configuration(_) | Payload::Command(_) | Payload::Empty => None,
        });
        latest.unwrap_or(&self.snapshot.configuration)
    }

    /// Replaces the snapshot by a newer one of the local state machine. Retains the last
    /// `retained_entries` entries that it includes.
    pub(crate) fn compact(&mut self, snapshot: Snapshot, retained_entries: u64) {
        let drop_until = snapshot.last.index.saturating_sub(retained_entries);
        if let Some(position) = self.position(drop_until) {
            let dropped = &self.entries[position];
            self.before_first = EntryId { term: dropped.term, index: dropped.index };
            self.entries.drain(..=position);
        }
        self.snapshot = Arc::new(snapshot);
    }

    /// Replaces the snapshot and all entries by a snapshot received from the leader.
    pub(crate) fn install(&mut self, snapshot: Arc<Snapshot>) {
        self.before_first = snapshot.last;
        self.entries.clear();
        self.snapshot = snapshot;
    }
}
