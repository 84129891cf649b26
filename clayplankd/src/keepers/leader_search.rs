//! Search for the leading keeper, by querying the known keepers and hosts that may know some.

use std::collections::HashSet;
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_types::HostId;
use clayplank_wire::FindLeaderRequest;
use tokio::task::JoinSet;

use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::{millis, now_ms};
use crate::process::lock::lock_ignoring_poison;
use crate::process::logging::log_target;

/// Time for which a queried keeper waits to hear from a leader before it answers: elections are over
/// within about half a second. A keeper queried during an election answers at the first heartbeat of
/// the new leader, so that clients need not poll.
const LEADER_WAIT: Duration = Duration::from_millis(600);

/// Time after which the next keeper is queried in addition: the previous one may be partitioned off.
/// Most elections are over by then, so that each host queries one or two keepers.
const NEXT_KEEPER_DELAY: Duration = Duration::from_millis(250);

/// Maximum random pause after the first search that found no leader, in ms. It doubles with each
/// further search that finds none.
const SEARCH_PAUSE_MS: u64 = 100;

/// Upper limit of that maximum, in ms. It is short because a complete region may restart after a
/// power failure, and no host serves requests before it has found a keeper.
const MAX_SEARCH_PAUSE_MS: u64 = 1_000;

/// Interval between two log lines on an ongoing search, in ms: most searches end within a second.
const SEARCH_LOG_INTERVAL_MS: u64 = 3_000;

impl KeeperClient {
    /// Queries one host after the other, without waiting for earlier ones to answer, until one names a
    /// leader; `None` if none does in time.
    async fn find_leader(&self) -> Option<HostId> {
        let mut queried = HashSet::new();
        let mut queries = JoinSet::new();
        while let Some(host) = self.next_to_query(&queried) {
            queried.insert(host.clone());
            let client = self.clone();
            queries.spawn(async move { client.query_leader(&host).await });
            let answered = next_answer(NEXT_KEEPER_DELAY, &mut queries).await;
            if let Some(Some(leader)) = answered {
                return Some(leader);
            }
        }
        let deadline = Instant::now() + LEADER_WAIT;
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            match next_answer(remaining, &mut queries).await {
                Some(Some(leader)) => return Some(leader),
                Some(None) => {}
                None => return None,
            }
        }
    }

    /// The next host to query, except those in `queried`.
    fn next_to_query(&self, queried: &HashSet<HostId>) -> Option<HostId> {
        lock_ignoring_poison(&self.state).hosts.next_to_query(queried, &mut rand::rng())
    }

    /// Queries a host for the next leader that it hears from, and adds the keepers and contacts that it
    /// knows.
    pub(crate) async fn query_leader(&self, keeper: &HostId) -> Option<HostId> {
        let request = self.find_leader_request(LEADER_WAIT);
        let timeout = LEADER_WAIT + NEXT_KEEPER_DELAY;
        let answer = self
            .peers
            .call(keeper, timeout, |mut client| async move { client.find_leader(request).await })
            .await;
        match answer {
            Ok(reply) => {
                self.add_keepers(reply.keepers.into_iter().map(HostId::new));
                self.add_contacts(reply.contacts.into_iter().map(HostId::new));
                Some(reply.leader_host).filter(|host| !host.is_empty()).map(HostId::new)
            }
            Err(error) => {
                log::debug!(target: log_target::KEEPER, "A query for the leader failed: {error}");
                None
            }
        }
    }

    fn find_leader_request(&self, wait: Duration) -> FindLeaderRequest {
        FindLeaderRequest {
            wait_ms: wait.as_millis() as u64,
            from_host: self.local_host.as_ref().map(ToString::to_string).unwrap_or_default(),
            keepers: self.keepers().iter().map(ToString::to_string).collect(),
        }
    }

    /// Sends the known keepers to the bootstrap addresses: other hosts may start from the same ones.
    async fn notify_bootstrap_hosts(self) {
        let request = self.find_leader_request(Duration::ZERO);
        let bootstrap_hosts = self.bootstrap_hosts();
        let calls = bootstrap_hosts.iter().map(|host| {
            let request = request.clone();
            self.peers.call(host, LEADER_WAIT, |mut client| async move {
                client.find_leader(request).await
            })
        });
        for sent in futures_util::future::join_all(calls).await {
            if let Err(error) = sent {
                log::debug!(target: log_target::KEEPER,
                    "Could not send the known keepers to a bootstrap address: {error}");
            }
        }
    }
}

/// The next answer of a queried host; `None` if none came within the time-out, or no query is running.
async fn next_answer(
    timeout: Duration,
    queries: &mut JoinSet<Option<HostId>>,
) -> Option<Option<HostId>> {
    let answered = clayplank_clock::timeout(timeout, queries.join_next()).await.ok()??;
    // A query whose task panicked counts as one that found no leader.
    Some(answered.ok().flatten())
}

/// Logs at intervals that a search has found no leader yet.
struct SearchLog {
    started_ms: u64,
    /// Time of the last line, or the start of the search before the first one, in ms.
    logged_ms: u64,
}

impl SearchLog {
    fn start(now_ms: u64) -> Self {
        Self { started_ms: now_ms, logged_ms: now_ms }
    }

    fn log_failure(&mut self, keepers: &KeeperClient) {
        let now_ms = now_ms();
        if now_ms < self.logged_ms + SEARCH_LOG_INTERVAL_MS {
            return;
        }
        self.logged_ms = now_ms;
        log::warn!(target: log_target::KEEPER,
            waited_ms = now_ms - self.started_ms,
            keepers = keepers.keepers().len(), contacts = keepers.contacts().len();
            "The search for the leader has found none yet");
    }
}

/// Searches for the leader whenever it is suspected to have failed.
pub(crate) async fn run_leader_search(keepers: KeeperClient) {
    loop {
        keepers.leader_suspected.notified().await;
        let is_first = keepers.leader().is_none();
        let mut pause_ms = SEARCH_PAUSE_MS;
        let mut log = SearchLog::start(now_ms());
        let leader = loop {
            if let Some(leader) = keepers.find_leader().await {
                break leader;
            }
            log.log_failure(&keepers);
            let pause = clayplank_clock::sleep(millis(rand::random_range(0..=pause_ms)));
            tokio::select! {
                () = pause => pause_ms = (2 * pause_ms).min(MAX_SEARCH_PAUSE_MS),
                () = keepers.hosts_learned.notified() => {}
            }
        };
        keepers.record_leader(leader);
        if is_first {
            tokio::spawn(keepers.clone().notify_bootstrap_hosts());
        }
    }
}
