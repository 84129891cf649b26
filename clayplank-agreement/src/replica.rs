//! One replica: its state, and what every role does alike.

use std::collections::BTreeSet;
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::configuration::{Change, Configuration, ReplicaId};
use crate::leader::Leadership;
use crate::log::{Entry, EntryId, Log, Payload, Snapshot};
use crate::message::{Envelope, Message};
use crate::options::Options;
use crate::ready::{ReadId, Ready, Written};
use crate::stored::{HardState, StoredState};

/// Only the leader can do this.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// Who may be.
    pub hint: Option<ReplicaId>,
}

/// Why a change of membership was not begun.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Only the leader can do this.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// An earlier change, or the start of the term, is not committed yet.
    #[error("an earlier change is not committed yet")]
    ChangeInProgress,
    /// The change makes no sense in the present configuration.
    #[error("the change does not fit the configuration")]
    Unfit,
}

/// What a replica is doing.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Leadership),
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) options: Options,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    pub(crate) configuration: Configuration,
    pub(crate) configuration_index: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) commit_index: u64,
    pub(crate) election_due_ms: u64,
    pub(crate) heard_leader_ms: u64,
    pub(crate) messages: Vec<Envelope>,
    pub(crate) reads: Vec<(ReadId, u64)>,
    /// Up to here entries are synced.
    pub(crate) stable_index: u64,
    /// Up to here entries were handed out to be written.
    pub(crate) handed_index: u64,
    /// Up to here entries were handed out to be applied.
    pub(crate) applied_index: u64,
    is_hard_state_dirty: bool,
    pub(crate) installed: Option<Arc<Snapshot>>,
    rng: SmallRng,
}

impl Replica {
    /// Starts from what the disk holds.
    pub fn new(id: ReplicaId, stored: StoredState, options: Options, now_ms: u64) -> Self {
        let seed = id
            .host
            .bytes()
            .fold(id.incarnation, |seed, byte| seed.rotate_left(7) ^ u64::from(byte));
        let commit_index = stored.snapshot.last.index;
        let log = Log::new(stored.snapshot, stored.entries);
        let stable_index = log.last().index;
        let mut replica = Self {
            id,
            options,
            hard_state: stored.hard_state,
            configuration: Configuration::default(),
            configuration_index: 0,
            role: Role::Follower,
            leader: None,
            commit_index,
            election_due_ms: 0,
            heard_leader_ms: now_ms,
            messages: Vec::new(),
            reads: Vec::new(),
            stable_index,
            handed_index: stable_index,
            applied_index: commit_index,
            is_hard_state_dirty: false,
            installed: None,
            rng: SmallRng::seed_from_u64(seed),
            log,
        };
        replica.reload_configuration();
        replica.set_first_election(now_ms);
        replica
    }

    /// The own name.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Term and vote.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// The newest term that was seen.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Whether this replica leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// The name of what this replica is doing, for logs.
    pub fn role_name(&self) -> &'static str {
        match self.role {
            Role::Follower if !self.configuration.voters.contains(&self.id) => "learner",
            Role::Follower => "follower",
            Role::PreCandidate { .. } => "pre_candidate",
            Role::Candidate { .. } => "candidate",
            Role::Leader(_) => "leader",
        }
    }

    /// Who granted its vote so far, while this replica asks for an election.
    pub fn granted_votes(&self) -> Option<&BTreeSet<ReplicaId>> {
        match &self.role {
            Role::PreCandidate { granted } | Role::Candidate { granted } => Some(granted),
            Role::Follower | Role::Leader(_) => None,
        }
    }

    /// Who leads, as far as it is known.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// The newest members, committed or not.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Whether the newest members are those of a committed entry.
    pub fn is_configuration_committed(&self) -> bool {
        self.configuration_index <= self.commit_index
    }

    /// Up to here entries are committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// The end of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last().index
    }

    /// The term of an entry that is still in memory.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// Entries in memory.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// The newest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now_ms: u64) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now_ms),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => {
                if now_ms >= self.election_due_ms {
                    self.start_pre_vote(now_ms);
                }
            }
        }
    }

    /// Takes a message in.
    pub fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        if to != self.id {
            return;
        }
        if message.term() > self.hard_state.term && self.adopts_term(now_ms, &message) {
            self.become_follower(now_ms, message.term(), None);
        }
        match message {
            Message::PreVote { term, last } => self.answer_pre_vote(now_ms, from, term, last),
            Message::PreVoteReply { term, granted } => {
                self.count_pre_vote(now_ms, from, term, granted)
            }
            Message::Vote { term, last } => self.answer_vote(now_ms, from, term, last),
            Message::VoteReply { term, granted } => self.count_vote(now_ms, from, term, granted),
            Message::Append { term, previous, entries, commit_index, read_round } => {
                if self.follow(now_ms, &from, term, read_round) {
                    self.append_entries(from, previous, entries, commit_index, read_round);
                }
            }
            Message::AppendReply { term, result, read_round } => {
                if term == self.hard_state.term {
                    self.note_reply(now_ms, &from, result, read_round);
                }
            }
            Message::Install { term, snapshot, read_round } => {
                if self.follow(now_ms, &from, term, read_round) {
                    self.install(from, snapshot, read_round);
                }
            }
        }
    }

    /// A pre-vote changes no term; a vote is not heeded while the leader is heard (section 4.2.3).
    fn adopts_term(&self, now_ms: u64, message: &Message) -> bool {
        match message {
            Message::PreVote { .. } => false,
            Message::PreVoteReply { granted, .. } => !granted,
            Message::Vote { .. } => !self.hears_leader(now_ms),
            Message::VoteReply { .. }
            | Message::Append { .. }
            | Message::AppendReply { .. }
            | Message::Install { .. } => true,
        }
    }

    /// Whether a leader spoke within the shortest election time.
    pub fn hears_leader(&self, now_ms: u64) -> bool {
        self.leader.is_some() && now_ms < self.heard_leader_ms + self.options.election_ms
    }

    /// Who leads, if it is this replica, or one that it heard after this time.
    pub fn leader_heard_after(&self, asked_ms: u64) -> Option<&ReplicaId> {
        let is_heard = self.is_leader() || self.heard_leader_ms > asked_ms;
        self.leader.as_ref().filter(|_| is_heard)
    }

    pub(crate) fn become_follower(&mut self, now_ms: u64, term: u64, leader: Option<ReplicaId>) {
        assert!(term >= self.hard_state.term, "terms only rise");
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election(now_ms);
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        let same_term = hard_state.term == self.hard_state.term;
        let keeps_vote = self.hard_state.vote.is_none() || self.hard_state.vote == hard_state.vote;
        assert!(!same_term || keeps_vote, "one vote a term");
        self.hard_state = hard_state;
        self.is_hard_state_dirty = true;
    }

    /// A replica that has just started asks early: after a loss of power nobody leads,
    /// and a leader that does is heard before, or refuses the vote that changes nothing.
    fn set_first_election(&mut self, now_ms: u64) {
        let earliest_ms = 2 * self.options.heartbeat_ms;
        let span_ms = earliest_ms..=self.options.election_ms.max(earliest_ms);
        self.election_due_ms = now_ms + self.rng.random_range(span_ms);
    }

    /// Asks for an election within a heartbeat: others wait for one that only this replica,
    /// or one with a longer log, can win.
    pub(crate) fn ask_soon(&mut self, now_ms: u64) {
        let due_ms = now_ms + self.rng.random_range(0..=self.options.heartbeat_ms);
        self.election_due_ms = self.election_due_ms.min(due_ms);
    }

    pub(crate) fn reset_election(&mut self, now_ms: u64) {
        let election_ms = self.options.election_ms;
        self.election_due_ms = now_ms + self.rng.random_range(election_ms..=2 * election_ms);
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        if let Payload::Configuration(configuration) = &entry.payload {
            self.configuration = configuration.clone();
            self.configuration_index = entry.index;
        }
        self.log.push(entry);
    }

    pub(crate) fn reload_configuration(&mut self) {
        let (configuration, index) = self.log.configuration();
        self.configuration = configuration.clone();
        self.configuration_index = index;
    }

    pub(crate) fn advance_commit(&mut self, index: u64) {
        assert!(index <= self.log.last().index, "only entries in the log are committed");
        self.commit_index = self.commit_index.max(index);
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.messages.push(Envelope { from: self.id.clone(), to, message });
    }

    /// Appends a command; the entry counts once it is committed.
    ///
    /// # Errors
    /// Another replica leads.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<EntryId, NotLeader> {
        self.append_own(Payload::Command(command))
    }

    /// Begins a change of membership.
    ///
    /// # Errors
    /// Nothing was begun.
    pub fn propose_change(&mut self, change: &Change) -> Result<EntryId, ProposeError> {
        if !self.is_leader() {
            return Err(NotLeader { hint: self.leader.clone() }.into());
        }
        if !self.may_propose_change() {
            return Err(ProposeError::ChangeInProgress);
        }
        let next = self.configuration.after(change).ok_or(ProposeError::Unfit)?;
        Ok(self.append_own(Payload::Configuration(next))?)
    }

    /// Whether a leader may begin a change: the former one, and an entry of its term, are committed.
    pub(crate) fn may_propose_change(&self) -> bool {
        self.is_leader() && self.is_configuration_committed() && self.has_committed_in_term()
    }

    pub(crate) fn append_own(&mut self, payload: Payload) -> Result<EntryId, NotLeader> {
        if !self.is_leader() {
            return Err(NotLeader { hint: self.leader.clone() });
        }
        let id = EntryId { term: self.hard_state.term, index: self.log.last().index + 1 };
        self.append(Entry { index: id.index, term: id.term, payload });
        Ok(id)
    }

    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.log.term_at(self.commit_index) == Some(self.hard_state.term)
    }

    /// Hands out what is to be done.
    pub fn take_ready(&mut self, now_ms: u64) -> Ready {
        self.flush_leader(now_ms);
        let last_index = self.log.last().index;
        let new_entries = self.log.entries_from(self.handed_index + 1, usize::MAX).to_vec();
        self.handed_index = last_index;
        let apply_to = self.commit_index;
        let count = (apply_to - self.applied_index) as usize;
        let committed = self.log.entries_from(self.applied_index + 1, count).to_vec();
        assert_eq!(committed.len(), count, "what is committed is in the log");
        self.applied_index = apply_to;
        let hard_state =
            std::mem::take(&mut self.is_hard_state_dirty).then(|| self.hard_state.clone());
        Ready {
            hard_state,
            installed: self.installed.take(),
            entries: new_entries,
            messages: std::mem::take(&mut self.messages),
            committed,
            reads: std::mem::take(&mut self.reads),
        }
    }

    /// Notes that what a [`Ready`] held is synced.
    pub fn note_persisted(&mut self, written: Written) {
        let Some(last) = written.last else {
            return;
        };
        // A write that was replaced meanwhile says nothing.
        if self.log.term_at(last.index) == Some(last.term) {
            self.stable_index = self.stable_index.max(last.index);
            self.advance_leader_commit();
        }
    }

    pub(crate) fn stable_index(&self) -> u64 {
        self.stable_index
    }

    /// Replaces entries by a snapshot of the state after `index`.
    ///
    /// Returns what the store is to hold from now on. `None` if the entry was
    /// not applied or is covered already.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) -> Option<StoredState> {
        if index > self.applied_index || index <= self.log.snapshot().last.index {
            return None;
        }
        let term = self.log.term_at(index)?;
        let configuration = self.log.configuration_at(index).clone();
        let snapshot = Snapshot { last: EntryId { term, index }, configuration, data };
        self.log.compact(snapshot.clone(), self.options.keep_entries);
        let entries = self.log.entries_from(index + 1, usize::MAX).to_vec();
        Some(StoredState { hard_state: self.hard_state.clone(), snapshot, entries })
    }
}
