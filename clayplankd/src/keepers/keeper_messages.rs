//! Messages that the keeper actor handles, and their replies.

use std::collections::BTreeMap;
use std::sync::Arc;

use clayplank_agreement::{
    BlankKeeper, Change, Configuration, Envelope, Introduction, Replica, ReplicaId, StoredState,
};
use clayplank_state::{Command, CommandBody, Delta, MachineStats, Reply, encode};
use clayplank_types::HostId;
use serde::Serialize;
use tokio::sync::oneshot;
use xtra::{Context, Handler};

use crate::keepers::keeper::{Keeper, PendingCommand, PendingLeaderQuery, PendingWatch};
use crate::process::clock::{now_ms, unix_now_ms};
use crate::process::logging::log_target;

/// Time after which a watch without updates is answered with a confirmation, in ms.
pub(crate) const WATCH_HOLD_MS: u64 = 1_000;

/// Outcome of a command.
#[derive(Clone, Debug)]
pub(crate) enum CommandOutcome {
    /// The command was applied and replicated.
    Reply(Reply),
    /// The command was not and will not be applied; holds the possible leader.
    NotLeader(Option<HostId>),
    /// The command may or may not be applied later.
    Unknown,
}

/// Outcome of a watch.
#[derive(Clone, Debug)]
pub(crate) enum WatchOutcome {
    /// The changes after the watched revision; they include all that was committed when the watch was
    /// requested.
    Delta(Delta),
    /// This keeper is not the leader; holds the possible leader.
    NotLeader(Option<HostId>),
}

/// Status of the keepers, as operators receive it in JSON.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct KeeperStatus {
    pub(crate) leader: String,
    pub(crate) term: u64,
    pub(crate) commit_index: u64,
    pub(crate) voters: Vec<String>,
    pub(crate) learners: Vec<String>,
    /// Whether the newest membership is committed. While it is not, or while there are learners, the
    /// loss of one more disk may leave the keepers without a quorum.
    pub(crate) members_committed: bool,
    pub(crate) counts: MachineStats,
    /// Revision in force on each host that watches the leader.
    pub(crate) in_force: BTreeMap<HostId, u64>,
}

/// Advances the clock of the replica: elections, heartbeats and membership maintenance.
pub(crate) struct Tick;

impl Handler<Tick> for Keeper {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        if let Some(replica) = &mut self.replica {
            replica.tick(now_ms());
            if let Some(change) = replica.maintain_membership(now_ms()) {
                log_member_change(&change, "membership maintenance");
            }
        }
        self.flush(context).await;
    }
}

fn log_member_change(change: &Change, cause: &str) {
    log::info!(target: log_target::KEEPER, change:% = change, cause = cause;
        "Proposed a membership change of the keepers");
}

/// Messages from other replicas.
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

/// A command for the state machine. The reply comes once it is applied and acknowledged.
pub(crate) struct Execute(pub(crate) CommandBody);

impl Handler<Execute> for Keeper {
    type Return = oneshot::Receiver<CommandOutcome>;

    async fn handle(&mut self, execute: Execute, context: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let is_plan = matches!(execute.0, CommandBody::Publish(_));
        if is_plan && self.replica.as_ref().is_some_and(Replica::is_leader) && self.lacks_voters() {
            reply.send(CommandOutcome::Unknown).ok();
            return receiver;
        }
        let command = Command { at_ms: unix_now_ms(), body: execute.0 };
        let proposed = match (&mut self.replica, encode(&command)) {
            (Some(replica), Ok(bytes)) => replica.propose(bytes).ok(),
            _ => None,
        };
        match proposed {
            Some(id) => {
                self.commands.insert(id.index, PendingCommand { term: id.term, reply });
            }
            None => {
                reply.send(CommandOutcome::NotLeader(self.leader_host())).ok();
            }
        }
        self.flush(context).await;
        receiver
    }
}

/// Requests the settings after the revision that a host has applied.
pub(crate) struct Watch {
    pub(crate) host: HostId,
    pub(crate) applied_revision: u64,
    /// Longest wait for updates, in ms.
    pub(crate) wait_ms: u64,
}

impl Handler<Watch> for Keeper {
    type Return = oneshot::Receiver<WatchOutcome>;

    async fn handle(&mut self, watch: Watch, context: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let Watch { host, applied_revision, wait_ms } = watch;
        if self.replica.as_ref().is_some_and(Replica::is_leader) {
            // A host without settings is answered at once.
            let wait_ms = if applied_revision == 0 { 0 } else { wait_ms };
            self.in_force.insert(host.clone(), applied_revision);
            self.watches.push(PendingWatch {
                host,
                applied_revision,
                deadline_ms: now_ms() + wait_ms,
                reply,
            });
        } else {
            reply.send(WatchOutcome::NotLeader(self.leader_host())).ok();
        }
        self.flush(context).await;
        receiver
    }
}

/// Requests the changes after a revision from the state applied here, whether confirmed by the leader
/// or not.
pub(crate) struct GetDelta(pub(crate) u64);

impl Handler<GetDelta> for Keeper {
    type Return = Delta;

    async fn handle(&mut self, request: GetDelta, _: &mut Context<Self>) -> Self::Return {
        self.machine.delta_after(request.0)
    }
}

/// Introduction of another keeper.
pub(crate) struct Introduce(pub(crate) ReplicaId);

impl Handler<Introduce> for Keeper {
    type Return = Introduction;

    async fn handle(&mut self, introduce: Introduce, context: &mut Context<Self>) -> Self::Return {
        let identity = self.disk.identity().clone();
        let Some(replica) = &mut self.replica else {
            let may_begin = self.may_begin;
            return Introduction::Blank(BlankKeeper { id: identity.id, may_begin });
        };
        let members = replica.configuration().clone();
        if let Some(change) = replica.admit(&introduce.0) {
            log_member_change(&change, "a keeper introduced itself");
            self.flush(context).await;
        }
        Introduction::Member { genesis: identity.genesis.unwrap_or_default(), members }
    }
}

/// Announces that the host of a keeper is about to stop.
pub(crate) struct AnnounceStop(pub(crate) HostId);

/// Answer to a host that is about to stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StopReply {
    /// Whether the host may stop: its vote is no longer needed, or no other keeper can replace it.
    Decided(bool),
    /// Another keeper decides; holds the possible leader.
    NotLeader(Option<HostId>),
}

impl Handler<AnnounceStop> for Keeper {
    type Return = StopReply;

    async fn handle(
        &mut self,
        stopping: AnnounceStop,
        context: &mut Context<Self>,
    ) -> Self::Return {
        let host = stopping.0.as_str();
        let Some(replica) = &mut self.replica else {
            return StopReply::NotLeader(None);
        };
        replica.record_departure(now_ms(), host);
        if let Some(change) = replica.maintain_membership(now_ms()) {
            log_member_change(&change, "a keeper is stopping");
            self.flush(context).await;
        }
        match &self.replica {
            Some(replica) if replica.may_stop(now_ms(), host) => StopReply::Decided(true),
            Some(replica) if replica.is_leader() => StopReply::Decided(false),
            Some(_) | None => StopReply::NotLeader(self.leader_host()),
        }
    }
}

/// Starts the replica of a keeper without a log: with the given first members of the log, or with `None`
/// as a learner that receives the log from the leader.
pub(crate) struct StartLog(pub(crate) Option<Configuration>);

impl Handler<StartLog> for Keeper {
    type Return = ();

    async fn handle(&mut self, start: StartLog, _: &mut Context<Self>) {
        if self.replica.is_some() {
            return;
        }
        let (state, genesis) = match start.0 {
            Some(genesis) => (StoredState::genesis(genesis.clone(), Vec::new()), genesis),
            None => (StoredState::blank(), Configuration::default()),
        };
        let state = Arc::new(state);
        match self.disk.initialize(Arc::clone(&state), genesis).await {
            Ok(()) => {
                let id = self.disk.identity().id.clone();
                log::info!(target: log_target::KEEPER, "Started the local replica as {id}.");
                self.load_state(&state);
                let state = Arc::unwrap_or_clone(state);
                self.replica = Some(Replica::new(id, state, self.options, now_ms()));
            }
            // The join task sends this message again.
            Err(error) if error.is_full() => {
                log::warn!(target: log_target::KEEPER, cause:% = error;
                    "The disk is too full to create the log");
            }
            Err(error) => self.stop_on_disk_failure(error),
        }
    }
}

/// Requests the join status of this keeper.
pub(crate) struct GetJoinStatus;

/// Progress of a keeper in becoming an active voter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JoinStatus {
    pub(crate) id: ReplicaId,
    pub(crate) has_log: bool,
    /// Whether it may create the log, or count towards the majority that a peer needs to create it.
    pub(crate) may_begin: bool,
    /// Whether it is a voter and hears a leader. A keeper that was removed hears none.
    pub(crate) is_active_voter: bool,
    /// All keepers in the newest membership of its log.
    pub(crate) members: Vec<HostId>,
}

impl JoinStatus {
    pub(crate) fn to_blank_keeper(&self) -> BlankKeeper {
        BlankKeeper { id: self.id.clone(), may_begin: self.may_begin }
    }
}

impl Handler<GetJoinStatus> for Keeper {
    type Return = JoinStatus;

    async fn handle(&mut self, _: GetJoinStatus, _: &mut Context<Self>) -> Self::Return {
        let id = self.disk.identity().id.clone();
        let replica = self.replica.as_ref();
        let is_active_voter = replica.is_some_and(|replica| {
            let has_leader_contact = replica.is_leader() || replica.has_leader_contact(now_ms());
            has_leader_contact && replica.configuration().voters.contains(&id)
        });
        let members = replica.map_or_else(Vec::new, |replica| {
            replica.configuration().members().map(|id| HostId::new(id.host.clone())).collect()
        });
        JoinStatus {
            id,
            has_log: replica.is_some(),
            may_begin: self.may_begin,
            is_active_voter,
            members,
        }
    }
}

/// Requests the leader that this keeper knows, which may be itself.
pub(crate) struct GetLeader;

impl Handler<GetLeader> for Keeper {
    type Return = Option<HostId>;

    async fn handle(&mut self, _: GetLeader, _: &mut Context<Self>) -> Self::Return {
        self.leader_host()
    }
}

/// Requests the keepers that choose engines for prompts: the leader, and its deputy. Only the leader
/// knows the deputy.
pub(crate) struct GetPlacementKeepers;

/// The keepers that choose engines for prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlacementKeepers {
    pub(crate) leader: HostId,
    /// The keeper that takes over while the leader is unresponsive.
    pub(crate) deputy: Option<HostId>,
}

impl Handler<GetPlacementKeepers> for Keeper {
    type Return = Option<PlacementKeepers>;

    async fn handle(&mut self, _: GetPlacementKeepers, _: &mut Context<Self>) -> Self::Return {
        let leader = self.leader_host()?;
        let deputy = self.replica.as_ref()?.deputy(now_ms());
        Some(PlacementKeepers { leader, deputy: deputy.map(|id| HostId::new(id.host.clone())) })
    }
}

/// Waits until this keeper hears from a leader.
pub(crate) struct FindLeader {
    /// Longest wait for a leader, in ms.
    pub(crate) wait_ms: u64,
}

impl Handler<FindLeader> for Keeper {
    type Return = oneshot::Receiver<Option<HostId>>;

    async fn handle(&mut self, find: FindLeader, context: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let requested_ms = now_ms();
        let deadline_ms = requested_ms + find.wait_ms;
        self.leader_queries.push(PendingLeaderQuery { requested_ms, deadline_ms, reply });
        self.flush(context).await;
        receiver
    }
}

/// Requests the status for operators; `Err` holds the possible leader.
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
            counts: self.machine.stats(),
            in_force: self.in_force.clone(),
        })
    }
}
