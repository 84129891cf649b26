//! Task of an entry host that follows a keeper: it receives the plan, the upstreams, the leader, and the
//! confirmation that all of it is up to date.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clayplank_connect::Connector;
use clayplank_forward::{Directory, Entry, Gate};
use clayplank_members::{FollowTimeouts, KeeperRanking};
use clayplank_registry::{
    Buckets, Changes, Cursor, LimitChanges, LimitUpdateResult, Record, UpstreamStatus,
};
use clayplank_routes::PlanIndex;
use clayplank_state::{
    Delta, EditError, PackError, PlanDocument, PlanEdit, decode, encode, unpack,
};
use clayplank_types::{DataCentre, HostId};
use clayplank_wire::{FollowRequest, Followed};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::doors::contract::SharedContract;
use crate::fleet::placement_client::PlacementClient;
use crate::follow::exchange::Failure;
use crate::follow::follow_metrics::{ExchangeOutcome, FollowLog, FollowMetrics};
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::log_target;

/// Maximum random pause, in ms, after the first exchange in which no keeper confirmed the plan.
const RETRY_PAUSE_MS: u64 = 100;

/// Maximum number of times that the maximum pause doubles: it does so after each further exchange without
/// a confirmation.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// The parts of an entry host that the updates of the keepers change.
pub(crate) struct FollowTask {
    pub(crate) host: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) keepers: KeeperClient,
    pub(crate) placement_client: Arc<PlacementClient>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) entry: Arc<Entry>,
    pub(crate) connector: Arc<Connector>,
    pub(crate) metrics: Arc<FollowMetrics>,
    /// Time, in ms, within which a change must be in force on this host.
    pub(crate) apply_ms: Arc<AtomicU64>,
}

/// Progress of a host in following the keepers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Position {
    /// Revision of the applied state.
    revision: u64,
    /// Cursor of the applied upstream updates.
    cursor: Cursor,
    /// The plan in force here; version 0 before the first.
    plan: PlanDocument,
    /// The keeper that answered last.
    keeper: Option<HostId>,
    /// Whether the keeper requested a digest of what this host knows.
    sends_digest: bool,
    /// Buckets of upstreams for which the keeper requested what this host knows.
    requested_buckets: Buckets,
    /// Cursor of the applied changes of upstream limits.
    limits_cursor: Cursor,
}

/// Follows the keepers until the task is dropped.
pub(crate) async fn run_follow_task(task: FollowTask) {
    let mut position = Position::default();
    let mut ranking = KeeperRanking::new(task.host.clone());
    let mut log = FollowLog::new(Arc::clone(&task.metrics));
    let mut leader_changes = task.keepers.subscribe_leader();
    let mut probes = JoinSet::new();
    let mut failed_exchanges = 0;
    loop {
        record_probes(&mut probes, &mut ranking);
        let keepers = task.keepers.keepers();
        task.metrics.set_keepers(keepers.len());
        task.start_probes(&mut probes, ranking.take_retries(now_ms(), &keepers));
        let outcome = task.exchange(&ranking.ranked(&keepers), &position).await;
        for failure in &outcome.failures {
            task.record_failure(failure, outcome.answer.is_some(), &mut ranking, &mut log);
        }
        if let Some(answer) = outcome.answer {
            failed_exchanges = 0;
            ranking.record_success(&answer.keeper);
            position.keeper = Some(answer.keeper);
            task.apply_answer(&mut position, &mut log, &answer.followed, answer.requested_ms);
            continue;
        }
        task.keepers.suspect_leader();
        let pause_ms = RETRY_PAUSE_MS << failed_exchanges.min(MAX_PAUSE_DOUBLINGS);
        failed_exchanges += 1;
        wait_for_leader(pause_ms, &mut leader_changes, &mut ranking).await;
    }
}

/// Records which of the probed keepers hear a leader.
fn record_probes(probes: &mut JoinSet<(HostId, bool)>, ranking: &mut KeeperRanking) {
    while let Some(probed) = probes.try_join_next() {
        match probed {
            Ok((keeper, true)) => ranking.record_success(&keeper),
            Ok((keeper, false)) => ranking.record_failure(now_ms(), keeper),
            // The keeper stays suspect, and is probed again.
            Err(error) => {
                log::error!(target: log_target::SETTINGS, "A keeper probe task failed: {error}")
            }
        }
    }
}

/// Waits for a random time of at most `pause_ms`, or until another leader is found. That leader is
/// cleared of suspicion, so that it can be queried at once.
async fn wait_for_leader(
    pause_ms: u64,
    leader_changes: &mut watch::Receiver<Option<HostId>>,
    ranking: &mut KeeperRanking,
) {
    let pause = clayplank_clock::sleep(millis(rand::random_range(0..pause_ms)));
    tokio::select! {
        () = pause => {}
        // The channel stays open as long as the host runs.
        _ = leader_changes.changed() => {
            if let Some(leader) = &*leader_changes.borrow_and_update() {
                ranking.record_success(leader);
            }
        }
    }
}

impl FollowTask {
    /// Time-outs of requests to keepers, derived from the time within which a change must be in force.
    pub(crate) fn times(&self) -> FollowTimeouts {
        FollowTimeouts::for_bound(self.apply_ms.load(Ordering::SeqCst))
    }

    /// Probes the suspect keepers that are due, concurrently with the followed one: whether they hear a
    /// leader.
    fn start_probes(&self, probes: &mut JoinSet<(HostId, bool)>, due: Vec<HostId>) {
        for keeper in due {
            let keepers = self.keepers.clone();
            probes.spawn(async move {
                let has_leader_contact = keepers.query_leader(&keeper).await.is_some();
                (keeper, has_leader_contact)
            });
        }
    }

    /// Records that a keeper sent no confirmed state. A keeper that hears no leader becomes suspect only if
    /// another one answered: otherwise all may lack a leader.
    fn record_failure(
        &self,
        failure: &Failure,
        has_answer: bool,
        ranking: &mut KeeperRanking,
        log: &mut FollowLog,
    ) {
        let Failure { keeper, requested_ms, outcome, cause } = failure;
        log.record_failed(*outcome, keeper, *requested_ms, cause);
        if *outcome == ExchangeOutcome::Failed {
            self.suspect_if_leader(keeper);
        }
        if has_answer || *outcome == ExchangeOutcome::Failed {
            ranking.record_failure(now_ms(), keeper.clone());
        }
    }

    /// Starts a search for the next leader if an unresponsive keeper is the last known leader.
    fn suspect_if_leader(&self, keeper: &HostId) {
        if self.keepers.leader().as_ref() == Some(keeper) {
            self.keepers.suspect_leader();
        }
    }

    /// The request for updates after a position, with the placements that this host runs and the upstream
    /// state that it knows; a hedged request omits the upstream state. `None` if it cannot be encoded.
    pub(crate) fn request(
        &self,
        keeper: &HostId,
        position: &Position,
        is_hedge: bool,
    ) -> Option<FollowRequest> {
        let is_other_keeper = position.keeper.as_ref().is_some_and(|former| former != keeper);
        let sends_digest = !is_hedge && (is_other_keeper || position.sends_digest);
        let digest = if sends_digest { encode(&self.directory.digest()).ok()? } else { Vec::new() };
        let buckets = if is_hedge { Buckets::default() } else { position.requested_buckets };
        let known = self.directory.heartbeats_in(buckets);
        Some(FollowRequest {
            from_host: self.host.to_string(),
            life: self.placement_client.incarnation(),
            applied_revision: position.revision,
            plan_version: position.plan.version,
            cursor: encode(&position.cursor).ok()?,
            renewed: encode(&self.placement_client.running_placements()).ok()?,
            known: encode(&known).ok()?,
            digest,
            keeper: None,
            limits_cursor: encode(&position.limits_cursor).ok()?,
            is_hedge,
            is_cut_off: self.connector.is_cut_off(),
            asks_tunnel_hosts: !is_hedge && self.connector.take_tunnel_hosts_request(),
        })
    }

    /// Applies an answer. An unusable one changes nothing; if its plan edit does not apply, the next request
    /// is for the complete plan.
    fn apply_answer(
        &self,
        position: &mut Position,
        log: &mut FollowLog,
        followed: &Followed,
        requested_ms: u64,
    ) {
        let (Ok(delta), Ok(changes)) =
            (decode::<Delta>(&followed.delta), unpack::<Changes>(&followed.changes))
        else {
            log::error!(target: log_target::SETTINGS, "Could not decode the answer of a keeper.");
            return;
        };
        let plan = match new_plan(position, &delta, &followed.plan_edit) {
            Ok(plan) => plan,
            Err(error) => {
                log::warn!(target: log_target::SETTINGS, cause:% = error;
                    "Could not apply an edit of the plan; requests the complete plan");
                position.plan = PlanDocument::default();
                return;
            }
        };
        let is_new_plan = plan.is_some();
        if let Some(plan) = plan {
            if !self.activate_plan(&plan) {
                return;
            }
            position.plan = plan;
        }
        if let Some(quarantined) = delta.held_back {
            self.entry.set_quarantined(quarantined);
        }
        if let Some(cordoned) = delta.cordoned {
            self.set_cordoned(cordoned);
        }
        let changed = self.directory.apply(changes.records);
        changed.iter().for_each(log_departing);
        if is_new_plan {
            self.set_engines();
        } else {
            self.update_engines(&changed);
        }
        self.apply_limits(position, &followed.limits);
        // Answers to hedged requests hold no upstreams, so a new host that received only such an answer
        // must not count as confirmed.
        if changes.cursor != Cursor::default() {
            self.gate.confirm(requested_ms);
        }
        self.set_tunnel_hosts(&followed.tunnel_hosts);
        self.entry.set_hosts(followed.entry_hosts);
        self.placement_client.set_host_count(followed.entry_hosts);
        self.directory.set_hosts(followed.entry_hosts);
        self.keepers.set_keepers(followed.keepers.iter().map(HostId::new));
        let deputy = Some(&followed.deputy).filter(|host| !host.is_empty());
        self.keepers.set_deputy(deputy.map(HostId::new));
        let leader = HostId::new(&followed.leader);
        if let Some(keeper) = &position.keeper {
            log.record_confirmed(position.plan.version, keeper, &leader, requested_ms);
        }
        self.keepers.record_answer(leader);
        position.revision = delta.revision;
        position.cursor = changes.cursor;
        position.sends_digest = followed.asks_digest;
        position.requested_buckets = Buckets(followed.asks_known);
    }

    /// Sets the hosts that may open tunnels for this one, if the keeper named some.
    fn set_tunnel_hosts(&self, hosts: &[String]) {
        if hosts.is_empty() {
            return;
        }
        let peers = self.keepers.peers();
        let addresses = hosts.iter().filter_map(|host| peers.inner_address(&HostId::new(host)));
        self.connector.set_tunnel_hosts(addresses.collect());
    }

    /// Applies the upstream limits that other hosts observed. Where this host knows a newer limit, it
    /// reports that one.
    fn apply_limits(&self, position: &mut Position, limits: &[u8]) {
        if limits.is_empty() {
            return;
        }
        let changes = match decode::<LimitChanges>(limits) {
            Ok(changes) => changes,
            Err(error) => {
                log::error!(target: log_target::SETTINGS,
                    "Could not decode the limits of upstreams: {error}");
                return;
            }
        };
        let now_ms = now_ms();
        for limit in changes.limits {
            let observed = limit.into_observation(now_ms);
            match self.directory.apply_reported_limit(&observed) {
                LimitUpdateResult::Changed => self.placement_client.set_declared_limit(&observed),
                LimitUpdateResult::Unchanged => {}
                LimitUpdateResult::Outdated(local_limit) => {
                    self.placement_client.report_limit(local_limit)
                }
            }
        }
        position.limits_cursor = changes.cursor;
    }

    /// Puts a plan in force. Returns whether it could be parsed.
    fn activate_plan(&self, document: &PlanDocument) -> bool {
        let version = document.version;
        match self.contract.parse_plan(&document.text) {
            Ok(plan) => {
                log::info!(target: log_target::SETTINGS, version = version; "A plan is in force");
                self.directory.set_cold_starts(&plan);
                self.gate.set_plan(PlanIndex::new(plan));
                true
            }
            Err(faults) => {
                log::error!(target: log_target::SETTINGS,
                    "Could not parse version {version} of the plan: {faults}");
                false
            }
        }
    }

    /// Cordons data centres: no further requests are sent to their upstreams.
    fn set_cordoned(&self, cordoned: BTreeSet<DataCentre>) {
        let names: Vec<_> = cordoned.iter().map(DataCentre::as_str).collect();
        log::info!(target: log_target::SETTINGS, cordoned = names.join(","); "Cordons are in force");
        let plan = self.gate.plan().unwrap_or_default();
        self.placement_client.set_cordoned(&plan, &cordoned);
        self.directory.set_cordoned(cordoned);
    }

    /// Replaces all engines of the plan, with their limits.
    fn set_engines(&self) {
        if let Some(plan) = self.gate.plan() {
            self.placement_client.set_engines(&plan, &self.directory.records());
            self.directory
                .limits()
                .iter()
                .for_each(|limit| self.placement_client.set_declared_limit(limit));
        }
    }

    /// Updates the engines whose records changed.
    fn update_engines(&self, changed: &[Record]) {
        if let Some(plan) = self.gate.plan() {
            self.placement_client.update_engines(&plan, changed);
        }
    }
}

/// Logs that an upstream accepts no new requests, and in which state it is.
fn log_departing(changed: &Record) {
    let heartbeat = &changed.heartbeat;
    if heartbeat.standing != UpstreamStatus::Ready {
        log::info!(target: log_target::SETTINGS,
            upstream = heartbeat.id.as_str(), standing:? = heartbeat.standing,
            sequence = heartbeat.sequence;
            "An upstream accepts no new requests");
    }
}

/// The new plan in an answer, either complete or as an edit of the current one; `None` if there is none.
fn new_plan(
    position: &Position,
    delta: &Delta,
    plan_edit: &[u8],
) -> Result<Option<PlanDocument>, PlanEditError> {
    if plan_edit.is_empty() {
        return Ok(delta.plan.clone());
    }
    let edit = PlanEdit::unpack(plan_edit)?;
    Ok(Some(edit.apply(&position.plan)?))
}

/// Reason for which an edit of the plan could not be applied.
#[derive(Debug, thiserror::Error)]
enum PlanEditError {
    #[error(transparent)]
    Unpack(#[from] PackError),
    #[error(transparent)]
    Apply(#[from] EditError),
}
