//! Actor that runs the schedulers of the pools that this host owns.
//!
//! Membership assigns each pool to one host, its owner, which grants the engines of the pool to
//! requests of all entry hosts.

mod engine_poll;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_schedule::{
    Decision, EngineReport, EngineSpec, Grant, GrantHolder, GrantId, Policy, RenewedGrant,
    ReservationRequest, Scheduler, Totals, Usage,
};
use clayplank_settings::HostSettings;
use clayplank_types::{AttemptId, HostId, Incarnation, PoolId, Refusal, RequestId, UpstreamId};
use clayplank_upstream::{CacheEvent, EngineClient, LoadReport};
use tokio::sync::oneshot;
use xtra::{Address, Context, Handler};

use self::engine_poll::EnginePoll;
use crate::keepers::keeper_client::KeeperClient;
use crate::owners::commands::{AdapterLoadPlan, load_adapter};
use crate::owners::leaving_upstreams::LeavingUpstreams;
use crate::owners::pool_directory::PoolDirectory;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::log_target;
use crate::process::membership::MembersView;

/// Interval at which the owner follows membership changes and advances its schedulers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which the engines of a newly acquired pool have reported their load, in ms. It spans
/// several reports, to allow for a host that is busy with its start.
const INITIAL_REPORT_PERIOD_MS: u64 = 2_000;

/// Result of a reservation request.
#[derive(Clone, Debug)]
pub(crate) enum ReserveResult {
    /// The request may run on the engines of the grant.
    Granted { grant: Grant, owner: Incarnation },
    /// The request is refused.
    Refused(Refusal),
    /// This host does not own the pool. Names the owner, if known.
    NotOwner(Option<HostId>),
}

/// Reply to a reservation request, with the current wait in the pool in ms.
#[derive(Clone, Debug)]
pub(crate) struct ReserveResponse {
    pub(crate) reserved: ReserveResult,
    pub(crate) pool_wait_ms: u64,
}

struct OwnedPool {
    scheduler: Scheduler,
    acquired_at_ms: u64,
    poll_tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl OwnedPool {
    /// Whether the model may lack engines only because they have not reported to the new owner yet.
    fn awaits_reports(&self, model: &str) -> bool {
        now_ms() < self.acquired_at_ms + INITIAL_REPORT_PERIOD_MS
            && !self.scheduler.has_engine(model)
    }
}

impl Drop for OwnedPool {
    fn drop(&mut self) {
        self.poll_tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
}

struct Waiter {
    pool: PoolId,
    attempt_id: AttemptId,
    reply: oneshot::Sender<ReserveResponse>,
}

/// Actor that owns pools and answers reservation requests for them.
#[derive(xtra::Actor)]
pub(crate) struct Owner {
    settings: Arc<HostSettings>,
    incarnation: Incarnation,
    members: Arc<MembersView>,
    directory: Arc<PoolDirectory>,
    upstreams: LeavingUpstreams,
    engines: Arc<dyn EngineClient>,
    keepers: KeeperClient,
    pools: BTreeMap<PoolId, OwnedPool>,
    waiters: HashMap<RequestId, Waiter>,
    next_request: u64,
    /// Address of this actor; `None` until its first tick.
    self_address: Option<Address<Self>>,
}

impl Owner {
    pub(crate) fn new(
        settings: Arc<HostSettings>,
        incarnation: Incarnation,
        members: Arc<MembersView>,
        directory: Arc<PoolDirectory>,
        upstreams: LeavingUpstreams,
        engines: Arc<dyn EngineClient>,
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
            self_address: None,
        }
    }

    /// Acquires and releases pools according to the current membership.
    fn follow_membership(&mut self) {
        let directory = Arc::clone(&self.directory);
        for pool in directory.iter() {
            let is_owner = self.members.owner_of(pool).as_ref() == Some(&self.settings.host);
            match (is_owner, self.pools.contains_key(pool)) {
                (true, false) => self.acquire(pool.clone()),
                (false, true) => self.release(pool),
                (true, true) | (false, false) => {}
            }
        }
    }

    fn acquire(&mut self, pool: PoolId) {
        let Some(address) = self.self_address.clone() else {
            return;
        };
        log::info!(target: log_target::OWNER, "Owns pool {pool}.");
        let lease_ms = self.settings.timing.grant_lease_ms;
        let policy = Policy::builder().grant_lease_ms(lease_ms).seed(self.incarnation.0).build();
        // Each acquisition is a new incarnation, so that grants of earlier ones are recognized.
        self.incarnation.0 += 1;
        let mut scheduler = Scheduler::new(policy).with_incarnation(self.incarnation);
        let mut poll_tasks = Vec::new();
        for engine in self.settings.engines().filter(|engine| engine.pool == pool) {
            let models = engine.models.iter().map(String::as_str);
            scheduler.add_engine(EngineSpec::new(engine.id.clone(), engine.memory_tokens, models));
            // The engine gets work only after a report shows what it already runs.
            scheduler.mark_unresponsive(&engine.id);
            let poll = EnginePoll {
                owner: address.clone(),
                engine_client: Arc::clone(&self.engines),
                pool: pool.clone(),
                engine: engine.id.clone(),
                address: engine.address,
                interval: millis(self.settings.timing.load_interval_ms),
            };
            poll_tasks.push(tokio::spawn(poll.run()));
        }
        self.pools.insert(pool, OwnedPool { scheduler, acquired_at_ms: now_ms(), poll_tasks });
    }

    /// Releases a pool. Waiting requests get the reply [`ReserveResult::NotOwner`] and are then sent to
    /// the new owner. It learns of existing grants from their holders.
    fn release(&mut self, pool: &PoolId) {
        log::info!(target: log_target::OWNER, "No longer owns pool {pool}.");
        self.pools.remove(pool);
        let owner = self.members.owner_of(pool);
        for (_, waiter) in self.waiters.extract_if(|_, waiter| waiter.pool == *pool) {
            let reserved = ReserveResult::NotOwner(owner.clone());
            waiter.reply.send(ReserveResponse { reserved, pool_wait_ms: 0 }).ok();
        }
    }

    /// Executes the decisions of a pool's scheduler until there are no more.
    fn execute_decisions(&mut self, pool: &PoolId) {
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
                        self.start_adapter_load(pool, grant, owner, pool_wait_ms);
                    }
                    Decision::Granted(grant) => {
                        let request_id = grant.request_id;
                        let grant_id = grant.grant_id;
                        let reply = ReserveResponse {
                            reserved: ReserveResult::Granted { grant, owner },
                            pool_wait_ms,
                        };
                        if !self.reply(request_id, reply) {
                            self.cancel_unused_grant(pool, grant_id);
                        }
                    }
                    Decision::Refused(request_id, refusal) => {
                        let reply = ReserveResponse {
                            reserved: ReserveResult::Refused(refusal),
                            pool_wait_ms,
                        };
                        self.reply(request_id, reply);
                    }
                    Decision::Cancel(engine, attempt_id) => self.start_cancel(&engine, attempt_id),
                }
            }
        }
    }

    /// Starts loading the adapter on every engine of a grant, and replies with the grant once it is
    /// loaded.
    fn start_adapter_load(
        &mut self,
        pool: &PoolId,
        grant: Grant,
        owner: Incarnation,
        pool_wait_ms: u64,
    ) {
        let (Some(waiter), Some(address)) =
            (self.waiters.remove(&grant.request_id), self.self_address.clone())
        else {
            return self.cancel_unused_grant(pool, grant.grant_id);
        };
        let plan = AdapterLoadPlan::new(&self.settings, &grant, &self.keepers, &self.engines);
        let pool = pool.clone();
        tokio::spawn(async move {
            let loaded = load_adapter(&plan).await;
            let (is_loaded, grant_id) = (loaded.is_ok(), grant.grant_id);
            let reserved = match loaded {
                Ok(()) => ReserveResult::Granted { grant, owner },
                Err(refusal) => ReserveResult::Refused(refusal),
            };
            let is_received = waiter.reply.send(ReserveResponse { reserved, pool_wait_ms }).is_ok();
            let loaded = AdapterLoaded {
                pool,
                plan,
                is_loaded,
                unused_grant: (!is_loaded || !is_received).then_some(grant_id),
            };
            address.send(loaded).await.ok();
        });
    }

    /// Replies to a waiting request. Returns whether its sender still waited.
    fn reply(&mut self, request_id: RequestId, reply: ReserveResponse) -> bool {
        self.waiters.remove(&request_id).is_some_and(|waiter| waiter.reply.send(reply).is_ok())
    }

    /// Ends a grant that was never used because nobody received it.
    fn cancel_unused_grant(&mut self, pool: &PoolId, grant_id: GrantId) {
        if let Some(owned) = self.pools.get_mut(pool) {
            owned.scheduler.end_grant(
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
        let engine_client = Arc::clone(&self.engines);
        let engine = engine.clone();
        tokio::spawn(async move {
            // If this fails, the memory is released by the load report that no longer lists the
            // attempt.
            if let Err(error) = engine_client.cancel(address, attempt_id).await {
                log::warn!(target: log_target::OWNER, "Failed to cancel attempt {attempt_id} at {engine}: {error}.");
            }
        });
    }

    fn engine_address(&self, engine: &UpstreamId) -> Option<SocketAddr> {
        self.settings.engines().find(|entry| entry.id == *engine).map(|entry| entry.address)
    }

    /// Applies a change to the scheduler of an owned pool and executes the resulting decisions.
    fn with_pool(&mut self, pool: &PoolId, change: impl FnOnce(&mut Scheduler)) {
        if let Some(owned) = self.pools.get_mut(pool) {
            change(&mut owned.scheduler);
            self.execute_decisions(pool);
        }
    }

    /// Withdraws waiting requests whose sender no longer waits for a reply.
    fn withdraw_closed_waiters(&mut self) {
        for (request_id, waiter) in self.waiters.extract_if(|_, waiter| waiter.reply.is_closed()) {
            log::debug!(target: log_target::OWNER, "Withdrew attempt {}: its sender stopped waiting.", waiter.attempt_id);
            if let Some(owned) = self.pools.get_mut(&waiter.pool) {
                owned.scheduler.cancel(request_id);
            }
        }
    }
}

/// Periodic message that advances the schedulers to the current time.
struct Tick;

impl Handler<Tick> for Owner {
    type Return = ();

    async fn handle(&mut self, _: Tick, context: &mut Context<Self>) {
        self.self_address = context.mailbox().address().try_upgrade();
        self.follow_membership();
        self.withdraw_closed_waiters();
        let leaving = self.upstreams.leaving();
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            self.with_pool(&pool, |scheduler| {
                leaving.iter().for_each(|engine| scheduler.mark_draining(engine));
                scheduler.tick(now_ms());
            });
        }
    }
}

/// Message: a request for engines of a pool.
pub(crate) struct Reserve {
    pub(crate) pool: PoolId,
    pub(crate) holder: GrantHolder,
    /// The owner sets its `request_id`. Its deadline is absolute, by the local clock.
    pub(crate) request: ReservationRequest,
}

impl Handler<Reserve> for Owner {
    type Return = oneshot::Receiver<ReserveResponse>;

    async fn handle(&mut self, reserve: Reserve, _: &mut Context<Self>) -> Self::Return {
        let Reserve { pool, holder, mut request } = reserve;
        let (reply, receiver) = oneshot::channel();
        // A request that arrives too soon after the acquisition is repeated by its sender, as after
        // a change of the owner.
        if self.pools.get(&pool).is_none_or(|owned| owned.awaits_reports(&request.model)) {
            let reserved = ReserveResult::NotOwner(self.members.owner_of(&pool));
            reply.send(ReserveResponse { reserved, pool_wait_ms: 0 }).ok();
            return receiver;
        }
        self.next_request += 1;
        request.request_id = RequestId(self.next_request);
        let waiter = Waiter { pool: pool.clone(), attempt_id: request.attempt_id, reply };
        self.waiters.insert(request.request_id, waiter);
        self.with_pool(&pool, |scheduler| scheduler.submit(now_ms(), holder, request));
        receiver
    }
}

/// Message: the first token under a grant was received.
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
                scheduler.record_first_token(now_ms(), first.grant_id);
            }
        });
    }
}

/// Message: a grant has ended.
pub(crate) struct Finish {
    pub(crate) pool: PoolId,
    pub(crate) attempt_id: AttemptId,
    pub(crate) usage: Usage,
}

impl Handler<Finish> for Owner {
    type Return = ();

    async fn handle(&mut self, finish: Finish, _: &mut Context<Self>) {
        self.with_pool(&finish.pool, |scheduler| {
            scheduler.end_grant_of_attempt(now_ms(), finish.attempt_id, finish.usage)
        });
    }
}

/// Message: a host renews its grants, which are listed by pool.
pub(crate) struct Renew {
    pub(crate) holder: GrantHolder,
    pub(crate) grants_by_pool: BTreeMap<PoolId, Vec<RenewedGrant>>,
}

impl Handler<Renew> for Owner {
    type Return = ();

    async fn handle(&mut self, renew: Renew, _: &mut Context<Self>) {
        for pool in self.pools.keys().cloned().collect::<Vec<_>>() {
            let grants = renew.grants_by_pool.get(&pool).map_or(&[][..], Vec::as_slice);
            self.with_pool(&pool, |scheduler| scheduler.renew(now_ms(), &renew.holder, grants));
        }
    }
}

/// Message: the load report of an engine, or `None` if the engine is unresponsive.
struct LoadReported {
    pool: PoolId,
    engine: UpstreamId,
    report: Option<LoadReport>,
}

impl Handler<LoadReported> for Owner {
    type Return = ();

    async fn handle(&mut self, reported: LoadReported, _: &mut Context<Self>) {
        self.with_pool(&reported.pool, |scheduler| match reported.report {
            Some(report) => {
                let report = EngineReport {
                    incarnation: report.incarnation,
                    memory_tokens: report.memory_tokens,
                    running: report.running,
                    adapters: report.adapters,
                    is_draining: report.leaving,
                };
                scheduler.apply_report(now_ms(), &reported.engine, &report);
            }
            None => scheduler.mark_unresponsive(&reported.engine),
        });
    }
}

/// Message: new cache events of an engine.
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
                scheduler.invalidate_cached_prefixes(&changed.engine);
            }
            for event in changed.events.iter().filter(|event| !event.stored) {
                scheduler.record_prefix_evicted(&changed.engine, event.prefix_hash);
            }
        });
    }
}

/// Message: the adapter load for a grant has finished or failed.
struct AdapterLoaded {
    pool: PoolId,
    plan: AdapterLoadPlan,
    is_loaded: bool,
    /// The grant, if the load failed or nobody received the reply.
    unused_grant: Option<GrantId>,
}

impl Handler<AdapterLoaded> for Owner {
    type Return = ();

    async fn handle(&mut self, loaded: AdapterLoaded, _: &mut Context<Self>) {
        self.with_pool(&loaded.pool, |scheduler| {
            for engine in loaded.plan.engines().filter(|_| loaded.is_loaded) {
                scheduler.record_adapter_loaded(engine, loaded.plan.adapter());
            }
        });
        if let Some(grant_id) = loaded.unused_grant {
            self.cancel_unused_grant(&loaded.pool, grant_id);
        }
    }
}

/// Message: returns the totals of each pool that this host owns.
pub(crate) struct PoolTotals;

impl Handler<PoolTotals> for Owner {
    type Return = Vec<(PoolId, Totals)>;

    async fn handle(&mut self, _: PoolTotals, _: &mut Context<Self>) -> Self::Return {
        self.pools.iter().map(|(pool, owned)| (pool.clone(), owned.scheduler.totals())).collect()
    }
}

/// Sends ticks until the actor has stopped.
pub(crate) async fn run_owner(owner: Address<Owner>) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        if owner.send(Tick).await.is_err() {
            return;
        }
    }
}
