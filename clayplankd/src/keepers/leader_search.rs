//! Finds the leading keeper: by the keepers that are known, and by hosts that may know some.

use std::collections::HashSet;
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::HostId;
use clayplank_wire::FindLeaderRequest;
use tokio::task::JoinSet;

use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, now_ms};
use crate::process::lock::lock;
use crate::process::logging::part;

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

impl KeeperClient {
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
        lock(&self.known).hosts.next_to_ask(asked, &mut rand::rng())
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
        let seeds = lock(&self.known).hosts.seeds().to_vec();
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
