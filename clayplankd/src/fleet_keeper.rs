//! A keeper's soft state: registered upstreams, and the load of the engines.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use arc_swap::ArcSwapOption;
use clayplank_placement::{Ask, EngineSpec, Event, Fleet, Placed, PlacementId, Renewed};
use clayplank_registry::{Changes, Cursor, Heartbeat, Record, Registry, Standing};
use clayplank_routes::PlanIndex;
use clayplank_state::{Delta, PlanDocument, decode, encode};
use clayplank_types::{HostId, UpstreamId};
use clayplank_wire::{FollowRequest, Followed, follow_reply};
use tokio::sync::{oneshot, watch};
use tonic::Status;
use xtra::Address;

use crate::clock::{millis, now_ms};
use crate::contract::SharedContract;
use crate::keeper::Keeper;
use crate::keeper_client::KeeperClient;
use crate::keeper_messages::{Watch, Watched};
use crate::lock::lock;
use crate::logging::part;
use crate::plan_edits::PlanEdits;

/// A follower without news is confirmed after this time, in ms. A host whose
/// keeper has died finds the next one after about as long.
const FOLLOW_WAIT_MS: u64 = 500;

/// An entry host that did not follow for this long, in ms, does not share the retry budget any more.
const HOST_GONE_MS: u64 = 5_000;

/// Heartbeats that may be missing before an upstream counts as silent.
const MISSED_HEARTBEATS: u64 = 3;

/// What a late heartbeat may be late by, in ms, beside those that are missing.
const LATE_HEARTBEAT_MS: u64 = 1_500;

/// Between two looks at the age of records, in ms.
const AGE_EVERY_MS: u64 = 200;

/// The registry and the fleet of one keeper.
pub(crate) struct FleetKeeper {
    contract: SharedContract,
    keepers: KeeperClient,
    heartbeat_ms: u64,
    started_ms: u64,
    /// Whether an entry host has told which upstreams it knows.
    has_learned: AtomicBool,
    registry: Mutex<Registry>,
    /// The registry's newest change.
    changed: watch::Sender<Cursor>,
    fleet: Mutex<Fleet>,
    plan: ArcSwapOption<PlanIndex>,
    edits: Mutex<PlanEdits>,
    entry_hosts: Mutex<HashMap<HostId, u64>>,
}

/// The fleet's time: milliseconds of the runtime's clock.
pub(crate) fn fleet_now_ms() -> f64 {
    now_ms() as f64
}

impl FleetKeeper {
    pub(crate) fn new(contract: SharedContract, keepers: KeeperClient, heartbeat_ms: u64) -> Self {
        Self {
            contract,
            keepers,
            heartbeat_ms,
            started_ms: now_ms(),
            has_learned: AtomicBool::new(false),
            registry: Mutex::new(Registry::new(rand::random())),
            changed: watch::Sender::new(Cursor::default()),
            fleet: Mutex::default(),
            plan: ArcSwapOption::empty(),
            edits: Mutex::default(),
            entry_hosts: Mutex::default(),
        }
    }

    /// Takes heartbeats in, from upstreams or from other keepers.
    pub(crate) fn apply(&self, heartbeats: &[Heartbeat]) {
        let now_ms = now_ms();
        let mut registry = lock(&self.registry);
        let mut is_news = false;
        for heartbeat in heartbeats {
            if registry.apply(now_ms, heartbeat) {
                is_news = true;
                log_standing(heartbeat);
            }
        }
        drop(registry);
        if is_news {
            self.note_changed();
        }
    }

    /// Notes that an upstream left; returns what the other keepers have to know.
    pub(crate) fn leave(&self, id: &UpstreamId) -> Heartbeat {
        let gone = lock(&self.registry).leave(now_ms(), id);
        log_standing(&gone);
        self.note_changed();
        gone
    }

    fn note_changed(&self) {
        let cursor = lock(&self.registry).cursor();
        self.update_engines();
        self.changed.send_replace(cursor);
    }

    fn update_engines(&self) {
        let Some(plan) = self.plan.load_full() else {
            return;
        };
        let records: Vec<_> = lock(&self.registry).records().cloned().collect();
        set_engines(&mut lock(&self.fleet), &plan, &records);
    }

    fn set_plan(&self, document: &PlanDocument) {
        lock(&self.edits).note(document);
        match self.contract.parse_plan(&document.text) {
            Ok(plan) => {
                self.plan.store(Some(Arc::new(PlanIndex::new(plan))));
                self.update_engines();
            }
            Err(faults) => {
                log::error!(target: part::KEEPER, "Plan {} cannot be read: {faults}", document.version);
            }
        }
    }

    /// Chooses engines; `None` while too little is known of them.
    pub(crate) fn place(&self, ask: &Ask) -> Option<Placed> {
        // Every upstream has told of itself once, or this keeper would send all to a few.
        let is_young = now_ms() < self.started_ms + 2 * self.heartbeat_ms
            && !self.has_learned.load(Ordering::SeqCst);
        if is_young || self.plan.load().is_none() {
            return None;
        }
        Some(lock(&self.fleet).place(fleet_now_ms(), ask))
    }

    pub(crate) fn note(&self, events: &[(PlacementId, Event)]) {
        let mut fleet = lock(&self.fleet);
        for (id, event) in events {
            fleet.note(fleet_now_ms(), *id, *event);
        }
    }

    /// Engines that should be asked for their pace, and where they are.
    pub(crate) fn take_suspects(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let suspects = lock(&self.fleet).take_suspects(fleet_now_ms());
        let registry = lock(&self.registry);
        let address = |id: &UpstreamId| Some(registry.record(id)?.heartbeat.address);
        suspects.into_iter().filter_map(|id| Some((id.clone(), address(&id)?))).collect()
    }

    /// Takes in the pace that an engine told.
    pub(crate) fn note_pace(&self, id: &UpstreamId, pace: f64) {
        lock(&self.fleet).note_pace(fleet_now_ms(), id, pace);
    }

    pub(crate) fn contract(&self) -> &SharedContract {
        &self.contract
    }

    /// Answers an entry host when there is news, and confirms after a while that there is none.
    pub(crate) async fn follow(
        &self,
        keeper: &Address<Keeper>,
        request: FollowRequest,
    ) -> Result<follow_reply::Result, Status> {
        let cursor: Cursor = decode(&request.cursor).map_err(malformed)?;
        let renewed: Vec<Renewed> = decode(&request.renewed).map_err(malformed)?;
        let known: Vec<Heartbeat> = decode(&request.known).map_err(malformed)?;
        if !known.is_empty() {
            self.apply(&known);
            self.has_learned.store(true, Ordering::SeqCst);
        }
        let host = HostId::new(request.from_host);
        let (revision, plan_version) = (request.applied_revision, request.plan_version);
        let mut changed = self.changed.subscribe();
        let has_news = *changed.borrow_and_update() != cursor;
        let wait_ms = if has_news { 0 } else { FOLLOW_WAIT_MS };
        lock(&self.fleet).renew(fleet_now_ms(), request.life, &renewed);
        let mut watched = watch_keeper(keeper, &host, revision, wait_ms).await?;
        let answer = tokio::select! {
            answer = &mut watched => answer,
            _ = changed.changed() => watch_keeper(keeper, &host, revision, 0).await?.await,
        };
        match answer.map_err(|_| Status::unavailable("the keeper is stopping"))? {
            Watched::Delta(delta) => {
                lock(&self.entry_hosts).insert(host, now_ms());
                Ok(follow_reply::Result::Followed(self.followed(delta, plan_version, cursor)?))
            }
            Watched::NotLeader(hint) => {
                let hint = hint.map_or_else(String::new, |host| host.to_string());
                Ok(follow_reply::Result::NotLeaderHint(hint))
            }
        }
    }

    fn followed(
        &self,
        mut delta: Delta,
        plan_version: u64,
        cursor: Cursor,
    ) -> Result<Followed, Status> {
        let changes: Changes = lock(&self.registry).changes_after(cursor);
        let plan_edit = self.take_edit(&mut delta, plan_version);
        Ok(Followed {
            delta: encode(&delta).map_err(malformed)?,
            plan_edit,
            changes: encode(&changes).map_err(malformed)?,
            entry_hosts: self.count_entry_hosts(),
            keepers: self.keepers.hosts().iter().map(ToString::to_string).collect(),
        })
    }

    /// Takes the plan out of a delta if an edit says it in less; empty if none does.
    fn take_edit(&self, delta: &mut Delta, plan_version: u64) -> Vec<u8> {
        let Some(document) = &delta.plan else {
            return Vec::new();
        };
        let mut edits = lock(&self.edits);
        edits.note(document);
        let edit = edits.edit(plan_version, document);
        if edit.is_some() {
            delta.plan = None;
        }
        edit.unwrap_or_default()
    }

    fn count_entry_hosts(&self) -> u64 {
        let now_ms = now_ms();
        let mut hosts = lock(&self.entry_hosts);
        hosts.retain(|_, heard_ms| now_ms < *heard_ms + HOST_GONE_MS);
        hosts.len() as u64
    }

    /// Figures in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let upstreams = lock(&self.registry).records().count();
        let placed = lock(&self.fleet).placed_count();
        format!(
            "clayplank_keeper_upstreams {upstreams}\nclayplank_keeper_placements {placed}\nclayplank_keeper_entry_hosts {}\n",
            self.count_entry_hosts()
        )
    }
}

fn log_standing(heartbeat: &Heartbeat) {
    log::info!(target: part::KEEPER,
        upstream = heartbeat.id.as_str(), standing:? = heartbeat.standing,
        sequence = heartbeat.sequence, address:% = heartbeat.address;
        "An upstream's standing changed");
}

fn malformed<E: std::fmt::Display>(error: E) -> Status {
    Status::invalid_argument(error.to_string())
}

async fn watch_keeper(
    keeper: &Address<Keeper>,
    host: &HostId,
    applied_revision: u64,
    wait_ms: u64,
) -> Result<oneshot::Receiver<Watched>, Status> {
    let watch = Watch { host: host.clone(), applied_revision, wait_ms };
    keeper.send(watch).await.map_err(|_| Status::unavailable("the keeper is stopping"))
}

/// Sets the engines of a fleet from the plan and the registered upstreams.
pub(crate) fn set_engines(fleet: &mut Fleet, plan: &PlanIndex, records: &[Record]) {
    for record in records {
        let heartbeat = &record.heartbeat;
        let Some(model) = plan.engine_model(&heartbeat.service) else {
            continue;
        };
        let spec = EngineSpec {
            pool: heartbeat.service.clone(),
            data_centre: heartbeat.data_centre.clone(),
            model: model.clone(),
        };
        fleet.set_engine(heartbeat.id.clone(), spec, heartbeat.standing == Standing::Ready);
        fleet.set_silent(&heartbeat.id, record.is_silent);
    }
    let is_known = |id: &UpstreamId| records.iter().any(|record| record.heartbeat.id == *id);
    fleet.retain_engines(is_known);
}

/// Ages records, and follows the plan.
pub(crate) async fn run_fleet(
    fleet: Arc<FleetKeeper>,
    mut plans: watch::Receiver<Option<PlanDocument>>,
) {
    let silent_ms = MISSED_HEARTBEATS * fleet.heartbeat_ms + LATE_HEARTBEAT_MS;
    loop {
        tokio::select! {
            changed = plans.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = tokio::time::sleep(millis(AGE_EVERY_MS)) => {}
        }
        let plan = plans.borrow_and_update().clone();
        if let Some(document) = plan {
            let held = fleet.plan.load().as_ref().map(|plan| plan.plan().version);
            if held != Some(document.version) {
                fleet.set_plan(&document);
            }
        }
        let before = lock(&fleet.registry).cursor();
        lock(&fleet.registry).age(now_ms(), silent_ms);
        lock(&fleet.fleet).drop_lost(fleet_now_ms());
        if lock(&fleet.registry).cursor() != before {
            fleet.note_changed();
        }
    }
}
