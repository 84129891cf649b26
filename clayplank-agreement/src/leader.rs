//! What the leader does: replication, the commit index, reads, the quorum check.

use std::collections::{BTreeMap, VecDeque};

use crate::configuration::ReplicaId;
use crate::log::EntryId;
use crate::membership::Health;
use crate::message::{AppendResult, Message};
use crate::ready::ReadId;
use crate::replica::{NotLeader, Replica, Role};

/// Entries that may be under way to a follower without an answer.
const MAX_ENTRIES_UNDER_WAY: u64 = 4_096;

/// What the leader knows of a follower.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Up to here the follower's synced log agrees.
    matched_index: u64,
    /// The next entry to send.
    next_index: u64,
    /// It is not known where the logs agree: one append at a time, until one is accepted.
    is_probing: bool,
    heard_ms: u64,
    /// The newest round of reads that it answered.
    read_round: u64,
    /// A snapshot is under way until this time.
    installing_until_ms: u64,
}

impl Progress {
    /// Takes an answer in; returns whether the next append has to go out at once.
    fn apply_result(&mut self, result: AppendResult) -> bool {
        match result {
            AppendResult::Matched { index } => {
                self.matched_index = self.matched_index.max(index);
                self.next_index = self.next_index.max(self.matched_index + 1);
                self.is_probing = false;
                self.installing_until_ms = 0;
                false
            }
            AppendResult::Rejected { previous_index, hint_index } => {
                let is_newest = !self.is_probing || previous_index + 1 == self.next_index;
                if !is_newest || previous_index <= self.matched_index {
                    return false;
                }
                // Something was lost on the way, or the logs differ: go back and probe.
                self.next_index = (hint_index + 1).min(previous_index).max(self.matched_index + 1);
                self.is_probing = true;
                true
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    id: ReadId,
    /// Answered once this round is confirmed; `None` until one was started.
    round: Option<u64>,
    /// Answered once this entry is applied.
    index: u64,
}

/// State that ends with the leadership.
#[derive(Debug)]
pub(crate) struct Leadership {
    progress: BTreeMap<ReplicaId, Progress>,
    next_heartbeat_ms: u64,
    began_ms: u64,
    read_round: u64,
    reads: VecDeque<PendingRead>,
    last_read: u64,
    /// Hosts that are about to stop, and until when that counts.
    leaving: BTreeMap<String, u64>,
}

impl Leadership {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            next_heartbeat_ms: now_ms,
            began_ms: now_ms,
            read_round: 0,
            reads: VecDeque::new(),
            last_read: 0,
            leaving: BTreeMap::new(),
        }
    }
}

impl Replica {
    pub(crate) fn tick_leader(&mut self, now_ms: u64) {
        if !self.hears_quorum(now_ms) {
            let term = self.hard_state.term;
            self.become_follower(now_ms, term, None);
            return;
        }
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if now_ms >= leadership.next_heartbeat_ms {
            leadership.next_heartbeat_ms = now_ms + self.options.heartbeat_ms;
            self.broadcast(now_ms, true);
        }
    }

    /// Whether a quorum answered within an election time (section 6.2).
    fn hears_quorum(&self, now_ms: u64) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let patience_ms = 2 * self.options.election_ms;
        if now_ms < leadership.began_ms + patience_ms {
            return true;
        }
        let heard = leadership
            .progress
            .iter()
            .filter(|(_, progress)| now_ms < progress.heard_ms + patience_ms);
        self.configuration.is_quorum(heard.map(|(id, _)| id).chain(std::iter::once(&self.id)))
    }

    /// Asks for a read that sees all that was committed before it.
    ///
    /// # Errors
    /// Another replica leads.
    pub fn read(&mut self) -> Result<ReadId, NotLeader> {
        let hint = self.leader.clone();
        let Role::Leader(leadership) = &mut self.role else {
            return Err(NotLeader { hint });
        };
        leadership.last_read += 1;
        let id = ReadId(leadership.last_read);
        leadership.reads.push_back(PendingRead { id, round: None, index: 0 });
        Ok(id)
    }

    /// Sends what is new to every follower, in one batch for each.
    pub(crate) fn flush_leader(&mut self, now_ms: u64) {
        if !self.is_leader() {
            return;
        }
        let starts_round = self.start_read_round();
        self.broadcast(now_ms, starts_round);
        self.finish_reads();
        self.advance_leader_commit();
        self.step_down_if_removed(now_ms);
    }

    /// One round of heartbeats confirms all reads that came before it (section 6.4).
    fn start_read_round(&mut self) -> bool {
        let is_able = self.has_committed_in_term();
        let commit_index = self.commit_index;
        let Role::Leader(leadership) = &mut self.role else {
            return false;
        };
        let has_new = leadership.reads.iter().any(|read| read.round.is_none());
        if !is_able || !has_new {
            return false;
        }
        leadership.read_round += 1;
        for read in leadership.reads.iter_mut().filter(|read| read.round.is_none()) {
            read.round = Some(leadership.read_round);
            read.index = commit_index;
        }
        true
    }

    fn finish_reads(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        while let Some(read) = leadership.reads.front().copied() {
            let Some(round) = read.round else {
                return;
            };
            let confirmed =
                leadership.progress.iter().filter(|(_, progress)| progress.read_round >= round);
            let ids = confirmed.map(|(id, _)| id).chain(std::iter::once(&self.id));
            if !self.configuration.is_quorum(ids) {
                return;
            }
            leadership.reads.pop_front();
            self.reads.push((read.id, read.index));
        }
    }

    fn broadcast(&mut self, now_ms: u64, is_heartbeat: bool) {
        let others: Vec<_> =
            self.configuration.members().filter(|id| **id != self.id).cloned().collect();
        if let Role::Leader(leadership) = &mut self.role {
            leadership.progress.retain(|id, _| others.contains(id));
        }
        for id in others {
            self.send_entries(now_ms, id, is_heartbeat);
        }
    }

    fn send_entries(&mut self, now_ms: u64, to: ReplicaId, is_heartbeat: bool) {
        let last_index = self.log.last().index;
        let term = self.hard_state.term;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let read_round = leadership.read_round;
        let fresh = Progress {
            matched_index: 0,
            next_index: last_index + 1,
            is_probing: true,
            heard_ms: now_ms,
            read_round: 0,
            installing_until_ms: 0,
        };
        let progress = leadership.progress.entry(to.clone()).or_insert(fresh);
        if !is_heartbeat && (progress.is_probing || progress.next_index > last_index) {
            return;
        }
        let previous_index = progress.next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            if now_ms >= progress.installing_until_ms {
                progress.installing_until_ms = now_ms + 2 * self.options.election_ms;
                let snapshot = std::sync::Arc::clone(self.log.snapshot());
                self.send(to, Message::Install { term, snapshot, read_round });
            }
            return;
        };
        // A probe only asks where the logs agree. With entries, each one to a follower that is
        // silent would wait with all of them to be sent.
        let is_flooded = progress.next_index > progress.matched_index + MAX_ENTRIES_UNDER_WAY;
        let sends_none = is_flooded || progress.is_probing;
        let max = if sends_none { 0 } else { self.options.max_batch_entries };
        let entries = self.log.entries_from(progress.next_index, max).to_vec();
        if entries.is_empty() && !is_heartbeat {
            return;
        }
        progress.next_index += entries.len() as u64;
        let previous = EntryId { term: previous_term, index: previous_index };
        let commit_index = self.commit_index;
        self.send(to, Message::Append { term, previous, entries, commit_index, read_round });
    }

    pub(crate) fn note_reply(
        &mut self,
        now_ms: u64,
        from: &ReplicaId,
        result: AppendResult,
        read_round: u64,
    ) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let Some(progress) = leadership.progress.get_mut(from) else {
            return;
        };
        progress.heard_ms = now_ms;
        progress.read_round = progress.read_round.max(read_round);
        let probes_again = progress.apply_result(result);
        self.advance_leader_commit();
        self.send_entries(now_ms, from.clone(), probes_again);
        self.finish_reads();
    }

    /// Commits what a quorum has synced, if it is of the own term (section 3.6.2).
    pub(crate) fn advance_leader_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let matched = |id: &ReplicaId| match *id == self.id {
            true => self.stable_index(),
            false => leadership.progress.get(id).map_or(0, |progress| progress.matched_index),
        };
        let mut indexes: Vec<u64> = self.configuration.voters.iter().map(matched).collect();
        indexes.sort_unstable_by(|left, right| right.cmp(left));
        let Some(&index) = indexes.get(self.configuration.quorum() - 1) else {
            return;
        };
        if index > self.commit_index && self.log.term_at(index) == Some(self.hard_state.term) {
            self.advance_commit(index);
        }
    }

    /// How many voters have synced an entry, as far as the leader knows; none if another one leads.
    pub fn copies(&self, index: u64) -> usize {
        let Role::Leader(leadership) = &self.role else {
            return 0;
        };
        let has_synced = |id: &&ReplicaId| match **id == self.id {
            true => self.stable_index() >= index,
            false => leadership.progress.get(*id).is_some_and(|one| one.matched_index >= index),
        };
        self.configuration.voters.iter().filter(has_synced).count()
    }

    fn step_down_if_removed(&mut self, now_ms: u64) {
        let is_out = !self.configuration.voters.contains(&self.id);
        if is_out && self.configuration_index <= self.commit_index {
            let term = self.hard_state.term;
            self.become_follower(now_ms, term, None);
        }
    }

    /// What the leader knows of a member; nothing bad of any while another replica leads.
    pub(crate) fn health(&self, now_ms: u64, id: &ReplicaId) -> Health {
        let Role::Leader(leadership) = &self.role else {
            return Health::default();
        };
        let is_leaving = leadership.leaving.get(&id.host).is_some_and(|until| now_ms < *until);
        Health {
            is_caught_up: self.is_caught_up(now_ms, id),
            is_silent: *id != self.id && self.is_silent(leadership, now_ms, id),
            is_leaving,
        }
    }

    /// Whether a member did not answer for `replace_silent_ms`. A new leader gives all of them
    /// that time.
    fn is_silent(&self, leadership: &Leadership, now_ms: u64, id: &ReplicaId) -> bool {
        let Some(patience_ms) = self.options.replace_silent_ms else {
            return false;
        };
        let heard_ms = leadership.progress.get(id).map_or(0, |progress| progress.heard_ms);
        now_ms >= heard_ms.max(leadership.began_ms) + patience_ms
    }

    /// Notes that a host is about to stop. The note lapses when its silence would tell the same:
    /// the host may come back under the same name.
    pub fn note_leaving(&mut self, now_ms: u64, host: &str) {
        let patience_ms = self.options.replace_silent_ms.unwrap_or_default();
        if let Role::Leader(leadership) = &mut self.role {
            leadership.leaving.insert(host.to_owned(), now_ms + patience_ms);
        }
    }

    /// Notes that a host that was to stop is there again.
    pub(crate) fn forget_leaving(&mut self, host: &str) {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.leaving.remove(host);
        }
    }

    /// Whether a follower answered within the time after which a leader without a quorum steps down.
    pub(crate) fn has_answered_lately(&self, now_ms: u64, id: &ReplicaId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let patience_ms = 2 * self.options.election_ms;
        leadership.progress.get(id).is_some_and(|one| now_ms < one.heard_ms + patience_ms)
    }

    /// Whether a follower has nearly all entries and answered lately.
    pub fn is_caught_up(&self, now_ms: u64, id: &ReplicaId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        leadership.progress.get(id).is_some_and(|progress| {
            let is_heard = now_ms < progress.heard_ms + self.options.election_ms;
            is_heard && progress.matched_index >= self.commit_index && progress.matched_index > 0
        })
    }
}
