//! Follows a keeper: the plan, the upstreams, who leads, and when all of it was confirmed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{Directory, Entry, Gate};
use clayplank_members::KeeperChoice;
use clayplank_registry::{Buckets, Changes, Cursor, LimitChanges, Noted, Record};
use clayplank_routes::PlanIndex;
use clayplank_state::{
    Delta, EditError, PackError, PlanDocument, PlanEdit, decode, encode, unpack,
};
use clayplank_types::{DataCentre, HostId};
use clayplank_wire::{FollowRequest, Followed, follow_reply};
use tokio::sync::watch;

use crate::doors::contract::SharedContract;
use crate::fleet::fleet_link::FleetLink;
use crate::follow::follow_log::{Exchange, FollowFigures, FollowLog};
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::part;

/// Time for one exchange with a keeper, which answers within half a second, news or not, and waits for
/// the leader's word as long as an election takes.
const FOLLOW_PATIENCE: Duration = Duration::from_millis(1_300);

/// Pause after an exchange that failed, drawn up to this time, in ms: all hosts of a keeper that is lost
/// come to others at the same moment.
const FOLLOW_PAUSE_MS: u64 = 100;

/// The pause doubles this often at most, each time all known keepers have failed.
const MAX_PAUSE_DOUBLINGS: usize = 3;

/// A keeper that lives and hears no leader is left after this time, in ms: elections are over by then,
/// and it may be cut off. The plan of a host holds for several seconds without it.
const UNCONFIRMED_MS: u64 = 1_500;

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
}

/// Up to where a host follows the keepers.
#[derive(Clone, Debug, Default)]
struct Position {
    revision: u64,
    cursor: Cursor,
    /// The plan in force here; version 0 before the first.
    plan: PlanDocument,
    /// Whom it followed last.
    keeper: Option<HostId>,
    /// When the answer was asked for, in ms.
    confirmed_ms: u64,
    /// Whether the keeper asked what this host knows.
    tells_digest: bool,
    /// Upstreams of which the keeper may lack what this host knows.
    tells_known: Buckets,
    limits_cursor: Cursor,
}

/// What an exchange with a keeper came to.
enum Asked {
    /// It answered. The lease counts from when it was asked.
    Followed { followed: Followed, asked_ms: u64 },
    /// It lives, and did not hear from a leader in time.
    Unconfirmed,
    /// It did not answer.
    Failed(String),
}

/// Follows one keeper after the other until the task is dropped.
pub(crate) async fn run_following(following: Following) {
    let mut position = Position::default();
    let mut choice = KeeperChoice::new(following.host.clone());
    let mut log = FollowLog::new(Arc::clone(&following.figures));
    let mut found = following.keepers.subscribe();
    let mut failed = 0;
    loop {
        let keepers = following.keepers.hosts();
        let Some(keeper) = choice.choose(now_ms(), &keepers) else {
            following.keepers.doubt_leader();
            wait_for_leader(FOLLOW_PAUSE_MS, &mut found, &mut choice).await;
            continue;
        };
        let asked_ms = now_ms();
        match following.ask(&keeper, &position).await {
            Asked::Followed { followed, asked_ms } => {
                failed = 0;
                choice.note_answered(&keeper);
                position.keeper = Some(keeper);
                following.apply(&mut position, &mut log, &followed, asked_ms);
                continue;
            }
            Asked::Unconfirmed => {
                log.note_failed(Exchange::Unconfirmed, &keeper, asked_ms, "it hears no leader");
                if now_ms() >= position.confirmed_ms + UNCONFIRMED_MS {
                    choice.note_failed(now_ms(), keeper);
                }
            }
            Asked::Failed(cause) => {
                log.note_failed(Exchange::Failed, &keeper, asked_ms, &cause);
                following.doubt(&keeper);
                choice.note_failed(now_ms(), keeper);
            }
        }
        failed += 1;
        if failed >= keepers.len() {
            // Whoever is known does not help: others may lead by now.
            following.keepers.doubt_leader();
        }
        let doublings = (failed / keepers.len()).min(MAX_PAUSE_DOUBLINGS);
        wait_for_leader(FOLLOW_PAUSE_MS << doublings, &mut found, &mut choice).await;
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
    async fn ask(&self, keeper: &HostId, position: &Position) -> Asked {
        let Some(request) = self.request(keeper, position) else {
            return Asked::Failed("the question cannot be encoded".to_owned());
        };
        let asked_ms = now_ms();
        let peers = self.keepers.peers();
        let call = peers.call(keeper, FOLLOW_PATIENCE, |mut client| async move {
            client.follow(request).await
        });
        match call.await.map(|reply| reply.result) {
            Ok(Some(follow_reply::Result::Followed(followed))) => {
                Asked::Followed { followed, asked_ms }
            }
            Ok(Some(follow_reply::Result::NotLeaderHint(_)) | None) => Asked::Unconfirmed,
            Err(error) => Asked::Failed(error.to_string()),
        }
    }

    /// If a keeper that does not answer leads, the next one is looked for.
    fn doubt(&self, keeper: &HostId) {
        if self.keepers.leader().as_ref() == Some(keeper) {
            self.keepers.doubt_leader();
        }
    }

    /// The question for what is new after a position, with what this host runs and knows.
    fn request(&self, keeper: &HostId, position: &Position) -> Option<FollowRequest> {
        let is_new = position.keeper.as_ref().is_some_and(|former| former != keeper);
        let digest = if is_new || position.tells_digest {
            encode(&self.directory.digest()).ok()?
        } else {
            Vec::new()
        };
        let known = self.directory.heartbeats_in(position.tells_known);
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
        self.gate.confirm(asked_ms);
        self.entry.set_hosts(followed.entry_hosts);
        self.link.set_hosts(followed.entry_hosts);
        self.directory.set_hosts(followed.entry_hosts);
        self.keepers.learn(followed.keepers.iter().map(HostId::new));
        let deputy = Some(&followed.deputy).filter(|host| !host.is_empty());
        self.keepers.set_deputy(deputy.map(HostId::new));
        let leader = HostId::new(&followed.leader);
        if let Some(keeper) = &position.keeper {
            log.note_confirmed(position.plan.version, keeper, &leader, asked_ms);
        }
        self.keepers.note_answer(leader);
        position.confirmed_ms = asked_ms;
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
