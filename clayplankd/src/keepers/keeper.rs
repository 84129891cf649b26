//! The keeper actor: a replica of the log, its storage, and the state machine that it drives.
//!
//! Messages change the replica in memory. Once the mailbox is empty, one write and one sync persist
//! the changes of all of them; only then are messages to peers and replies sent.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use clayplank_agreement::{
    Entry, Envelope, Options, Payload, ReadId, Ready, Replica, Store, StoredState,
};
use clayplank_state::{Command, Machine, PlanDocument, Reply, decode};
use clayplank_types::{DataCentre, HostId};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::Context;

use crate::keepers::compaction::CompactionSchedule;
use crate::keepers::full_disk::FullDiskRetry;
use crate::keepers::keeper_disk::{DiskError, KeeperDisk};
use crate::keepers::keeper_log::KeeperLog;
use crate::keepers::keeper_messages::{CommandOutcome, WatchOutcome};
use crate::process::clock::now_ms;
use crate::process::daemon::StartError;
use crate::process::logging::log_target;
use crate::process::supervision::Supervisor;

/// Maximum number of messages that are handled before a write although more are queued.
const MAX_BATCH_MESSAGES: usize = 512;

/// Default size of the log file, in bytes, above which a snapshot replaces it.
const COMPACT_BYTES: u64 = 32 << 20;

/// Size limit of the log file, in bytes, for a keeper whose entries are complete plans: each has a
/// few hundred kilobytes, and the disk has 128 MB.
const COMPACT_PLANS_BYTES: u64 = 8 << 20;

/// Time after an election, in ms, during which the new leader refuses plans while it has too few
/// voters. After it, plans are accepted with fewer.
const VOTERS_GRACE_MS: u64 = 4_000;

/// A watch request without a reply yet.
pub(crate) struct PendingWatch {
    pub(crate) host: HostId,
    pub(crate) applied_revision: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) reply: oneshot::Sender<WatchOutcome>,
}

/// A proposed command that is not applied yet.
pub(crate) struct PendingCommand {
    pub(crate) term: u64,
    pub(crate) reply: oneshot::Sender<CommandOutcome>,
}

/// A command that is applied, but not yet synced to as many disks as its acknowledgement guarantees.
struct UnderReplicated {
    index: u64,
    reply: Reply,
    to: oneshot::Sender<CommandOutcome>,
}

/// State applied by this replica, and the leader that it knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct AppliedState {
    /// Revision of the applied state.
    pub(crate) revision: u64,
    /// The leader, as far as this replica knows.
    pub(crate) leader: Option<HostId>,
    /// Newest applied serving plan.
    pub(crate) plan: Option<PlanDocument>,
    /// Data centres whose upstreams receive no requests.
    pub(crate) cordoned: BTreeSet<DataCentre>,
}

/// A request that waits until this replica hears from a leader.
pub(crate) struct PendingLeaderQuery {
    pub(crate) requested_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) reply: oneshot::Sender<Option<HostId>>,
}

/// Actor that owns the replica, its storage and the state machine.
#[derive(xtra::Actor)]
pub(crate) struct Keeper {
    pub(crate) disk: KeeperDisk,
    pub(crate) options: Options,
    /// Whether this disk was present when the complete system started for the first time: only then
    /// does this keeper count towards the majority that may create the log.
    pub(crate) may_begin: bool,
    /// `None` until the log is created here or received from a peer, and after a disk failure.
    pub(crate) replica: Option<Replica>,
    pub(crate) machine: Machine,
    applied_index: u64,
    /// Commands proposed here, by log index.
    pub(crate) commands: BTreeMap<u64, PendingCommand>,
    /// Applied commands that wait for more synced copies, the oldest first.
    under_replicated: VecDeque<UnderReplicated>,
    pub(crate) watches: Vec<PendingWatch>,
    pub(crate) leader_queries: Vec<PendingLeaderQuery>,
    /// Watches that wait for their linearizable read.
    reads: HashMap<ReadId, Vec<PendingWatch>>,
    /// Revision in force on each host that watches this leader.
    pub(crate) in_force: BTreeMap<HostId, u64>,
    outbox: mpsc::UnboundedSender<Envelope>,
    tasks: Supervisor,
    compaction: CompactionSchedule,
    /// Messages handled since the last write.
    batched_messages: usize,
    keeper_options: KeeperOptions,
    applied: watch::Sender<AppliedState>,
    /// Time at which this keeper became leader, in ms; `None` while it does not lead.
    led_since_ms: Option<u64>,
    log: KeeperLog,
}

/// Settings of a keeper that are not part of the replicated log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeeperOptions {
    /// Size of the log file, in bytes, above which a snapshot replaces it.
    pub(crate) compact_bytes: u64,
    /// Number of voters that a plan requires, so that it survives the tolerated losses.
    pub(crate) required_voters: usize,
    /// Number of disks that must have synced a command before it is acknowledged, capped by the
    /// number of voters.
    required_copies: usize,
}

impl Default for KeeperOptions {
    fn default() -> Self {
        Self { compact_bytes: COMPACT_BYTES, required_voters: 0, required_copies: 0 }
    }
}

impl KeeperOptions {
    /// Settings for a log of complete plans that survives the loss of `losses` disks.
    pub(crate) fn for_plans(losses: usize) -> Self {
        Self {
            compact_bytes: COMPACT_PLANS_BYTES,
            required_voters: 2 * losses + 1,
            required_copies: losses + 1,
        }
    }
}

impl Keeper {
    /// Creates a keeper from the state loaded from disk, if there is one.
    pub(crate) fn new(
        store: Store,
        state: Option<StoredState>,
        options: Options,
        keeper_options: KeeperOptions,
        outbox: mpsc::UnboundedSender<Envelope>,
        tasks: Supervisor,
    ) -> Self {
        let id = store.identity().id.clone();
        let mut keeper = Self {
            disk: KeeperDisk::new(store),
            options,
            may_begin: false,
            replica: None,
            machine: Machine::default(),
            applied_index: 0,
            commands: BTreeMap::new(),
            under_replicated: VecDeque::new(),
            watches: Vec::new(),
            leader_queries: Vec::new(),
            reads: HashMap::new(),
            in_force: BTreeMap::new(),
            outbox,
            tasks,
            compaction: CompactionSchedule::new(keeper_options.compact_bytes),
            batched_messages: 0,
            keeper_options,
            applied: watch::Sender::new(AppliedState::default()),
            led_since_ms: None,
            log: KeeperLog::default(),
        };
        if let Some(state) = state {
            keeper.load_state(&state);
            keeper.replica = Some(Replica::new(id, state, options, now_ms()));
        }
        keeper
    }

    /// Sets whether this keeper may create the log, or count towards the majority that a peer needs to
    /// create it.
    pub(crate) fn with_may_bootstrap(mut self, may_begin: bool) -> Self {
        self.may_begin = may_begin;
        self
    }

    /// Loads the state with which a log starts.
    pub(crate) fn load_state(&mut self, state: &StoredState) {
        self.machine = load_machine(&state.snapshot.data);
        self.applied_index = state.snapshot.last.index;
        self.publish_applied();
    }

    /// Subscribes to changes of the applied state and the known leader.
    pub(crate) fn subscribe_applied(&self) -> watch::Receiver<AppliedState> {
        self.applied.subscribe()
    }

    fn publish_applied(&mut self) {
        let leader = self.leader_host();
        let revision = self.machine.revision();
        let (plan, cordoned) = (self.machine.plan(), self.machine.cordoned_data_centres());
        self.applied.send_if_modified(|current| {
            let is_new = current.revision != revision || current.leader != leader;
            if is_new {
                let (plan, cordoned) = (plan.cloned(), cordoned.clone());
                *current = AppliedState { revision, leader, plan, cordoned };
            }
            is_new
        });
    }

    /// Persists, sends and applies pending changes, unless more messages are queued and the batch is
    /// not full.
    pub(crate) async fn flush(&mut self, context: &Context<Self>) {
        self.batched_messages += 1;
        let has_more_messages = !context.mailbox().address().is_empty();
        if has_more_messages && self.batched_messages < MAX_BATCH_MESSAGES {
            return;
        }
        self.batched_messages = 0;
        self.start_due_watches();
        while let Some(ready) = self.take_ready() {
            if !self.process_ready(ready).await {
                return;
            }
        }
        self.acknowledge_replicated_commands();
        self.publish_applied();
        self.log.log_changes(self.replica.as_ref(), now_ms());
        self.answer_leader_queries();
        self.compact_if_large().await;
    }

    /// Answers the requests that wait for a leader: with the leader that was heard since they came, or
    /// with `None` at their deadlines.
    fn answer_leader_queries(&mut self) {
        let now_ms = now_ms();
        let waiting = std::mem::take(&mut self.leader_queries);
        for query in waiting {
            let heard = self
                .replica
                .as_ref()
                .and_then(|replica| replica.leader_heard_after(query.requested_ms));
            let leader = heard.map(|id| HostId::new(id.host.clone()));
            if leader.is_some() || now_ms >= query.deadline_ms {
                query.reply.send(leader).ok();
            } else {
                self.leader_queries.push(query);
            }
        }
    }

    fn take_ready(&mut self) -> Option<Ready> {
        let ready = self.replica.as_mut()?.take_ready(now_ms());
        (!ready.is_empty()).then_some(ready)
    }

    async fn process_ready(&mut self, ready: Ready) -> bool {
        let written = ready.written();
        let ready = Arc::new(ready);
        if !self.write(&ready).await {
            return false;
        }
        let ready = Arc::unwrap_or_clone(ready);
        if let Some(replica) = &mut self.replica {
            replica.record_persisted(written);
        }
        for envelope in ready.messages {
            self.outbox.send(envelope).ok();
        }
        if let Some(snapshot) = &ready.installed {
            self.machine = load_machine(&snapshot.data);
            self.applied_index = snapshot.last.index;
        }
        for entry in &ready.committed {
            self.apply(entry);
        }
        self.publish_applied();
        self.log.log_changes(self.replica.as_ref(), now_ms());
        self.record_leadership();
        self.finish_reads(&ready.reads);
        self.fail_waiters_if_not_leader();
        self.start_due_watches();
        true
    }

    /// Writes what a [`Ready`] has to write, and returns whether that succeeded. While the disk is full,
    /// this keeper retries and neither sends nor replies, like a keeper whose disk stalls: its peers
    /// continue without it. Any other disk failure terminates the process.
    async fn write(&mut self, ready: &Arc<Ready>) -> bool {
        if !ready.must_sync() {
            return true;
        }
        let mut full = FullDiskRetry::default();
        loop {
            let Some(replica) = &self.replica else {
                return false;
            };
            let hard_state = replica.hard_state().clone();
            match self.disk.write(Arc::clone(ready), hard_state).await {
                Ok(()) => {
                    full.record_success();
                    return true;
                }
                Err(error) if error.is_full() => full.wait(&error).await,
                Err(error) => {
                    self.stop_on_disk_failure(error);
                    return false;
                }
            }
        }
    }

    /// Stops this replica permanently and reports the disk failure, which ends the process.
    pub(crate) fn stop_on_disk_failure(&mut self, error: DiskError) {
        log::error!(target: log_target::KEEPER,
            "Writing to the disk failed, stopping this replica: {error}");
        self.replica = None;
        self.tasks.fail(StartError::DiskFailed(error));
    }

    fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.applied_index + 1, "entries are applied in order, once each");
        self.applied_index = entry.index;
        let reply = match &entry.payload {
            Payload::Command(bytes) => match decode::<Command>(bytes) {
                Ok(command) => Some(self.machine.apply(&command)),
                Err(error) => {
                    log::error!(target: log_target::KEEPER, index = entry.index, cause:% = error;
                        "Skipped a command that cannot be decoded");
                    None
                }
            },
            Payload::Empty | Payload::Configuration(_) => None,
        };
        let Some(pending) = self.commands.remove(&entry.index) else {
            return;
        };
        match reply {
            Some(reply) if pending.term == entry.term => {
                self.under_replicated.push_back(UnderReplicated {
                    index: entry.index,
                    reply,
                    to: pending.reply,
                });
            }
            // An entry of another leader was committed at this index, so the local one is lost.
            Some(_) | None => {
                pending.reply.send(CommandOutcome::NotLeader(self.leader_host())).ok();
            }
        }
    }

    /// Acknowledges applied commands once they are synced to one disk more than the tolerated losses.
    /// A quorum suffices only if there are as many voters as these losses require. With three voters
    /// and two tolerated disk losses, the quorum is two: both of its disks may be lost, and with them
    /// a command that was acknowledged after the quorum alone.
    fn acknowledge_replicated_commands(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        let required =
            self.keeper_options.required_copies.min(replica.configuration().voters.len());
        while let Some(oldest) = self.under_replicated.front()
            && replica.synced_voters(oldest.index) >= required
            && let Some(UnderReplicated { reply, to, .. }) = self.under_replicated.pop_front()
        {
            to.send(CommandOutcome::Reply(reply)).ok();
        }
    }

    fn record_leadership(&mut self) {
        let leads = self.replica.as_ref().is_some_and(Replica::is_leader);
        self.led_since_ms = match (leads, self.led_since_ms) {
            (true, None) => {
                log::info!(target: log_target::KEEPER, "Leads the keepers.");
                Some(now_ms())
            }
            (true, since_ms) => since_ms,
            (false, Some(_)) => {
                log::info!(target: log_target::KEEPER, "This keeper is no longer the leader.");
                None
            }
            (false, None) => None,
        };
    }

    /// Whether plans must be refused because there are too few voters: otherwise disks that are lost at
    /// the same time could form a quorum. Once the grace period after an election has passed, plans are
    /// accepted with fewer voters.
    pub(crate) fn lacks_voters(&self) -> bool {
        let Some(replica) = &self.replica else {
            return true;
        };
        let is_in_grace_period =
            self.led_since_ms.is_none_or(|since_ms| now_ms() < since_ms + VOTERS_GRACE_MS);
        is_in_grace_period
            && replica.configuration().voters.len() < self.keeper_options.required_voters
    }

    /// Host of the leader, as far as this replica knows.
    pub(crate) fn leader_host(&self) -> Option<HostId> {
        let leader = self.replica.as_ref()?.leader()?;
        Some(HostId::new(leader.host.clone()))
    }

    /// Starts a linearizable read for the watches with updates and those whose deadline has passed.
    fn start_due_watches(&mut self) {
        let Some(replica) = self.replica.as_mut().filter(|replica| replica.is_leader()) else {
            return;
        };
        let now_ms = now_ms();
        let revision = self.machine.revision();
        let is_due = |watch: &mut PendingWatch| {
            watch.applied_revision < revision || watch.deadline_ms <= now_ms
        };
        let due: Vec<_> = self.watches.extract_if(.., is_due).collect();
        if due.is_empty() {
            return;
        }
        if let Ok(read) = replica.request_read() {
            self.reads.insert(read, due);
        }
    }

    fn finish_reads(&mut self, reads: &[(ReadId, u64)]) {
        for (read, index) in reads {
            assert!(*index <= self.applied_index, "a read is answered after its entry was applied");
            for watch in self.reads.remove(read).into_iter().flatten() {
                let delta = self.machine.delta_after(watch.applied_revision);
                self.in_force.insert(watch.host, watch.applied_revision);
                watch.reply.send(WatchOutcome::Delta(delta)).ok();
            }
        }
    }

    fn fail_waiters_if_not_leader(&mut self) {
        if self.replica.as_ref().is_some_and(Replica::is_leader) {
            return;
        }
        for (_, pending) in std::mem::take(&mut self.commands) {
            pending.reply.send(CommandOutcome::Unknown).ok();
        }
        for UnderReplicated { to, .. } in std::mem::take(&mut self.under_replicated) {
            to.send(CommandOutcome::Unknown).ok();
        }
        let hint = self.leader_host();
        let reading = std::mem::take(&mut self.reads).into_values().flatten();
        for watch in std::mem::take(&mut self.watches).into_iter().chain(reading) {
            watch.reply.send(WatchOutcome::NotLeader(hint.clone())).ok();
        }
        self.in_force.clear();
    }

    /// Replaces the log by a snapshot of the applied state if it is large. The replica keeps its log in
    /// memory until the files are replaced, so that a failure leaves both as they were.
    async fn compact_if_large(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        let is_due = self.compaction.is_due(now_ms(), self.disk.log_bytes(), replica.log_len());
        if !is_due || !replica.may_compact(self.applied_index) {
            return;
        }
        let data = match self.machine.to_snapshot() {
            Ok(data) => data,
            Err(error) => {
                log::error!(target: log_target::KEEPER, cause:% = error; "Failed to encode a snapshot");
                self.compaction.record_failure(now_ms());
                return;
            }
        };
        let Some(state) = replica.plan_compaction(self.applied_index, data) else {
            return;
        };
        let state = Arc::new(state);
        match self.disk.replace_state(Arc::clone(&state)).await {
            Ok(()) => {
                let snapshot = Arc::unwrap_or_clone(state).snapshot;
                if let Some(replica) = &mut self.replica {
                    replica.apply_compaction(snapshot);
                }
                self.compaction.record_success(self.disk.log_bytes());
                log::info!(target: log_target::KEEPER, index = self.applied_index;
                    "Replaced the log by a snapshot");
            }
            // The log in memory still matches the files.
            Err(error) if error.is_full() => {
                self.compaction.record_failure(now_ms());
                log::warn!(target: log_target::KEEPER, cause:% = error;
                    "The disk is too full to compact the log; keeps the previous files");
            }
            Err(error) => self.stop_on_disk_failure(error),
        }
    }
}

fn load_machine(data: &[u8]) -> Machine {
    match Machine::from_snapshot(data) {
        Ok(machine) => machine,
        // The bytes passed their checksum, so they were written by an incompatible version.
        Err(error) => panic!("the snapshot cannot be read: {error}"),
    }
}

/// Address of the keeper actor; `None` on a host that is not a keeper.
pub(crate) type KeeperAddress = Option<xtra::Address<Keeper>>;
