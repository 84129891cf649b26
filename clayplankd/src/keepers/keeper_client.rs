//! Finds the leading keeper and asks it.

use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_members::KnownKeepers;
use clayplank_settings::HostSettings;
use clayplank_state::{Body, Delta, Reply, decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{
    ExecuteRequest, FindLeaderRequest, InspectRequest, StoppingRequest, WatchRequest,
    execute_reply, inspect_reply, stopping_reply, watch_reply,
};
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

use crate::keepers::keeper_messages::WATCH_WAIT_MS;
use crate::process::clock::{millis, now_ms};
use crate::process::lock::lock;
use crate::process::logging::part;
use crate::process::peers::{PeerError, Peers};

/// Between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// How long a keeper that is asked who leads waits for a leader to speak: elections are over
/// within about half a second. One that is asked in time names the next leader with that one's
/// first heartbeat, so that nobody asks again and again meanwhile.
const LEADER_WAIT: Duration = Duration::from_millis(600);

/// A keeper that has not named a leader after this time may be cut off: another is asked as well.
/// Most elections are over by then, so that each host asks one or two keepers.
const NEXT_KEEPER_AFTER: Duration = Duration::from_millis(250);

/// Pause after a search that found no leader, drawn up to this time, in ms; after each further one twice
/// as long.
const SEARCH_PAUSE_MS: u64 = 100;

/// The longest such pause: all of a region may have lost power, and no host is served before it
/// has found a keeper.
const MAX_SEARCH_PAUSE_MS: u64 = 1_000;

/// Between two lines of a search that goes on, in ms: most end within a second.
const SEARCH_LINE_EVERY_MS: u64 = 3_000;

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
struct Known {
    keepers: KnownKeepers,
    /// The keeper that the leader named last to place while it is silent itself.
    deputy: Option<HostId>,
    /// When the leader last answered.
    answered_ms: u64,
}

/// A client of the keepers; commands are safe to send again.
#[derive(Clone, Debug)]
pub(crate) struct KeeperClient {
    peers: Peers,
    /// The host that asks; `None` where the settings name all keepers.
    own: Option<HostId>,
    known: Arc<Mutex<Known>>,
    /// Told that the leader may be gone.
    doubted: Arc<Notify>,
    /// Told of a keeper that was not known.
    learned: Arc<Notify>,
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
            known: Arc::new(Mutex::new(Known { keepers, ..Known::default() })),
            doubted: Arc::default(),
            learned: Arc::default(),
            found: watch::Sender::new(None),
        }
    }

    /// Takes in whom the settings name now.
    pub(crate) fn set_seeds(&self, seeds: impl IntoIterator<Item = HostId>) {
        lock(&self.known).keepers.set_seeds(seeds);
        self.learned.notify_one();
    }

    /// Takes in all keepers, as one of them that hears the leader knows them.
    pub(crate) fn set_keepers(&self, keepers: impl IntoIterator<Item = HostId>) {
        lock(&self.known).keepers.set_keepers(keepers);
    }

    /// Learns of keepers from others, which may be behind: none is forgotten for it.
    pub(crate) fn learn(&self, keepers: impl IntoIterator<Item = HostId>) {
        if lock(&self.known).keepers.learn_keepers(keepers) {
            self.learned.notify_one();
        }
    }

    /// Learns of hosts that may know keepers.
    pub(crate) fn learn_contacts(&self, hosts: impl IntoIterator<Item = HostId>) {
        let mut known = lock(&self.known);
        hosts.into_iter().for_each(|host| known.keepers.learn_contact(host));
    }

    /// All keepers that are known.
    pub(crate) fn hosts(&self) -> Vec<HostId> {
        lock(&self.known).keepers.keepers().to_vec()
    }

    /// Hosts that may know keepers, beside those that are known.
    pub(crate) fn contacts(&self) -> Vec<HostId> {
        lock(&self.known).keepers.contacts().cloned().collect()
    }

    /// The same, as they are named to another host: a few, and only where no keeper is known.
    pub(crate) fn named_contacts(&self) -> Vec<HostId> {
        lock(&self.known).keepers.named_contacts(&mut rand::rng())
    }

    /// Who led when it was last heard.
    pub(crate) fn leader(&self) -> Option<HostId> {
        lock(&self.known).keepers.leader().cloned()
    }

    /// The keeper that places while the leader is silent: the one that the leader named. Counted off
    /// from all keepers that were ever known, it was one that had been replaced, and each host
    /// chose engines alone until another keeper led.
    pub(crate) fn deputy(&self) -> Option<HostId> {
        let known = lock(&self.known);
        known.deputy.clone().filter(|deputy| Some(deputy) != known.keepers.leader())
    }

    /// Takes in whom the leader names.
    pub(crate) fn set_deputy(&self, deputy: Option<HostId>) {
        lock(&self.known).deputy = deputy;
    }

    /// Who led when it was last heard, if that was within this time, in ms.
    pub(crate) fn leader_heard_within(&self, within_ms: u64) -> Option<HostId> {
        let known = lock(&self.known);
        let is_heard = now_ms() <= known.answered_ms + within_ms;
        known.keepers.leader().filter(|_| is_heard).cloned()
    }

    /// Notes that the leader gave no answer where one was due: [`run_leader_search`] looks for
    /// the next one at once.
    pub(crate) fn doubt_leader(&self) {
        self.doubted.notify_one();
    }

    /// The leader that was found last, and those that follow it.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Option<HostId>> {
        self.found.subscribe()
    }

    /// Asks one host after the other who leads, until one of them hears a leader; `None` if none
    /// does for a while.
    async fn find_leader(&self) -> Option<HostId> {
        let mut asked = HashSet::new();
        let mut questions = JoinSet::new();
        while let Some(host) = self.next_to_ask(&asked) {
            asked.insert(host.clone());
            let client = self.clone();
            questions.spawn(async move { client.ask_for_leader(&host).await });
            let answered = next_answer(NEXT_KEEPER_AFTER, &mut questions).await;
            if let Some(Some(leader)) = answered {
                return Some(leader);
            }
        }
        let deadline = Instant::now() + LEADER_WAIT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            match next_answer(left, &mut questions).await {
                Some(Some(leader)) => return Some(leader),
                Some(None) => {}
                None => return None,
            }
        }
    }

    fn next_to_ask(&self, asked: &HashSet<HostId>) -> Option<HostId> {
        lock(&self.known).keepers.next_to_ask(asked, &mut rand::rng())
    }

    /// Asks a host for the leader that it hears next, and for the keepers that it knows.
    pub(crate) async fn ask_for_leader(&self, keeper: &HostId) -> Option<HostId> {
        let request = self.find_request(LEADER_WAIT);
        let patience = LEADER_WAIT + NEXT_KEEPER_AFTER;
        let answer = self
            .peers
            .call(keeper, patience, |mut client| async move { client.find_leader(request).await })
            .await;
        match answer {
            Ok(reply) => {
                self.learn(reply.keepers.into_iter().map(HostId::new));
                self.learn_contacts(reply.contacts.into_iter().map(HostId::new));
                Some(reply.leader_host).filter(|host| !host.is_empty()).map(HostId::new)
            }
            Err(error) => {
                log::debug!(target: part::KEEPER, "A keeper does not say who leads: {error}.");
                None
            }
        }
    }

    fn find_request(&self, wait: Duration) -> FindLeaderRequest {
        FindLeaderRequest {
            wait_ms: wait.as_millis() as u64,
            from_host: self.own.as_ref().map(ToString::to_string).unwrap_or_default(),
            keepers: self.hosts().iter().map(ToString::to_string).collect(),
        }
    }

    /// Makes the keepers known to the hosts that this one was told of: others may be told of the same.
    async fn tell_seeds(self) {
        let request = self.find_request(Duration::ZERO);
        let seeds = lock(&self.known).keepers.seeds().to_vec();
        let calls = seeds.iter().map(|seed| {
            let request = request.clone();
            self.peers.call(seed, LEADER_WAIT, |mut client| async move {
                client.find_leader(request).await
            })
        });
        for told in futures_util::future::join_all(calls).await {
            if let Err(error) = told {
                log::debug!(target: part::KEEPER, "The keepers were not made known: {error}.");
            }
        }
    }

    fn note_found(&self, leader: HostId) {
        let mut known = lock(&self.known);
        let former = known.keepers.set_leader(leader.clone());
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
        let keepers = known.keepers.keepers();
        let position = keepers.iter().position(|one| Some(one) == host);
        let next = position.map_or(0, |position| position + 1) % keepers.len().max(1);
        keepers.get(next).cloned()
    }

    /// Time in which a change of leader is over, for short exchanges.
    pub(crate) fn usual_patience(election_ms: u64) -> Duration {
        millis(election_ms * 8)
    }
}

/// What the next of the hosts answered that were asked; `None` if no answer came in time, or none is due.
async fn next_answer(
    patience: Duration,
    questions: &mut JoinSet<Option<HostId>>,
) -> Option<Option<HostId>> {
    let answered = clayplank_clock::timeout(patience, questions.join_next()).await.ok()??;
    // A question that panicked found nobody.
    Some(answered.ok().flatten())
}

/// Tells, now and then, that a search goes on.
struct SearchLog {
    began_ms: u64,
    told_ms: u64,
}

impl SearchLog {
    fn begin(now_ms: u64) -> Self {
        Self { began_ms: now_ms, told_ms: now_ms }
    }

    fn note_failed(&mut self, keepers: &KeeperClient) {
        let now_ms = now_ms();
        if now_ms < self.told_ms + SEARCH_LINE_EVERY_MS {
            return;
        }
        self.told_ms = now_ms;
        log::warn!(target: part::KEEPER,
            waited_ms = now_ms - self.began_ms,
            keepers = keepers.hosts().len(), contacts = keepers.contacts().len();
            "No leader is found");
    }
}

/// Looks for the leader whenever it is doubted.
pub(crate) async fn run_leader_search(keepers: KeeperClient) {
    loop {
        keepers.doubted.notified().await;
        let is_first = keepers.leader().is_none();
        let mut pause_ms = SEARCH_PAUSE_MS;
        let mut log = SearchLog::begin(now_ms());
        let leader = loop {
            if let Some(leader) = keepers.find_leader().await {
                break leader;
            }
            log.note_failed(&keepers);
            let pause = clayplank_clock::sleep(millis(rand::random_range(0..=pause_ms)));
            tokio::select! {
                () = pause => pause_ms = (2 * pause_ms).min(MAX_SEARCH_PAUSE_MS),
                () = keepers.learned.notified() => {}
            }
        };
        keepers.note_found(leader);
        if is_first {
            tokio::spawn(keepers.clone().tell_seeds());
        }
    }
}
