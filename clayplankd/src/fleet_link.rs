//! An entry host's link to the keepers: the plan, the upstreams, and placements.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_forward::{BoxFuture, Directory, Entry, Gate, Placer};
use clayplank_placement::{Ask, Event, Fleet, Placed, PlacementId, Renewed};
use clayplank_registry::{Changes, Cursor};
use clayplank_routes::PlanIndex;
use clayplank_state::{CodecError, Delta, EditError, PlanDocument, PlanEdit, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{FollowRequest, Followed, PlaceRequest, ReportRequest, follow_reply};
use tokio::sync::mpsc;

use crate::clock::now_ms;
use crate::contract::SharedContract;
use crate::fleet_keeper::{fleet_now_ms, set_engines};
use crate::keeper_client::{Asked, KeeperClient};
use crate::lock::lock;
use crate::logging::part;
use crate::peers::Peers;

/// Time for the leader to choose engines; a host that hears nothing chooses by itself.
const PLACE_PATIENCE: Duration = Duration::from_millis(50);

/// After a leader did not answer, this host chooses by itself for this long, in ms.
const ALONE_MS: u64 = 400;

/// Time for one exchange with the leader, its wait for news among it.
const FOLLOW_PATIENCE: Duration = Duration::from_millis(1_200);

/// Pause after a leader was not found.
const FOLLOW_PAUSE: Duration = Duration::from_millis(50);

/// Events of placements are collected for this long: one call for all that came.
const COLLECT: Duration = Duration::from_millis(15);

/// Time for the leader to take events; lost ones are made up for by the next renewal.
const REPORT_PATIENCE: Duration = Duration::from_millis(300);

/// The link, shared by all requests of the host.
pub(crate) struct FleetLink {
    life: u64,
    next: AtomicU64,
    peers: Peers,
    keepers: KeeperClient,
    local: Mutex<Fleet>,
    active: Mutex<HashMap<PlacementId, Renewed>>,
    events: mpsc::UnboundedSender<(PlacementId, Event)>,
    alone_until_ms: AtomicU64,
}

impl FleetLink {
    pub(crate) fn new(
        peers: Peers,
        keepers: KeeperClient,
    ) -> (Self, mpsc::UnboundedReceiver<(PlacementId, Event)>) {
        let (events, receiver) = mpsc::unbounded_channel();
        let link = Self {
            life: rand::random(),
            next: AtomicU64::new(0),
            peers,
            keepers,
            local: Mutex::new(Fleet::alone(rand::random())),
            active: Mutex::default(),
            events,
            alone_until_ms: AtomicU64::new(0),
        };
        (link, receiver)
    }

    async fn place_at_leader(&self, ask: &Ask) -> Option<Placed> {
        if now_ms() < self.alone_until_ms.load(Ordering::SeqCst) {
            return None;
        }
        let leader = self.keepers.leader()?;
        let request = PlaceRequest { ask: encode(ask).ok()? };
        let placed = self
            .peers
            .call(&leader, PLACE_PATIENCE, |mut client| async move { client.place(request).await })
            .await;
        match placed {
            Ok(reply) => decode(&reply.placed).ok(),
            Err(error) => {
                log::info!(target: part::MEMBERS, cause:% = error; "Chooses engines by itself");
                self.alone_until_ms.store(now_ms() + ALONE_MS, Ordering::SeqCst);
                None
            }
        }
    }

    fn note_placed(&self, ask: &Ask, placed: &Placed) {
        let Placed::At(assignment) = placed else {
            return;
        };
        let renewed =
            Renewed { ask: ask.clone(), assignment: assignment.clone(), is_started: false };
        lock(&self.active).insert(ask.id, renewed);
    }

    fn renewed(&self) -> Vec<Renewed> {
        lock(&self.active).values().cloned().collect()
    }
}

impl Placer for FleetLink {
    fn place<'a>(&'a self, ask: &'a Ask) -> BoxFuture<'a, Placed> {
        Box::pin(async move {
            let placed = match self.place_at_leader(ask).await {
                Some(placed) => placed,
                None => lock(&self.local).place(fleet_now_ms(), ask),
            };
            self.note_placed(ask, &placed);
            let own = self.renewed();
            lock(&self.local).renew(fleet_now_ms(), self.life, &own);
            placed
        })
    }

    fn note(&self, id: PlacementId, event: Event) {
        lock(&self.local).note(fleet_now_ms(), id, event);
        match event {
            Event::Started { .. } => {
                if let Some(renewed) = lock(&self.active).get_mut(&id) {
                    renewed.is_started = true;
                }
            }
            Event::Ended | Event::Failed | Event::HelperFailed { .. } => {
                lock(&self.active).remove(&id);
            }
        }
        self.events.send((id, event)).ok();
    }

    fn next_id(&self) -> PlacementId {
        let number = self.next.fetch_add(1, Ordering::SeqCst);
        PlacementId { host: self.life, number }
    }
}

/// Tells the leader what became of placements.
pub(crate) async fn run_reports(
    link: Arc<FleetLink>,
    mut events: mpsc::UnboundedReceiver<(PlacementId, Event)>,
) {
    while let Some(first) = events.recv().await {
        tokio::time::sleep(COLLECT).await;
        let mut batch = vec![first];
        while let Ok(event) = events.try_recv() {
            batch.push(event);
        }
        let (Some(leader), Ok(events)) = (link.keepers.leader(), encode(&batch)) else {
            continue;
        };
        let request = ReportRequest { events };
        let told = link
            .peers
            .call(
                &leader,
                REPORT_PATIENCE,
                |mut client| async move { client.report(request).await },
            )
            .await;
        if let Err(error) = told {
            log::debug!(target: part::MEMBERS, "Events of placements were lost: {error}.");
        }
    }
}

/// What an entry host follows.
pub(crate) struct Following {
    pub(crate) host: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) link: Arc<FleetLink>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) entry: Arc<Entry>,
}

/// Up to where a host follows the keepers.
#[derive(Clone, Debug, Default)]
struct Position {
    revision: u64,
    cursor: Cursor,
    /// The plan in force here; version 0 before the first.
    plan: PlanDocument,
    /// A registry of another life may lack what this host knows.
    tells_known: bool,
}

/// Follows the leading keeper until the task is dropped.
pub(crate) async fn run_following(following: Following) {
    let mut position = Position::default();
    let mut lost_at_ms = None;
    loop {
        match following.ask(&position).await {
            Some((followed, asked_ms)) => {
                following.apply(&mut position, &followed, asked_ms);
                if let Some(lost_at_ms) = lost_at_ms.take() {
                    log::info!(target: part::SETTINGS,
                        version = position.plan.version, lost_ms = now_ms() - lost_at_ms;
                        "The plan is confirmed again");
                }
            }
            None => {
                lost_at_ms.get_or_insert_with(now_ms);
                tokio::time::sleep(FOLLOW_PAUSE).await;
            }
        }
    }
}

impl Following {
    /// One exchange with the leader, and when it was asked: the lease counts from there.
    async fn ask(&self, position: &Position) -> Option<(Followed, u64)> {
        let records = if position.tells_known { self.directory.records() } else { Vec::new() };
        let known: Vec<_> = records.into_iter().map(|record| record.heartbeat).collect();
        let known = encode(&known).ok()?;
        let renewed = encode(&self.link.renewed()).ok()?;
        let cursor = encode(&position.cursor).ok()?;
        let answer = self.link.keepers.ask(FOLLOW_PATIENCE, |peers, keeper, left| {
            let request = FollowRequest {
                from_host: self.host.to_string(),
                life: self.link.life,
                applied_revision: position.revision,
                plan_version: position.plan.version,
                cursor: cursor.clone(),
                renewed: renewed.clone(),
                known: known.clone(),
            };
            let asked_ms = now_ms();
            async move {
                let call = peers
                    .call(&keeper, left, |mut client| async move { client.follow(request).await });
                Ok(match call.await?.result {
                    Some(follow_reply::Result::Followed(followed)) => {
                        Asked::Answer((followed, asked_ms))
                    }
                    Some(follow_reply::Result::NotLeaderHint(hint)) => Asked::NotLeader(hint),
                    None => Asked::Again,
                })
            }
        });
        match answer.await {
            Ok(answer) => Some(answer),
            Err(error) => {
                log::warn!(target: part::SETTINGS, cause:% = error; "The plan is not confirmed");
                None
            }
        }
    }

    fn apply(&self, position: &mut Position, followed: &Followed, asked_ms: u64) {
        let (Ok(delta), Ok(changes)) =
            (decode::<Delta>(&followed.delta), decode::<Changes>(&followed.changes))
        else {
            log::error!(target: part::SETTINGS, "The leader's answer cannot be read.");
            return;
        };
        let plan = match new_plan(position, &delta, &followed.plan_edit) {
            Ok(plan) => plan,
            Err(error) => {
                log::warn!(target: part::SETTINGS, cause:% = error; "Asks for the whole plan");
                position.plan = PlanDocument::default();
                return;
            }
        };
        let has_news = plan.is_some() || !changes.records.is_empty();
        if let Some(plan) = plan {
            if !self.put_in_force(&plan) {
                return;
            }
            position.plan = plan;
        }
        self.directory.apply(changes.records);
        if has_news {
            self.update_engines();
        }
        self.gate.confirm(asked_ms);
        self.entry.set_hosts(followed.entry_hosts);
        self.link.keepers.learn(followed.keepers.iter().map(HostId::new));
        position.tells_known =
            position.cursor.life != 0 && position.cursor.life != changes.cursor.life;
        position.cursor = changes.cursor;
        position.revision = delta.revision;
    }

    /// Puts a plan in force; whether it could be read.
    fn put_in_force(&self, document: &PlanDocument) -> bool {
        let version = document.version;
        match self.contract.parse_plan(&document.text) {
            Ok(plan) => {
                log::info!(target: part::SETTINGS, version = version; "A plan is in force");
                self.gate.set_plan(PlanIndex::new(plan));
                true
            }
            Err(faults) => {
                log::error!(target: part::SETTINGS, "Plan {version} cannot be read: {faults}");
                false
            }
        }
    }

    fn update_engines(&self) {
        if let Some(plan) = self.gate.plan() {
            set_engines(&mut lock(&self.link.local), &plan, &self.directory.records());
        }
    }
}

/// The plan that an answer brings, whole or as an edit of the one that is held.
fn new_plan(
    position: &Position,
    delta: &Delta,
    plan_edit: &[u8],
) -> Result<Option<PlanDocument>, EditFault> {
    if plan_edit.is_empty() {
        return Ok(delta.plan.clone());
    }
    let edit: PlanEdit = decode(plan_edit)?;
    Ok(Some(edit.apply(&position.plan)?))
}

/// Why an edit of the plan is of no use.
#[derive(Debug, thiserror::Error)]
enum EditFault {
    #[error(transparent)]
    Unreadable(#[from] CodecError),
    #[error(transparent)]
    Unfit(#[from] EditError),
}
