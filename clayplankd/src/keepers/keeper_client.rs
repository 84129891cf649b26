//! Asks the leading keeper; the search for it stands in `leader_search`.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_members::KnownKeepers;
use clayplank_settings::HostSettings;
use clayplank_state::{Body, Delta, Reply, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{
    ExecuteRequest, InspectRequest, StoppingRequest, WatchRequest, execute_reply, inspect_reply,
    stopping_reply, watch_reply,
};
use tokio::sync::{Notify, watch};

use crate::keepers::keeper_messages::WATCH_WAIT_MS;
use crate::process::clock::{millis, now_ms};
use crate::process::lock::lock;
use crate::process::logging::part;
use crate::process::peers::{PeerError, Peers};

/// Between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// A keeper that does not answer this long after its answer was due may be dead: whether another
/// one leads is found out meanwhile. Most commands take a few milliseconds, plans of megabytes
/// longer.
const DOUBT_AFTER: Duration = Duration::from_millis(200);

/// The longest wait for one keeper; longer than it holds a watch.
const CALL_PATIENCE: Duration = Duration::from_millis(1_500);

/// Why no keeper did what was asked.
#[derive(Debug, thiserror::Error)]
pub(crate) enum KeeperError {
    /// No leader was found in time. The command may be applied or not.
    #[error("no keeper answered in time")]
    NoLeader,
    /// The command or the reply cannot be encoded.
    #[error(transparent)]
    Codec(#[from] clayplank_state::CodecError),
}

/// The keepers that are known, and who led last.
#[derive(Debug, Default)]
pub(super) struct Known {
    pub(super) hosts: KnownKeepers,
    /// The keeper that the leader named last to place while it is silent itself.
    deputy: Option<HostId>,
    /// When the leader last answered.
    answered_ms: u64,
}

/// A client of the keepers; commands are safe to send again.
#[derive(Clone, Debug)]
pub(crate) struct KeeperClient {
    pub(super) peers: Peers,
    /// The host that asks; `None` where the settings name all keepers.
    pub(super) own: Option<HostId>,
    pub(super) known: Arc<Mutex<Known>>,
    /// Told that the leader may be gone.
    pub(super) doubted: Arc<Notify>,
    /// Told of a keeper that was not known.
    pub(super) learned: Arc<Notify>,
    /// The leader that was found last.
    found: watch::Sender<Option<HostId>>,
}

/// One keeper's answer to a question that only the leader answers.
pub(crate) enum Asked<T> {
    Answer(T),
    NotLeader(String),
    Again,
}

/// When a keeper that leads answers.
#[derive(Clone, Copy, Debug)]
enum AnswerDue {
    /// As soon as a quorum agrees.
    AtOnce,
    /// As soon as there is news, or after the time for which it holds a watch.
    AfterWatch,
}

impl AnswerDue {
    fn wait(self) -> Duration {
        match self {
            Self::AtOnce => Duration::ZERO,
            Self::AfterWatch => millis(WATCH_WAIT_MS),
        }
    }
}

impl KeeperClient {
    pub(crate) fn new(settings: &HostSettings, peers: Peers) -> Self {
        let keepers = settings.hosts.iter().filter(|entry| entry.keeper);
        let keepers = KnownKeepers::of_keepers(keepers.map(|entry| entry.host.clone()));
        Self::of_known(None, keepers, peers)
    }

    /// Starts from hosts that may know keepers, or be some.
    pub(crate) fn of_seeds(
        own: HostId,
        seeds: impl IntoIterator<Item = HostId>,
        peers: Peers,
    ) -> Self {
        let keepers = KnownKeepers::of_seeds(own.clone(), seeds);
        Self::of_known(Some(own), keepers, peers)
    }

    fn of_known(own: Option<HostId>, keepers: KnownKeepers, peers: Peers) -> Self {
        Self {
            peers,
            own,
            known: Arc::new(Mutex::new(Known { hosts: keepers, ..Known::default() })),
            doubted: Arc::default(),
            learned: Arc::default(),
            found: watch::Sender::new(None),
        }
    }

    /// Takes in whom the settings name now.
    pub(crate) fn set_seeds(&self, seeds: impl IntoIterator<Item = HostId>) {
        lock(&self.known).hosts.set_seeds(seeds);
        self.learned.notify_one();
    }

    /// Takes in all keepers, as one of them that hears the leader knows them.
    pub(crate) fn set_keepers(&self, keepers: impl IntoIterator<Item = HostId>) {
        lock(&self.known).hosts.set_keepers(keepers);
    }

    /// Learns of keepers from others, which may be behind: none is forgotten for it.
    pub(crate) fn learn(&self, keepers: impl IntoIterator<Item = HostId>) {
        if lock(&self.known).hosts.learn_keepers(keepers) {
            self.learned.notify_one();
        }
    }

    /// Learns of hosts that may know keepers.
    pub(crate) fn learn_contacts(&self, hosts: impl IntoIterator<Item = HostId>) {
        let mut known = lock(&self.known);
        hosts.into_iter().for_each(|host| known.hosts.learn_contact(host));
    }

    /// All keepers that are known.
    pub(crate) fn hosts(&self) -> Vec<HostId> {
        lock(&self.known).hosts.keepers().to_vec()
    }

    /// Hosts that may know keepers, beside those that are known.
    pub(crate) fn contacts(&self) -> Vec<HostId> {
        lock(&self.known).hosts.contacts().cloned().collect()
    }

    /// The same, as they are named to another host: a few, and only where no keeper is known.
    pub(crate) fn named_contacts(&self) -> Vec<HostId> {
        lock(&self.known).hosts.named_contacts(&mut rand::rng())
    }

    /// Who led when it was last heard.
    pub(crate) fn leader(&self) -> Option<HostId> {
        lock(&self.known).hosts.leader().cloned()
    }

    /// The keeper that places while the leader is silent: the one that the leader named. Counted off
    /// from all keepers that were ever known, it was one that had been replaced, and each host
    /// chose engines alone until another keeper led.
    pub(crate) fn deputy(&self) -> Option<HostId> {
        let known = lock(&self.known);
        known.deputy.clone().filter(|deputy| Some(deputy) != known.hosts.leader())
    }

    /// Takes in whom the leader names.
    pub(crate) fn set_deputy(&self, deputy: Option<HostId>) {
        lock(&self.known).deputy = deputy;
    }

    /// Who led when it was last heard, if that was within this time, in ms.
    pub(crate) fn leader_heard_within(&self, within_ms: u64) -> Option<HostId> {
        let known = lock(&self.known);
        let is_heard = now_ms() <= known.answered_ms + within_ms;
        known.hosts.leader().filter(|_| is_heard).cloned()
    }

    /// Notes that the leader gave no answer where one was due: [`run_leader_search`](super::leader_search::run_leader_search) looks for
    /// the next one at once.
    pub(crate) fn doubt_leader(&self) {
        self.doubted.notify_one();
    }

    /// The leader that was found last, and those that follow it.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<HostId>> {
        self.found.subscribe()
    }

    pub(super) fn note_found(&self, leader: HostId) {
        let mut known = lock(&self.known);
        let former = known.hosts.set_leader(leader.clone());
        let heard_ms = known.answered_ms;
        drop(known);
        if former.as_ref() != Some(&leader) {
            log::info!(target: part::KEEPER,
                leader = leader.as_str(), former = former.as_ref().map_or("", HostId::as_str),
                silent_ms = now_ms().saturating_sub(heard_ms);
                "Found the next leader");
        }
        self.found.send_if_modified(|found| {
            let is_new = found.as_ref() != Some(&leader);
            *found = Some(leader);
            is_new
        });
    }

    /// Has a command applied. A resend of it must be harmless.
    pub(crate) async fn execute(
        &self,
        body: &Body,
        patience: Duration,
    ) -> Result<Reply, KeeperError> {
        let command = encode(body)?;
        let bytes = self
            .ask(AnswerDue::AtOnce, patience, |peers, keeper, left| {
                let request = ExecuteRequest { command: command.clone(), hops: 0 };
                async move {
                    let call = peers.call(&keeper, left, |mut client| async move {
                        client.execute(request).await
                    });
                    Ok(match call.await?.result {
                        Some(execute_reply::Result::Reply(bytes)) => Asked::Answer(bytes),
                        Some(execute_reply::Result::NotLeaderHint(hint)) => Asked::NotLeader(hint),
                        Some(execute_reply::Result::Unknown(_)) | None => Asked::Again,
                    })
                }
            })
            .await?;
        Ok(decode(&bytes)?)
    }

    /// Waits for settings after a revision, or for their confirmation; says when
    /// the keeper that answered was asked.
    pub(crate) async fn watch(
        &self,
        host: &HostId,
        revision: u64,
        patience: Duration,
    ) -> Result<(Delta, u64), KeeperError> {
        let (bytes, asked_ms) = self
            .ask(AnswerDue::AfterWatch, patience, |peers, keeper, left| {
                let request =
                    WatchRequest { from_host: host.to_string(), applied_revision: revision };
                let asked_ms = now_ms();
                async move {
                    let call = peers.call(&keeper, left, |mut client| async move {
                        client.watch(request).await
                    });
                    Ok(match call.await?.result {
                        Some(watch_reply::Result::Delta(bytes)) => Asked::Answer((bytes, asked_ms)),
                        Some(watch_reply::Result::NotLeaderHint(hint)) => Asked::NotLeader(hint),
                        None => Asked::Again,
                    })
                }
            })
            .await?;
        Ok((decode(&bytes)?, asked_ms))
    }

    /// The leader's view, as JSON.
    pub(crate) async fn inspect(&self, patience: Duration) -> Result<String, KeeperError> {
        self.ask(AnswerDue::AtOnce, patience, |peers, keeper, left| async move {
            let request = InspectRequest {};
            let call = peers
                .call(&keeper, left, |mut client| async move { client.inspect(request).await });
            Ok(match call.await?.result {
                Some(inspect_reply::Result::Json(json)) => Asked::Answer(json),
                Some(inspect_reply::Result::NotLeaderHint(hint)) => Asked::NotLeader(hint),
                None => Asked::Again,
            })
        })
        .await
    }

    /// Tells the leader that a keeper's host is about to stop; says whether it may.
    pub(crate) async fn ask_to_stop(
        &self,
        host: &HostId,
        patience: Duration,
    ) -> Result<bool, KeeperError> {
        self.ask(AnswerDue::AtOnce, patience, |peers, keeper, left| {
            let request = StoppingRequest { from_host: host.to_string() };
            async move {
                let call = peers.call(&keeper, left, |mut client| async move {
                    client.stopping(request).await
                });
                Ok(match call.await?.result {
                    Some(stopping_reply::Result::MayStop(may_stop)) => Asked::Answer(may_stop),
                    Some(stopping_reply::Result::NotLeaderHint(hint)) => Asked::NotLeader(hint),
                    None => Asked::Again,
                })
            }
        })
        .await
    }

    /// The connections to the keepers.
    pub(crate) fn peers(&self) -> &Peers {
        &self.peers
    }

    /// Asks one keeper after the other, the last leader first, until one answers.
    async fn ask<T, F, R>(
        &self,
        due: AnswerDue,
        patience: Duration,
        call: F,
    ) -> Result<T, KeeperError>
    where
        F: Fn(Peers, HostId, Duration) -> R,
        R: Future<Output = Result<Asked<T>, PeerError>>,
    {
        let deadline = Instant::now() + patience;
        let mut found = self.subscribe();
        let mut next = self.leader().or_else(|| self.after(None));
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Some(keeper) = next.filter(|_| !left.is_zero()) else {
                return Err(KeeperError::NoLeader);
            };
            let asked = tokio::select! {
                asked = call(self.peers.clone(), keeper.clone(), left.min(CALL_PATIENCE)) => asked,
                () = self.replaced(&keeper, due, &mut found) => {
                    next = self.leader();
                    continue;
                }
            };
            let hint = match asked {
                Ok(Asked::Answer(answer)) => {
                    self.note_answer(keeper);
                    return Ok(answer);
                }
                Ok(Asked::NotLeader(hint)) => self.find(&hint),
                Ok(Asked::Again) => None,
                Err(error) => {
                    log::debug!(target: part::KEEPER, "A keeper gave no answer: {error}.");
                    None
                }
            };
            next = match hint.filter(|hint| *hint != keeper) {
                Some(hint) => Some(hint),
                None => {
                    clayplank_clock::sleep(RETRY_PAUSE.min(left)).await;
                    self.after(Some(&keeper))
                }
            };
        }
    }

    /// Waits until another keeper than this one is found to lead; looks for it if this one takes
    /// long. What was found earlier does not count: it may be the former leader, and a watch held
    /// by the next one would be given up for it again and again, until the settings lapse.
    async fn replaced(
        &self,
        keeper: &HostId,
        due: AnswerDue,
        found: &mut watch::Receiver<Option<HostId>>,
    ) {
        clayplank_clock::sleep(due.wait() + DOUBT_AFTER).await;
        self.doubt_leader();
        while found.changed().await.is_ok() {
            let is_other = found.borrow_and_update().as_ref().is_some_and(|one| one != keeper);
            if is_other {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Notes that a keeper answered as the leader.
    pub(crate) fn note_answer(&self, keeper: HostId) {
        self.note_found(keeper);
        lock(&self.known).answered_ms = now_ms();
    }

    /// The host that a hint names; a keeper that was not known is learned.
    fn find(&self, hint: &str) -> Option<HostId> {
        if hint.is_empty() {
            return None;
        }
        let host = HostId::new(hint);
        self.learn([host.clone()]);
        Some(host)
    }

    fn after(&self, host: Option<&HostId>) -> Option<HostId> {
        let known = lock(&self.known);
        let keepers = known.hosts.keepers();
        let position = keepers.iter().position(|one| Some(one) == host);
        let next = position.map_or(0, |position| position + 1) % keepers.len().max(1);
        keepers.get(next).cloned()
    }

    /// Time in which a change of leader is over, for short exchanges.
    pub(crate) fn usual_patience(election_ms: u64) -> Duration {
        millis(election_ms * 8)
    }
}
