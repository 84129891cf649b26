//! The keeper: a replica of the log, its disk, and the state that it drives.
//!
//! Messages change the replica; once the mailbox is empty, one write and one
//! sync cover them all. Only then are messages sent and replies given.

use std::collections::{BTreeMap, HashMap};

use clayplank_agreement::{
    Configuration, Entry, Envelope, Introduction, Options, Payload, ReadId, Ready, Replica,
    ReplicaId, Store, StoreError, StoredState,
};
use clayplank_state::{Body, Command, Counts, Delta, Machine, PlanDocument, Reply, decode, encode};
use clayplank_types::HostId;
use serde::Serialize;
use tokio::sync::{mpsc, oneshot, watch};
use xtra::{Context, Handler};

use crate::clock::{now_ms, wall_ms};
use crate::logging::part;

/// Messages that are handled before a write, though more are waiting.
const MAX_BATCH: usize = 512;

/// The log file is replaced by a snapshot when it is larger than this.
const COMPACT_BYTES: u64 = 32 << 20;

/// And the log in memory when it has more entries than this.
const COMPACT_ENTRIES: usize = 20_000;

/// Limits of a keeper whose entries are whole plans: a few hundred kilobytes each, in 128 MB of disk.
const COMPACT_PLANS_BYTES: u64 = 8 << 20;

/// A watch without news is confirmed after this time.
pub(crate) const WATCH_WAIT_MS: u64 = 1_000;

/// How long a new leader waits for enough voters before it takes a plan with fewer.
const VOTERS_GRACE_MS: u64 = 4_000;

/// What became of a command.
#[derive(Clone, Debug)]
pub(crate) enum Executed {
    /// It was applied.
    Reply(Reply),
    /// It was not and will not be applied; who may lead.
    NotLeader(Option<HostId>),
    /// It may or may not be applied later.
    Unknown,
}

/// What a watch brought.
#[derive(Clone, Debug)]
pub(crate) enum Watched {
    /// What changed; all that was committed when the watch was asked for is in it.
    Delta(Delta),
    /// Who may lead.
    NotLeader(Option<HostId>),
}

/// What operators see of the keepers.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct KeeperStatus {
    pub(crate) leader: String,
    pub(crate) term: u64,
    pub(crate) commit_index: u64,
    pub(crate) voters: Vec<String>,
    pub(crate) learners: Vec<String>,
    /// While this is false, or there are learners, the loss of one more disk may stop the keepers.
    pub(crate) members_committed: bool,
    pub(crate) counts: Counts,
    /// Revision in force on each host that watches.
    pub(crate) in_force: BTreeMap<HostId, u64>,
}

struct PendingWatch {
    host: HostId,
    applied_revision: u64,
    due_ms: u64,
    reply: oneshot::Sender<Watched>,
}

struct PendingCommand {
    term: u64,
    reply: oneshot::Sender<Executed>,
}

/// The actor.
#[derive(xtra::Actor)]
pub(crate) struct Keeper {
    store: Option<Store>,
    options: Options,
    /// `None` until the log was begun or is received.
    replica: Option<Replica>,
    machine: Machine,
    applied_index: u64,
    commands: BTreeMap<u64, PendingCommand>,
    watches: Vec<PendingWatch>,
    reads: HashMap<ReadId, Vec<PendingWatch>>,
    in_force: BTreeMap<HostId, u64>,
    outbox: mpsc::UnboundedSender<Envelope>,
    failed: mpsc::Sender<StoreError>,
    batched: usize,
    sizing: Sizing,
    plans: watch::Sender<Option<PlanDocument>>,
    led_since_ms: Option<u64>,
}

/// What a keeper does not find in the log itself.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sizing {
    /// The log file is replaced by a snapshot when it is larger than this.
    pub(crate) compact_bytes: u64,
    /// Voters that a plan waits for, so that it survives the losses that are tolerated.
    pub(crate) wanted_voters: usize,
}

impl Default for Sizing {
    fn default() -> Self {
        Self { compact_bytes: COMPACT_BYTES, wanted_voters: 0 }
    }
}

impl Sizing {
    /// For a log of whole plans that survives the loss of `losses` disks.
    pub(crate) fn of_plans(losses: usize) -> Self {
        Self { compact_bytes: COMPACT_PLANS_BYTES, wanted_voters: 2 * losses + 1 }
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
            replica: None,
            machine: Machine::default(),
            applied_index: 0,
            commands: BTreeMap::new(),
            watches: Vec::new(),
            reads: HashMap::new(),
            in_force: BTreeMap::new(),
            outbox,
            failed,
            batched: 0,
            sizing,
            plans: watch::Sender::new(None),
            led_since_ms: None,
        };
        if let Some(state) = state {
            keeper.load(&state);
            keeper.replica = Some(Replica::new(id, state, options, now_ms()));
        }
        keeper
    }

    fn load(&mut self, state: &StoredState) {
        self.machine = load_machine(&state.snapshot.data);
        self.applied_index = state.snapshot.last.index;
        self.publish_plan();
    }

    /// The plan as far as it is applied here, as it changes.
    pub(crate) fn plans(&self) -> watch::Receiver<Option<PlanDocument>> {
        self.plans.subscribe()
    }

    fn publish_plan(&mut self) {
        let plan = self.machine.plan();
        self.plans.send_if_modified(|held| {
            let is_new = held.as_ref().map(|held| held.version) != plan.map(|plan| plan.version);
            if is_new {
                *held = plan.cloned();
            }
            is_new
        });
    }

    /// Writes, sends and applies, unless more messages wait.
    async fn flush(&mut self, context: &Context<Self>) {
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
        self.compact_if_large().await;
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
        self.publish_plan();
        self.note_leadership();
        self.finish_reads(&ready.reads);
        self.drop_waiters_if_deposed();
        self.start_due_watches();
        true
    }

    /// Writes off the runtime's threads; the process has to stop if that fails.
    async fn write(&mut self, ready: Ready) -> Option<Ready> {
        if !ready.must_sync() {
            return Some(ready);
        }
        let mut store = self.store.take()?;
        let hard_state = self.replica.as_ref()?.hard_state().clone();
        let task = tokio::task::spawn_blocking(move || {
            let result = store.write(&ready, &hard_state);
            (store, ready, result)
        });
        let (store, ready, result) = task.await.ok()?;
        self.store = Some(store);
        match result {
            Ok(()) => Some(ready),
            Err(error) => {
                self.fail(error);
                None
            }
        }
    }

    fn fail(&mut self, error: StoreError) {
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
        if let Some(pending) = self.commands.remove(&entry.index) {
            let executed = match reply {
                Some(reply) if pending.term == entry.term => Executed::Reply(reply),
                // Another leader's entry took this place: ours is gone.
                Some(_) | None => Executed::NotLeader(self.leader_host()),
            };
            pending.reply.send(executed).ok();
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
    fn lacks_voters(&self) -> bool {
        let Some(replica) = &self.replica else {
            return true;
        };
        let is_young =
            self.led_since_ms.is_none_or(|since_ms| now_ms() < since_ms + VOTERS_GRACE_MS);
        is_young && replica.configuration().voters.len() < self.sizing.wanted_voters
    }

    fn leader_host(&self) -> Option<HostId> {
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

/// Lets time pass.
pub(crate) struct Tick;

impl Handler<Tick> for Keeper {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        if let Some(replica) = &mut self.replica {
            replica.tick(now_ms());
        }
        self.flush(context).await;
    }
}

/// Messages of other replicas.
pub(crate) struct Step(pub(crate) Vec<Envelope>);

impl Handler<Step> for Keeper {
    type Return = ();

    async fn handle(&mut self, step: Step, context: &mut Context<Self>) {
        if let Some(replica) = &mut self.replica {
            step.0.into_iter().for_each(|envelope| replica.receive(now_ms(), envelope));
        }
        self.flush(context).await;
    }
}

/// A command for the state; the reply comes once it is applied.
pub(crate) struct Execute(pub(crate) Body);

impl Handler<Execute> for Keeper {
    type Return = oneshot::Receiver<Executed>;

    async fn handle(&mut self, execute: Execute, context: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let is_plan = matches!(execute.0, Body::Publish(_));
        if is_plan && self.replica.as_ref().is_some_and(Replica::is_leader) && self.lacks_voters() {
            reply.send(Executed::Unknown).ok();
            return receiver;
        }
        let command = Command { at_ms: wall_ms(), body: execute.0 };
        let proposed = match (&mut self.replica, encode(&command)) {
            (Some(replica), Ok(bytes)) => replica.propose(bytes).ok(),
            _ => None,
        };
        match proposed {
            Some(id) => {
                self.commands.insert(id.index, PendingCommand { term: id.term, reply });
            }
            None => {
                reply.send(Executed::NotLeader(self.leader_host())).ok();
            }
        }
        self.flush(context).await;
        receiver
    }
}

/// A host asks for settings that it does not have yet.
pub(crate) struct Watch {
    pub(crate) host: HostId,
    pub(crate) applied_revision: u64,
    /// How long to wait for news.
    pub(crate) wait_ms: u64,
}

impl Handler<Watch> for Keeper {
    type Return = oneshot::Receiver<Watched>;

    async fn handle(&mut self, watch: Watch, context: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let Watch { host, applied_revision, wait_ms } = watch;
        if self.replica.as_ref().is_some_and(Replica::is_leader) {
            // A host without settings does not wait for news.
            let wait_ms = if applied_revision == 0 { 0 } else { wait_ms };
            self.in_force.insert(host.clone(), applied_revision);
            self.watches.push(PendingWatch {
                host,
                applied_revision,
                due_ms: now_ms() + wait_ms,
                reply,
            });
        } else {
            reply.send(Watched::NotLeader(self.leader_host())).ok();
        }
        self.flush(context).await;
        receiver
    }
}

/// Another keeper tells of itself.
pub(crate) struct Introduce(pub(crate) ReplicaId);

impl Handler<Introduce> for Keeper {
    type Return = Option<Introduction>;

    async fn handle(&mut self, introduce: Introduce, context: &mut Context<Self>) -> Self::Return {
        let identity = self.store.as_ref()?.identity().clone();
        let Some(replica) = &mut self.replica else {
            return Some(Introduction::Blank(identity.id));
        };
        let members = replica.configuration().clone();
        if replica.is_leader() && replica.admit(now_ms(), &introduce.0) {
            log::info!(target: part::KEEPER, "Takes in keeper {}.", introduce.0);
            self.flush(context).await;
        }
        Some(Introduction::Member { genesis: identity.genesis.unwrap_or_default(), members })
    }
}

/// Starts the log, or starts to receive it.
pub(crate) struct Begin(pub(crate) Option<Configuration>);

impl Handler<Begin> for Keeper {
    type Return = ();

    async fn handle(&mut self, begin: Begin, _: &mut Context<Self>) {
        if self.replica.is_some() {
            return;
        }
        let (state, genesis) = match begin.0 {
            Some(genesis) => (StoredState::genesis(genesis.clone(), Vec::new()), genesis),
            None => (StoredState::blank(), Configuration::default()),
        };
        let Some(store) = &mut self.store else {
            return;
        };
        match store.begin(&state, genesis) {
            Ok(()) => {
                let id = store.identity().id.clone();
                log::info!(target: part::KEEPER, "Keeps the log as {id}.");
                self.load(&state);
                self.replica = Some(Replica::new(id, state, self.options, now_ms()));
            }
            Err(error) => self.fail(error),
        }
    }
}

/// Whether the keeper has a log, and votes.
pub(crate) struct Standing;

/// How far a keeper is in joining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Stand {
    pub(crate) id: ReplicaId,
    pub(crate) has_log: bool,
    /// Whether it votes, and hears a leader: one that was taken out hears none.
    pub(crate) votes: bool,
    /// All keepers that it knows from the log.
    pub(crate) members: Vec<HostId>,
}

impl Handler<Standing> for Keeper {
    type Return = Option<Stand>;

    async fn handle(&mut self, _: Standing, _: &mut Context<Self>) -> Self::Return {
        let id = self.store.as_ref()?.identity().id.clone();
        let replica = self.replica.as_ref();
        let votes = replica.is_some_and(|replica| {
            let is_heard = replica.is_leader() || replica.hears_leader(now_ms());
            is_heard && replica.configuration().voters.contains(&id)
        });
        let members = replica.map_or_else(Vec::new, |replica| {
            replica.configuration().members().map(|id| HostId::new(id.host.clone())).collect()
        });
        Some(Stand { id, has_log: replica.is_some(), votes, members })
    }
}

/// Who leads, as far as this keeper knows; itself, perhaps.
pub(crate) struct WhoLeads;

impl Handler<WhoLeads> for Keeper {
    type Return = Option<HostId>;

    async fn handle(&mut self, _: WhoLeads, _: &mut Context<Self>) -> Self::Return {
        self.leader_host()
    }
}

/// What operators see; `Err` names who may lead.
pub(crate) struct Inspect;

impl Handler<Inspect> for Keeper {
    type Return = Result<KeeperStatus, Option<HostId>>;

    async fn handle(&mut self, _: Inspect, _: &mut Context<Self>) -> Self::Return {
        let hint = self.leader_host();
        let Some(replica) = self.replica.as_ref().filter(|replica| replica.is_leader()) else {
            return Err(hint);
        };
        let configuration = replica.configuration();
        Ok(KeeperStatus {
            leader: replica.id().to_string(),
            term: replica.term(),
            commit_index: replica.commit_index(),
            voters: configuration.voters.iter().map(ToString::to_string).collect(),
            learners: configuration.learners.iter().map(ToString::to_string).collect(),
            members_committed: replica.is_configuration_committed(),
            counts: self.machine.counts(),
            in_force: self.in_force.clone(),
        })
    }
}

/// A keeper's address, where this host is one.
pub(crate) type KeeperAddress = Option<xtra::Address<Keeper>>;
