//! A host, its keepers and their engine as values in one process: links that fail, and an admission
//! control that places in the order of arrival.

use std::collections::{BTreeMap, BTreeSet};
use std::future::pending;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_placement::{
    Assignment, Event, PlacementId, PlacementOutcome, PlacementRequest, QueueTerms,
    RunningPlacement,
};
use clayplank_turns::{
    AWAIT_HOLD_MS, AdmissionControl, Decisions, KeeperQueue, TurnKeepers, WaitingTurns, await_turn,
    run_await_loop,
};
use clayplank_types::{Fingerprint, HostId, UpstreamId};
use tokio::sync::watch;

/// Incarnation of the host.
pub const HOST: u64 = 7;

/// Lease of a queued request, and of a placement that no call fetched, in ms.
pub const LEASE_MS: f64 = 1_000.0;

/// Interval at which the keepers examine their queues.
pub const TICK: Duration = Duration::from_millis(20);

/// Limit and deadline of all requests, in ms.
pub const LIMIT_MS: f64 = 2_000.0;
pub const DEADLINE_MS: f64 = 10_000.0;

pub fn now_ms() -> f64 {
    clayplank_clock::now_ms() as f64
}

pub fn id(number: u64) -> PlacementId {
    PlacementId { host: HOST, number }
}

pub fn request(number: u64) -> PlacementRequest {
    let mut request = PlacementRequest::new(id(number), "main", 1_000, 300.0);
    request.limit_ms = LIMIT_MS;
    request.queue_terms = Some(QueueTerms {
        fingerprint: format!("{number:032x}").parse::<Fingerprint>().unwrap(),
        account: String::new(),
        rank: 0,
        deadline_ms: DEADLINE_MS,
    });
    request
}

pub fn assignment() -> Assignment {
    Assignment { engine: UpstreamId::new("engine"), helpers: Vec::new(), first_token_ms: 50.0 }
}

/// Slots of the engine, as all keepers know them: each placement is replicated at once.
#[derive(Debug)]
pub struct Engine {
    pub slots: usize,
    pub running: BTreeSet<PlacementId>,
}

/// An admission control that places requests in the order of the times waited.
#[derive(Debug)]
pub struct Slots {
    engine: Arc<Mutex<Engine>>,
    /// Queued requests, with the time at which each was queued and the end of its lease.
    queue: BTreeMap<PlacementId, (f64, f64)>,
    /// Placements with the time until which a call must fetch them; `None` once one did.
    decided: BTreeMap<PlacementId, Option<f64>>,
}

impl Slots {
    pub fn new(engine: &Arc<Mutex<Engine>>) -> Self {
        Self { engine: Arc::clone(engine), queue: BTreeMap::new(), decided: BTreeMap::new() }
    }

    fn try_place(&self, id: PlacementId) -> bool {
        let mut engine = self.engine.lock().unwrap();
        engine.running.len() < engine.slots && engine.running.insert(id)
    }
}

impl AdmissionControl for Slots {
    fn place(&mut self, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome {
        if self.queue.is_empty() && self.try_place(request.id) {
            return PlacementOutcome::At(assignment());
        }
        self.renew(now_ms, request.id.host, std::slice::from_ref(request));
        PlacementOutcome::Queued { expected_ms: 100 }
    }

    fn renew(&mut self, now_ms: f64, _host: u64, queued: &[PlacementRequest]) {
        for request in queued.iter().filter(|one| !self.decided.contains_key(&one.id)) {
            let since_ms = now_ms - request.waited_ms;
            let entry = self.queue.entry(request.id).or_insert((since_ms, 0.0));
            entry.1 = now_ms + LEASE_MS;
        }
    }

    fn advance(&mut self, now_ms: f64) {
        self.queue.retain(|_, (_, lease_ms)| now_ms < *lease_ms);
        let unfetched = |until: &Option<f64>| until.is_some_and(|until_ms| now_ms >= until_ms);
        for (id, _) in self.decided.extract_if(.., |_, until| unfetched(until)) {
            self.engine.lock().unwrap().running.remove(&id);
        }
        let mut order: Vec<_> = self.queue.iter().map(|(id, (since, _))| (*since, *id)).collect();
        order.sort_by(|one, other| one.partial_cmp(other).unwrap());
        for (_, id) in order {
            if self.try_place(id) {
                self.queue.remove(&id);
                self.decided.insert(id, Some(now_ms + LEASE_MS));
            }
        }
    }

    fn take_decisions(&mut self, _host: u64, of: &[PlacementId]) -> Decisions {
        let mut decisions = Decisions::new();
        for id in of {
            if let Some(until) = self.decided.get_mut(id) {
                *until = None;
                decisions.push((*id, PlacementOutcome::At(assignment())));
            }
        }
        decisions
    }

    fn apply_event(&mut self, _now_ms: f64, id: PlacementId, event: Event) {
        if event == Event::Ended {
            self.queue.remove(&id);
            self.decided.remove(&id);
            self.engine.lock().unwrap().running.remove(&id);
        }
    }

    fn take_over(&mut self, _now_ms: f64, placed: &[RunningPlacement]) {
        self.engine.lock().unwrap().running.extend(placed.iter().map(|one| one.ask.id));
    }

    fn forget(&mut self) {
        self.queue.clear();
        self.decided.clear();
    }
}

/// State of a keeper and of the link to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Up,
    /// Connections are refused.
    Dead,
    /// Calls are not answered, and the keeper does nothing.
    Frozen,
    /// The next reply with a decision does not arrive.
    LosesReply,
}

pub struct Keeper {
    pub name: HostId,
    pub queue: Mutex<KeeperQueue<Slots>>,
    pub link: watch::Sender<Link>,
}

/// Keepers of the host: the first one leads at the start, and the second one is its deputy.
pub struct Keepers {
    pub all: Vec<Keeper>,
    pub engine: Arc<Mutex<Engine>>,
    leader: watch::Sender<usize>,
    calls: AtomicUsize,
    pub open_calls: AtomicUsize,
    pub max_open_calls: AtomicUsize,
    /// Requests whose end the host reported.
    pub ended: Mutex<Vec<PlacementId>>,
    /// Requests that the host decided alone.
    pub local: Mutex<Vec<PlacementId>>,
}

impl Keepers {
    fn keeper(&self, name: &HostId) -> &Keeper {
        self.all.iter().find(|keeper| keeper.name == *name).unwrap()
    }

    pub fn set_leader(&self, leader: usize) {
        self.leader.send_replace(leader);
    }

    pub fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    fn is_running(&self, id: PlacementId) -> bool {
        self.engine.lock().unwrap().running.contains(&id)
    }

    /// Ends a request at all keepers, as the report of its host and its replication do.
    pub fn end(&self, number: u64) {
        for keeper in &self.all {
            keeper.queue.lock().unwrap().apply_event(now_ms(), id(number), Event::Ended);
        }
    }

    async fn answer(&self, keeper: &Keeper, queued: &[PlacementRequest]) -> Option<Decisions> {
        let placed = |id| self.is_running(id).then(assignment);
        let call = keeper.queue.lock().unwrap().start_call(now_ms(), HOST, queued, placed);
        let hold = Duration::from_millis(AWAIT_HOLD_MS);
        let decisions = match clayplank_clock::timeout(hold, call.decisions).await {
            Ok(answer) => answer.ok()?,
            Err(_) => Decisions::new(),
        };
        if *keeper.link.borrow() == Link::LosesReply && !decisions.is_empty() {
            keeper.link.send_replace(Link::Up);
            pending::<()>().await;
        }
        Some(decisions)
    }
}

impl TurnKeepers for Keepers {
    fn placing_keepers(&self) -> Vec<HostId> {
        let leader = *self.leader.borrow();
        [leader, leader + 1].iter().filter_map(|at| Some(self.all.get(*at)?.name.clone())).collect()
    }

    async fn wait_for_other_leader(&self) {
        self.leader.subscribe().changed().await.unwrap();
    }

    async fn call_keeper(&self, keeper: &HostId, queued: &[PlacementRequest]) -> Option<Decisions> {
        struct OpenCall<'a>(&'a AtomicUsize);
        impl Drop for OpenCall<'_> {
            fn drop(&mut self) {
                self.0.fetch_sub(1, Ordering::SeqCst);
            }
        }
        self.calls.fetch_add(1, Ordering::SeqCst);
        let open = self.open_calls.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_open_calls.fetch_max(open, Ordering::SeqCst);
        let _open = OpenCall(&self.open_calls);
        let keeper = self.keeper(keeper);
        let mut link = keeper.link.subscribe();
        let is_lost = async |link: &mut watch::Receiver<Link>| {
            let lost = link.wait_for(|link| matches!(link, Link::Dead | Link::Frozen)).await;
            *lost.unwrap()
        };
        let lost = tokio::select! {
            biased;
            lost = is_lost(&mut link) => lost,
            answer = self.answer(keeper, queued) => return answer,
        };
        if lost == Link::Frozen {
            pending::<()>().await;
        }
        None
    }

    fn record_unanswered(&self, _keeper: &HostId) {}

    fn decide_locally(&self, request: &PlacementRequest) -> PlacementOutcome {
        self.local.lock().unwrap().push(request.id);
        PlacementOutcome::Full { retry_after_ms: 700 }
    }

    fn report_ended(&self, id: PlacementId) {
        self.ended.lock().unwrap().push(id);
        self.end(id.number);
    }

    fn record_unexpected(&self, id: PlacementId, _outcome: &PlacementOutcome) {
        self.report_ended(id);
    }
}

/// One entry host with its keepers.
#[derive(Clone)]
pub struct System {
    pub keepers: Arc<Keepers>,
    pub turns: Arc<WaitingTurns>,
}

impl System {
    /// Starts keepers before an engine whose slots are all taken by requests 1000, 1001 and so on.
    pub fn start(slots: usize) -> Self {
        let running = (0..slots as u64).map(|taken| id(1_000 + taken)).collect();
        let engine = Arc::new(Mutex::new(Engine { slots, running }));
        let keeper = |number: usize| Keeper {
            name: HostId::new(format!("keeper-{number}")),
            queue: Mutex::new(KeeperQueue::new(Slots::new(&engine))),
            link: watch::Sender::new(Link::Up),
        };
        let keepers = Arc::new(Keepers {
            all: (0..3).map(keeper).collect(),
            engine,
            leader: watch::Sender::new(0),
            calls: AtomicUsize::new(0),
            open_calls: AtomicUsize::new(0),
            max_open_calls: AtomicUsize::new(0),
            ended: Mutex::default(),
            local: Mutex::default(),
        });
        let turns = Arc::new(WaitingTurns::default());
        let ticking = Arc::clone(&keepers);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                for keeper in &ticking.all {
                    if !matches!(*keeper.link.borrow(), Link::Dead | Link::Frozen) {
                        keeper.queue.lock().unwrap().advance(now_ms());
                    }
                }
            }
        });
        Self { keepers, turns }
    }

    /// Starts the host's calls; ending the task freezes the host.
    pub fn start_calls(&self) -> tokio::task::JoinHandle<()> {
        let Self { keepers, turns } = self.clone();
        tokio::spawn(async move { run_await_loop(&turns, &*keepers).await })
    }

    /// Queues a request at a keeper, and returns the task that waits for its decision.
    pub fn queue_at(
        &self,
        keeper: usize,
        number: u64,
    ) -> tokio::task::JoinHandle<PlacementOutcome> {
        self.queue_request_at(keeper, request(number))
    }

    /// Like `queue_at`, with a request of its own.
    pub fn queue_request_at(
        &self,
        keeper: usize,
        request: PlacementRequest,
    ) -> tokio::task::JoinHandle<PlacementOutcome> {
        let asked = self.turns.ask(&*self.keepers, &request).unwrap();
        let keeper = &self.keepers.all[keeper];
        let placed = keeper.queue.lock().unwrap().place(now_ms(), &request);
        assert!(matches!(placed, PlacementOutcome::Queued { .. }), "{placed:?}");
        asked.set_queued(keeper.name.clone());
        let Self { keepers, turns } = self.clone();
        tokio::spawn(async move { await_turn(&turns, &*keepers, &request).await })
    }

    /// Queues a request at the leader.
    pub fn queue(&self, number: u64) -> tokio::task::JoinHandle<PlacementOutcome> {
        self.queue_at(0, number)
    }
}

/// Waits for a decision, which must come before the caller's deadline.
pub async fn decided(waiting: tokio::task::JoinHandle<PlacementOutcome>) -> PlacementOutcome {
    let deadline = Duration::from_secs_f64(DEADLINE_MS / 1e3);
    let decision = tokio::time::timeout(deadline, waiting).await;
    decision.expect("a decision before the deadline").unwrap()
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
