//! Client of the keepers: sends requests to the leader, which `leader_search` finds.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_members::KnownKeepers;
use clayplank_settings::HostSettings;
use clayplank_state::{CommandBody, Delta, Reply, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{
    ExecuteRequest, InspectRequest, StoppingRequest, WatchRequest, execute_reply, inspect_reply,
    stopping_reply, watch_reply,
};
use tokio::sync::{Notify, watch};

use crate::keepers::keeper_messages::WATCH_HOLD_MS;
use crate::process::clock::{millis, now_ms};
use crate::process::lock::lock_ignoring_poison;
use crate::process::logging::log_target;
use crate::process::peers::{PeerError, Peers};

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Time after which an overdue answer makes the keeper suspect: a search for another leader then runs
/// while the call continues. Most commands take a few milliseconds; plans of several megabytes take
/// longer.
const SUSPECT_AFTER: Duration = Duration::from_millis(200);

/// Time-out of a call to one keeper; longer than the time for which a keeper holds a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reason for the failure of a request to the keepers.
#[derive(Debug, thiserror::Error)]
pub(crate) enum KeeperError {
    /// No leader answered in time. A command may have been applied or not.
    #[error("no keeper answered in time")]
    NoLeader,
    /// The command cannot be encoded, or the reply cannot be decoded.
    #[error(transparent)]
    Codec(#[from] clayplank_state::CodecError),
}

/// The known keepers, the last known leader and its deputy.
#[derive(Debug, Default)]
pub(super) struct ClientState {
    pub(super) hosts: KnownKeepers,
    /// The keeper that the leader named last to choose engines while the leader is unresponsive.
    deputy: Option<HostId>,
    /// Time of the leader's last answer, in ms.
    last_answer_ms: u64,
}

/// A client of the keepers. It may send a command more than once, so commands must be idempotent.
#[derive(Clone, Debug)]
pub(crate) struct KeeperClient {
    pub(super) peers: Peers,
    /// The host of this client; `None` if the settings name all keepers.
    pub(super) local_host: Option<HostId>,
    pub(super) state: Arc<Mutex<ClientState>>,
    /// Notified when the leader is suspected to have failed.
    pub(super) leader_suspected: Arc<Notify>,
    /// Notified when new keepers or bootstrap addresses become known.
    pub(super) hosts_learned: Arc<Notify>,
    /// The last leader found.
    found_leader: watch::Sender<Option<HostId>>,
    /// Whether the local host is stopping.
    is_stopping: Arc<AtomicBool>,
}

/// Result of a call to one keeper, for a request that only the leader answers.
pub(crate) enum CallOutcome<T> {
    Answer(T),
    /// The keeper is not the leader; holds the host that may lead, or an empty string.
    NotLeader(String),
    /// The keeper gave no usable answer; the request is sent again.
    Retry,
}

/// Time at which the leader's answer is due.
#[derive(Clone, Copy, Debug)]
enum AnswerDue {
    /// As soon as a quorum agrees.
    Immediate,
    /// As soon as there are updates, or after the time for which it holds a watch.
    AfterWatch,
}

impl AnswerDue {
    fn wait(self) -> Duration {
        match self {
            Self::Immediate => Duration::ZERO,
            Self::AfterWatch => millis(WATCH_HOLD_MS),
        }
    }
}

impl KeeperClient {
    pub(crate) fn new(settings: &HostSettings, peers: Peers) -> Self {
        let keepers = settings.hosts.iter().filter(|entry| entry.keeper);
        let keepers = KnownKeepers::from_keepers(keepers.map(|entry| entry.host.clone()));
        Self::from_known(None, keepers, peers)
    }

    /// Creates a client from bootstrap addresses: hosts that are keepers or may know some.
    pub(crate) fn from_bootstrap_hosts(
        local_host: HostId,
        bootstrap_hosts: impl IntoIterator<Item = HostId>,
        peers: Peers,
    ) -> Self {
        let keepers = KnownKeepers::from_bootstrap_hosts(local_host.clone(), bootstrap_hosts);
        Self::from_known(Some(local_host), keepers, peers)
    }

    fn from_known(local_host: Option<HostId>, keepers: KnownKeepers, peers: Peers) -> Self {
        Self {
            peers,
            local_host,
            state: Arc::new(Mutex::new(ClientState { hosts: keepers, ..ClientState::default() })),
            leader_suspected: Arc::default(),
            hosts_learned: Arc::default(),
            found_leader: watch::Sender::new(None),
            is_stopping: Arc::default(),
        }
    }

    /// Marks the local host as stopping, permanently.
    pub(crate) fn start_shutdown(&self) {
        self.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Whether the local host is stopping.
    pub(crate) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::SeqCst)
    }

    /// Replaces the bootstrap addresses by those that the settings now name.
    pub(crate) fn set_bootstrap_hosts(&self, bootstrap_hosts: impl IntoIterator<Item = HostId>) {
        lock_ignoring_poison(&self.state).hosts.set_bootstrap_hosts(bootstrap_hosts);
        self.hosts_learned.notify_one();
    }

    /// The bootstrap addresses that the settings name, without this host.
    pub(crate) fn bootstrap_hosts(&self) -> Vec<HostId> {
        lock_ignoring_poison(&self.state).hosts.bootstrap_hosts().to_vec()
    }

    /// Replaces the known keepers by the complete list of a keeper that hears the leader.
    pub(crate) fn set_keepers(&self, keepers: impl IntoIterator<Item = HostId>) {
        lock_ignoring_poison(&self.state).hosts.set_keepers(keepers);
    }

    /// Adds keepers that peers know. A peer's list may be outdated, so no keeper is removed.
    pub(crate) fn add_keepers(&self, keepers: impl IntoIterator<Item = HostId>) {
        if lock_ignoring_poison(&self.state).hosts.add_keepers(keepers) {
            self.hosts_learned.notify_one();
        }
    }

    /// Adds hosts that may know keepers.
    pub(crate) fn add_contacts(&self, hosts: impl IntoIterator<Item = HostId>) {
        let mut state = lock_ignoring_poison(&self.state);
        hosts.into_iter().for_each(|host| state.hosts.add_contact(host));
    }

    /// All known keepers.
    pub(crate) fn keepers(&self) -> Vec<HostId> {
        lock_ignoring_poison(&self.state).hosts.keepers().to_vec()
    }

    /// Hosts that may know keepers and are not known to be keepers themselves.
    pub(crate) fn contacts(&self) -> Vec<HostId> {
        lock_ignoring_poison(&self.state).hosts.contacts().cloned().collect()
    }

    /// The contacts to send to another host: a few of them, and only while no keeper is known.
    pub(crate) fn sample_contacts(&self) -> Vec<HostId> {
        lock_ignoring_poison(&self.state).hosts.sample_contacts(&mut rand::rng())
    }

    /// The last known leader.
    pub(crate) fn leader(&self) -> Option<HostId> {
        lock_ignoring_poison(&self.state).hosts.leader().cloned()
    }

    /// The keeper that chooses engines while the leader is unresponsive, as the leader named it. It is
    /// not derived from the list of known keepers, which may contain replaced ones: with a replaced
    /// keeper as deputy, each host would choose engines alone until another keeper leads.
    pub(crate) fn deputy(&self) -> Option<HostId> {
        let state = lock_ignoring_poison(&self.state);
        state.deputy.clone().filter(|deputy| Some(deputy) != state.hosts.leader())
    }

    /// Sets the deputy that the leader named.
    pub(crate) fn set_deputy(&self, deputy: Option<HostId>) {
        lock_ignoring_poison(&self.state).deputy = deputy;
    }

    /// The last known leader, if it answered within the last `within_ms`.
    pub(crate) fn recent_leader(&self, within_ms: u64) -> Option<HostId> {
        let state = lock_ignoring_poison(&self.state);
        let is_recent = now_ms() <= state.last_answer_ms + within_ms;
        state.hosts.leader().filter(|_| is_recent).cloned()
    }

    /// Suspects the leader, as an answer of it is overdue:
    /// [`run_leader_search`](super::leader_search::run_leader_search) searches for the next one at once.
    pub(crate) fn suspect_leader(&self) {
        self.leader_suspected.notify_one();
    }

    /// Subscribes to the found leader and its changes.
    pub(crate) fn subscribe_leader(&self) -> watch::Receiver<Option<HostId>> {
        self.found_leader.subscribe()
    }

    pub(super) fn record_leader(&self, leader: HostId) {
        let mut state = lock_ignoring_poison(&self.state);
        let former = state.hosts.set_leader(leader.clone());
        let last_answer_ms = state.last_answer_ms;
        drop(state);
        if former.as_ref() != Some(&leader) {
            log::info!(target: log_target::KEEPER,
                leader = leader.as_str(), former = former.as_ref().map_or("", HostId::as_str),
                silent_ms = now_ms().saturating_sub(last_answer_ms);
                "Found the next leader");
        }
        self.found_leader.send_if_modified(|found| {
            let is_new = found.as_ref() != Some(&leader);
            *found = Some(leader);
            is_new
        });
    }

    /// Has a command applied. It may be sent more than once, so it must be idempotent.
    pub(crate) async fn execute(
        &self,
        body: &CommandBody,
        timeout: Duration,
    ) -> Result<Reply, KeeperError> {
        let command = encode(body)?;
        let bytes = self
            .call_leader(AnswerDue::Immediate, timeout, |peers, keeper, remaining| {
                let request = ExecuteRequest { command: command.clone(), hops: 0 };
                async move {
                    let call = peers.call(&keeper, remaining, |mut client| async move {
                        client.execute(request).await
                    });
                    Ok(match call.await?.result {
                        Some(execute_reply::Result::Reply(bytes)) => CallOutcome::Answer(bytes),
                        Some(execute_reply::Result::NotLeaderHint(hint)) => {
                            CallOutcome::NotLeader(hint)
                        }
                        Some(execute_reply::Result::Unknown(_)) | None => CallOutcome::Retry,
                    })
                }
            })
            .await?;
        Ok(decode(&bytes)?)
    }

    /// Waits for settings after a revision, or for their confirmation. Also returns the time, in ms, at
    /// which the request was sent to the keeper that answered.
    pub(crate) async fn watch(
        &self,
        host: &HostId,
        revision: u64,
        timeout: Duration,
    ) -> Result<(Delta, u64), KeeperError> {
        let (bytes, requested_ms) = self
            .call_leader(AnswerDue::AfterWatch, timeout, |peers, keeper, remaining| {
                let request =
                    WatchRequest { from_host: host.to_string(), applied_revision: revision };
                let requested_ms = now_ms();
                async move {
                    let call = peers.call(&keeper, remaining, |mut client| async move {
                        client.watch(request).await
                    });
                    Ok(match call.await?.result {
                        Some(watch_reply::Result::Delta(bytes)) => {
                            CallOutcome::Answer((bytes, requested_ms))
                        }
                        Some(watch_reply::Result::NotLeaderHint(hint)) => {
                            CallOutcome::NotLeader(hint)
                        }
                        None => CallOutcome::Retry,
                    })
                }
            })
            .await?;
        Ok((decode(&bytes)?, requested_ms))
    }

    /// The leader's status of the keepers, as JSON.
    pub(crate) async fn inspect(&self, timeout: Duration) -> Result<String, KeeperError> {
        self.call_leader(AnswerDue::Immediate, timeout, |peers, keeper, remaining| async move {
            let request = InspectRequest {};
            let call = peers.call(&keeper, remaining, |mut client| async move {
                client.inspect(request).await
            });
            Ok(match call.await?.result {
                Some(inspect_reply::Result::Json(json)) => CallOutcome::Answer(json),
                Some(inspect_reply::Result::NotLeaderHint(hint)) => CallOutcome::NotLeader(hint),
                None => CallOutcome::Retry,
            })
        })
        .await
    }

    /// Announces to the leader that a keeper's host is about to stop. Returns whether it may stop.
    pub(crate) async fn request_stop(
        &self,
        host: &HostId,
        timeout: Duration,
    ) -> Result<bool, KeeperError> {
        self.call_leader(AnswerDue::Immediate, timeout, |peers, keeper, remaining| {
            let request = StoppingRequest { from_host: host.to_string() };
            async move {
                let call = peers.call(&keeper, remaining, |mut client| async move {
                    client.stopping(request).await
                });
                Ok(match call.await?.result {
                    Some(stopping_reply::Result::MayStop(may_stop)) => {
                        CallOutcome::Answer(may_stop)
                    }
                    Some(stopping_reply::Result::NotLeaderHint(hint)) => {
                        CallOutcome::NotLeader(hint)
                    }
                    None => CallOutcome::Retry,
                })
            }
        })
        .await
    }

    /// The connections to peers.
    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Calls one keeper after the other, the last known leader first, until one answers as the leader.
    async fn call_leader<T, F, R>(
        &self,
        due: AnswerDue,
        timeout: Duration,
        call: F,
    ) -> Result<T, KeeperError>
    where
        F: Fn(Peers, HostId, Duration) -> R,
        R: Future<Output = Result<CallOutcome<T>, PeerError>>,
    {
        let deadline = Instant::now() + timeout;
        let mut found = self.subscribe_leader();
        let mut next = self.leader().or_else(|| self.keeper_after(None));
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Some(keeper) = next.filter(|_| !remaining.is_zero()) else {
                return Err(KeeperError::NoLeader);
            };
            let outcome = tokio::select! {
                answer = call(self.peers.clone(), keeper.clone(), remaining.min(CALL_TIMEOUT)) => answer,
                () = self.wait_for_other_leader(&keeper, due, &mut found) => {
                    next = self.leader();
                    continue;
                }
            };
            let hint = match outcome {
                Ok(CallOutcome::Answer(answer)) => {
                    self.record_answer(keeper);
                    return Ok(answer);
                }
                Ok(CallOutcome::NotLeader(hint)) => self.resolve_hint(&hint),
                Ok(CallOutcome::Retry) => None,
                Err(error) => {
                    log::debug!(target: log_target::KEEPER, "A call to a keeper failed: {error}");
                    None
                }
            };
            next = match hint.filter(|hint| *hint != keeper) {
                Some(hint) => Some(hint),
                None => {
                    clayplank_clock::sleep(RETRY_PAUSE.min(remaining)).await;
                    self.keeper_after(Some(&keeper))
                }
            };
        }
    }

    /// Waits until a keeper other than this one is found to lead; searches for it if the answer of this
    /// one is overdue. Leaders found before the wait do not count: the last one found may be the former
    /// leader, and a watch held by its successor would be abandoned for it again and again, until the
    /// lease of the settings ends.
    async fn wait_for_other_leader(
        &self,
        keeper: &HostId,
        due: AnswerDue,
        found: &mut watch::Receiver<Option<HostId>>,
    ) {
        clayplank_clock::sleep(due.wait() + SUSPECT_AFTER).await;
        self.suspect_leader();
        while found.changed().await.is_ok() {
            let is_other =
                found.borrow_and_update().as_ref().is_some_and(|leader| leader != keeper);
            if is_other {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Records that a keeper answered as the leader.
    pub(crate) fn record_answer(&self, keeper: HostId) {
        self.record_leader(keeper);
        lock_ignoring_poison(&self.state).last_answer_ms = now_ms();
    }

    /// The host that a hint names, which is added to the known keepers; `None` if the hint is empty.
    fn resolve_hint(&self, hint: &str) -> Option<HostId> {
        if hint.is_empty() {
            return None;
        }
        let host = HostId::new(hint);
        self.add_keepers([host.clone()]);
        Some(host)
    }

    /// The known keeper after `host` in the order of the list; the first one if `host` is not in it.
    fn keeper_after(&self, host: Option<&HostId>) -> Option<HostId> {
        let state = lock_ignoring_poison(&self.state);
        let keepers = state.hosts.keepers();
        let position = keepers.iter().position(|keeper| Some(keeper) == host);
        let next = position.map_or(0, |position| position + 1) % keepers.len().max(1);
        keepers.get(next).cloned()
    }

    /// Default time-out of short requests: a change of leader is over within this time.
    pub(crate) fn default_timeout(election_ms: u64) -> Duration {
        millis(election_ms * 8)
    }
}
