//! Soft state of a keeper: registered upstreams, their rate limits, and the plan in force.
//!
//! It is rebuilt from heartbeats and reports after a restart, unlike the replicated state of the
//! keepers.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

use arc_swap::ArcSwapOption;
use clayplank_connect::Connector;
use clayplank_placement::RateLimit;
use clayplank_registry::{
    AgedLimit, Buckets, Changes, Cursor, Digest, Heartbeat, LimitChanges, LimitObservation,
    LimitUpdateResult, Limits, Registry, UpstreamStatus,
};
use clayplank_routes::PlanIndex;
use clayplank_state::{Delta, PackError, PlanDocument, pack};
use clayplank_types::{DataCentre, HostId, UpstreamId};
use tokio::sync::watch;

use crate::doors::contract::{EngineLoadReport, SharedContract};
use crate::fleet::host_counts::HostCounts;
use crate::fleet::placement_keeper::PlacementKeeper;
use crate::fleet::saved_upstreams::SaveProgress;
use crate::fleet::tunnel_hosts::TunnelHostRegistry;
use crate::follow::packed_changes::PackedChanges;
use crate::follow::plan_edits::PlanEdits;
use crate::keepers::keeper::AppliedState;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, monotonic_now_ms, now_ms};
use crate::process::lock::lock_ignoring_poison;
use crate::process::logging::log_target;

/// Number of missing heartbeats after which an upstream counts as unresponsive.
const MAX_MISSED_HEARTBEATS: u64 = 3;

/// Allowance for a delayed heartbeat, in ms, in addition to the missing ones.
const MAX_HEARTBEAT_DELAY_MS: u64 = 1_500;

/// Maximum number of hosts that are queried for their known upstreams between two checks of record
/// ages.
const MAX_QUERIED_HOSTS: u64 = 4;

/// Interval between two checks of record ages, in ms.
const CHECK_INTERVAL_MS: u64 = 200;

/// Update about upstreams for one follower.
#[derive(Debug, Default)]
pub(crate) struct UpstreamUpdate {
    /// Packed [`Changes`] that the follower does not have yet.
    pub(crate) changes: Vec<u8>,
    /// Whether the follower must first send a digest of the upstreams it knows.
    pub(crate) needs_digest: bool,
    /// Digest buckets in which the follower may know more than this keeper; it is to send its
    /// records.
    pub(crate) requested_buckets: Buckets,
}

impl UpstreamUpdate {
    /// An update without changes. A follower that already knows upstreams is told to send a digest
    /// with its next request.
    pub(crate) fn without_changes(cursor: Cursor) -> Result<Self, PackError> {
        let changes = pack(&Changes { cursor, records: Vec::new() })?;
        Ok(Self { changes, needs_digest: cursor.life != 0, ..Self::default() })
    }
}

/// The registry, limits and plan of one keeper, and the placement on their engines.
pub(crate) struct FleetKeeper {
    contract: SharedContract,
    connector: Arc<Connector>,
    keepers: KeeperClient,
    heartbeat_ms: u64,
    started_ms: u64,
    /// Whether a follower knows upstreams, learned from another keeper, that are missing here.
    has_better_informed_follower: AtomicBool,
    /// Whether a follower has sent upstreams that it knows to be ready.
    has_received_follower_records: AtomicBool,
    /// Number of hosts queried since the last check of record ages.
    queried_hosts: AtomicU64,
    registry: Mutex<Registry>,
    /// Whether the registry has changes that followers were not notified of.
    has_unsent_updates: AtomicBool,
    update_pages: Mutex<PackedChanges>,
    limits: Mutex<Limits>,
    /// Send permits for rate-limited upstreams of plain services, which the fleet does not place
    /// on.
    permits: Mutex<HashMap<UpstreamId, RateLimit>>,
    /// Cursor of the registry's newest change.
    changed: watch::Sender<Cursor>,
    save_progress: SaveProgress,
    placement: Arc<PlacementKeeper>,
    /// Cursor of the last registry change that was applied to the engines of `placement`.
    engines_cursor: Mutex<Cursor>,
    plan: ArcSwapOption<PlanIndex>,
    edits: Mutex<PlanEdits>,
    entry_hosts: Mutex<HostCounts>,
    tunnel_hosts: Mutex<TunnelHostRegistry>,
}

impl FleetKeeper {
    pub(crate) fn new(
        contract: SharedContract,
        connector: Arc<Connector>,
        keepers: KeeperClient,
        heartbeat_ms: u64,
    ) -> Self {
        Self {
            contract,
            connector,
            keepers,
            heartbeat_ms,
            started_ms: now_ms(),
            has_better_informed_follower: AtomicBool::new(false),
            has_received_follower_records: AtomicBool::new(false),
            queried_hosts: AtomicU64::new(0),
            registry: Mutex::new(Registry::new(rand::random())),
            has_unsent_updates: AtomicBool::new(false),
            update_pages: Mutex::default(),
            limits: Mutex::new(Limits::new(rand::random())),
            permits: Mutex::default(),
            changed: watch::Sender::new(Cursor::default()),
            save_progress: SaveProgress::default(),
            placement: Arc::default(),
            engines_cursor: Mutex::default(),
            plan: ArcSwapOption::empty(),
            edits: Mutex::default(),
            entry_hosts: Mutex::default(),
            tunnel_hosts: Mutex::default(),
        }
    }

    /// Applies heartbeats, from upstreams or from other keepers.
    pub(crate) fn apply(&self, heartbeats: &[Heartbeat]) {
        self.placement.record_heartbeats(heartbeats.iter().map(|heartbeat| &heartbeat.id));
        let now_ms = now_ms();
        let mut registry = lock_ignoring_poison(&self.registry);
        let mut is_urgent = false;
        for heartbeat in heartbeats {
            if registry.apply(now_ms, heartbeat) {
                // Followers must learn immediately of an upstream that accepts no new work. A new
                // upstream can wait for the next check of record ages.
                is_urgent |= heartbeat.standing != UpstreamStatus::Ready;
                self.has_unsent_updates.store(true, Ordering::SeqCst);
                log_status(heartbeat);
            }
        }
        drop(registry);
        if is_urgent {
            self.notify_followers();
        }
    }

    /// Waits until the changes of upstreams that this keeper knows now are on disk.
    pub(crate) async fn wait_until_saved(&self) {
        let cursor = lock_ignoring_poison(&self.registry).cursor();
        self.save_progress.wait_until_saved(cursor).await;
    }

    pub(crate) fn save_progress(&self) -> &SaveProgress {
        &self.save_progress
    }

    /// Restores the upstreams that this keeper knew before its restart.
    pub(crate) fn restore(&self, known: &[Heartbeat]) {
        lock_ignoring_poison(&self.registry).restore(now_ms(), known);
        self.notify_followers();
    }

    /// Returns the upstreams to save, and the cursor of the newest change they include. Departed ones
    /// are saved too, so that a late heartbeat does not register them anew after a restart. `None` if
    /// nothing has changed since the cursor `saved`.
    pub(crate) fn upstreams_after(&self, saved: Cursor) -> Option<(Cursor, Vec<Heartbeat>)> {
        let registry = lock_ignoring_poison(&self.registry);
        let cursor = registry.cursor();
        if cursor == saved {
            return None;
        }
        let known = registry.records().map(|record| &record.heartbeat);
        Some((cursor, known.cloned().collect()))
    }

    /// Applies the upstreams that an entry host or another keeper sent because this keeper may know
    /// fewer.
    pub(crate) fn apply_follower_records(&self, known: &[Heartbeat]) {
        self.apply(known);
        if known.iter().any(|heartbeat| heartbeat.standing == UpstreamStatus::Ready) {
            self.has_received_follower_records.store(true, Ordering::SeqCst);
        }
    }

    /// Records that an upstream has departed. Returns the heartbeat to relay to the other keepers.
    pub(crate) fn record_departure(&self, departed: &Heartbeat) -> Heartbeat {
        let departed = lock_ignoring_poison(&self.registry).apply_departure(now_ms(), departed);
        log_status(&departed);
        self.notify_followers();
        departed
    }

    /// Notifies all followers of the unsent changes, which each of them gets in one response.
    fn notify_followers(&self) {
        self.has_unsent_updates.store(false, Ordering::SeqCst);
        self.update_engines();
        let cursor = lock_ignoring_poison(&self.registry).cursor();
        self.changed.send_replace(cursor);
    }

    /// Replaces all engines of the fleet, from the plan and the whole registry.
    fn set_engines(&self) {
        *lock_ignoring_poison(&self.engines_cursor) = Cursor::default();
        let Some(plan) = self.plan.load_full() else {
            return;
        };
        let (records, cursor) = {
            let registry = lock_ignoring_poison(&self.registry);
            (registry.records().cloned().collect::<Vec<_>>(), registry.cursor())
        };
        self.placement.set_engines(&plan, &records);
        self.restore_named_limits();
        *lock_ignoring_poison(&self.engines_cursor) = cursor;
    }

    /// Updates the engines whose records have changed. The cost grows with the number of changes,
    /// not with the number of upstreams.
    fn update_engines(&self) {
        let Some(plan) = self.plan.load_full() else {
            return;
        };
        let mut engines_cursor = lock_ignoring_poison(&self.engines_cursor);
        loop {
            let (changes, newest) = {
                let registry = lock_ignoring_poison(&self.registry);
                (registry.changes_after(*engines_cursor), registry.cursor())
            };
            self.placement.update_engines(&plan, &changes.records);
            *engines_cursor = changes.cursor;
            if changes.cursor == newest {
                return;
            }
        }
    }

    /// Applies a plan, unless its version is the current one.
    fn set_plan(&self, document: &PlanDocument) {
        let current = self.plan.load().as_ref().map(|plan| plan.plan().version);
        if current == Some(document.version) {
            return;
        }
        lock_ignoring_poison(&self.edits).record_plan(document);
        match self.contract.parse_plan(&document.text) {
            Ok(plan) => {
                self.plan.store(Some(Arc::new(PlanIndex::new(plan))));
                self.set_engines();
            }
            Err(faults) => {
                log::error!(target: log_target::KEEPER, "Cannot parse plan {}: {faults}", document.version);
            }
        }
    }

    /// Applies the set of cordoned data centres, which get no new placements.
    fn set_cordoned(&self, cordoned: &BTreeSet<DataCentre>) {
        if let Some(plan) = self.plan.load_full() {
            self.placement.set_cordoned(&plan, cordoned);
        }
    }

    /// Marks upstreams without a heartbeat for `unresponsive_after_ms` as unresponsive, removes old
    /// records and placements of failed hosts, and notifies followers of changes. Each follower
    /// thus gets one response per check, not one per upstream that registers.
    fn expire_records(&self, unresponsive_after_ms: u64) {
        self.queried_hosts.store(0, Ordering::SeqCst);
        self.placement.drop_expired();
        let (has_changed, has_removed) = {
            let now_ms = now_ms();
            let mut registry = lock_ignoring_poison(&self.registry);
            let before = registry.cursor();
            let has_removed = registry.expire(now_ms, unresponsive_after_ms);
            registry.drain_unconfirmed(now_ms, 2 * self.heartbeat_ms);
            (registry.cursor() != before, has_removed)
        };
        if has_removed {
            self.remove_unknown_limits();
            self.set_engines();
        }
        if has_changed || self.has_unsent_updates.load(Ordering::SeqCst) {
            self.notify_followers();
        }
    }

    /// Placement on the engines of this keeper. `None` while there is no plan or too few upstreams
    /// are known.
    pub(crate) fn ready_placement(&self) -> Option<&PlacementKeeper> {
        let is_ready = !self.lacks_upstreams() && self.plan.load().is_some();
        is_ready.then_some(&*self.placement)
    }

    /// Placement on the engines of this keeper, also while it is not ready to place.
    pub(crate) fn placement(&self) -> &Arc<PlacementKeeper> {
        &self.placement
    }

    /// Whether this keeper started recently and followers know upstreams that it has not received
    /// yet. It would then send all prompts to the few engines it knows. Where no follower knows
    /// more, as after a power failure, this keeper places from its start on: hosts that place by
    /// themselves would all choose the few engines heard first.
    fn lacks_upstreams(&self) -> bool {
        let is_recently_started = now_ms() < self.started_ms + 2 * self.heartbeat_ms;
        is_recently_started
            && self.has_better_informed_follower.load(Ordering::SeqCst)
            && !self.has_received_follower_records.load(Ordering::SeqCst)
    }

    /// Records the limits that upstreams named. Returns them with timestamps of the local clock.
    pub(crate) fn record_limits(&self, limits: Vec<AgedLimit>) -> Vec<LimitObservation> {
        let now_ms = now_ms();
        let named: Vec<_> =
            limits.into_iter().map(|limit| limit.into_observation(now_ms)).collect();
        for observed in &named {
            if lock_ignoring_poison(&self.limits).apply_remote(observed)
                == LimitUpdateResult::Changed
            {
                log_limit(observed);
                let limit = (&observed.upstream, observed.requests_per_s);
                self.placement.set_declared_limits([limit]);
            }
        }
        named
    }

    /// Limits of upstreams that changed after `cursor`, for a follower.
    pub(crate) fn limit_changes(&self, cursor: Cursor) -> LimitChanges {
        lock_ignoring_poison(&self.limits).changes_after(now_ms(), cursor)
    }

    /// Applies the known limits again after all engines were replaced.
    fn restore_named_limits(&self) {
        let limits = lock_ignoring_poison(&self.limits);
        self.placement.set_declared_limits(limits.iter().map(|(id, per_s)| (id, Some(per_s))));
    }

    /// Takes a permit to send to a rate-limited upstream, for a request that waits at most
    /// `max_wait_ms`. Returns the time until the permit is valid, in ms.
    ///
    /// # Errors
    /// No permit becomes available in time: the time until there is one, in ms.
    pub(crate) fn take_permit(&self, limit: AgedLimit, max_wait_ms: u64) -> Result<u64, u64> {
        let id = limit.upstream.clone();
        // The host that requests the permit may have learned of the limit before this keeper.
        self.record_limits(vec![limit]);
        let limit_per_s = lock_ignoring_poison(&self.limits).limit_per_s(&id);
        let mut permits = lock_ignoring_poison(&self.permits);
        let permit = permits.entry(id).or_default();
        permit.set_declared_limit(limit_per_s);
        let taken = permit.acquire_permit(monotonic_now_ms(), max_wait_ms as f64);
        taken.map(|wait_ms| wait_ms.ceil() as u64).map_err(|wait_ms| wait_ms.ceil() as u64)
    }

    /// Removes limits of upstreams that are no longer registered.
    fn remove_unknown_limits(&self) {
        let registry = lock_ignoring_poison(&self.registry);
        let is_known = |id: &UpstreamId| registry.record(id).is_some();
        lock_ignoring_poison(&self.limits).expire(now_ms(), is_known);
        lock_ignoring_poison(&self.permits).retain(|id, _| is_known(id));
    }

    /// Removes and returns the engines that should be queried for a load report, with their
    /// addresses.
    pub(crate) fn take_suspects(&self) -> Vec<(UpstreamId, SocketAddr)> {
        let suspects = self.placement.take_engines_to_query();
        let registry = lock_ignoring_poison(&self.registry);
        let address = |id: &UpstreamId| Some(registry.record(id)?.heartbeat.address);
        suspects.into_iter().filter_map(|id| Some((id.clone(), address(&id)?))).collect()
    }

    /// Records the load report of an engine, unless a different incarnation of the engine answered.
    pub(crate) fn record_report(&self, id: &UpstreamId, report: &EngineLoadReport) {
        if !lock_ignoring_poison(&self.registry).confirm_incarnation(now_ms(), id, report.born_ms) {
            log::info!(target: log_target::KEEPER,
                upstream = id.as_str(), answered_born_ms = report.born_ms;
                "A different incarnation of an upstream answered");
            self.notify_followers();
            return;
        }
        self.placement.record_pace(id, report.pace);
    }

    /// Opens the connections of this keeper to upstreams.
    pub(crate) fn connector(&self) -> &Connector {
        &self.connector
    }

    pub(crate) fn contract(&self) -> &SharedContract {
        &self.contract
    }

    pub(crate) fn keepers(&self) -> &KeeperClient {
        &self.keepers
    }

    /// Subscribes to the cursor of the registry's newest change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Cursor> {
        self.changed.subscribe()
    }

    /// Returns the update for a follower that knows a registry up to `cursor`. A follower of
    /// another keeper's registry sends a digest of what it knows, and only differences are
    /// transferred, in both directions.
    ///
    /// # Errors
    /// Packing the update failed.
    pub(crate) fn update_for(
        &self,
        cursor: Cursor,
        digest: Option<&Digest>,
    ) -> Result<UpstreamUpdate, PackError> {
        let registry = lock_ignoring_poison(&self.registry);
        let newest = registry.cursor();
        if cursor.life == 0 || cursor.life == newest.life {
            let read = || registry.changes_after(cursor);
            let changes =
                lock_ignoring_poison(&self.update_pages).get_or_pack(newest, cursor, read)?;
            return Ok(UpstreamUpdate { changes, ..UpstreamUpdate::default() });
        }
        let Some(digest) = digest else {
            return UpstreamUpdate::without_changes(cursor);
        };
        let (changes, buckets) = registry.changes_for_digest(digest);
        let changes = pack(&changes)?;
        if buckets.is_empty() || !self.may_query_host() {
            return Ok(UpstreamUpdate { changes, ..UpstreamUpdate::default() });
        }
        self.has_better_informed_follower.store(true, Ordering::SeqCst);
        Ok(UpstreamUpdate { changes, requested_buckets: buckets, ..UpstreamUpdate::default() })
    }

    /// Whether one more host should be queried for the upstreams it knows. Hosts know nearly the
    /// same upstreams, and heartbeats supply the rest: with 295 hosts, querying all of them would
    /// transfer the same records 295 times.
    fn may_query_host(&self) -> bool {
        let queried = self.queried_hosts.fetch_add(1, Ordering::SeqCst);
        queried < MAX_QUERIED_HOSTS
    }

    /// Digest of the registry: a few numbers that followers and keepers compare to find
    /// differences.
    pub(crate) fn digest(&self) -> Digest {
        lock_ignoring_poison(&self.registry).digest()
    }

    /// Newest heartbeats of the upstreams in the given buckets of the digest. `includes_stopped` adds
    /// all that drain or have departed.
    pub(crate) fn heartbeats_in(&self, buckets: Buckets, includes_stopped: bool) -> Vec<Heartbeat> {
        let is_included = |one: &&Heartbeat| {
            let is_stopped = one.standing != UpstreamStatus::Ready;
            buckets.contains(&one.id) || (includes_stopped && is_stopped)
        };
        let registry = lock_ignoring_poison(&self.registry);
        let heartbeats = registry.records().map(|record| &record.heartbeat);
        heartbeats.filter(is_included).cloned().collect()
    }

    /// Takes the plan out of `delta` and returns it packed: as an edit of the version
    /// `plan_version`, which the follower has, or complete if that version is no longer known here.
    /// Returns an empty vector and leaves `delta` unchanged if it has no plan or its plan is not
    /// the newest.
    pub(crate) fn take_plan_edit(&self, delta: &mut Delta, plan_version: u64) -> Vec<u8> {
        let Some(document) = &delta.plan else {
            return Vec::new();
        };
        let mut edits = lock_ignoring_poison(&self.edits);
        edits.record_plan(document);
        let edit = edits.packed_edit(plan_version, document);
        if edit.is_some() {
            delta.plan = None;
        }
        edit.unwrap_or_default()
    }

    /// Entry hosts that may open tunnels for others.
    pub(crate) fn tunnel_hosts(&self) -> MutexGuard<'_, TunnelHostRegistry> {
        lock_ignoring_poison(&self.tunnel_hosts)
    }

    /// Records a follow request of an entry host.
    pub(crate) fn record_follower(&self, host: HostId) {
        lock_ignoring_poison(&self.entry_hosts).record_local(now_ms(), host);
    }

    /// Records the number of entry hosts that follow another keeper, as that keeper reported it.
    pub(crate) fn record_peer_host_count(&self, keeper: HostId, hosts: u64) {
        lock_ignoring_poison(&self.entry_hosts).record_peer(now_ms(), keeper, hosts);
    }

    /// Records the total number of entry hosts that the leader reported.
    pub(crate) fn record_leader_host_count(&self, hosts: u64) {
        lock_ignoring_poison(&self.entry_hosts).record_leader_count(now_ms(), hosts);
    }

    /// Number of entry hosts that follow this keeper.
    pub(crate) fn count_local_followers(&self) -> u64 {
        lock_ignoring_poison(&self.entry_hosts).count_local(now_ms())
    }

    /// Number of entry hosts that follow any keeper, as far as this keeper knows.
    pub(crate) fn count_entry_hosts(&self) -> u64 {
        lock_ignoring_poison(&self.entry_hosts).count_all(now_ms())
    }

    /// Metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let upstreams = lock_ignoring_poison(&self.registry).records().count();
        let limited = lock_ignoring_poison(&self.limits).iter().count();
        format!(
            "clayplank_keeper_upstreams {upstreams}\nclayplank_keeper_limited_upstreams {limited}\n\
             clayplank_keeper_entry_hosts {}\n{}",
            self.count_entry_hosts(),
            self.placement.to_text()
        )
    }
}

fn log_status(heartbeat: &Heartbeat) {
    log::info!(target: log_target::KEEPER,
        upstream = heartbeat.id.as_str(), standing:? = heartbeat.standing,
        sequence = heartbeat.sequence, address:% = heartbeat.address,
        data_centre = heartbeat.data_centre.as_str(), cold_left_ms = heartbeat.cold_left_ms;
        "An upstream's standing changed");
}

fn log_limit(observed: &LimitObservation) {
    log::info!(target: log_target::KEEPER,
        upstream = observed.upstream.as_str(), limit_per_s = observed.requests_per_s;
        "An upstream's limit changed");
}

/// Expires records at a fixed interval, and applies the plan and cordons in force.
pub(crate) async fn run_fleet(fleet: Arc<FleetKeeper>, mut applied: watch::Receiver<AppliedState>) {
    let unresponsive_after_ms = MAX_MISSED_HEARTBEATS * fleet.heartbeat_ms + MAX_HEARTBEAT_DELAY_MS;
    loop {
        let now = applied.borrow_and_update().clone();
        if let Some(document) = &now.plan {
            fleet.set_plan(document);
        }
        fleet.set_cordoned(&now.cordoned);
        fleet.expire_records(unresponsive_after_ms);
        tokio::select! {
            changed = applied.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = clayplank_clock::sleep(millis(CHECK_INTERVAL_MS)) => {}
        }
    }
}
