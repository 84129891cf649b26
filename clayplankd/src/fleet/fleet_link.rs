//! An entry host's placements: chosen by the leading keeper, by another one while it is silent, or
//! here if none answers.

use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{BoxFuture, Placer, Turn};
use clayplank_placement::{Ask, Event, Fleet, Placed, PlacementId, Renewed};
use clayplank_registry::{ObservedLimit, Record};
use clayplank_routes::PlanIndex;
use clayplank_state::{decode, encode};
use clayplank_types::{DataCentre, HostId};
use clayplank_wire::{PlaceRequest, ReportRequest, TakeTurnReply, TakeTurnRequest};
use tokio::sync::mpsc;

use crate::fleet::fleet_engines::{change_engines, set_cordoned, set_engines};
use crate::fleet::unreached::Unreached;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{fleet_now_ms, millis, now_ms};
use crate::process::lock::lock;
use crate::process::logging::part;
use crate::process::peers::Peers;

/// Time for the leader to choose engines; a host that hears nothing chooses by itself.
const PLACE_PATIENCE: Duration = Duration::from_millis(50);

/// A keeper that did not answer is not asked for this long, in ms, or until another leader is
/// found: elections are over within about half a second.
const SILENT_MS: u64 = 400;

/// Events of placements are collected for this long: one call for all that came.
const COLLECT: Duration = Duration::from_millis(15);

/// Time for the leader to take events; lost ones are made up for by the next renewal.
const REPORT_PATIENCE: Duration = Duration::from_millis(300);

/// What a link has the keepers told.
#[derive(Debug)]
pub(crate) struct Reports {
    pub(crate) events: mpsc::UnboundedReceiver<(PlacementId, Event)>,
    pub(crate) limits: mpsc::UnboundedReceiver<ObservedLimit>,
}

/// The link, shared by all requests of the host.
pub(crate) struct FleetLink {
    /// This life of the host, in the ids of its placements.
    life: u64,
    next: AtomicU64,
    peers: Peers,
    keepers: KeeperClient,
    /// The fleet as far as this host sees it, for times without a leader.
    local: Mutex<Fleet>,
    /// Placements of this host that have not ended.
    active: Mutex<HashMap<PlacementId, Renewed>>,
    events: mpsc::UnboundedSender<(PlacementId, Event)>,
    limits: mpsc::UnboundedSender<ObservedLimit>,
    leader_silent_until_ms: AtomicU64,
    deputy_silent_until_ms: AtomicU64,
    unreached: Mutex<Unreached>,
}

impl FleetLink {
    pub(crate) fn new(peers: Peers, keepers: KeeperClient) -> (Self, Reports) {
        let (events, told_events) = mpsc::unbounded_channel();
        let (limits, told_limits) = mpsc::unbounded_channel();
        let link = Self {
            life: rand::random(),
            next: AtomicU64::new(0),
            peers,
            keepers,
            local: Mutex::new(Fleet::alone(rand::random())),
            active: Mutex::default(),
            events,
            limits,
            leader_silent_until_ms: AtomicU64::new(0),
            deputy_silent_until_ms: AtomicU64::new(0),
            unreached: Mutex::default(),
        };
        (link, Reports { events: told_events, limits: told_limits })
    }

    /// Asks the leader, and its deputy while the leader is silent; `None` if neither answers.
    async fn place_at_keeper(&self, ask: &Ask) -> Option<Placed> {
        if let Some(leader) = self.keepers.leader()
            && let Some(placed) = self.place_at(&leader, &self.leader_silent_until_ms, ask).await
        {
            return Some(placed);
        }
        self.keepers.doubt_leader();
        let deputy = self.keepers.deputy()?;
        self.place_at(&deputy, &self.deputy_silent_until_ms, ask).await
    }

    /// Asks a keeper; `None` if it does not answer, and for a while after that.
    async fn place_at(
        &self,
        keeper: &HostId,
        silent_until_ms: &AtomicU64,
        ask: &Ask,
    ) -> Option<Placed> {
        if now_ms() < silent_until_ms.load(Ordering::SeqCst) {
            return None;
        }
        let request = PlaceRequest { ask: encode(ask).ok()? };
        let placed = self
            .peers
            .call(keeper, PLACE_PATIENCE, |mut client| async move { client.place(request).await })
            .await;
        match placed {
            Ok(reply) => decode(&reply.placed).ok(),
            Err(error) => {
                log::info!(target: part::MEMBERS,
                    keeper = keeper.as_str(), cause:% = error;
                    "A keeper does not choose engines");
                silent_until_ms.store(now_ms() + SILENT_MS, Ordering::SeqCst);
                None
            }
        }
    }

    /// Asks the leader for a turn, or its deputy while the leader is silent.
    async fn take_turn_at_keeper(
        &self,
        limit: &ObservedLimit,
        patience: Duration,
    ) -> Option<TakeTurnReply> {
        let request = TakeTurnRequest {
            limit: encode(&limit.to_aged(now_ms())).ok()?,
            patience_ms: patience.as_millis() as u64,
        };
        let keeper = self.placing_keeper()?;
        let call = self.peers.call(&keeper, PLACE_PATIENCE, |mut client| async move {
            client.take_turn(request).await
        });
        match call.await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::info!(target: part::MEMBERS,
                    keeper = keeper.as_str(), cause:% = error;
                    "A keeper gives no turn");
                None
            }
        }
    }

    /// The keeper that places now: the deputy while the leader is silent. Without the events of
    /// that time, the deputy would be as far off as a host that chooses alone.
    pub(crate) fn placing_keeper(&self) -> Option<HostId> {
        let is_silent = now_ms() < self.leader_silent_until_ms.load(Ordering::SeqCst);
        if is_silent { self.keepers.deputy() } else { self.keepers.leader() }
    }

    fn place_alone(&self, ask: &Ask) -> Placed {
        log::info!(target: part::MEMBERS, prompt_tokens = ask.prompt_tokens; "Chooses engines by itself");
        lock(&self.local).place(fleet_now_ms(), ask)
    }

    /// The question with the engines left out that this host could not reach lately.
    fn without_unreached(&self, ask: &Ask) -> Ask {
        let mut ask = ask.clone();
        ask.avoid.extend(lock(&self.unreached).ids(now_ms()).cloned());
        ask
    }

    /// Sends nothing more to the engine of a placement for a while.
    fn note_unreached(&self, id: PlacementId) {
        let active = lock(&self.active);
        if let Some(renewed) = active.get(&id) {
            lock(&self.unreached).note(now_ms(), renewed.assignment.engine.clone());
        }
    }

    /// Keeps a placement until it ends, so that a new leader can take it over.
    fn note_placed(&self, ask: &Ask, placed: &Placed) {
        let Placed::At(assignment) = placed else {
            return;
        };
        let renewed =
            Renewed { ask: ask.clone(), assignment: assignment.clone(), is_started: false };
        lock(&self.active).insert(ask.id, renewed);
    }

    /// The number that this life of the host has in the ids of its placements.
    pub(crate) fn life(&self) -> u64 {
        self.life
    }

    /// The placements that still run, for the leader to take over.
    pub(crate) fn renewed(&self) -> Vec<Renewed> {
        lock(&self.active).values().cloned().collect()
    }

    /// Changes some of the engines that this host may choose by itself.
    pub(crate) fn change_engines(&self, plan: &PlanIndex, records: &[Record]) {
        change_engines(&mut lock(&self.local), plan, records);
    }

    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Takes in what this host may send by itself to an engine that names a limit, or named one.
    pub(crate) fn set_named_limit(&self, observed: &ObservedLimit) {
        lock(&self.local).set_named_limit(&observed.upstream, observed.requests_per_s);
    }

    /// Has the keeper that places told of a limit.
    pub(crate) fn tell_limit(&self, observed: ObservedLimit) {
        self.limits.send(observed).ok();
    }

    /// Chooses no engines by itself in some data centres.
    pub(crate) fn set_cordoned(&self, plan: &PlanIndex, cordoned: &BTreeSet<DataCentre>) {
        set_cordoned(&mut lock(&self.local), plan, cordoned);
    }

    /// Takes in how many hosts there are that may choose by themselves.
    pub(crate) fn set_hosts(&self, hosts: u64) {
        lock(&self.local).set_hosts(hosts);
    }

    /// Sets the engines that this host may choose by itself.
    pub(crate) fn set_engines(&self, plan: &PlanIndex, records: &[Record]) {
        set_engines(&mut lock(&self.local), plan, records);
    }
}

impl Placer for FleetLink {
    fn place<'a>(&'a self, ask: &'a Ask) -> BoxFuture<'a, Placed> {
        Box::pin(async move {
            let ask = self.without_unreached(ask);
            let placed = match self.place_at_keeper(&ask).await {
                Some(placed) => placed,
                None => self.place_alone(&ask),
            };
            self.note_placed(&ask, &placed);
            let own = self.renewed();
            lock(&self.local).renew(fleet_now_ms(), self.life, &own);
            placed
        })
    }

    fn note(&self, id: PlacementId, event: Event) {
        if event == Event::Unreached {
            self.note_unreached(id);
        }
        lock(&self.local).note(fleet_now_ms(), id, own_event(event));
        match event {
            Event::Started { .. } => {
                if let Some(renewed) = lock(&self.active).get_mut(&id) {
                    renewed.is_started = true;
                }
            }
            Event::Ended
            | Event::Failed
            | Event::Broken
            | Event::Unreached
            | Event::HelperFailed { .. } => {
                lock(&self.active).remove(&id);
            }
        }
        self.events.send((id, event)).ok();
    }

    fn note_limit(&self, observed: &ObservedLimit) {
        self.set_named_limit(observed);
        self.tell_limit(observed.clone());
    }

    fn take_turn<'a>(
        &'a self,
        limit: &'a ObservedLimit,
        patience: Duration,
    ) -> BoxFuture<'a, Turn> {
        Box::pin(async move {
            match self.take_turn_at_keeper(limit, patience).await {
                Some(reply) if reply.is_taken => Turn::After(millis(reply.wait_ms)),
                Some(reply) => Turn::NotBefore(millis(reply.wait_ms)),
                None => Turn::Unknown,
            }
        })
    }

    fn next_id(&self) -> PlacementId {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        PlacementId { host: self.life, number }
    }
}

/// What a host that chooses alone learns of an event: it asks no engine for a sign of life, and
/// so keeps those that it did not reach out by [`Unreached`], for a time.
fn own_event(event: Event) -> Event {
    match event {
        Event::Unreached | Event::Broken => Event::Failed,
        Event::Started { .. } | Event::Ended | Event::Failed | Event::HelperFailed { .. } => event,
    }
}

/// Asks the leader again as soon as another one is found.
pub(crate) async fn run_return_to_leader(link: Arc<FleetLink>) {
    let mut found = link.keepers.subscribe();
    while found.changed().await.is_ok() {
        link.leader_silent_until_ms.store(0, Ordering::SeqCst);
        link.deputy_silent_until_ms.store(0, Ordering::SeqCst);
    }
}

/// Tells the keeper that places what became of placements.
pub(crate) async fn run_reports(
    link: Arc<FleetLink>,
    mut events: mpsc::UnboundedReceiver<(PlacementId, Event)>,
) {
    while let Some(first) = events.recv().await {
        clayplank_clock::sleep(COLLECT).await;
        let mut batch = vec![first];
        while let Ok(event) = events.try_recv() {
            batch.push(event);
        }
        let (Some(keeper), Ok(events)) = (link.placing_keeper(), encode(&batch)) else {
            continue;
        };
        let request = ReportRequest { events, ..ReportRequest::default() };
        let told = link
            .peers
            .call(
                &keeper,
                REPORT_PATIENCE,
                |mut client| async move { client.report(request).await },
            )
            .await;
        if let Err(error) = told {
            log::debug!(target: part::MEMBERS, "Events of placements were lost: {error}.");
        }
    }
}
