//! Finds the leading keeper and asks it.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_settings::HostSettings;
use clayplank_state::{Body, Delta, Reply, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{
    ExecuteRequest, InspectRequest, WatchRequest, execute_reply, inspect_reply, watch_reply,
};
use tokio::time::Instant;

use crate::clock::{millis, now_ms};
use crate::lock::lock;
use crate::logging::part;
use crate::peers::{PeerError, Peers};

/// Between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The longest wait for one keeper.
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
struct Known {
    hosts: Vec<HostId>,
    leader: Option<HostId>,
    /// When the leader last answered.
    answered_ms: u64,
}

/// A client of the keepers; commands are safe to send again.
#[derive(Clone, Debug)]
pub(crate) struct KeeperClient {
    peers: Peers,
    known: Arc<Mutex<Known>>,
}

/// One keeper's answer to a question that only the leader answers.
pub(crate) enum Asked<T> {
    Answer(T),
    NotLeader(String),
    Again,
}

impl KeeperClient {
    pub(crate) fn new(settings: &HostSettings, peers: Peers) -> Self {
        let keepers = settings.hosts.iter().filter(|entry| entry.keeper);
        Self::of_hosts(keepers.map(|entry| entry.host.clone()), peers)
    }

    /// Starts from keepers that are known; more may be learned.
    pub(crate) fn of_hosts(hosts: impl IntoIterator<Item = HostId>, peers: Peers) -> Self {
        let known = Known { hosts: hosts.into_iter().collect(), ..Known::default() };
        Self { peers, known: Arc::new(Mutex::new(known)) }
    }

    /// Learns of keepers; none is forgotten, since the newest list may come from one that is cut off.
    pub(crate) fn learn(&self, hosts: impl IntoIterator<Item = HostId>) {
        let mut known = lock(&self.known);
        for host in hosts {
            if !known.hosts.contains(&host) {
                known.hosts.push(host);
            }
        }
    }

    /// All keepers that are known.
    pub(crate) fn hosts(&self) -> Vec<HostId> {
        lock(&self.known).hosts.clone()
    }

    /// Who led when it was last heard.
    pub(crate) fn leader(&self) -> Option<HostId> {
        lock(&self.known).leader.clone()
    }

    /// Who led when it was last heard, if that was within this time, in ms.
    pub(crate) fn leader_heard_within(&self, within_ms: u64) -> Option<HostId> {
        let known = lock(&self.known);
        known.leader.clone().filter(|_| now_ms() <= known.answered_ms + within_ms)
    }

    /// Has a command applied. A resend of it must be harmless.
    pub(crate) async fn execute(
        &self,
        body: &Body,
        patience: Duration,
    ) -> Result<Reply, KeeperError> {
        let command = encode(body)?;
        let bytes = self
            .ask(patience, |peers, keeper, left| {
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
            .ask(patience, |peers, keeper, left| {
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
        self.ask(patience, |peers, keeper, left| async move {
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

    /// Asks one keeper after the other, the last leader first, until one answers.
    pub(crate) async fn ask<T, F, R>(&self, patience: Duration, call: F) -> Result<T, KeeperError>
    where
        F: Fn(Peers, HostId, Duration) -> R,
        R: Future<Output = Result<Asked<T>, PeerError>>,
    {
        let deadline = Instant::now() + patience;
        let mut next = self.leader().or_else(|| self.after(None));
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Some(keeper) = next.filter(|_| !left.is_zero()) else {
                return Err(KeeperError::NoLeader);
            };
            let asked = call(self.peers.clone(), keeper.clone(), left.min(CALL_PATIENCE)).await;
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
                    tokio::time::sleep(RETRY_PAUSE.min(left)).await;
                    self.after(Some(&keeper))
                }
            };
        }
    }

    fn note_answer(&self, keeper: HostId) {
        let mut known = lock(&self.known);
        known.leader = Some(keeper);
        known.answered_ms = now_ms();
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
        let position = known.hosts.iter().position(|one| Some(one) == host);
        let next = position.map_or(0, |position| position + 1) % known.hosts.len().max(1);
        known.hosts.get(next).cloned()
    }

    /// Time in which a change of leader is over, for short exchanges.
    pub(crate) fn usual_patience(election_ms: u64) -> Duration {
        millis(election_ms * 8)
    }
}
