//! A replica: its state, message dispatch, and the rules common to all roles.

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

/// The operation requires the leader, and this replica is not the leader.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the leader")]
pub struct NotLeader {
    /// Leader as known to this replica, if any.
    pub hint: Option<ReplicaId>,
}

/// Reason why a membership change was not proposed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[error(transparent)]
    NotLeader(#[from] NotLeader),
    /// An earlier membership change, or the first entry of the leader's term, is not committed yet.
    #[error("an earlier change is not committed yet")]
    ChangeInProgress,
    /// The change does not apply to the current configuration.
    #[error("the change does not fit the configuration")]
    InvalidChange,
}

/// Role of a replica, with the state that belongs to it. Learners are followers.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Leadership),
}

/// A replica of the log. It does no I/O and has no clock: the caller passes the time, in ms.
#[derive(Debug)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) options: Options,
    pub(crate) hard_state: HardState,
    pub(crate) log: Log,
    /// Latest configuration in the log, committed or not.
    pub(crate) configuration: Configuration,
    /// Index of the entry or snapshot that holds `configuration`.
    pub(crate) configuration_index: u64,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    pub(crate) commit_index: u64,
    /// Time at which a replica that is not the leader starts an election.
    pub(crate) election_deadline_ms: u64,
    /// Time of the last message from the current leader.
    pub(crate) leader_contact_ms: u64,
    pub(crate) messages: Vec<Envelope>,
    /// Confirmed reads and their read index, for [`Ready::reads`].
    pub(crate) reads: Vec<(ReadId, u64)>,
    /// Index of the last synced entry.
    pub(crate) stable_index: u64,
    /// Index of the last entry returned in [`Ready::entries`] to be written.
    pub(crate) submitted_index: u64,
    /// Index of the last entry returned in [`Ready::committed`] to be applied.
    pub(crate) applied_index: u64,
    is_hard_state_dirty: bool,
    /// Snapshot received from the leader, for [`Ready::installed`].
    pub(crate) installed: Option<Arc<Snapshot>>,
    rng: SmallRng,
}

impl Replica {
    /// Starts a replica as a follower from its stored state.
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
            election_deadline_ms: 0,
            leader_contact_ms: now_ms,
            messages: Vec::new(),
            reads: Vec::new(),
            stable_index,
            submitted_index: stable_index,
            applied_index: commit_index,
            is_hard_state_dirty: false,
            installed: None,
            rng: SmallRng::seed_from_u64(seed),
            log,
        };
        replica.reload_configuration();
        replica.schedule_first_election(now_ms);
        replica
    }

    /// Host and incarnation of this replica.
    pub fn id(&self) -> &ReplicaId {
        &self.id
    }

    /// Current term, and the vote in it.
    pub fn hard_state(&self) -> &HardState {
        &self.hard_state
    }

    /// Latest term that this replica knows.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Whether this replica is the leader of its term. A newer leader may exist that it does not
    /// know of yet.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Name of the role, for logs: a follower that is not a voter is a "learner".
    pub fn role_name(&self) -> &'static str {
        match self.role {
            Role::Follower if !self.configuration.voters.contains(&self.id) => "learner",
            Role::Follower => "follower",
            Role::PreCandidate { .. } => "pre_candidate",
            Role::Candidate { .. } => "candidate",
            Role::Leader(_) => "leader",
        }
    }

    /// Replicas that have granted their vote or pre-vote, including this one; `None` unless an
    /// election is in progress.
    pub fn granted_votes(&self) -> Option<&BTreeSet<ReplicaId>> {
        match &self.role {
            Role::PreCandidate { granted } | Role::Candidate { granted } => Some(granted),
            Role::Follower | Role::Leader(_) => None,
        }
    }

    /// Leader of the current term, if known.
    pub fn leader(&self) -> Option<&ReplicaId> {
        self.leader.as_ref()
    }

    /// Latest configuration in the log, committed or not.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Whether the latest configuration in the log is committed.
    pub fn is_configuration_committed(&self) -> bool {
        self.configuration_index <= self.commit_index
    }

    /// Index of the last entry known to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit_index
    }

    /// Index of the last entry of the log.
    pub fn last_index(&self) -> u64 {
        self.log.last().index
    }

    /// Term of the entry at an index; `None` if the entry was compacted or does not exist yet.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        self.log.term_at(index)
    }

    /// Number of entries in memory.
    pub fn log_len(&self) -> usize {
        self.log.len()
    }

    /// Latest snapshot.
    pub fn snapshot(&self) -> &Arc<Snapshot> {
        self.log.snapshot()
    }

    /// Processes time-outs: a leader sends heartbeats and checks its quorum, other replicas start
    /// an election when their time-out has expired. To be called periodically.
    pub fn tick(&mut self, now_ms: u64) {
        match &self.role {
            Role::Leader(_) => self.tick_leader(now_ms),
            Role::Follower | Role::PreCandidate { .. } | Role::Candidate { .. } => {
                if now_ms >= self.election_deadline_ms {
                    self.start_pre_vote(now_ms);
                }
            }
        }
    }

    /// Processes a message. Messages addressed to another incarnation are dropped.
    pub fn receive(&mut self, now_ms: u64, envelope: Envelope) {
        let Envelope { from, to, message } = envelope;
        if to != self.id {
            return;
        }
        if message.term() > self.hard_state.term && self.adopts_term(now_ms, &message) {
            self.become_follower(now_ms, message.term(), None);
        }
        match message {
            Message::PreVote { term, last } => self.handle_pre_vote(now_ms, from, term, last),
            Message::PreVoteReply { term, granted } => {
                self.handle_pre_vote_reply(now_ms, from, term, granted)
            }
            Message::Vote { term, last } => self.handle_vote(now_ms, from, term, last),
            Message::VoteReply { term, granted } => {
                self.handle_vote_reply(now_ms, from, term, granted)
            }
            Message::Append { term, previous, entries, commit_index, read_round } => {
                if self.accept_leader(now_ms, &from, term, read_round) {
                    self.append_entries(from, previous, entries, commit_index, read_round);
                }
            }
            Message::AppendReply { term, result, read_round } => {
                if term == self.hard_state.term {
                    self.handle_append_reply(now_ms, &from, result, read_round);
                }
            }
            Message::Install { term, snapshot, read_round } => {
                if self.accept_leader(now_ms, &from, term, read_round) {
                    self.install_snapshot(from, snapshot, read_round);
                }
            }
        }
    }

    /// Whether the replica adopts the higher term of a message. A pre-vote request does not change
    /// the term, and a vote request does not while the leader is in contact (section 4.2.3), so
    /// that removed members cannot disrupt the others.
    fn adopts_term(&self, now_ms: u64, message: &Message) -> bool {
        match message {
            Message::PreVote { .. } => false,
            Message::PreVoteReply { granted, .. } => !granted,
            Message::Vote { .. } => !self.has_leader_contact(now_ms),
            Message::VoteReply { .. }
            | Message::Append { .. }
            | Message::AppendReply { .. }
            | Message::Install { .. } => true,
        }
    }

    /// Whether the leader is known and was in contact within the minimum election time-out.
    pub fn has_leader_contact(&self, now_ms: u64) -> bool {
        self.leader.is_some() && now_ms < self.leader_contact_ms + self.options.election_timeout_ms
    }

    /// The leader, if it is this replica or one that was in contact after `since_ms`.
    pub fn leader_heard_after(&self, since_ms: u64) -> Option<&ReplicaId> {
        let is_in_contact = self.is_leader() || self.leader_contact_ms > since_ms;
        self.leader.as_ref().filter(|_| is_in_contact)
    }

    pub(crate) fn become_follower(&mut self, now_ms: u64, term: u64, leader: Option<ReplicaId>) {
        assert!(term >= self.hard_state.term, "terms must not decrease");
        if term > self.hard_state.term {
            self.set_hard_state(HardState { term, vote: None });
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reset_election_timer(now_ms);
    }

    pub(crate) fn set_hard_state(&mut self, hard_state: HardState) {
        let same_term = hard_state.term == self.hard_state.term;
        let keeps_vote = self.hard_state.vote.is_none() || self.hard_state.vote == hard_state.vote;
        assert!(!same_term || keeps_vote, "a replica votes at most once per term");
        self.hard_state = hard_state;
        self.is_hard_state_dirty = true;
    }

    /// Schedules the first election after a start, earlier than usual: after a power failure there
    /// is no leader. If there is one, its heartbeat arrives first, or the pre-vote is refused.
    fn schedule_first_election(&mut self, now_ms: u64) {
        let min_delay_ms = 2 * self.options.heartbeat_interval_ms;
        let delay_range_ms = min_delay_ms..=self.options.election_timeout_ms.max(min_delay_ms);
        self.election_deadline_ms = now_ms + self.rng.random_range(delay_range_ms);
    }

    /// Schedules an election within a heartbeat interval. Called when a replica with an outdated
    /// log requests a pre-vote: only this replica, or one with a more up-to-date log, can win.
    pub(crate) fn start_election_soon(&mut self, now_ms: u64) {
        let deadline_ms = now_ms + self.rng.random_range(0..=self.options.heartbeat_interval_ms);
        self.election_deadline_ms = self.election_deadline_ms.min(deadline_ms);
    }

    pub(crate) fn reset_election_timer(&mut self, now_ms: u64) {
        let election_ms = self.options.election_timeout_ms;
        self.election_deadline_ms = now_ms + self.rng.random_range(election_ms..=2 * election_ms);
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
        assert!(index <= self.log.last().index, "the commit index must not exceed the log");
        self.commit_index = self.commit_index.max(index);
    }

    pub(crate) fn send(&mut self, to: ReplicaId, message: Message) {
        self.messages.push(Envelope { from: self.id.clone(), to, message });
    }

    /// Appends a command to the leader's log. The entry is not durable before it is reported in
    /// [`Ready::committed`].
    ///
    /// # Errors
    /// This replica is not the leader.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<EntryId, NotLeader> {
        self.append_as_leader(Payload::Command(command))
    }

    /// Appends a membership change to the leader's log.
    ///
    /// # Errors
    /// This replica is not the leader, an earlier change is not committed yet, or the change does
    /// not apply. The log is unchanged.
    pub fn propose_change(&mut self, change: &Change) -> Result<EntryId, ProposeError> {
        if !self.is_leader() {
            return Err(NotLeader { hint: self.leader.clone() }.into());
        }
        if !self.may_propose_change() {
            return Err(ProposeError::ChangeInProgress);
        }
        let next = self.configuration.after(change).ok_or(ProposeError::InvalidChange)?;
        Ok(self.append_as_leader(Payload::Configuration(next))?)
    }

    /// Whether this replica may propose a membership change: it is the leader, and the former
    /// change and an entry of its term are committed.
    pub(crate) fn may_propose_change(&self) -> bool {
        self.is_leader() && self.is_configuration_committed() && self.has_committed_in_term()
    }

    pub(crate) fn append_as_leader(&mut self, payload: Payload) -> Result<EntryId, NotLeader> {
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

    /// Returns the outstanding work of the caller. Each entry, message and read is returned once.
    pub fn take_ready(&mut self, now_ms: u64) -> Ready {
        self.flush_leader(now_ms);
        let last_index = self.log.last().index;
        let new_entries = self.log.entries_from(self.submitted_index + 1, usize::MAX).to_vec();
        self.submitted_index = last_index;
        let apply_until = self.commit_index;
        let count = (apply_until - self.applied_index) as usize;
        let committed = self.log.entries_from(self.applied_index + 1, count).to_vec();
        assert_eq!(committed.len(), count, "committed entries must be in the log");
        self.applied_index = apply_until;
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

    /// Records that the write of a [`Ready`] is synced.
    pub fn record_persisted(&mut self, written: Written) {
        let Some(last) = written.last else {
            return;
        };
        // The written entries may have been replaced in the meantime.
        if self.log.term_at(last.index) == Some(last.term) {
            self.stable_index = self.stable_index.max(last.index);
            self.advance_leader_commit();
        }
    }

    pub(crate) fn stable_index(&self) -> u64 {
        self.stable_index
    }

    /// Whether a snapshot after `index` may replace entries: the entry is applied, and is not included
    /// in a snapshot yet.
    pub fn may_compact(&self, index: u64) -> bool {
        index <= self.applied_index && index > self.log.snapshot().last.index
    }

    /// Content of the store after a compaction: a snapshot, `data`, of the state machine after `index`,
    /// and the entries after it. `None` unless [`may_compact`](Self::may_compact). Changes nothing, so
    /// that a store that cannot be replaced still matches the log in memory.
    pub fn plan_compaction(&self, index: u64, data: Vec<u8>) -> Option<StoredState> {
        if !self.may_compact(index) {
            return None;
        }
        let term = self.log.term_at(index)?;
        let configuration = self.log.configuration_at(index).clone();
        let snapshot = Snapshot { last: EntryId { term, index }, configuration, data };
        let entries = self.log.entries_from(index + 1, usize::MAX).to_vec();
        Some(StoredState { hard_state: self.hard_state.clone(), snapshot, entries })
    }

    /// Replaces entries in memory by the snapshot of a [planned](Self::plan_compaction) compaction, once
    /// it is in the store.
    pub fn apply_compaction(&mut self, snapshot: Snapshot) {
        assert!(self.may_compact(snapshot.last.index), "a snapshot has applied entries only");
        self.log.compact(snapshot, self.options.retained_entries);
    }
}
