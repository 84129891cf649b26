//! What a keeper is asked, and what it replies.

use std::collections::BTreeMap;

use clayplank_agreement::{
    BlankKeeper, Change, Configuration, Envelope, Introduction, Replica, ReplicaId, StoredState,
};
use clayplank_state::{Body, Command, Counts, Delta, Reply, encode};
use clayplank_types::HostId;
use serde::Serialize;
use tokio::sync::oneshot;
use xtra::{Context, Handler};

use crate::keepers::keeper::{Keeper, PendingCommand, PendingLeader, PendingWatch};
use crate::process::clock::{now_ms, wall_ms};
use crate::process::logging::part;

/// A watch without news is confirmed after this time, in ms.
pub(crate) const WATCH_WAIT_MS: u64 = 1_000;

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

/// Lets time pass.
pub(crate) struct Tick;

impl Handler<Tick> for Keeper {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        if let Some(replica) = &mut self.replica {
            replica.tick(now_ms());
            if let Some(change) = replica.keep_members(now_ms()) {
                log_change(&change, "the members need it");
            }
        }
        self.flush(context).await;
    }
}

fn log_change(change: &Change, cause: &str) {
    log::info!(target: part::KEEPER, change:% = change, cause = cause; "Changes the keepers' members");
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

/// What changed after a revision, as far as it is applied here, confirmed or not.
pub(crate) struct DeltaAfter(pub(crate) u64);

impl Handler<DeltaAfter> for Keeper {
    type Return = Delta;

    async fn handle(&mut self, after: DeltaAfter, _: &mut Context<Self>) -> Self::Return {
        self.machine.delta_after(after.0)
    }
}

/// Another keeper tells of itself.
pub(crate) struct Introduce(pub(crate) ReplicaId);

impl Handler<Introduce> for Keeper {
    type Return = Option<Introduction>;

    async fn handle(&mut self, introduce: Introduce, context: &mut Context<Self>) -> Self::Return {
        let identity = self.store.as_ref()?.identity().clone();
        let Some(replica) = &mut self.replica else {
            let may_begin = self.may_begin;
            return Some(Introduction::Blank(BlankKeeper { id: identity.id, may_begin }));
        };
        let members = replica.configuration().clone();
        if let Some(change) = replica.admit(&introduce.0) {
            log_change(&change, "a keeper made itself known");
            self.flush(context).await;
        }
        Some(Introduction::Member { genesis: identity.genesis.unwrap_or_default(), members })
    }
}

/// A keeper's host is about to stop.
pub(crate) struct Stopping(pub(crate) HostId);

/// Whether a host may stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum MayStop {
    /// Nothing rests on its vote any more, or nobody can take its place; or not yet.
    Known(bool),
    /// Another keeper decides; who may lead.
    NotLeader(Option<HostId>),
}

impl Handler<Stopping> for Keeper {
    type Return = MayStop;

    async fn handle(&mut self, stopping: Stopping, context: &mut Context<Self>) -> Self::Return {
        let host = stopping.0.as_str();
        let Some(replica) = &mut self.replica else {
            return MayStop::NotLeader(None);
        };
        replica.note_leaving(now_ms(), host);
        if let Some(change) = replica.keep_members(now_ms()) {
            log_change(&change, "a keeper stops");
            self.flush(context).await;
        }
        match &self.replica {
            Some(replica) if replica.may_stop(now_ms(), host) => MayStop::Known(true),
            Some(replica) if replica.is_leader() => MayStop::Known(false),
            Some(_) | None => MayStop::NotLeader(self.leader_host()),
        }
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
            // Whoever begins or joins tries again.
            Err(error) if error.is_full() => {
                log::warn!(target: part::KEEPER, cause:% = error; "The log was not begun");
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
    /// Whether it may begin a log.
    pub(crate) may_begin: bool,
    /// Whether it votes, and hears a leader: one that was taken out hears none.
    pub(crate) votes: bool,
    /// All keepers that it knows from the log.
    pub(crate) members: Vec<HostId>,
}

impl Stand {
    pub(crate) fn as_blank(&self) -> BlankKeeper {
        BlankKeeper { id: self.id.clone(), may_begin: self.may_begin }
    }
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
        Some(Stand { id, has_log: replica.is_some(), may_begin: self.may_begin, votes, members })
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

/// Who places prompts: the leader, and who does so while it is silent, if this keeper leads.
pub(crate) struct WhoPlaces;

/// The keepers that place prompts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Placing {
    pub(crate) leader: HostId,
    pub(crate) deputy: Option<HostId>,
}

impl Handler<WhoPlaces> for Keeper {
    type Return = Option<Placing>;

    async fn handle(&mut self, _: WhoPlaces, _: &mut Context<Self>) -> Self::Return {
        let leader = self.leader_host()?;
        let deputy = self.replica.as_ref()?.deputy(now_ms());
        Some(Placing { leader, deputy: deputy.map(|id| HostId::new(id.host.clone())) })
    }
}

/// Waits until a leader speaks.
pub(crate) struct FindLeader {
    /// How long to wait for it.
    pub(crate) wait_ms: u64,
}

impl Handler<FindLeader> for Keeper {
    type Return = oneshot::Receiver<Option<HostId>>;

    async fn handle(&mut self, find: FindLeader, context: &mut Context<Self>) -> Self::Return {
        let (reply, receiver) = oneshot::channel();
        let asked_ms = now_ms();
        let due_ms = asked_ms + find.wait_ms;
        self.leader_watches.push(PendingLeader { asked_ms, due_ms, reply });
        self.flush(context).await;
        receiver
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
