//! Follows a keeper: the plan, the upstreams, who leads, and when all of it was confirmed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clayplank_forward::{Directory, Entry, Gate};
use clayplank_members::{FollowTimes, KeeperChoice};
use clayplank_registry::{Buckets, Changes, Cursor, LimitChanges, Noted, Record};
use clayplank_routes::PlanIndex;
use clayplank_state::{
    Delta, EditError, PackError, PlanDocument, PlanEdit, decode, encode, unpack,
};
use clayplank_types::{DataCentre, HostId};
use clayplank_wire::{FollowRequest, Followed};
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::doors::contract::SharedContract;
use crate::fleet::fleet_link::FleetLink;
use crate::follow::exchange::Failure;
use crate::follow::follow_log::{ExchangeOutcome, FollowFigures, FollowLog};
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::part;

/// Pause after an exchange in which no keeper confirmed the plan, drawn up to this time, in ms.
const FOLLOW_PAUSE_MS: u64 = 100;

/// The pause doubles this often at most, after each further exchange of that kind.
const MAX_PAUSE_DOUBLINGS: u32 = 3;

/// What an entry host follows.
pub(crate) struct Following {
    pub(crate) host: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) keepers: KeeperClient,
    pub(crate) link: Arc<FleetLink>,
    pub(crate) gate: Arc<Gate>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) entry: Arc<Entry>,
    pub(crate) figures: Arc<FollowFigures>,
    /// A change must be in force after this time, in ms.
    pub(crate) apply_ms: Arc<AtomicU64>,
}

/// Up to where a host follows the keepers.
#[derive(Clone, Debug, Default)]
pub(crate) struct Position {
    revision: u64,
    cursor: Cursor,
    /// The plan in force here; version 0 before the first.
    plan: PlanDocument,
    /// Whom it followed last.
    keeper: Option<HostId>,
    /// Whether the keeper asked what this host knows.
    tells_digest: bool,
    /// Upstreams of which the keeper may lack what this host knows.
    tells_known: Buckets,
    limits_cursor: Cursor,
}

/// Follows the keepers until the task is dropped.
pub(crate) async fn run_following(following: Following) {
    let mut position = Position::default();
    let mut choice = KeeperChoice::new(following.host.clone());
    let mut log = FollowLog::new(Arc::clone(&following.figures));
    let mut found = following.keepers.subscribe();
    let mut probes = JoinSet::new();
    let mut failed = 0;
    loop {
        note_probes(&mut probes, &mut choice);
        let keepers = following.keepers.hosts();
        following.figures.set_keepers(keepers.len());
        following.start_probes(&mut probes, choice.take_due(now_ms(), &keepers));
        let outcome = following.exchange(&choice.order(&keepers), &position).await;
        for failure in &outcome.failures {
            following.note_failure(failure, outcome.answer.is_some(), &mut choice, &mut log);
        }
        if let Some(answer) = outcome.answer {
            failed = 0;
            choice.note_answered(&answer.keeper);
            position.keeper = Some(answer.keeper);
            following.apply(&mut position, &mut log, &answer.followed, answer.asked_ms);
            continue;
        }
        following.keepers.doubt_leader();
        let pause_ms = FOLLOW_PAUSE_MS << failed.min(MAX_PAUSE_DOUBLINGS);
        failed += 1;
        wait_for_leader(pause_ms, &mut found, &mut choice).await;
    }
}

/// Takes in which keepers in doubt hear a leader.
fn note_probes(probes: &mut JoinSet<(HostId, bool)>, choice: &mut KeeperChoice) {
    while let Some(probed) = probes.try_join_next() {
        match probed {
            Ok((keeper, true)) => choice.note_answered(&keeper),
            Ok((keeper, false)) => choice.note_failed(now_ms(), keeper),
            // It stays in doubt, and is asked again.
            Err(error) => log::error!(target: part::SETTINGS, "A probe ended: {error}."),
        }
    }
}

/// Waits for a time drawn up to `pause_ms`, or until another leader is found, which is asked at once.
async fn wait_for_leader(
    pause_ms: u64,
    found: &mut watch::Receiver<Option<HostId>>,
    choice: &mut KeeperChoice,
) {
    let pause = clayplank_clock::sleep(millis(rand::random_range(0..pause_ms)));
    tokio::select! {
        () = pause => {}
        // The sender lives as long as the host.
        _ = found.changed() => {
            if let Some(leader) = &*found.borrow_and_update() {
                choice.note_answered(leader);
            }
        }
    }
}

impl Following {
    /// When keepers are asked.
    pub(crate) fn times(&self) -> FollowTimes {
        FollowTimes::of_bound(self.apply_ms.load(Ordering::SeqCst))
    }

    /// Asks keepers in doubt, beside the one that is followed, whether they hear a leader.
    fn start_probes(&self, probes: &mut JoinSet<(HostId, bool)>, due: Vec<HostId>) {
        for keeper in due {
            let keepers = self.keepers.clone();
            probes.spawn(async move {
                let hears_leader = keepers.ask_for_leader(&keeper).await.is_some();
                (keeper, hears_leader)
            });
        }
    }

    /// Takes in that a keeper confirmed nothing. One that hears no leader is no worse than the others
    /// unless one of them does.
    fn note_failure(
        &self,
        failure: &Failure,
        has_answer: bool,
        choice: &mut KeeperChoice,
        log: &mut FollowLog,
    ) {
        let Failure { keeper, asked_ms, exchange, cause } = failure;
        log.note_failed(*exchange, keeper, *asked_ms, cause);
        if *exchange == ExchangeOutcome::Failed {
            self.doubt(keeper);
        }
        if has_answer || *exchange == ExchangeOutcome::Failed {
            choice.note_failed(now_ms(), keeper.clone());
        }
    }

    /// If a keeper that does not answer leads, the next one is looked for.
    fn doubt(&self, keeper: &HostId) {
        if self.keepers.leader().as_ref() == Some(keeper) {
            self.keepers.doubt_leader();
        }
    }

    /// The question for what is new after a position, with what this host runs and knows; a keeper that is
    /// asked beside another one is not told what it knows.
    pub(crate) fn request(
        &self,
        keeper: &HostId,
        position: &Position,
        is_hedge: bool,
    ) -> Option<FollowRequest> {
        let is_new = position.keeper.as_ref().is_some_and(|former| former != keeper);
        let tells_digest = !is_hedge && (is_new || position.tells_digest);
        let digest = if tells_digest { encode(&self.directory.digest()).ok()? } else { Vec::new() };
        let asked = if is_hedge { Buckets::default() } else { position.tells_known };
        let known = self.directory.heartbeats_in(asked);
        Some(FollowRequest {
            from_host: self.host.to_string(),
            life: self.link.life(),
            applied_revision: position.revision,
            plan_version: position.plan.version,
            cursor: encode(&position.cursor).ok()?,
            renewed: encode(&self.link.renewed()).ok()?,
            known: encode(&known).ok()?,
            digest,
            keeper: None,
            limits_cursor: encode(&position.limits_cursor).ok()?,
            is_hedge,
        })
    }

    /// Takes an answer in; one that cannot be used changes nothing but what is asked next.
    fn apply(
        &self,
        position: &mut Position,
        log: &mut FollowLog,
        followed: &Followed,
        asked_ms: u64,
    ) {
        let (Ok(delta), Ok(changes)) =
            (decode::<Delta>(&followed.delta), unpack::<Changes>(&followed.changes))
        else {
            log::error!(target: part::SETTINGS, "The keeper's answer cannot be read.");
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
        let is_new_plan = plan.is_some();
        if let Some(plan) = plan {
            if !self.put_in_force(&plan) {
                return;
            }
            position.plan = plan;
        }
        if let Some(held_back) = delta.held_back {
            self.entry.set_held_back(held_back);
        }
        if let Some(cordoned) = delta.cordoned {
            self.set_cordoned(cordoned);
        }
        let changed = self.directory.apply(changes.records);
        if is_new_plan {
            self.set_engines();
        } else {
            self.change_engines(&changed);
        }
        self.take_limits(position, &followed.limits);
        // A new host that was confirmed by a hedged question knows no upstreams yet.
        if changes.cursor != Cursor::default() {
            self.gate.confirm(asked_ms);
        }
        self.entry.set_hosts(followed.entry_hosts);
        self.link.set_hosts(followed.entry_hosts);
        self.directory.set_hosts(followed.entry_hosts);
        self.keepers.set_keepers(followed.keepers.iter().map(HostId::new));
        let deputy = Some(&followed.deputy).filter(|host| !host.is_empty());
        self.keepers.set_deputy(deputy.map(HostId::new));
        let leader = HostId::new(&followed.leader);
        if let Some(keeper) = &position.keeper {
            log.note_confirmed(position.plan.version, keeper, &leader, asked_ms);
        }
        self.keepers.note_answer(leader);
        position.revision = delta.revision;
        position.cursor = changes.cursor;
        position.tells_digest = followed.asks_digest;
        position.tells_known = Buckets(followed.asks_known);
    }

    /// Takes in what others heard of limits. A keeper that knows less than this host is told so.
    fn take_limits(&self, position: &mut Position, limits: &[u8]) {
        if limits.is_empty() {
            return;
        }
        let changes = match decode::<LimitChanges>(limits) {
            Ok(changes) => changes,
            Err(error) => {
                log::error!(target: part::SETTINGS, "Limits of upstreams cannot be read: {error}.");
                return;
            }
        };
        let now_ms = now_ms();
        for limit in changes.limits {
            let observed = limit.into_observed(now_ms);
            match self.directory.learn_limit(&observed) {
                Noted::Changed => self.link.set_named_limit(&observed),
                Noted::Unchanged => {}
                Noted::Outdated(own) => self.link.tell_limit(own),
            }
        }
        position.limits_cursor = changes.cursor;
    }

    /// Puts a plan in force; whether it could be read.
    fn put_in_force(&self, document: &PlanDocument) -> bool {
        let version = document.version;
        match self.contract.parse_plan(&document.text) {
            Ok(plan) => {
                log::info!(target: part::SETTINGS, version = version; "A plan is in force");
                self.directory.set_cold_starts(&plan);
                self.gate.set_plan(PlanIndex::new(plan));
                true
            }
            Err(faults) => {
                log::error!(target: part::SETTINGS, "Plan {version} cannot be read: {faults}");
                false
            }
        }
    }

    /// Sends nothing more to upstreams of some data centres.
    fn set_cordoned(&self, cordoned: BTreeSet<DataCentre>) {
        let names: Vec<_> = cordoned.iter().map(DataCentre::as_str).collect();
        log::info!(target: part::SETTINGS, cordoned = names.join(","); "Cordons are in force");
        let plan = self.gate.plan().unwrap_or_default();
        self.link.set_cordoned(&plan, &cordoned);
        self.directory.set_cordoned(cordoned);
    }

    fn set_engines(&self) {
        if let Some(plan) = self.gate.plan() {
            self.link.set_engines(&plan, &self.directory.records());
            self.directory.limits().iter().for_each(|limit| self.link.set_named_limit(limit));
        }
    }

    fn change_engines(&self, changed: &[Record]) {
        if let Some(plan) = self.gate.plan() {
            self.link.change_engines(&plan, changed);
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
    let edit = PlanEdit::unpack(plan_edit)?;
    Ok(Some(edit.apply(&position.plan)?))
}

/// Why an edit of the plan is of no use.
#[derive(Debug, thiserror::Error)]
enum EditFault {
    #[error(transparent)]
    Unreadable(#[from] PackError),
    #[error(transparent)]
    Unfit(#[from] EditError),
}
