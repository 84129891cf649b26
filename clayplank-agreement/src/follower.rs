//! Followers: they accept a leader, append its entries and install its snapshots.

use std::sync::Arc;

use crate::configuration::ReplicaId;
use crate::log::{Entry, EntryId, Snapshot};
use crate::message::{AppendResult, Message};
use crate::replica::Replica;

impl Replica {
    /// Accepts the sender as leader and returns `true`. A sender with an outdated term gets a
    /// reply with the current term instead.
    pub(crate) fn accept_leader(
        &mut self,
        now_ms: u64,
        from: &ReplicaId,
        term: u64,
        read_round: u64,
    ) -> bool {
        if term < self.hard_state.term {
            // The sender steps down because of the term and ignores the rest of the reply.
            let result = AppendResult::Rejected { previous_index: 0, hint_index: 0 };
            self.send(
                from.clone(),
                Message::AppendReply { term: self.hard_state.term, result, read_round },
            );
            return false;
        }
        assert!(!self.is_leader(), "a term has at most one leader");
        self.become_follower(now_ms, term, Some(from.clone()));
        self.leader_contact_ms = now_ms;
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
        let matches_leader = previous.index < self.log.before_first_index()
            || self.log.term_at(previous.index) == Some(previous.term);
        let result = match matches_leader {
            true => {
                let index = previous.index + entries.len() as u64;
                entries.into_iter().for_each(|entry| self.append_entry(entry));
                // Only entries that are known to match the leader's log may be committed; local
                // entries after `index` may not.
                self.advance_commit(leader_commit_index.min(index));
                AppendResult::Matched { index }
            }
            false => AppendResult::Rejected {
                previous_index: previous.index,
                hint_index: self.log.conflict_hint(previous.index),
            },
        };
        self.send(from, Message::AppendReply { term: self.hard_state.term, result, read_round });
    }

    fn append_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.before_first_index()
            || self.log.term_at(entry.index) == Some(entry.term)
        {
            return;
        }
        if entry.index <= self.log.last().index {
            assert!(entry.index > self.commit_index, "committed entries must not be replaced");
            self.log.truncate_from(entry.index);
            self.stable_index = self.stable_index.min(entry.index - 1);
            self.submitted_index = self.submitted_index.min(entry.index - 1);
            self.reload_configuration();
        }
        self.append(entry);
    }

    pub(crate) fn install_snapshot(
        &mut self,
        from: ReplicaId,
        snapshot: Arc<Snapshot>,
        read_round: u64,
    ) {
        let last = snapshot.last;
        if last.index > self.commit_index {
            if self.log.term_at(last.index) != Some(last.term) {
                self.log.install(Arc::clone(&snapshot));
                self.stable_index = last.index;
                self.submitted_index = last.index;
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
