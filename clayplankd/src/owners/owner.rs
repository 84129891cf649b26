//! The owner of pools: the schedulers of the pools that this host owns.

mod engine_poll;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_schedule::{
    Ask, Decision, EngineReport, EngineSpec, Grant, GrantId, HeldGrant, Holder, Policy, Scheduler,
    Totals, Usage,
};
use clayplank_settings::HostSettings;
use clayplank_types::{AttemptId, HostId, Incarnation, PoolId, Refusal, RequestId, UpstreamId};
use clayplank_upstream::{CacheEvent, EngineEdge, LoadReport};
use tokio::sync::oneshot;
use xtra::{Address, Context, Handler};

use self::engine_poll::EnginePoll;
use crate::keepers::keeper_client::KeeperClient;
use crate::owners::orders::{OrderPlan, load_adapter};
use crate::owners::pools::PoolDirectory;
use crate::owners::upstreams::UpstreamStates;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::part;
use crate::process::membership::MembersView;

const TICK: Duration = Duration::from_millis(100);

/// Engines of a pool that was taken over have reported within this time, in ms: some reports,
/// also on a host that is busy with its start.
const FIRST_REPORTS_MS: u64 = 2_000;

/// What became of an ask.
#[derive(Clone, Debug)]
pub(crate) enum Reserved {
    /// It may run.
    Granted { grant: Grant, owner: Incarnation },
    /// It does not run.
    Refused(Refusal),
    /// This host does not own the pool; who does.
    NotOwner(Option<HostId>),
}

/// An answer, and the wait in the pool.
#[derive(Clone, Debug)]
pub(crate) struct ReserveAnswer {
    pub(crate) reserved: Reserved,
    pub(crate) pool_wait_ms: u64,
}

struct OwnedPool {
    scheduler: Scheduler,
    taken_at_ms: u64,
    polls: Vec<tokio::task::JoinHandle<()>>,
}

impl OwnedPool {
    /// Whether engines of the model may only not have reported yet to their new owner.
    fn awaits_reports(&self, model: &str) -> bool {
        now_ms() < self.taken_at_ms + FIRST_REPORTS_MS && !self.scheduler.has_engine(model)
    }
}

impl Drop for OwnedPool {
    fn drop(&mut self) {
        self.polls.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

struct Waiter {
    pool: PoolId,
    attempt_id: AttemptId,
    reply: oneshot::Sender<ReserveAnswer>,
}

/// The actor.
#[derive(xtra::Actor)]
pub(crate) struct Owner {
    settings: Arc<HostSettings>,
    incarnation: Incarnation,
    members: Arc<MembersView>,
    directory: Arc<PoolDirectory>,
    upstreams: UpstreamStates,
    engines: Arc<dyn EngineEdge>,
    keepers: KeeperClient,
    pools: BTreeMap<PoolId, OwnedPool>,
    waiters: HashMap<RequestId, Waiter>,
    next_request: u64,
    /// The actor's own address, once it has started.
    own: Option<Address<Self>>,
}

impl Owner {
    pub(crate) fn new(
        settings: Arc<HostSettings>,
        incarnation: Incarnation,
        members: Arc<MembersView>,
        directory: Arc<PoolDirectory>,
        upstreams: UpstreamStates,
        engines: Arc<dyn EngineEdge>,
        keepers: KeeperClient,
    ) -> Self {
        Self {
            settings,
            incarnation,
            members,
            directory,
            upstreams,
            engines,
            keepers,
            pools: BTreeMap::new(),
            waiters: HashMap::new(),
            next_request: 0,
            own: None,
        }
    }

    /// Takes pools over and gives pools up, as the membership says.
    fn follow_membership(&mut self) {
        let directory = Arc::clone(&self.directory);
        for pool in directory.iter() {
            let is_owner = self.members.owner_of(pool).as_ref() == Some(&self.settings.host);
            match (is_owner, self.pools.contains_key(pool)) {
                (true, false) => self.take_over(pool.clone()),
                (false, true) => self.give_up(pool),
                (true, true) | (false, false) => {}
            }
        }
    }

    fn take_over(&mut self, pool: PoolId) {
        let Some(address) = self.own.clone() else {
            return;
        };
        log::info!(target: part::OWNER, "Owns pool {pool}.");
        let lease_ms = self.settings.timing.grant_lease_ms;
        let policy = Policy::builder().grant_lease_ms(lease_ms).seed(self.incarnation.0).build();
        // Each take-over is a life of its own, so that older grants are known as such.
        self.incarnation.0 += 1;
        let mut scheduler = Scheduler::new(policy).with_incarnation(self.incarnation);
        let mut polls = Vec::new();
        for engine in self.settings.engines().filter(|engine| engine.pool == pool) {
            let models = engine.models.iter().map(String::as_str);
            scheduler.add_engine(EngineSpec::new(engine.id.clone(), engine.memory_tokens, models));
            // It gets work once its report shows what it runs already.
            scheduler.note_silent(&engine.id);
            let poll = EnginePoll {
                owner: address.clone(),
                edge: Arc::clone(&self.engines),
                pool: pool.clone(),
                engine: engine.id.clone(),
                address: engine.address,
                interval: millis(self.settings.timing.load_interval_ms),
            };
            polls.push(tokio::spawn(poll.run()));
        }
        self.pools.insert(pool, OwnedPool { scheduler, taken_at_ms: now_ms(), polls });
    }

    /// Those that wait ask the new owner; grants are told to it by their holders.
    fn give_up(&mut self, pool: &PoolId) {
        log::info!(target: part::OWNER, "No longer owns pool {pool}.");
        self.pools.remove(pool);
        let owner = self.members.owner_of(pool);
        for (_, waiter) in self.waiters.extract_if(|_, waiter| waiter.pool == *pool) {
            let reserved = Reserved::NotOwner(owner.clone());
            waiter.reply.send(ReserveAnswer { reserved, pool_wait_ms: 0 }).ok();
        }
    }

    /// Carries out what a pool's scheduler decided.
    fn carry_out(&mut self, pool: &PoolId) {
        while let Some(owned) = self.pools.get_mut(pool) {
            let decisions = owned.scheduler.take_decisions();
            if decisions.is_empty() {
                return;
            }
            let owner = owned.scheduler.incarnation();
            let pool_wait_ms = owned.scheduler.totals().short_wait_ms;
            for decision in decisions {
                match decision {
                    Decision::Granted(grant) if grant.load_adapter.is_some() => {
                        self.start_load(pool, grant, owner, pool_wait_ms);
                    }
                    Decision::Granted(grant) => {
                        let request_id = grant.request_id;
                        let grant_id = grant.grant_id;
                        let answer = ReserveAnswer {
                            reserved: Reserved::Granted { grant, owner },
                            pool_wait_ms,
                        };
                        if !self.answer(request_id, answer) {
                            self.drop_grant(pool, grant_id);
                        }
                    }
                    Decision::Refused(request_id, refusal) => {
                        let answer =
                            ReserveAnswer { reserved: Reserved::Refused(refusal), pool_wait_ms };
                        self.answer(request_id, answer);
                    }
                    Decision::Cancel(engine, attempt_id) => self.start_cancel(&engine, attempt_id),
                }
            }
        }
    }

    /// Has the adapter loaded by every engine of a grant, and gives the grant then.
    fn start_load(&mut self, pool: &PoolId, grant: Grant, owner: Incarnation, pool_wait_ms: u64) {
        let (Some(waiter), Some(address)) =
            (self.waiters.remove(&grant.request_id), self.own.clone())
        else {
            return self.drop_grant(pool, grant.grant_id);
        };
        let plan = OrderPlan::new(&self.settings, &grant, &self.keepers, &self.engines);
        let pool = pool.clone();
        tokio::spawn(async move {
            let loaded = load_adapter(&plan).await;
            let (is_loaded, grant_id) = (loaded.is_ok(), grant.grant_id);
            let reserved = match loaded {
                Ok(()) => Reserved::Granted { grant, owner },
                Err(refusal) => Reserved::Refused(refusal),
            };
            let is_received = waiter.reply.send(ReserveAnswer { reserved, pool_wait_ms }).is_ok();
            let loaded = Loaded {
                pool,
                plan,
                is_loaded,
                unused: (!is_loaded || !is_received).then_some(grant_id),
            };
            address.send(loaded).await.ok();
        });
    }

    /// Whether somebody still waited for the answer.
    fn answer(&mut self, request_id: RequestId, answer: ReserveAnswer) -> bool {
        self.waiters.remove(&request_id).is_some_and(|waiter| waiter.reply.send(answer).is_ok())
    }

    /// A grant that nobody received was never used.
    fn drop_grant(&mut self, pool: &PoolId, grant_id: GrantId) {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.scheduler.finish(
                now_ms(),
                grant_id,
                Usage { engine_ended: true, ..Usage::default() },
            );
        }
    }

    fn start_cancel(&self, engine: &UpstreamId, attempt_id: AttemptId) {
        let Some(address) = self.engine_address(engine) else {
            return;
        };
        let edge = Arc::clone(&self.engines);
        let engine = engine.clone();
        tokio::spawn(async move {
            // If this fails, the memory comes back with the report that no longer lists the attempt.
            if let Err(error) = edge.cancel(address, attempt_id).await {
                log::warn!(target: part::OWNER, "Attempt {attempt_id} at {engine} was not cancelled: {error}.");
            }
        });
    }

    fn engine_address(&self, engine: &UpstreamId) -> Option<SocketAddr> {
        self.settings.engines().find(|entry| entry.id == *engine).map(|entry| entry.address)
    }

    /// Changes one pool's scheduler and carries out what follows.
    fn with_pool(&mut self, pool: &PoolId, change: impl FnOnce(&mut Scheduler)) {
        if let Some(owned) = self.pools.get_mut(pool) {
            change(&mut owned.scheduler);
            self.carry_out(pool);
        }
    }

    fn forget_absent_waiters(&mut self) {
        for (request_id, waiter) in self.waiters.extract_if(|_, waiter| waiter.reply.is_closed()) {
            log::debug!(target: part::OWNER, "Attempt {} is no longer waited for.", waiter.attempt_id);
            if let Some(owned) = self.pools.get_mut(&waiter.pool) {
                owned.scheduler.withdraw(request_id);
            }
        }
    }
}

/// Lets time pass.
struct Tick;

impl Handler<Tick> for Owner {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        self.own = context.mailbox().address().try_upgrade();
        self.follow_membership();
        self.forget_absent_waiters();
        let leaving = self.upstreams.leaving();
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.with_pool(&pool, |scheduler| {
                leaving.iter().for_each(|engine| scheduler.note_leaving(engine));
                scheduler.tick(now_ms());
            });
        }
    }
}

/// A request asks for engines of a pool.
pub(crate) struct Reserve {
    pub(crate) pool: PoolId,
    pub(crate) holder: Holder,
    /// Its `request_id` is set by the owner, and its deadline is absolute here.
    pub(crate) ask: Ask,
}

impl Handler<Reserve> for Owner {
    type Return = oneshot::Receiver<ReserveAnswer>;

    async fn handle(&mut self, reserve: Reserve, _: &mut Context<Self>) -> Self::Return {
        let Reserve { pool, holder, mut ask } = reserve;
        let (reply, receiver) = oneshot::channel();
        // One that asks too soon after the pool was taken asks again, as in a hand-over.
        if self.pools.get(&pool).is_none_or(|owned| owned.awaits_reports(&ask.model)) {
            let reserved = Reserved::NotOwner(self.members.owner_of(&pool));
            reply.send(ReserveAnswer { reserved, pool_wait_ms: 0 }).ok();
            return receiver;
        }
        self.next_request += 1;
        ask.request_id = RequestId(self.next_request);
        let waiter = Waiter { pool: pool.clone(), attempt_id: ask.attempt_id, reply };
        self.waiters.insert(ask.request_id, waiter);
        self.with_pool(&pool, |scheduler| scheduler.submit(now_ms(), holder, ask));
        receiver
    }
}

/// The first token of a grant's answer was seen.
pub(crate) struct FirstToken {
    pub(crate) pool: PoolId,
    pub(crate) owner: Incarnation,
    pub(crate) grant_id: GrantId,
}

impl Handler<FirstToken> for Owner {
    type Return = ();

    async fn handle(&mut self, first: FirstToken, _: &mut Context<Self>) {
        self.with_pool(&first.pool, |scheduler| {
            if scheduler.incarnation() == first.owner {
                scheduler.note_first_token(now_ms(), first.grant_id);
            }
        });
    }
}

/// A grant has ended.
pub(crate) struct Finish {
    pub(crate) pool: PoolId,
    pub(crate) attempt_id: AttemptId,
    pub(crate) usage: Usage,
}

impl Handler<Finish> for Owner {
    type Return = ();

    async fn handle(&mut self, finish: Finish, _: &mut Context<Self>) {
        self.with_pool(&finish.pool, |scheduler| {
            scheduler.finish_attempt(now_ms(), finish.attempt_id, finish.usage)
        });
    }
}

/// A host renews its grants, by pool.
pub(crate) struct Renew {
    pub(crate) holder: Holder,
    pub(crate) held: BTreeMap<PoolId, Vec<HeldGrant>>,
}

impl Handler<Renew> for Owner {
    type Return = ();

    async fn handle(&mut self, renew: Renew, _: &mut Context<Self>) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let held = renew.held.get(&pool).map_or(&[][..], Vec::as_slice);
            self.with_pool(&pool, |scheduler| scheduler.renew(now_ms(), &renew.holder, held));
        }
    }
}

/// An engine told of its load, or did not answer for too long.
struct Reported {
    pool: PoolId,
    engine: UpstreamId,
    report: Option<LoadReport>,
}

impl Handler<Reported> for Owner {
    type Return = ();

    async fn handle(&mut self, reported: Reported, _: &mut Context<Self>) {
        self.with_pool(&reported.pool, |scheduler| match reported.report {
            Some(report) => {
                let report = EngineReport {
                    incarnation: report.incarnation,
                    memory_tokens: report.memory_tokens,
                    running: report.running,
                    adapters: report.adapters,
                    is_leaving: report.leaving,
                };
                scheduler.report(now_ms(), &reported.engine, &report);
            }
            None => scheduler.note_silent(&reported.engine),
        });
    }
}

/// An engine told what its cache holds.
struct CacheChanged {
    pool: PoolId,
    engine: UpstreamId,
    events: Vec<CacheEvent>,
    has_gap: bool,
}

impl Handler<CacheChanged> for Owner {
    type Return = ();

    async fn handle(&mut self, changed: CacheChanged, _: &mut Context<Self>) {
        self.with_pool(&changed.pool, |scheduler| {
            if changed.has_gap {
                scheduler.note_cache_gap(&changed.engine);
            }
            for event in changed.events.iter().filter(|event| !event.stored) {
                scheduler.note_evicted(&changed.engine, event.prefix_hash);
            }
        });
    }
}

/// The engines of a grant were ordered to load an adapter.
struct Loaded {
    pool: PoolId,
    plan: OrderPlan,
    is_loaded: bool,
    /// The grant, if nobody uses it.
    unused: Option<GrantId>,
}

impl Handler<Loaded> for Owner {
    type Return = ();

    async fn handle(&mut self, loaded: Loaded, _: &mut Context<Self>) {
        self.with_pool(&loaded.pool, |scheduler| {
            for engine in loaded.plan.engines().filter(|_| loaded.is_loaded) {
                scheduler.note_adapter(engine, loaded.plan.adapter());
            }
        });
        if let Some(grant_id) = loaded.unused {
            self.drop_grant(&loaded.pool, grant_id);
        }
    }
}

/// Sums over the pools that this host owns.
pub(crate) struct PoolTotals;

impl Handler<PoolTotals> for Owner {
    type Return = Vec<(PoolId, Totals)>;

    async fn handle(&mut self, _: PoolTotals, _: &mut Context<Self>) -> Self::Return {
        self.pools.iter().map(|(pool, owned)| (pool.clone(), owned.scheduler.totals())).collect()
    }
}

/// Ticks until the actor is gone.
pub(crate) async fn run_owner(owner: Address<Owner>) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if owner.send(Tick).await.is_err() {
            return;
        }
    }
}
