//! Placement of prompts for an entry host: by the leader of the keepers, by its deputy while the
//! leader is unresponsive, or locally if neither answers.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{BoxFuture, PermitReply, Placer};
use clayplank_placement::{
    Event, Fleet, PlacementId, PlacementOutcome, PlacementRequest, RunningPlacement,
};
use clayplank_registry::{LimitObservation, Record};
use clayplank_routes::PlanIndex;
use clayplank_state::{decode, encode};
use clayplank_turns::{
    AWAIT_TIMEOUT_MS, Decisions, TurnKeepers, WaitingTurns, await_turn, run_await_loop,
};
use clayplank_types::{DataCentre, HostId};
use clayplank_wire::{AwaitTurnsRequest, PlaceRequest, TakeTurnReply, TakeTurnRequest};
use tokio::sync::{mpsc, watch};

use crate::fleet::fleet_engines::{set_cordoned, set_engines, update_engines};
use crate::fleet::unreachable::Unreachable;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, monotonic_now_ms, now_ms};
use crate::process::lock::lock_ignoring_poison;
use crate::process::logging::log_target;
use crate::process::peers::Peers;

/// Time-out of a placement or permit request to a keeper. Without an answer, the host decides by
/// itself.
const PLACE_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which a keeper that did not answer is not queried, in ms. It ends early when another
/// leader is found: elections take about half a second.
const KEEPER_BACKOFF_MS: u64 = 400;

/// Time-out of a call that awaits decisions on queued requests.
const AWAIT_TIMEOUT: Duration = Duration::from_millis(AWAIT_TIMEOUT_MS);

/// Receiving ends of the queues of a link, whose contents are reported to the keepers.
#[derive(Debug)]
pub(crate) struct Reports {
    pub(crate) events: mpsc::UnboundedReceiver<(PlacementId, Event)>,
    pub(crate) limits: mpsc::UnboundedReceiver<LimitObservation>,
}

/// Link of an entry host to the keepers that place its prompts, shared by all its requests.
pub(crate) struct PlacementClient {
    /// Incarnation of the host in the ids of its placements: a random number chosen at its start.
    incarnation: u64,
    next_number: AtomicU64,
    peers: Peers,
    keepers: KeeperClient,
    /// Engines as known to this host, for placements while no keeper answers.
    local_fleet: Mutex<Fleet>,
    /// Placements of this host that are still running.
    active: Mutex<HashMap<PlacementId, RunningPlacement>>,
    events: mpsc::UnboundedSender<(PlacementId, Event)>,
    limits: mpsc::UnboundedSender<LimitObservation>,
    leader_unresponsive_until_ms: AtomicU64,
    deputy_unresponsive_until_ms: AtomicU64,
    unreachable: Mutex<Unreachable>,
    /// Requests of this host in the queue of the keeper that places prompts.
    turns: WaitingTurns,
}

impl PlacementClient {
    pub(crate) fn new(peers: Peers, keepers: KeeperClient) -> (Self, Reports) {
        let (events, event_receiver) = mpsc::unbounded_channel();
        let (limits, limit_receiver) = mpsc::unbounded_channel();
        let placement_client = Self {
            incarnation: rand::random(),
            next_number: AtomicU64::new(0),
            peers,
            keepers,
            local_fleet: Mutex::new(Fleet::standalone(rand::random())),
            active: Mutex::default(),
            events,
            limits,
            leader_unresponsive_until_ms: AtomicU64::new(0),
            deputy_unresponsive_until_ms: AtomicU64::new(0),
            unreachable: Mutex::default(),
            turns: WaitingTurns::default(),
        };
        (placement_client, Reports { events: event_receiver, limits: limit_receiver })
    }

    /// Sends a placement request to the leader, then to its deputy if the leader does not answer.
    /// Returns the answer and the keeper that gave it; `None` if neither answers.
    async fn place_at_leader_or_deputy(
        &self,
        placement_request: &PlacementRequest,
    ) -> Option<(HostId, PlacementOutcome)> {
        if let Some(leader) = self.keepers.leader()
            && let Some(placed) =
                self.place_at(&leader, &self.leader_unresponsive_until_ms, placement_request).await
        {
            return Some((leader, placed));
        }
        self.keepers.suspect_leader();
        let deputy = self.keepers.deputy()?;
        let placed =
            self.place_at(&deputy, &self.deputy_unresponsive_until_ms, placement_request).await?;
        Some((deputy, placed))
    }

    /// Places a prompt at a keeper or locally, and registers one that a keeper has queued.
    async fn place_or_queue(&self, placement_request: &PlacementRequest) -> PlacementOutcome {
        let asked = self.turns.ask(self, placement_request);
        let (keeper, placed) = match self.place_at_leader_or_deputy(placement_request).await {
            Some((keeper, placed)) => (Some(keeper), placed),
            None => (None, self.place_locally(placement_request)),
        };
        self.record_placement(placement_request, &placed);
        match (asked, keeper, &placed) {
            (Some(asked), Some(keeper), PlacementOutcome::Queued { .. }) => {
                asked.set_queued(keeper);
            }
            (Some(asked), _, _) => asked.set_decided(),
            (None, _, _) => {}
        }
        placed
    }

    /// Updates the local fleet from the placements of this host, for the time without keepers.
    fn sync_local_fleet(&self) {
        let running = self.running_placements();
        lock_ignoring_poison(&self.local_fleet).sync_host(
            monotonic_now_ms(),
            self.incarnation,
            &running,
        );
    }

    /// Sends a placement request to one keeper. `None` if it does not answer, and until the end of
    /// its backoff.
    async fn place_at(
        &self,
        keeper: &HostId,
        unresponsive_until_ms: &AtomicU64,
        placement_request: &PlacementRequest,
    ) -> Option<PlacementOutcome> {
        if now_ms() < unresponsive_until_ms.load(Ordering::SeqCst) {
            return None;
        }
        let request = PlaceRequest { ask: encode(placement_request).ok()? };
        let placed = self
            .peers
            .call(keeper, PLACE_TIMEOUT, |mut client| async move { client.place(request).await })
            .await;
        match placed {
            Ok(reply) => decode(&reply.placed).ok(),
            Err(error) => {
                log::info!(target: log_target::MEMBERS,
                    keeper = keeper.as_str(), cause:% = error;
                    "A keeper does not choose engines");
                unresponsive_until_ms.store(now_ms() + KEEPER_BACKOFF_MS, Ordering::SeqCst);
                None
            }
        }
    }

    /// Requests a permit to send to a rate-limited upstream, from the keeper that places prompts.
    /// `None` if it does not answer.
    async fn request_permit(
        &self,
        limit: &LimitObservation,
        max_wait: Duration,
    ) -> Option<TakeTurnReply> {
        let request = TakeTurnRequest {
            limit: encode(&limit.to_aged(now_ms())).ok()?,
            patience_ms: max_wait.as_millis() as u64,
        };
        let keeper = self.placing_keeper()?;
        let call = self.peers.call(&keeper, PLACE_TIMEOUT, |mut client| async move {
            client.take_turn(request).await
        });
        match call.await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::info!(target: log_target::MEMBERS,
                    keeper = keeper.as_str(), cause:% = error;
                    "A keeper did not answer a request for a permit");
                None
            }
        }
    }

    /// The keeper that places prompts now: the leader, or its deputy while the leader is
    /// unresponsive. Events go to it too: without them, the deputy would know as little of the load
    /// as a host that places by itself.
    pub(crate) fn placing_keeper(&self) -> Option<HostId> {
        let is_unresponsive = now_ms() < self.leader_unresponsive_until_ms.load(Ordering::SeqCst);
        if is_unresponsive { self.keepers.deputy() } else { self.keepers.leader() }
    }

    /// Subscribes to the found leader and its changes.
    pub(crate) fn subscribe_leader(&self) -> watch::Receiver<Option<HostId>> {
        self.keepers.subscribe_leader()
    }

    fn place_locally(&self, placement_request: &PlacementRequest) -> PlacementOutcome {
        log::info!(target: log_target::MEMBERS, prompt_tokens = placement_request.prompt_tokens; "Chooses engines by itself");
        lock_ignoring_poison(&self.local_fleet).place(monotonic_now_ms(), placement_request)
    }

    /// Returns the request with the engines that this host failed to connect to recently excluded.
    fn without_unreachable(&self, placement_request: &PlacementRequest) -> PlacementRequest {
        let mut placement_request = placement_request.clone();
        for (engine, left_ms) in lock_ignoring_poison(&self.unreachable).engines(now_ms()) {
            placement_request.avoid_for(engine.clone(), left_ms as f64);
        }
        placement_request
    }

    /// Avoids the engine of a placement for a while, after a failed connection.
    fn avoid_engine(&self, id: PlacementId) {
        let active = lock_ignoring_poison(&self.active);
        if let Some(running) = active.get(&id) {
            lock_ignoring_poison(&self.unreachable)
                .insert(now_ms(), running.assignment.engine.clone());
        }
    }

    /// Records a placement until it ends, so that a new leader can be told of it.
    fn record_placement(&self, placement_request: &PlacementRequest, placed: &PlacementOutcome) {
        let PlacementOutcome::At(assignment) = placed else {
            return;
        };
        let running = RunningPlacement {
            ask: placement_request.clone(),
            assignment: assignment.clone(),
            is_started: false,
        };
        lock_ignoring_poison(&self.active).insert(placement_request.id, running);
    }

    /// Incarnation of this host in the ids of its placements.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Placements that are still running, for the periodic renewal at the leader.
    pub(crate) fn running_placements(&self) -> Vec<RunningPlacement> {
        lock_ignoring_poison(&self.active).values().cloned().collect()
    }

    /// Adds or updates some of the engines for local placement.
    pub(crate) fn update_engines(&self, plan: &PlanIndex, records: &[Record]) {
        update_engines(&mut lock_ignoring_poison(&self.local_fleet), plan, records);
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Applies the rate limit that an engine named, or its lifting, to local placement.
    pub(crate) fn set_declared_limit(&self, observed: &LimitObservation) {
        lock_ignoring_poison(&self.local_fleet)
            .set_declared_limit(&observed.upstream, observed.requests_per_s);
    }

    /// Queues a limit for the report to the keeper that places prompts.
    pub(crate) fn report_limit(&self, observed: LimitObservation) {
        self.limits.send(observed).ok();
    }

    /// Excludes the engines of cordoned data centres from local placement.
    pub(crate) fn set_cordoned(&self, plan: &PlanIndex, cordoned: &BTreeSet<DataCentre>) {
        set_cordoned(&mut lock_ignoring_poison(&self.local_fleet), plan, cordoned);
    }

    /// Sets the number of hosts that may place locally at the same time.
    pub(crate) fn set_host_count(&self, hosts: u64) {
        lock_ignoring_poison(&self.local_fleet).set_hosts(hosts);
    }

    /// Replaces the engines for local placement.
    pub(crate) fn set_engines(&self, plan: &PlanIndex, records: &[Record]) {
        set_engines(&mut lock_ignoring_poison(&self.local_fleet), plan, records);
    }
}

impl Placer for PlacementClient {
    fn place<'a>(
        &'a self,
        placement_request: &'a PlacementRequest,
    ) -> BoxFuture<'a, PlacementOutcome> {
        Box::pin(async move {
            let placement_request = self.without_unreachable(placement_request);
            let placed = self.place_or_queue(&placement_request).await;
            self.sync_local_fleet();
            placed
        })
    }

    fn await_turn<'a>(
        &'a self,
        placement_request: &'a PlacementRequest,
    ) -> BoxFuture<'a, PlacementOutcome> {
        Box::pin(async move {
            let placed = await_turn(&self.turns, self, placement_request).await;
            self.record_placement(placement_request, &placed);
            self.sync_local_fleet();
            placed
        })
    }

    fn record_event(&self, id: PlacementId, event: Event) {
        if event == Event::Unreached {
            self.avoid_engine(id);
        }
        lock_ignoring_poison(&self.local_fleet).apply_event(
            monotonic_now_ms(),
            id,
            local_event(event),
        );
        match event {
            Event::Started { .. } => {
                if let Some(running) = lock_ignoring_poison(&self.active).get_mut(&id) {
                    running.is_started = true;
                }
            }
            Event::Ended
            | Event::Failed
            | Event::Broken
            | Event::Unreached
            | Event::HelperFailed { .. } => {
                lock_ignoring_poison(&self.active).remove(&id);
            }
        }
        self.events.send((id, event)).ok();
    }

    fn record_limit(&self, observed: &LimitObservation) {
        self.set_declared_limit(observed);
        self.report_limit(observed.clone());
    }

    fn request_permit<'a>(
        &'a self,
        limit: &'a LimitObservation,
        max_wait: Duration,
    ) -> BoxFuture<'a, PermitReply> {
        Box::pin(async move {
            match self.request_permit(limit, max_wait).await {
                Some(reply) if reply.is_taken => PermitReply::After(millis(reply.wait_ms)),
                Some(reply) => PermitReply::NotBefore(millis(reply.wait_ms)),
                None => PermitReply::Unknown,
            }
        })
    }

    fn next_id(&self) -> PlacementId {
        let number = self.next_number.fetch_add(1, Ordering::SeqCst);
        PlacementId { host: self.incarnation, number }
    }
}

impl TurnKeepers for PlacementClient {
    fn placing_keepers(&self) -> Vec<HostId> {
        self.keepers.leader().into_iter().chain(self.keepers.deputy()).collect()
    }

    async fn wait_for_other_leader(&self) {
        let mut leader_changes = self.keepers.subscribe_leader();
        if leader_changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    async fn call_keeper(&self, keeper: &HostId, queued: &[PlacementRequest]) -> Option<Decisions> {
        let queued = match encode(&queued) {
            Ok(queued) => queued,
            Err(error) => {
                log::error!(target: log_target::MEMBERS, "Failed to encode queued requests: {error}.");
                return None;
            }
        };
        let request = AwaitTurnsRequest { life: self.incarnation, queued };
        let reply =
            self.peers
                .call(keeper, AWAIT_TIMEOUT, |mut client| async move {
                    client.await_turns(request).await
                })
                .await
                .map_err(|error| error.to_string())
                .and_then(|reply| decode(&reply.decisions).map_err(|error| error.to_string()));
        match reply {
            Ok(decisions) => Some(decisions),
            Err(cause) => {
                log::info!(target: log_target::MEMBERS, keeper = keeper.as_str(), cause = cause;
                    "A keeper does not decide on queued requests");
                None
            }
        }
    }

    fn record_unanswered(&self, keeper: &HostId) {
        let until_ms = now_ms() + KEEPER_BACKOFF_MS;
        if self.keepers.leader().as_ref() == Some(keeper) {
            self.leader_unresponsive_until_ms.store(until_ms, Ordering::SeqCst);
            self.keepers.suspect_leader();
        } else if self.keepers.deputy().as_ref() == Some(keeper) {
            self.deputy_unresponsive_until_ms.store(until_ms, Ordering::SeqCst);
        }
    }

    fn decide_locally(&self, request: &PlacementRequest) -> PlacementOutcome {
        self.place_locally(request)
    }

    fn report_ended(&self, id: PlacementId) {
        self.record_event(id, Event::Ended);
    }

    fn record_unexpected(&self, id: PlacementId, outcome: &PlacementOutcome) {
        // An id that runs here was placed by another keeper meanwhile, and its end would be the end
        // of that placement. The renewal of placements corrects the keeper.
        let is_placed = matches!(outcome, PlacementOutcome::At(_));
        if is_placed && !lock_ignoring_poison(&self.active).contains_key(&id) {
            self.record_event(id, Event::Ended);
        }
    }
}

/// Awaits the decisions on the queued requests of this host.
pub(crate) async fn run_awaited_turns(placement_client: Arc<PlacementClient>) {
    run_await_loop(&placement_client.turns, &*placement_client).await;
}

/// Converts an event for local placement. A host does not probe engines, so a lost engine counts as
/// a plain failure there; [`Unreachable`] excludes unreachable engines for a while instead.
fn local_event(event: Event) -> Event {
    match event {
        Event::Unreached | Event::Broken => Event::Failed,
        Event::Started { .. } | Event::Ended | Event::Failed | Event::HelperFailed { .. } => event,
    }
}

/// Ends the backoff of both keepers as soon as another leader is found.
pub(crate) async fn run_backoff_reset(placement_client: Arc<PlacementClient>) {
    let mut leader_changes = placement_client.keepers.subscribe_leader();
    while leader_changes.changed().await.is_ok() {
        placement_client.leader_unresponsive_until_ms.store(0, Ordering::SeqCst);
        placement_client.deputy_unresponsive_until_ms.store(0, Ordering::SeqCst);
    }
}
