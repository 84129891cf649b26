//! The keeper: a replica of the log, its disk, and the state that it drives.
//!
//! Messages change the replica; once the mailbox is empty, one write and one
//! sync cover them all. Only then are messages sent and replies given.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use clayplank_agreement::{
    Entry, Envelope, Options, Payload, ReadId, Ready, Replica, Store, StoreError, StoredState,
};
use clayplank_state::{Command, Machine, PlanDocument, Reply, decode};
use clayplank_types::{DataCentre, HostId};
use tokio::sync::{mpsc, oneshot, watch};
use xtra::Context;

use crate::keepers::full_disk::FullDisk;
use crate::keepers::keeper_log::KeeperLog;
use crate::keepers::keeper_messages::{Executed, Watched};
use crate::process::clock::now_ms;
use crate::process::logging::part;

/// Messages that are handled before a write, though more are waiting.
const MAX_BATCH: usize = 512;

/// The log file is replaced by a snapshot when it is larger than this, in bytes.
const COMPACT_BYTES: u64 = 32 << 20;

/// The log in memory is replaced by one when it has more entries than this.
const COMPACT_ENTRIES: usize = 20_000;

/// The same limit, in bytes, of a keeper whose entries are whole plans: a few hundred
/// kilobytes each, in 128 MB of disk.
const COMPACT_PLANS_BYTES: u64 = 8 << 20;

/// How long, in ms, a new leader waits for enough voters before it takes a plan with fewer.
const VOTERS_GRACE_MS: u64 = 4_000;

/// A watch that has no reply yet.
pub(crate) struct PendingWatch {
    pub(crate) host: HostId,
    pub(crate) applied_revision: u64,
    pub(crate) due_ms: u64,
    pub(crate) reply: oneshot::Sender<Watched>,
}

/// A command that is not applied yet.
pub(crate) struct PendingCommand {
    pub(crate) term: u64,
    pub(crate) reply: oneshot::Sender<Executed>,
}

/// A command that is applied, and not yet on as many disks as its acknowledgement promises.
struct UnderReplicated {
    index: u64,
    reply: Reply,
    to: oneshot::Sender<Executed>,
}

/// How far a keeper is: what it has applied, and whom it hears.
#[derive(Clone, Debug, Default)]
pub(crate) struct Applied {
    /// The newest revision of its state.
    pub(crate) revision: u64,
    /// Who leads, as far as it knows.
    pub(crate) leader: Option<HostId>,
    pub(crate) plan: Option<PlanDocument>,
    /// Data centres whose upstreams get nothing.
    pub(crate) cordoned: BTreeSet<DataCentre>,
}

/// Somebody who waits for a leader to speak.
pub(crate) struct PendingLeader {
    pub(crate) asked_ms: u64,
    pub(crate) due_ms: u64,
    pub(crate) reply: oneshot::Sender<Option<HostId>>,
}

/// The actor.
#[derive(xtra::Actor)]
pub(crate) struct Keeper {
    pub(crate) store: Option<Store>,
    pub(crate) options: Options,
    /// Whether this disk was there when the whole system started for the first time.
    pub(crate) may_begin: bool,
    /// `None` until the log was begun or is received.
    pub(crate) replica: Option<Replica>,
    pub(crate) machine: Machine,
    applied_index: u64,
    pub(crate) commands: BTreeMap<u64, PendingCommand>,
    /// Commands that wait for more copies, the oldest first.
    under_replicated: VecDeque<UnderReplicated>,
    pub(crate) watches: Vec<PendingWatch>,
    pub(crate) leader_watches: Vec<PendingLeader>,
    reads: HashMap<ReadId, Vec<PendingWatch>>,
    pub(crate) in_force: BTreeMap<HostId, u64>,
    outbox: mpsc::UnboundedSender<Envelope>,
    failed: mpsc::Sender<StoreError>,
    batched: usize,
    sizing: Sizing,
    applied: watch::Sender<Applied>,
    led_since_ms: Option<u64>,
    log: KeeperLog,
}

/// What a keeper does not find in the log itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizing {
    /// The log file is replaced by a snapshot when it is larger than this.
    pub(crate) compact_bytes: u64,
    /// Voters that a plan waits for, so that it survives the losses that are tolerated.
    pub(crate) wanted_voters: usize,
    /// Disks that a command has to be on before it is acknowledged, if there are as many voters.
    wanted_copies: usize,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { compact_bytes: COMPACT_BYTES, wanted_voters: 0, wanted_copies: 0 }
    }
}

impl Sizing {
    /// For a log of whole plans that survives the loss of `losses` disks.
    pub(crate) fn of_plans(losses: usize) -> Self {
        Self {
            compact_bytes: COMPACT_PLANS_BYTES,
            wanted_voters: 2 * losses + 1,
            wanted_copies: losses + 1,
        }
    }
}

impl Keeper {
    /// Starts from what the disk holds.
    pub(crate) fn new(
        store: Store,
        state: Option<StoredState>,
        options: Options,
        sizing: Sizing,
        outbox: mpsc::UnboundedSender<Envelope>,
        failed: mpsc::Sender<StoreError>,
    ) -> Self {
        let id = store.identity().id.clone();
        let mut keeper = Self {
            store: Some(store),
            options,
            may_begin: false,
            replica: None,
            machine: Machine::default(),
            applied_index: 0,
            commands: BTreeMap::new(),
            under_replicated: VecDeque::new(),
            watches: Vec::new(),
            leader_watches: Vec::new(),
            reads: HashMap::new(),
            in_force: BTreeMap::new(),
            outbox,
            failed,
            batched: 0,
            sizing,
            applied: watch::Sender::new(Applied::default()),
            led_since_ms: None,
            log: KeeperLog::default(),
        };
        if let Some(state) = state {
            keeper.load(&state);
            keeper.replica = Some(Replica::new(id, state, options, now_ms()));
        }
        keeper
    }

    /// Lets this keeper begin a log, or be counted on when another one does.
    pub(crate) fn with_may_begin(mut self, may_begin: bool) -> Self {
        self.may_begin = may_begin;
        self
    }

    /// Takes the state over that a log begins with.
    pub(crate) fn load(&mut self, state: &StoredState) {
        self.machine = load_machine(&state.snapshot.data);
        self.applied_index = state.snapshot.last.index;
        self.tell_applied();
    }

    /// How far this keeper is, as it changes.
    pub(crate) fn applied(&self) -> watch::Receiver<Applied> {
        self.applied.subscribe()
    }

    fn tell_applied(&mut self) {
        let leader = self.leader_host();
        let revision = self.machine.revision();
        let (plan, cordoned) = (self.machine.plan(), self.machine.cordoned());
        self.applied.send_if_modified(|held| {
            let is_new = held.revision != revision || held.leader != leader;
            if is_new {
                let (plan, cordoned) = (plan.cloned(), cordoned.clone());
                *held = Applied { revision, leader, plan, cordoned };
            }
            is_new
        });
    }

    /// Writes, sends and applies, unless more messages wait.
    pub(crate) async fn flush(&mut self, context: &Context<Self>) {
        self.batched += 1;
        let more_waits = !context.mailbox().address().is_empty();
        if more_waits && self.batched < MAX_BATCH {
            return;
        }
        self.batched = 0;
        self.start_due_watches();
        while let Some(ready) = self.take_ready() {
            if !self.carry_out(ready).await {
                return;
            }
        }
        self.answer_replicated_commands();
        self.tell_applied();
        self.log.tell(self.replica.as_ref(), now_ms());
        self.answer_leader_watches();
        self.compact_if_large().await;
    }

    /// Tells those who wait for a leader which one spoke, or that none did in time.
    fn answer_leader_watches(&mut self) {
        let now_ms = now_ms();
        let waiting = std::mem::take(&mut self.leader_watches);
        for watch in waiting {
            let heard =
                self.replica.as_ref().and_then(|one| one.leader_heard_after(watch.asked_ms));
            let leader = heard.map(|id| HostId::new(id.host.clone()));
            if leader.is_some() || now_ms >= watch.due_ms {
                watch.reply.send(leader).ok();
            } else {
                self.leader_watches.push(watch);
            }
        }
    }

    fn take_ready(&mut self) -> Option<Ready> {
        let ready = self.replica.as_mut()?.take_ready(now_ms());
        (!ready.is_empty()).then_some(ready)
    }

    async fn carry_out(&mut self, ready: Ready) -> bool {
        let written = ready.last_written();
        let Some(ready) = self.write(ready).await else {
            return false;
        };
        if let Some(replica) = &mut self.replica {
            replica.note_persisted(written);
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
        self.tell_applied();
        self.log.tell(self.replica.as_ref(), now_ms());
        self.note_leadership();
        self.finish_reads(&ready.reads);
        self.drop_waiters_if_deposed();
        self.start_due_watches();
        true
    }

    /// Writes off the runtime's threads. While the disk is full this keeper says nothing, as
    /// one whose disk stalls: the others go on without it. Any other failure ends the process.
    async fn write(&mut self, mut ready: Ready) -> Option<Ready> {
        if !ready.must_sync() {
            return Some(ready);
        }
        let mut full = FullDisk::default();
        loop {
            let mut store = self.store.take()?;
            let hard_state = self.replica.as_ref()?.hard_state().clone();
            let task = tokio::task::spawn_blocking(move || {
                let result = store.write(&ready, &hard_state);
                (store, ready, result)
            });
            let (store, tried, result) = task.await.ok()?;
            self.store = Some(store);
            ready = tried;
            match result {
                Ok(()) => {
                    full.note_room();
                    return Some(ready);
                }
                Err(error) if error.is_full() => full.wait(&error).await,
                Err(error) => {
                    self.fail(error);
                    return None;
                }
            }
        }
    }

    /// Stops for good: nothing can be written any more.
    pub(crate) fn fail(&mut self, error: StoreError) {
        log::error!(target: part::KEEPER, "The disk failed: {error}.");
        self.replica = None;
        self.failed.try_send(error).ok();
    }

    fn apply(&mut self, entry: &Entry) {
        assert_eq!(entry.index, self.applied_index + 1, "entries are applied in order, once each");
        self.applied_index = entry.index;
        let reply = match &entry.payload {
            Payload::Command(bytes) => {
                decode::<Command>(bytes).ok().map(|command| self.machine.apply(&command))
            }
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
            // Another leader's entry took this place: ours is gone.
            Some(_) | None => {
                pending.reply.send(Executed::NotLeader(self.leader_host())).ok();
            }
        }
    }

    /// Acknowledges the commands that are on as many disks as the losses that are tolerated ask
    /// for. A quorum is enough where all voters are there that these losses need; of three
    /// voters, where two disks may be lost, it is two, and what they acknowledge could be lost.
    fn answer_replicated_commands(&mut self) {
        let Some(replica) = &self.replica else {
            return;
        };
        let wanted = self.sizing.wanted_copies.min(replica.configuration().voters.len());
        while let Some(oldest) = self.under_replicated.front()
            && replica.copies(oldest.index) >= wanted
            && let Some(UnderReplicated { reply, to, .. }) = self.under_replicated.pop_front()
        {
            to.send(Executed::Reply(reply)).ok();
        }
    }

    fn note_leadership(&mut self) {
        let leads = self.replica.as_ref().is_some_and(Replica::is_leader);
        self.led_since_ms = match (leads, self.led_since_ms) {
            (true, None) => {
                log::info!(target: part::KEEPER, "Leads the keepers.");
                Some(now_ms())
            }
            (true, held) => held,
            (false, Some(_)) => {
                log::info!(target: part::KEEPER, "Leads the keepers no more.");
                None
            }
            (false, None) => None,
        };
    }

    /// Whether a plan has to wait for more voters: those lost at once must not be a quorum.
    pub(crate) fn lacks_voters(&self) -> bool {
        let Some(replica) = &self.replica else {
            return true;
        };
        let is_young =
            self.led_since_ms.is_none_or(|since_ms| now_ms() < since_ms + VOTERS_GRACE_MS);
        is_young && replica.configuration().voters.len() < self.sizing.wanted_voters
    }

    /// Who leads, as far as this keeper knows.
    pub(crate) fn leader_host(&self) -> Option<HostId> {
        let leader = self.replica.as_ref()?.leader()?;
        Some(HostId::new(leader.host.clone()))
    }

    /// Starts reads for watches that have news or have waited long enough.
    fn start_due_watches(&mut self) {
        let Some(replica) = self.replica.as_mut().filter(|replica| replica.is_leader()) else {
            return;
        };
        let now_ms = now_ms();
        let revision = self.machine.revision();
        let is_due =
            |watch: &mut PendingWatch| watch.applied_revision < revision || watch.due_ms <= now_ms;
        let due: Vec<_> = self.watches.extract_if(.., is_due).collect();
        if due.is_empty() {
            return;
        }
        if let Ok(read) = replica.read() {
            self.reads.insert(read, due);
        }
    }

    fn finish_reads(&mut self, reads: &[(ReadId, u64)]) {
        for (read, index) in reads {
            assert!(*index <= self.applied_index, "a read is answered after its entry was applied");
            for watch in self.reads.remove(read).into_iter().flatten() {
                let delta = self.machine.delta_after(watch.applied_revision);
                self.in_force.insert(watch.host, watch.applied_revision);
                watch.reply.send(Watched::Delta(delta)).ok();
            }
        }
    }

    fn drop_waiters_if_deposed(&mut self) {
        if self.replica.as_ref().is_some_and(Replica::is_leader) {
            return;
        }
        for (_, pending) in std::mem::take(&mut self.commands) {
            pending.reply.send(Executed::Unknown).ok();
        }
        for UnderReplicated { to, .. } in std::mem::take(&mut self.under_replicated) {
            to.send(Executed::Unknown).ok();
        }
        let hint = self.leader_host();
        let reading = std::mem::take(&mut self.reads).into_values().flatten();
        for watch in std::mem::take(&mut self.watches).into_iter().chain(reading) {
            watch.reply.send(Watched::NotLeader(hint.clone())).ok();
        }
        self.in_force.clear();
    }

    async fn compact_if_large(&mut self) {
        let log_bytes = self.store.as_ref().map_or(0, Store::log_bytes);
        let Some(replica) = &mut self.replica else {
            return;
        };
        if log_bytes < self.sizing.compact_bytes && replica.log_len() < COMPACT_ENTRIES {
            return;
        }
        let Ok(data) = self.machine.to_snapshot() else {
            return;
        };
        let (Some(state), Some(mut store)) =
            (replica.compact(self.applied_index, data), self.store.take())
        else {
            return;
        };
        let task = tokio::task::spawn_blocking(move || {
            let result = store.rewrite(&state);
            (store, result)
        });
        let Ok((store, result)) = task.await else {
            return;
        };
        self.store = Some(store);
        match result {
            Ok(()) => {
                log::info!(target: part::KEEPER, "Compacted the log at {}.", self.applied_index)
            }
            // The former files hold all of it still; the next entry brings the next try.
            Err(error) if error.is_full() => {
                log::warn!(target: part::KEEPER, cause:% = error; "The log was not compacted");
            }
            Err(error) => self.fail(error),
        }
    }
}

fn load_machine(data: &[u8]) -> Machine {
    match Machine::from_snapshot(data) {
        Ok(machine) => machine,
        // The bytes passed their checksum: they are of another version.
        Err(error) => panic!("the snapshot cannot be read: {error}"),
    }
}

/// A keeper's address, where this host is one.
pub(crate) type KeeperAddress = Option<xtra::Address<Keeper>>;
