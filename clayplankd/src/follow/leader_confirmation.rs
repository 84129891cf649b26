//! Confirmation by the leader that the state of this keeper is up to date, for all its followers at once.
//!
//! Entry hosts follow any keeper. A keeper that is not the leader queries the leader in rounds, and its
//! state is confirmed once it includes all that was acknowledged before the round started. So after a
//! change of leader, the new leader receives one call from each keeper. With one call from each host, a
//! leader with hundreds of hosts would spend its processor time on them, send its heartbeats late, and
//! be replaced before it has answered all calls.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_members::FollowTimeouts;
use clayplank_placement::RunningPlacement;
use clayplank_registry::{Buckets, Changes, Cursor, LimitChanges};
use clayplank_state::{CodecError, Delta, PackError, decode, encode, unpack};
use clayplank_types::HostId;
use clayplank_wire::{FollowRequest, Followed, KeeperFollow, follow_reply};
use tokio::sync::{Notify, watch};
use xtra::Address;

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::keepers::keeper::{AppliedState, Keeper};
use crate::keepers::keeper_messages::{Watch, WatchOutcome};
use crate::process::clock::{millis, now_ms};
use crate::process::lock::lock_ignoring_poison;
use crate::process::logging::log_target;
use crate::process::peers::{PeerError, Peers};

/// Pause between two rounds. The answer of a round serves all followers that wait.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Time-out of the leader's answer to a round.
const ROUND_TIMEOUT: Duration = Duration::from_millis(300);

/// Time-out for the local replica to apply the revision that the leader had when it answered.
const APPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest wait of a follower's request for a confirmation: an election is over within this time.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Minimum interval between two log lines on unconfirmed followers, in ms.
const UNCONFIRMED_LOG_INTERVAL_MS: u64 = 1_000;

/// Time for which the leader is told that a host runs nothing, after it ran something, in ms. The
/// leader keeps a placement that is not listed for 1,000 ms, since the list may be older. A renewal
/// that was on its way when a placement ended may add it again, so a single report in that time would
/// leave the slot occupied until the placement expires.
const IDLE_REPORT_MS: u64 = 4_000;

/// Interval between two removals of hosts that have run nothing for long, in ms. A host that follows
/// on is then reported once more for [`IDLE_REPORT_MS`].
const IDLE_PRUNE_INTERVAL_MS: u64 = 600_000;

/// Running placements, by the incarnation of the host that runs them.
pub(crate) type RenewalsByIncarnation = HashMap<u64, Vec<RunningPlacement>>;

/// Number of a round of requests to the leader. Timestamps are too coarse: a follower's request and the
/// round that answers it may fall into the same millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Round(u64);

/// The last confirmed round.
#[derive(Clone, Debug, Default)]
struct Confirmed {
    /// The local state includes all that was acknowledged before this round started.
    round: Round,
    leader: Option<HostId>,
}

/// Progress of this keeper in following the leader's registry.
#[derive(Debug, Default)]
struct Position {
    leader: Option<HostId>,
    /// Cursor of the applied upstream updates.
    cursor: Cursor,
    /// Whether the leader requested a digest of what this keeper knows.
    sends_digest: bool,
    /// Buckets of upstreams for which the leader requested what this keeper knows.
    requested_buckets: Buckets,
    /// Cursor of the applied changes of upstream limits.
    limits_cursor: Cursor,
}

/// Reason for which a round brought no confirmation.
#[derive(Debug, thiserror::Error)]
enum RoundError {
    #[error("no keeper leads")]
    NoLeader,
    #[error("the keeper is stopping")]
    Stopping,
    #[error("the local replica did not apply the leader's revision in time")]
    Behind,
    #[error(transparent)]
    Peer(#[from] PeerError),
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Packed(#[from] PackError),
}

/// Confirms the state of a keeper and shares the confirmations among its followers.
pub(crate) struct Relay {
    local_host: HostId,
    keeper: Address<Keeper>,
    fleet: Arc<FleetKeeper>,
    peers: Peers,
    applied: watch::Receiver<AppliedState>,
    times: FollowTimeouts,
    /// Notified when a follower waits for a round.
    round_requested: Notify,
    confirmed: watch::Sender<Confirmed>,
    rounds: RoundCounts,
    /// Time, in ms, of the last log line on an unconfirmed follower; 0 before the first.
    unconfirmed_logged_ms: AtomicU64,
    renewals: Mutex<PendingRenewals>,
}

/// Numbers of started, confirmed and failed rounds.
#[derive(Debug, Default)]
struct RoundCounts {
    started: AtomicU64,
    confirmed: AtomicU64,
    failed: AtomicU64,
}

impl RoundCounts {
    fn start(&self) -> Round {
        Round(self.started.fetch_add(1, Ordering::SeqCst) + 1)
    }

    /// Numbers of confirmed and of failed rounds.
    fn finished(&self) -> (u64, u64) {
        (self.confirmed.load(Ordering::SeqCst), self.failed.load(Ordering::SeqCst))
    }
}

/// Running placements that hosts reported since the last round.
#[derive(Debug, Default)]
struct PendingRenewals {
    by_incarnation: RenewalsByIncarnation,
    /// Times, in ms, until which the leader is told that an incarnation runs nothing.
    reported_idle_until_ms: HashMap<u64, u64>,
    next_prune_ms: u64,
}

impl PendingRenewals {
    /// Records the placements of an incarnation. One that runs nothing is reported for some time, also
    /// if it is new here: it may have followed another keeper while its placements ran.
    fn record(&mut self, now_ms: u64, incarnation: u64, placements: Vec<RunningPlacement>) {
        if now_ms >= self.next_prune_ms {
            self.next_prune_ms = now_ms + IDLE_PRUNE_INTERVAL_MS;
            self.reported_idle_until_ms
                .retain(|_, until_ms| now_ms < *until_ms + IDLE_PRUNE_INTERVAL_MS);
        }
        let idle_until_ms = now_ms + IDLE_REPORT_MS;
        let is_reported = if placements.is_empty() {
            now_ms < *self.reported_idle_until_ms.entry(incarnation).or_insert(idle_until_ms)
        } else {
            self.reported_idle_until_ms.insert(incarnation, idle_until_ms);
            true
        };
        if is_reported {
            self.by_incarnation.insert(incarnation, placements);
        }
    }
}

impl Relay {
    pub(crate) fn new(
        local_host: HostId,
        keeper: Address<Keeper>,
        fleet: Arc<FleetKeeper>,
        peers: Peers,
        applied: watch::Receiver<AppliedState>,
        times: FollowTimeouts,
    ) -> Self {
        Self {
            local_host,
            keeper,
            fleet,
            peers,
            applied,
            times,
            round_requested: Notify::new(),
            confirmed: watch::Sender::new(Confirmed::default()),
            rounds: RoundCounts::default(),
            unconfirmed_logged_ms: AtomicU64::new(0),
            renewals: Mutex::default(),
        }
    }

    /// The host of this keeper.
    pub(crate) fn local_host(&self) -> &HostId {
        &self.local_host
    }

    /// Records the placements that an incarnation of a host runs, for the next report to the leader.
    pub(crate) fn record_renewals(&self, incarnation: u64, placements: Vec<RunningPlacement>) {
        lock_ignoring_poison(&self.renewals).record(now_ms(), incarnation, placements);
    }

    /// Waits until the state, the registry or the leader changes, at most for the hold time. Returns at once
    /// for a follower without state.
    pub(crate) async fn wait_for_updates(&self, revision: u64, cursor: Cursor) {
        let mut registry = self.fleet.subscribe();
        let mut applied = self.applied.clone();
        let mut confirmed = self.confirmed.subscribe();
        let leader = confirmed.borrow_and_update().leader.clone();
        let has_updates = *registry.borrow_and_update() != cursor;
        if has_updates || revision == 0 {
            return;
        }
        let updates = async {
            tokio::select! {
                _ = registry.changed() => {}
                _ = applied.wait_for(|applied| applied.revision > revision) => {}
                _ = confirmed.wait_for(|confirmed| confirmed.leader != leader) => {}
            }
        };
        // After the time-out the follower is answered without updates.
        clayplank_clock::timeout(millis(self.times.long_poll_ms), updates).await.ok();
    }

    /// The newest started round.
    pub(crate) fn newest_round(&self) -> Round {
        Round(self.rounds.started.load(Ordering::SeqCst))
    }

    /// Waits until a round later than `round` is confirmed. Returns the leader, or `None` if no such round is
    /// confirmed in time.
    pub(crate) async fn confirm_after(&self, round: Round) -> Option<HostId> {
        let mut confirmed = self.confirmed.subscribe();
        let before = self.rounds.finished();
        self.round_requested.notify_one();
        let is_later = confirmed.wait_for(|confirmed| confirmed.round > round);
        match clayplank_clock::timeout(CONFIRM_TIMEOUT, is_later).await {
            Ok(confirmed) => confirmed.ok()?.leader.clone(),
            Err(_) => {
                self.log_unconfirmed(before);
                None
            }
        }
    }

    /// Logs that a follower was not confirmed, with the numbers of rounds that finished while it waited.
    /// Lines that would follow too early are omitted.
    fn log_unconfirmed(&self, before: (u64, u64)) {
        let now_ms = now_ms();
        let logged_ms = self.unconfirmed_logged_ms.load(Ordering::SeqCst);
        if logged_ms > 0 && now_ms < logged_ms + UNCONFIRMED_LOG_INTERVAL_MS {
            return;
        }
        self.unconfirmed_logged_ms.store(now_ms, Ordering::SeqCst);
        let (confirmed, failed) = self.rounds.finished();
        let leader = self.applied.borrow().leader.clone();
        log::warn!(target: log_target::KEEPER,
            leader = leader.as_ref().map_or("", HostId::as_str),
            rounds_confirmed = confirmed - before.0, rounds_failed = failed - before.1;
            "A follower is not confirmed");
    }

    /// Runs one round: a request to the leader, or to the local keeper if that is the leader.
    async fn run_round(&self, position: &mut Position) -> Result<HostId, RoundError> {
        let leader = self.applied.borrow().leader.clone().ok_or(RoundError::NoLeader)?;
        if leader == self.local_host {
            self.confirm_local_leadership().await?;
        } else {
            self.follow_leader(&leader, position).await?;
        }
        self.fleet.keepers().record_answer(leader.clone());
        Ok(leader)
    }

    /// Has the local keeper confirm that it is still the leader.
    async fn confirm_local_leadership(&self) -> Result<(), RoundError> {
        self.fleet.placement().renew_all(self.take_renewals());
        let applied_revision = self.applied.borrow().revision;
        let watch = Watch { host: self.local_host.clone(), applied_revision, wait_ms: 0 };
        let answer = self.keeper.send(watch).await.map_err(|_| RoundError::Stopping)?;
        match clayplank_clock::timeout(ROUND_TIMEOUT, answer).await {
            Ok(Ok(WatchOutcome::Delta(_))) => Ok(()),
            Ok(Ok(WatchOutcome::NotLeader(_))) | Err(_) => Err(RoundError::NoLeader),
            Ok(Err(_)) => Err(RoundError::Stopping),
        }
    }

    /// Requests registry updates from the leader, and waits until the local replica has applied the
    /// leader's revision.
    async fn follow_leader(
        &self,
        leader: &HostId,
        position: &mut Position,
    ) -> Result<(), RoundError> {
        let request = self.request(leader, position)?;
        let call = self
            .peers
            .call(leader, ROUND_TIMEOUT, |mut client| async move { client.follow(request).await });
        let Some(follow_reply::Result::Followed(followed)) = call.await?.result else {
            return Err(RoundError::NoLeader);
        };
        position.leader = Some(leader.clone());
        self.apply_answer(position, &followed)?;
        let revision = decode::<Delta>(&followed.delta)?.revision;
        let mut applied = self.applied.clone();
        let is_applied = applied.wait_for(|applied| applied.revision >= revision);
        match clayplank_clock::timeout(APPLY_TIMEOUT, is_applied).await {
            Ok(Ok(_)) => Ok(()),
            Ok(Err(_)) => Err(RoundError::Stopping),
            Err(_) => Err(RoundError::Behind),
        }
    }

    /// The request for updates after a position, with the pending renewals.
    fn request(&self, leader: &HostId, position: &Position) -> Result<FollowRequest, CodecError> {
        let is_other_leader = position.leader.as_ref().is_some_and(|former| former != leader);
        let digest = if is_other_leader || position.sends_digest {
            encode(&self.fleet.digest())?
        } else {
            Vec::new()
        };
        // A leader with a new registry may have lost upstreams that drain or have departed, and digests
        // do not cover the latter.
        let is_new_registry = position.leader.as_ref() != Some(leader) || position.sends_digest;
        let known = self.fleet.heartbeats_in(position.requested_buckets, is_new_registry);
        let now_ms = now_ms();
        let mut tunnel_hosts = self.fleet.tunnel_hosts();
        let asks_tunnel_hosts = tunnel_hosts.take_exchange(now_ms);
        let listed =
            if asks_tunnel_hosts { tunnel_hosts.sample_followers(now_ms) } else { Vec::new() };
        drop(tunnel_hosts);
        let keeper = KeeperFollow {
            tunnel_hosts: listed.iter().map(ToString::to_string).collect(),
            entry_hosts: self.fleet.count_local_followers(),
            renewals: encode(&self.take_renewals())?,
        };
        Ok(FollowRequest {
            from_host: self.local_host.to_string(),
            applied_revision: self.applied.borrow().revision,
            cursor: encode(&position.cursor)?,
            known: encode(&known)?,
            digest,
            keeper: Some(keeper),
            limits_cursor: encode(&position.limits_cursor)?,
            asks_tunnel_hosts,
            ..FollowRequest::default()
        })
    }

    /// Applies the leader's answer.
    fn apply_answer(&self, position: &mut Position, followed: &Followed) -> Result<(), RoundError> {
        let changes: Changes = unpack(&followed.changes)?;
        let heartbeats: Vec<_> =
            changes.records.into_iter().map(|record| record.heartbeat).collect();
        self.fleet.apply(&heartbeats);
        if !followed.limits.is_empty() {
            let changes: LimitChanges = decode(&followed.limits)?;
            self.fleet.record_limits(changes.limits);
            position.limits_cursor = changes.cursor;
        }
        self.fleet.record_leader_host_count(followed.entry_hosts);
        if !followed.tunnel_hosts.is_empty() {
            let hosts = followed.tunnel_hosts.iter().map(HostId::new).collect();
            let leader = HostId::new(&followed.leader);
            self.fleet.tunnel_hosts().record_reported(now_ms(), leader, hosts);
        }
        let keepers = self.fleet.keepers();
        keepers.set_keepers(followed.keepers.iter().map(HostId::new));
        let deputy = Some(&followed.deputy).filter(|host| !host.is_empty());
        keepers.set_deputy(deputy.map(HostId::new));
        position.cursor = changes.cursor;
        position.sends_digest = followed.asks_digest;
        position.requested_buckets = Buckets(followed.asks_known);
        Ok(())
    }

    fn take_renewals(&self) -> RenewalsByIncarnation {
        std::mem::take(&mut lock_ignoring_poison(&self.renewals).by_incarnation)
    }
}

/// Runs a round whenever a follower waits, and as soon as the leader changes.
pub(crate) async fn run_relay(relay: Arc<Relay>) {
    let mut position = Position::default();
    let mut applied = relay.applied.clone();
    loop {
        let known = relay.confirmed.borrow().leader.clone();
        tokio::select! {
            () = relay.round_requested.notified() => {}
            changed = applied.wait_for(|now| now.leader.is_some() && now.leader != known) => {
                if changed.is_err() {
                    return;
                }
            }
        }
        let round = relay.rounds.start();
        match relay.run_round(&mut position).await {
            Ok(leader) => {
                relay.rounds.confirmed.fetch_add(1, Ordering::SeqCst);
                relay.confirmed.send_replace(Confirmed { round, leader: Some(leader) });
            }
            Err(cause) => {
                relay.rounds.failed.fetch_add(1, Ordering::SeqCst);
                log::debug!(target: log_target::KEEPER,
                    "A round brought no confirmation for the followers: {cause}");
                // The followers still wait, so another round is needed.
                relay.round_requested.notify_one();
            }
        }
        clayplank_clock::sleep(ROUND_INTERVAL).await;
    }
}
