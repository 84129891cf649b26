//! Elections: the pre-vote phase, the vote, and the start of a leader's term.

use std::collections::BTreeSet;

use crate::configuration::ReplicaId;
use crate::leader::Leadership;
use crate::log::{EntryId, Payload};
use crate::message::Message;
use crate::replica::{Replica, Role};
use crate::stored::HardState;

impl Replica {
    pub(crate) fn start_pre_vote(&mut self, now_ms: u64) {
        self.reset_election_timer(now_ms);
        if !self.configuration.voters.contains(&self.id) {
            return;
        }
        self.leader = None;
        self.role = Role::PreCandidate { granted: BTreeSet::from([self.id.clone()]) };
        if self.configuration.is_quorum(std::iter::once(&self.id)) {
            self.start_election(now_ms);
            return;
        }
        let message = Message::PreVote { term: self.hard_state.term + 1, last: self.log.last() };
        self.send_to_voters(&message);
    }

    fn start_election(&mut self, now_ms: u64) {
        let term = self.hard_state.term + 1;
        self.set_hard_state(HardState { term, vote: Some(self.id.clone()) });
        self.reset_election_timer(now_ms);
        self.role = Role::Candidate { granted: BTreeSet::from([self.id.clone()]) };
        if self.configuration.is_quorum(std::iter::once(&self.id)) {
            self.become_leader(now_ms);
            return;
        }
        self.send_to_voters(&Message::Vote { term, last: self.log.last() });
    }

    fn send_to_voters(&mut self, message: &Message) {
        let peers: Vec<_> =
            self.configuration.voters.iter().filter(|id| **id != self.id).cloned().collect();
        for id in peers {
            self.send(id, message.clone());
        }
    }

    /// Whether the sender's log, whose last entry is `last`, is at least as up-to-date as the
    /// local one, and so has all entries that may be committed.
    fn is_up_to_date(&self, last: EntryId) -> bool {
        last >= self.log.last()
    }

    pub(crate) fn handle_pre_vote(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        term: u64,
        last: EntryId,
    ) {
        let has_no_leader = !self.is_leader() && !self.has_leader_contact(now_ms);
        let granted = term > self.hard_state.term && has_no_leader && self.is_up_to_date(last);
        if has_no_leader && !self.is_up_to_date(last) {
            self.start_election_soon(now_ms);
        }
        let term = if granted { term } else { self.hard_state.term };
        self.send(from, Message::PreVoteReply { term, granted });
    }

    pub(crate) fn handle_pre_vote_reply(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        term: u64,
        is_granted: bool,
    ) {
        let Role::PreCandidate { granted } = &mut self.role else {
            return;
        };
        if !is_granted || term != self.hard_state.term + 1 {
            return;
        }
        granted.insert(from);
        if self.configuration.is_quorum(granted.iter()) {
            self.start_election(now_ms);
        }
    }

    pub(crate) fn handle_vote(&mut self, now_ms: u64, from: ReplicaId, term: u64, last: EntryId) {
        let is_vote_available =
            self.hard_state.vote.is_none() || self.hard_state.vote.as_ref() == Some(&from);
        let granted = term == self.hard_state.term && is_vote_available && self.is_up_to_date(last);
        if granted {
            self.set_hard_state(HardState { term, vote: Some(from.clone()) });
            self.reset_election_timer(now_ms);
        }
        self.send(from, Message::VoteReply { term: self.hard_state.term, granted });
    }

    pub(crate) fn handle_vote_reply(
        &mut self,
        now_ms: u64,
        from: ReplicaId,
        term: u64,
        is_granted: bool,
    ) {
        let Role::Candidate { granted } = &mut self.role else {
            return;
        };
        if !is_granted || term != self.hard_state.term {
            return;
        }
        granted.insert(from);
        if self.configuration.is_quorum(granted.iter()) {
            self.become_leader(now_ms);
        }
    }

    fn become_leader(&mut self, now_ms: u64) {
        self.role = Role::Leader(Leadership::new(now_ms));
        self.leader = Some(self.id.clone());
        self.leader_contact_ms = now_ms;
        // Entries of earlier terms can only be committed together with one of the current term
        // (section 3.6.2).
        self.append_as_leader(Payload::Empty).ok();
    }
}
