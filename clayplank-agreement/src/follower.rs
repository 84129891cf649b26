//! What a follower does: it takes in the leader's entries and snapshots.

use std::sync::Arc;

use crate::configuration::ReplicaId;
use crate::log::{Entry, EntryId, Snapshot};
use crate::message::{AppendResult, Message};
use crate::replica::Replica;

impl Replica {
    /// Accepts the sender as leader; answers one of an old term with the new one.
    pub(crate) fn follow(
        &mut self,
        now_ms: u64,
        from: &ReplicaId,
        term: u64,
        read_round: u64,
    ) -> bool {
        if term < self.hard_state.term {
            // The sender steps down when it sees the term; the rest does not matter to it.
            let result = AppendResult::Rejected { previous_index: 0, hint_index: 0 };
            self.send(
                from.clone(),
                Message::AppendReply { term: self.hard_state.term, result, read_round },
            );
            return false;
        }
        assert!(!self.is_leader(), "one leader a term");
        self.become_follower(now_ms, term, Some(from.clone()));
        self.heard_leader_ms = now_ms;
        true
    }

    pub(crate) fn append_entries(
        &mut self,
        from: ReplicaId,
        previous: EntryId,
        entries: Vec<Entry>,
        leader_commit_index: u64,
        read_round: u64,
    ) {
        let fits = previous.index < self.log.before_first_index()
            || self.log.term_at(previous.index) == Some(previous.term);
        let result = match fits {
            true => {
                let index = previous.index + entries.len() as u64;
                entries.into_iter().for_each(|entry| self.append_received(entry));
                // Only what is known to agree with the leader's log is committed.
                self.advance_commit(leader_commit_index.min(index));
                AppendResult::Matched { index }
            }
            false => AppendResult::Rejected {
                previous_index: previous.index,
                hint_index: self.log.hint_below(previous.index),
            },
        };
        self.send(from, Message::AppendReply { term: self.hard_state.term, result, read_round });
    }

    fn append_received(&mut self, entry: Entry) {
        if entry.index <= self.log.before_first_index()
            || self.log.term_at(entry.index) == Some(entry.term)
        {
            return;
        }
        if entry.index <= self.log.last().index {
            assert!(entry.index > self.commit_index, "committed entries are never replaced");
            self.log.truncate_from(entry.index);
            self.stable_index = self.stable_index.min(entry.index - 1);
            self.handed_index = self.handed_index.min(entry.index - 1);
            self.reload_configuration();
        }
        self.append(entry);
    }

    pub(crate) fn install(&mut self, from: ReplicaId, snapshot: Arc<Snapshot>, read_round: u64) {
        let last = snapshot.last;
        if last.index > self.commit_index {
            if self.log.term_at(last.index) != Some(last.term) {
                self.log.install(Arc::clone(&snapshot));
                self.stable_index = last.index;
                self.handed_index = last.index;
                self.commit_index = last.index;
                self.applied_index = last.index;
                self.installed = Some(snapshot);
                self.reload_configuration();
            } else {
                self.advance_commit(last.index);
            }
        }
        let result = AppendResult::Matched { index: last.index };
        self.send(from, Message::AppendReply { term: self.hard_state.term, result, read_round });
    }
}
