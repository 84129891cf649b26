//! How a keeper confirms, for all of its followers at once, that what it holds is the newest.
//!
//! Entry hosts follow any keeper. One that does not lead asks the leader now and then, and is
//! confirmed once its own state holds all that was acknowledged before it asked. So a change of
//! leader costs the next one a call of each keeper: with a call of each host, a leader of hundreds would use its
//! processor up on them, be late with its own heartbeats, and be replaced before it has answered all.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_members::FollowTimes;
use clayplank_placement::Renewed;
use clayplank_registry::{Buckets, Changes, Cursor, LimitChanges};
use clayplank_state::{CodecError, Delta, PackError, decode, encode, unpack};
use clayplank_types::HostId;
use clayplank_wire::{FollowRequest, Followed, KeeperFollow, follow_reply};
use tokio::sync::{Notify, watch};
use xtra::Address;

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::keepers::keeper::{Applied, Keeper};
use crate::keepers::keeper_messages::{Watch, Watched};
use crate::process::clock::{millis, now_ms};
use crate::process::lock::lock;
use crate::process::logging::part;
use crate::process::peers::{PeerError, Peers};

/// Between two questions to the leader: an answer of each covers all followers that wait.
const ROUND_EVERY: Duration = Duration::from_millis(50);

/// Time for the leader to answer a keeper.
const ROUND_PATIENCE: Duration = Duration::from_millis(300);

/// Time for the own replica to apply what the leader had when it answered.
const APPLY_PATIENCE: Duration = Duration::from_millis(300);

/// How long a follower's question waits for a confirmation: an election is over within this time.
const CONFIRM_PATIENCE: Duration = Duration::from_millis(600);

/// Between two lines on followers that are not confirmed, in ms.
const UNCONFIRMED_LINE_EVERY_MS: u64 = 1_000;

/// Placements by the lives of the hosts that run them.
pub(crate) type Renewals = HashMap<u64, Vec<Renewed>>;

/// The number of a round of questions to the leader. Clocks tell too little: a question of a follower
/// and the round that answers it may fall into one millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Round(u64);

/// What was confirmed last.
#[derive(Clone, Debug, Default)]
struct Confirmed {
    /// All that was acknowledged before this round began is held here.
    round: Round,
    leader: Option<HostId>,
}

/// Up to where this keeper knows the leader's registry.
#[derive(Debug, Default)]
struct Position {
    leader: Option<HostId>,
    cursor: Cursor,
    tells_digest: bool,
    tells_known: Buckets,
    limits_cursor: Cursor,
}

/// Why a round confirmed nothing.
#[derive(Debug, thiserror::Error)]
enum RoundError {
    #[error("no keeper leads")]
    NoLeader,
    #[error("the keeper is stopping")]
    Stopping,
    #[error("the own replica did not apply in time what the leader has")]
    Behind,
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Packed(#[from] PackError),
}

/// Confirms what a keeper holds.
pub(crate) struct Relay {
    own: HostId,
    keeper: Address<Keeper>,
    fleet: Arc<FleetKeeper>,
    peers: Peers,
    applied: watch::Receiver<Applied>,
    times: FollowTimes,
    wanted: Notify,
    confirmed: watch::Sender<Confirmed>,
    rounds: RoundCounts,
    /// When a follower that was not confirmed was last told of in the log.
    told_ms: AtomicU64,
    renewals: Mutex<PendingRenewals>,
}

/// How many rounds there were.
#[derive(Debug, Default)]
struct RoundCounts {
    begun: AtomicU64,
    confirmed: AtomicU64,
    failed: AtomicU64,
}

impl RoundCounts {
    fn begin(&self) -> Round {
        Round(self.begun.fetch_add(1, Ordering::SeqCst) + 1)
    }

    fn ended(&self) -> (u64, u64) {
        (self.confirmed.load(Ordering::SeqCst), self.failed.load(Ordering::SeqCst))
    }
}

/// What hosts told of their placements since the last round.
#[derive(Debug, Default)]
struct PendingRenewals {
    by_life: Renewals,
    /// Lives that had placements when they told last: the leader has to know when there is none.
    busy: HashSet<u64>,
}

impl Relay {
    pub(crate) fn new(
        own: HostId,
        keeper: Address<Keeper>,
        fleet: Arc<FleetKeeper>,
        peers: Peers,
        applied: watch::Receiver<Applied>,
        times: FollowTimes,
    ) -> Self {
        Self {
            own,
            keeper,
            fleet,
            peers,
            applied,
            times,
            wanted: Notify::new(),
            confirmed: watch::Sender::new(Confirmed::default()),
            rounds: RoundCounts::default(),
            told_ms: AtomicU64::new(0),
            renewals: Mutex::default(),
        }
    }

    /// The host of this keeper.
    pub(crate) fn own(&self) -> &HostId {
        &self.own
    }

    /// Takes in what a life of a host runs, for the leader.
    pub(crate) fn note_renewed(&self, life: u64, renewed: Vec<Renewed>) {
        let mut pending = lock(&self.renewals);
        let was_busy = if renewed.is_empty() {
            pending.busy.remove(&life)
        } else {
            !pending.busy.insert(life)
        };
        if was_busy || !renewed.is_empty() {
            pending.by_life.insert(life, renewed);
        }
    }

    /// Waits until there is something new for a follower, for some time at most: a change of the
    /// state, of the registry, or of the leader.
    pub(crate) async fn wait_for_news(&self, revision: u64, cursor: Cursor) {
        let mut registry = self.fleet.subscribe();
        let mut applied = self.applied.clone();
        let mut confirmed = self.confirmed.subscribe();
        let leader = confirmed.borrow_and_update().leader.clone();
        let has_news = *registry.borrow_and_update() != cursor;
        if has_news || revision == 0 {
            return;
        }
        let news = async {
            tokio::select! {
                _ = registry.changed() => {}
                _ = applied.wait_for(|applied| applied.revision > revision) => {}
                _ = confirmed.wait_for(|confirmed| confirmed.leader != leader) => {}
            }
        };
        // Without news the follower is told that there is none.
        clayplank_clock::timeout(millis(self.times.hold_ms), news).await.ok();
    }

    /// The newest round that has begun.
    pub(crate) fn newest_round(&self) -> Round {
        Round(self.rounds.begun.load(Ordering::SeqCst))
    }

    /// Waits until a round is confirmed that began after another one; returns who leads, or `None` if that is
    /// not known in time.
    pub(crate) async fn confirm_after(&self, round: Round) -> Option<HostId> {
        let mut confirmed = self.confirmed.subscribe();
        let before = self.rounds.ended();
        self.wanted.notify_one();
        let is_later = confirmed.wait_for(|confirmed| confirmed.round > round);
        match clayplank_clock::timeout(CONFIRM_PATIENCE, is_later).await {
            Ok(confirmed) => confirmed.ok()?.leader.clone(),
            Err(_) => {
                self.log_unconfirmed(before);
                None
            }
        }
    }

    /// Tells, now and then, that a follower was not confirmed, and which rounds ran while it waited.
    fn log_unconfirmed(&self, before: (u64, u64)) {
        let now_ms = now_ms();
        let told_ms = self.told_ms.load(Ordering::SeqCst);
        if told_ms > 0 && now_ms < told_ms + UNCONFIRMED_LINE_EVERY_MS {
            return;
        }
        self.told_ms.store(now_ms, Ordering::SeqCst);
        let (confirmed, failed) = self.rounds.ended();
        let leader = self.applied.borrow().leader.clone();
        log::warn!(target: part::KEEPER,
            leader = leader.as_ref().map_or("", HostId::as_str),
            rounds_confirmed = confirmed - before.0, rounds_failed = failed - before.1;
            "A follower is not confirmed");
    }

    /// One question to the leader, or to the own keeper if it leads.
    async fn run_round(&self, position: &mut Position) -> Result<HostId, RoundError> {
        let leader = self.applied.borrow().leader.clone().ok_or(RoundError::NoLeader)?;
        if leader == self.own {
            self.confirm_own().await?;
        } else {
            self.ask_leader(&leader, position).await?;
        }
        self.fleet.keepers().note_answer(leader.clone());
        Ok(leader)
    }

    /// Has the own keeper confirm that it still leads.
    async fn confirm_own(&self) -> Result<(), RoundError> {
        let renewals = self.take_renewals();
        self.fleet.renew_all(&renewals);
        let applied_revision = self.applied.borrow().revision;
        let watch = Watch { host: self.own.clone(), applied_revision, wait_ms: 0 };
        let answer = self.keeper.send(watch).await.map_err(|_| RoundError::Stopping)?;
        match clayplank_clock::timeout(ROUND_PATIENCE, answer).await {
            Ok(Ok(Watched::Delta(_))) => Ok(()),
            Ok(Ok(Watched::NotLeader(_))) | Err(_) => Err(RoundError::NoLeader),
            Ok(Err(_)) => Err(RoundError::Stopping),
        }
    }

    /// Asks the leader what this keeper lacks of its registry, and waits for the rest in the own log.
    async fn ask_leader(&self, leader: &HostId, position: &mut Position) -> Result<(), RoundError> {
        let request = self.request(leader, position)?;
        let call = self
            .peers
            .call(leader, ROUND_PATIENCE, |mut client| async move { client.follow(request).await });
        let Some(follow_reply::Result::Followed(followed)) = call.await?.result else {
            return Err(RoundError::NoLeader);
        };
        position.leader = Some(leader.clone());
        self.take_answer(position, &followed)?;
        let revision = decode::<Delta>(&followed.delta)?.revision;
        let mut applied = self.applied.clone();
        let is_applied = applied.wait_for(|applied| applied.revision >= revision);
        match clayplank_clock::timeout(APPLY_PATIENCE, is_applied).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(RoundError::Stopping),
            Err(_) => Err(RoundError::Behind),
        }
    }

    fn request(&self, leader: &HostId, position: &Position) -> Result<FollowRequest, CodecError> {
        let is_new = position.leader.as_ref().is_some_and(|former| former != leader);
        let digest = if is_new || position.tells_digest {
            encode(&self.fleet.digest())?
        } else {
            Vec::new()
        };
        let keeper = KeeperFollow {
            entry_hosts: self.fleet.count_own_hosts(),
            renewals: encode(&self.take_renewals())?,
        };
        Ok(FollowRequest {
            from_host: self.own.to_string(),
            applied_revision: self.applied.borrow().revision,
            cursor: encode(&position.cursor)?,
            known: encode(&self.fleet.heartbeats_in(position.tells_known))?,
            digest,
            keeper: Some(keeper),
            limits_cursor: encode(&position.limits_cursor)?,
            ..FollowRequest::default()
        })
    }

    fn take_answer(&self, position: &mut Position, followed: &Followed) -> Result<(), RoundError> {
        let changes: Changes = unpack(&followed.changes)?;
        let heartbeats: Vec<_> =
            changes.records.into_iter().map(|record| record.heartbeat).collect();
        self.fleet.apply(&heartbeats);
        if !followed.limits.is_empty() {
            let changes: LimitChanges = decode(&followed.limits)?;
            self.fleet.note_limits(changes.limits);
            position.limits_cursor = changes.cursor;
        }
        self.fleet.set_told_hosts(followed.entry_hosts);
        let keepers = self.fleet.keepers();
        keepers.set_keepers(followed.keepers.iter().map(HostId::new));
        let deputy = Some(&followed.deputy).filter(|host| !host.is_empty());
        keepers.set_deputy(deputy.map(HostId::new));
        position.cursor = changes.cursor;
        position.tells_digest = followed.asks_digest;
        position.tells_known = Buckets(followed.asks_known);
        Ok(())
    }

    fn take_renewals(&self) -> Renewals {
        std::mem::take(&mut lock(&self.renewals).by_life)
    }
}

/// Asks the leader whenever a follower waits, and as soon as another one leads.
pub(crate) async fn run_relay(relay: Arc<Relay>) {
    let mut position = Position::default();
    let mut applied = relay.applied.clone();
    loop {
        let known = relay.confirmed.borrow().leader.clone();
        tokio::select! {
            () = relay.wanted.notified() => {}
            changed = applied.wait_for(|now| now.leader.is_some() && now.leader != known) => {
                if changed.is_err() {
                    return;
                }
            }
        }
        let round = relay.rounds.begin();
        match relay.run_round(&mut position).await {
            Ok(leader) => {
                relay.rounds.confirmed.fetch_add(1, Ordering::SeqCst);
                relay.confirmed.send_replace(Confirmed { round, leader: Some(leader) });
            }
            Err(cause) => {
                relay.rounds.failed.fetch_add(1, Ordering::SeqCst);
                log::debug!(target: part::KEEPER, "Followers are not confirmed: {cause}.");
                // Who waits still does.
                relay.wanted.notify_one();
            }
        }
        clayplank_clock::sleep(ROUND_EVERY).await;
    }
}
