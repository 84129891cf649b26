//! The leader: replication to followers, the commit index, read index and the quorum check.

use std::collections::{BTreeMap, VecDeque};

use crate::configuration::ReplicaId;
use crate::log::EntryId;
use crate::membership::Health;
use crate::message::{AppendResult, Message};
use crate::ready::ReadId;
use crate::replica::{NotLeader, Replica, Role};

/// Maximum number of entries sent to a follower without an acknowledgement.
const MAX_IN_FLIGHT_ENTRIES: u64 = 4_096;

/// Replication state of a follower, as known to the leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Progress {
    /// Highest index up to which the follower's synced log is known to match.
    matched_index: u64,
    /// Index of the next entry to send.
    next_index: u64,
    /// Whether it is unknown where the logs match. Until the follower accepts one, appends are
    /// sent without entries.
    is_probing: bool,
    /// Time of the follower's last reply, or of the creation of this state.
    last_reply_ms: u64,
    /// Latest read-index round that the follower has confirmed.
    read_round: u64,
    /// Time until which a snapshot counts as in transit and is not sent again.
    snapshot_in_transit_until_ms: u64,
}

impl Progress {
    /// Applies a reply. Returns whether a probe has to be sent at once.
    fn apply_result(&mut self, result: AppendResult) -> bool {
        match result {
            AppendResult::Matched { index } => {
                self.matched_index = self.matched_index.max(index);
                self.next_index = self.next_index.max(self.matched_index + 1);
                self.is_probing = false;
                self.snapshot_in_transit_until_ms = 0;
                false
            }
            AppendResult::Rejected { previous_index, hint_index } => {
                let is_current = !self.is_probing || previous_index + 1 == self.next_index;
                if !is_current || previous_index <= self.matched_index {
                    return false;
                }
                // An append was lost, or the logs diverge: step back and probe.
                self.next_index = (hint_index + 1).min(previous_index).max(self.matched_index + 1);
                self.is_probing = true;
                true
            }
        }
    }
}

/// A read that is not confirmed yet.
#[derive(Clone, Copy, Debug)]
struct PendingRead {
    id: ReadId,
    /// Read-index round that confirms the read once a quorum has replied to it; `None` until the
    /// round is started.
    round: Option<u64>,
    /// Read index: the commit index at the start of the round.
    index: u64,
}

/// State of a leader, dropped when it steps down.
#[derive(Debug)]
pub(crate) struct Leadership {
    progress: BTreeMap<ReplicaId, Progress>,
    next_heartbeat_ms: u64,
    started_ms: u64,
    /// Latest read-index round that was started.
    read_round: u64,
    /// Reads that are not confirmed yet, in the order of their requests.
    reads: VecDeque<PendingRead>,
    last_read_id: u64,
    /// Hosts that have announced their departure, with the time at which each entry expires.
    departing: BTreeMap<String, u64>,
}

impl Leadership {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            progress: BTreeMap::new(),
            next_heartbeat_ms: now_ms,
            started_ms: now_ms,
            read_round: 0,
            reads: VecDeque::new(),
            last_read_id: 0,
            departing: BTreeMap::new(),
        }
    }
}

impl Replica {
    pub(crate) fn tick_leader(&mut self, now_ms: u64) {
        if !self.has_quorum_contact(now_ms) {
            let term = self.hard_state.term;
            self.become_follower(now_ms, term, None);
            return;
        }
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if now_ms >= leadership.next_heartbeat_ms {
            leadership.next_heartbeat_ms = now_ms + self.options.heartbeat_interval_ms;
            self.broadcast(now_ms, true);
        }
    }

    /// Whether a quorum has replied within twice the election time-out (section 6.2).
    fn has_quorum_contact(&self, now_ms: u64) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let timeout_ms = 2 * self.options.election_timeout_ms;
        if now_ms < leadership.started_ms + timeout_ms {
            return true;
        }
        let responsive = leadership
            .progress
            .iter()
            .filter(|(_, progress)| now_ms < progress.last_reply_ms + timeout_ms);
        self.configuration.is_quorum(responsive.map(|(id, _)| id).chain(std::iter::once(&self.id)))
    }

    /// Requests a linearizable read: it observes all entries committed before this call. The
    /// read is reported in [`Ready::reads`](crate::Ready::reads) once it is confirmed.
    ///
    /// # Errors
    /// This replica is not the leader.
    pub fn request_read(&mut self) -> Result<ReadId, NotLeader> {
        let hint = self.leader.clone();
        let Role::Leader(leadership) = &mut self.role else {
            return Err(NotLeader { hint });
        };
        leadership.last_read_id += 1;
        let id = ReadId(leadership.last_read_id);
        leadership.reads.push_back(PendingRead { id, round: None, index: 0 });
        Ok(id)
    }

    /// Sends new entries to the followers, at most one message to each, and updates the reads and
    /// the commit index.
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

    /// Starts a read-index round if reads are waiting for one and an entry of the current term is
    /// committed. One round of heartbeats confirms all reads requested before it (section 6.4).
    fn start_read_round(&mut self) -> bool {
        let has_committed = self.has_committed_in_term();
        let commit_index = self.commit_index;
        let Role::Leader(leadership) = &mut self.role else {
            return false;
        };
        let has_waiting = leadership.reads.iter().any(|read| read.round.is_none());
        if !has_committed || !has_waiting {
            return false;
        }
        leadership.read_round += 1;
        for read in leadership.reads.iter_mut().filter(|read| read.round.is_none()) {
            read.round = Some(leadership.read_round);
            read.index = commit_index;
        }
        true
    }

    /// Moves the reads whose round a quorum has confirmed to the output.
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
        let peers: Vec<_> =
            self.configuration.members().filter(|id| **id != self.id).cloned().collect();
        if let Role::Leader(leadership) = &mut self.role {
            leadership.progress.retain(|id, _| peers.contains(id));
        }
        for id in peers {
            self.send_entries(now_ms, id, is_heartbeat);
        }
    }

    /// Sends the next entries to a member, or the snapshot if they were compacted. Without
    /// `is_heartbeat`, nothing is sent unless there are new entries and no probe is outstanding.
    fn send_entries(&mut self, now_ms: u64, to: ReplicaId, is_heartbeat: bool) {
        let last_index = self.log.last().index;
        let term = self.hard_state.term;
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let read_round = leadership.read_round;
        let initial = Progress {
            matched_index: 0,
            next_index: last_index + 1,
            is_probing: true,
            last_reply_ms: now_ms,
            read_round: 0,
            snapshot_in_transit_until_ms: 0,
        };
        let progress = leadership.progress.entry(to.clone()).or_insert(initial);
        if !is_heartbeat && (progress.is_probing || progress.next_index > last_index) {
            return;
        }
        let previous_index = progress.next_index - 1;
        let Some(previous_term) = self.log.term_at(previous_index) else {
            if now_ms >= progress.snapshot_in_transit_until_ms {
                progress.snapshot_in_transit_until_ms =
                    now_ms + 2 * self.options.election_timeout_ms;
                let snapshot = std::sync::Arc::clone(self.log.snapshot());
                self.send(to, Message::Install { term, snapshot, read_round });
            }
            return;
        };
        // A probe has no entries, as it only determines where the logs match. Otherwise every probe
        // to an unresponsive follower would occupy the send queue with a full batch.
        let is_window_full = progress.next_index > progress.matched_index + MAX_IN_FLIGHT_ENTRIES;
        let without_entries = is_window_full || progress.is_probing;
        let max = if without_entries { 0 } else { self.options.max_batch_entries };
        let entries = self.log.entries_from(progress.next_index, max).to_vec();
        if entries.is_empty() && !is_heartbeat {
            return;
        }
        progress.next_index += entries.len() as u64;
        let previous = EntryId { term: previous_term, index: previous_index };
        let commit_index = self.commit_index;
        self.send(to, Message::Append { term, previous, entries, commit_index, read_round });
    }

    pub(crate) fn handle_append_reply(
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
        progress.last_reply_ms = now_ms;
        progress.read_round = progress.read_round.max(read_round);
        let must_probe = progress.apply_result(result);
        self.advance_leader_commit();
        self.send_entries(now_ms, from.clone(), must_probe);
        self.finish_reads();
    }

    /// Advances the commit index to the highest entry that a quorum has synced, if that entry is of
    /// the current term (section 3.6.2).
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

    /// Number of voters known to have synced the entry at an index, including the leader. Zero if
    /// this replica is not the leader.
    pub fn synced_voters(&self, index: u64) -> usize {
        let Role::Leader(leadership) = &self.role else {
            return 0;
        };
        let has_synced = |id: &&ReplicaId| match **id == self.id {
            true => self.stable_index() >= index,
            false => {
                leadership.progress.get(*id).is_some_and(|progress| progress.matched_index >= index)
            }
        };
        self.configuration.voters.iter().filter(has_synced).count()
    }

    /// Steps down once a configuration without this replica among the voters is committed.
    fn step_down_if_removed(&mut self, now_ms: u64) {
        let is_removed = !self.configuration.voters.contains(&self.id);
        if is_removed && self.configuration_index <= self.commit_index {
            let term = self.hard_state.term;
            self.become_follower(now_ms, term, None);
        }
    }

    /// State of a member as observed by the leader. All flags are `false` if this replica is not
    /// the leader.
    pub(crate) fn health(&self, now_ms: u64, id: &ReplicaId) -> Health {
        let Role::Leader(leadership) = &self.role else {
            return Health::default();
        };
        let is_departing =
            leadership.departing.get(&id.host).is_some_and(|until_ms| now_ms < *until_ms);
        Health {
            is_caught_up: self.is_caught_up(now_ms, id),
            is_unresponsive: *id != self.id && self.is_unresponsive(leadership, now_ms, id),
            is_departing,
        }
    }

    /// Whether a member has not replied for `replace_unresponsive_ms`. For a new leader, that time starts
    /// with its term.
    fn is_unresponsive(&self, leadership: &Leadership, now_ms: u64, id: &ReplicaId) -> bool {
        let Some(timeout_ms) = self.options.replace_unresponsive_ms else {
            return false;
        };
        let last_reply_ms =
            leadership.progress.get(id).map_or(0, |progress| progress.last_reply_ms);
        now_ms >= last_reply_ms.max(leadership.started_ms) + timeout_ms
    }

    /// Records that a host has announced its departure. The record expires after
    /// `replace_unresponsive_ms`, when a stopped host counts as unresponsive anyway: the host may come
    /// back under the same name.
    pub fn record_departure(&mut self, now_ms: u64, host: &str) {
        let timeout_ms = self.options.replace_unresponsive_ms.unwrap_or_default();
        if let Role::Leader(leadership) = &mut self.role {
            leadership.departing.insert(host.to_owned(), now_ms + timeout_ms);
        }
    }

    /// Removes the record of a host's departure, because the host has introduced itself again.
    pub(crate) fn cancel_departure(&mut self, host: &str) {
        if let Role::Leader(leadership) = &mut self.role {
            leadership.departing.remove(host);
        }
    }

    /// Whether a follower has replied within twice the election time-out: the time after which a
    /// leader without replies from a quorum steps down.
    pub(crate) fn has_replied_recently(&self, now_ms: u64, id: &ReplicaId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let timeout_ms = 2 * self.options.election_timeout_ms;
        leadership
            .progress
            .get(id)
            .is_some_and(|progress| now_ms < progress.last_reply_ms + timeout_ms)
    }

    /// Whether a follower has all committed entries and has replied within the election time-out.
    /// Always `false` if this replica is not the leader.
    pub fn is_caught_up(&self, now_ms: u64, id: &ReplicaId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        leadership.progress.get(id).is_some_and(|progress| {
            let is_responsive = now_ms < progress.last_reply_ms + self.options.election_timeout_ms;
            is_responsive
                && progress.matched_index >= self.commit_index
                && progress.matched_index > 0
        })
    }
}
