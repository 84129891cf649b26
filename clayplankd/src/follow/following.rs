//! Follows the leading keeper: the plan, the upstreams, and when both were confirmed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{Directory, Entry, Gate};
use clayplank_registry::{Buckets, Changes, Cursor, Record};
use clayplank_routes::PlanIndex;
use clayplank_state::{
    Delta, EditError, PackError, PlanDocument, PlanEdit, decode, encode, unpack,
};
use clayplank_types::{DataCentre, HostId};
use clayplank_wire::{FollowRequest, Followed, follow_reply};
use tokio::sync::watch;

use crate::doors::contract::SharedContract;
use crate::fleet::fleet_link::FleetLink;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, now_ms};
use crate::process::logging::part;

/// Time for one exchange with the leader, which answers within half a second, news or not: a
/// host that asks for nothing else learns by this that the leader is gone.
const FOLLOW_PATIENCE: Duration = Duration::from_millis(800);

/// Pause after an exchange that failed, unless another leader is found meanwhile.
const FOLLOW_PAUSE: Duration = Duration::from_millis(200);

/// Hosts begin to follow a new leader within this time, in ms, spread evenly: each answer costs
/// it a few milliseconds, and prompts that it places meanwhile wait for them. The plan of a host
/// holds for several seconds without it.
const FOLLOW_SPREAD_MS: u64 = 250;

/// What an entry host follows.
pub(crate) struct Following {
    pub(crate) host: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) keepers: KeeperClient,
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
    /// Whom it followed last.
    leader: Option<HostId>,
    /// Whether the leader asked what this host knows.
    tells_digest: bool,
    /// Upstreams of which the leader may lack what this host knows.
    tells_known: Buckets,
}

/// What an exchange with the leader came to.
enum Asked {
    /// It answered. The lease counts from when it was asked.
    Followed { leader: HostId, followed: Followed, asked_ms: u64 },
    /// Another leader was found meanwhile.
    Replaced,
    /// No leader is known, or it did not answer.
    Failed,
}

/// Follows the leading keeper until the task is dropped.
pub(crate) async fn run_following(following: Following) {
    let mut position = Position::default();
    let mut lost_at_ms = None;
    let mut found = following.keepers.subscribe();
    loop {
        match following.ask(&position, &mut found).await {
            Asked::Followed { leader, followed, asked_ms } => {
                position.leader = Some(leader);
                following.apply(&mut position, &followed, asked_ms);
                if let Some(lost_at_ms) = lost_at_ms.take() {
                    log::info!(target: part::SETTINGS,
                        version = position.plan.version, lost_ms = now_ms() - lost_at_ms;
                        "The plan is confirmed again");
                }
            }
            Asked::Replaced => {
                lost_at_ms.get_or_insert_with(now_ms);
                clayplank_clock::sleep(millis(rand::random_range(0..FOLLOW_SPREAD_MS))).await;
            }
            Asked::Failed => {
                lost_at_ms.get_or_insert_with(now_ms);
                following.keepers.doubt_leader();
                // A leader that is found ends the pause.
                clayplank_clock::timeout(FOLLOW_PAUSE, found.changed()).await.ok();
            }
        }
    }
}

impl Following {
    /// One exchange with the leader, given up as soon as another one is found.
    async fn ask(&self, position: &Position, found: &mut watch::Receiver<Option<HostId>>) -> Asked {
        let leader = found.borrow_and_update().clone();
        let Some(leader) = leader else {
            return Asked::Failed;
        };
        tokio::select! {
            answer = self.ask_leader(leader, position) => answer,
            _ = found.changed() => Asked::Replaced,
        }
    }

    async fn ask_leader(&self, leader: HostId, position: &Position) -> Asked {
        let Some(request) = self.request(&leader, position) else {
            return Asked::Failed;
        };
        let asked_ms = now_ms();
        let peers = self.keepers.peers();
        let call = peers.call(&leader, FOLLOW_PATIENCE, |mut client| async move {
            client.follow(request).await
        });
        let cause = match call.await.map(|reply| reply.result) {
            Ok(Some(follow_reply::Result::Followed(followed))) => {
                self.keepers.note_answer(leader.clone());
                return Asked::Followed { leader, followed, asked_ms };
            }
            Ok(Some(follow_reply::Result::NotLeaderHint(_)) | None) => {
                "it does not lead".to_owned()
            }
            Err(error) => error.to_string(),
        };
        log::warn!(target: part::SETTINGS, cause = cause; "The plan is not confirmed");
        Asked::Failed
    }

    /// The question for what is new after a position, with what this host runs and knows.
    fn request(&self, leader: &HostId, position: &Position) -> Option<FollowRequest> {
        let is_new = position.leader.as_ref().is_some_and(|former| former != leader);
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
        })
    }

    /// Takes an answer in; one that cannot be used changes nothing but what is asked next.
    fn apply(&self, position: &mut Position, followed: &Followed, asked_ms: u64) {
        let (Ok(delta), Ok(changes)) =
            (decode::<Delta>(&followed.delta), unpack::<Changes>(&followed.changes))
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
        self.gate.confirm(asked_ms);
        self.entry.set_hosts(followed.entry_hosts);
        self.link.set_hosts(followed.entry_hosts);
        self.directory.set_hosts(followed.entry_hosts);
        self.keepers.learn(followed.keepers.iter().map(HostId::new));
        let deputy = Some(&followed.deputy).filter(|host| !host.is_empty());
        self.keepers.set_deputy(deputy.map(HostId::new));
        position.revision = delta.revision;
        position.cursor = changes.cursor;
        position.tells_digest = followed.asks_digest;
        position.tells_known = Buckets(followed.asks_known);
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
