//! Background tasks of a keeper: ticks, sending messages to peers, and joining the other keepers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use clayplank_agreement::{BlankKeeper, Envelope, Introduction, Join, ReplicaId, plan_join};
use clayplank_clock::Instant;
use clayplank_state::{decode, encode};
use clayplank_types::HostId;
use clayplank_wire::{IntroduceRequest, StepRequest};
use tokio::sync::mpsc;
use xtra::Address;

use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_client::KeeperClient;
use crate::keepers::keeper_log::WaitLog;
use crate::keepers::keeper_messages::{GetJoinStatus, JoinStatus, StartLog, Tick};
use crate::process::clock::millis;
use crate::process::logging::log_target;
use crate::process::peers::Peers;

/// Range of the interval between two ticks of the replica, in ms. Each interval is random: with a fixed
/// one, keepers that started at the same time would start elections at the same time and split the
/// votes.
const TICK_INTERVAL_MS: std::ops::RangeInclusive<u64> = 8..=28;

/// Interval between two introductions of a keeper that is not a voter yet.
const INTRODUCE_INTERVAL: Duration = Duration::from_millis(300);

/// Minimum interval between two introductions of a voter to the bootstrap addresses that are not
/// keepers. These hosts name it to hosts that only know them; without the introduction, a host that
/// has just started knows no keeper.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);

/// Time-out of an introduction.
const INTRODUCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time-out of a call that delivers messages to a peer. The messages are then dropped; replication
/// sends them again.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of messages queued for one peer; further ones are dropped.
const PEER_QUEUE_MESSAGES: usize = 256;

/// Maximum number of messages sent to a peer in one call.
const MAX_STEP_MESSAGES: usize = 64;

/// Sends ticks to the keeper until it terminates.
pub(crate) async fn run_ticks(keeper: Address<Keeper>) {
    loop {
        clayplank_clock::sleep(millis(rand::random_range(TICK_INTERVAL_MS))).await;
        if keeper.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Queues each message for the task of its peer, so that a stalled peer does not delay the others.
pub(crate) async fn run_outbox(mut outbox: mpsc::UnboundedReceiver<Envelope>, peers: Peers) {
    let mut queues: HashMap<String, mpsc::Sender<Envelope>> = HashMap::new();
    while let Some(envelope) = outbox.recv().await {
        let host = envelope.to.host.clone();
        // The task of a peer only ends by a panic; the next message starts another one.
        queues.retain(|_, queue| !queue.is_closed());
        let queue = queues.entry(host).or_insert_with_key(|host| {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE_MESSAGES);
            tokio::spawn(send_to_peer(HostId::new(host.clone()), receiver, peers.clone()));
            sender
        });
        // A full queue drops the message, which replication sends again.
        queue.try_send(envelope).ok();
    }
}

async fn send_to_peer(host: HostId, mut queue: mpsc::Receiver<Envelope>, peers: Peers) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_STEP_MESSAGES).await > 0 {
        let messages = batch.drain(..).filter_map(|envelope| encode(&envelope).ok()).collect();
        let request = StepRequest { to_host: host.to_string(), messages };
        let sent = peers
            .call(&host, STEP_TIMEOUT, |mut client| async move { client.step(request).await })
            .await;
        if let Err(error) = sent {
            log::debug!(target: log_target::KEEPER,
                "Dropped replication messages to a peer, as the call failed: {error}");
        }
    }
}

/// The sources of the other keepers' addresses.
#[derive(Clone, Debug)]
pub(crate) struct JoinSources {
    /// Bootstrap addresses at the start of this host, without the host itself.
    pub(crate) bootstrap_hosts: Vec<HostId>,
    /// The client that knows further keepers and contacts; `None` if the settings name all keepers.
    pub(crate) client: Option<KeeperClient>,
}

impl JoinSources {
    /// Whether the local host is stopping, and must not join again.
    fn is_stopping(&self) -> bool {
        self.client.as_ref().is_some_and(KeeperClient::is_stopping)
    }

    /// All hosts to which this keeper is introduced while it is not an active voter.
    fn other_hosts(&self, local: &ReplicaId) -> Vec<HostId> {
        let mut other_hosts = self.bootstrap_hosts.clone();
        if let Some(keepers) = &self.client {
            other_hosts.extend(keepers.keepers());
            other_hosts.extend(keepers.contacts());
        }
        other_hosts.retain(|host| host.as_str() != local.host);
        other_hosts.sort();
        other_hosts.dedup();
        other_hosts
    }

    /// Bootstrap addresses that are not keepers, as far as this keeper knows; none if the settings name
    /// all keepers. These are the present ones, as hosts that start later know no others.
    fn non_keepers(&self, status: &JoinStatus) -> Vec<HostId> {
        let mut hosts = self.client.as_ref().map(KeeperClient::bootstrap_hosts).unwrap_or_default();
        hosts.retain(|host| !status.members.contains(host));
        hosts
    }

    /// Adds the keepers and contacts learned from an introduction to the client.
    fn add_introduced(&self, status: &JoinStatus, introductions: Introductions) {
        let Some(keepers) = &self.client else {
            return;
        };
        keepers.add_contacts(introductions.contacts);
        if status.is_active_voter {
            keepers.set_keepers(status.members.iter().cloned());
            return;
        }
        keepers.add_keepers(status.members.iter().cloned());
        keepers.add_keepers(introductions.keepers);
        for answer in introductions.answers.values() {
            if let Introduction::Member { members, .. } = answer {
                keepers.add_keepers(members.members().map(|id| HostId::new(id.host.clone())));
            }
        }
    }
}

/// Introduces this keeper to the other hosts while it is not a voter or hears no leader. Otherwise
/// introduces it only to the bootstrap addresses that are not keepers. Ends when the host stops.
pub(crate) async fn run_join(keeper: Address<Keeper>, join_sources: JoinSources, peers: Peers) {
    let mut wait_log = WaitLog::default();
    let mut last_announced = Instant::now();
    loop {
        let Ok(status) = keeper.send(GetJoinStatus).await else {
            return;
        };
        if join_sources.is_stopping() {
            return;
        }
        let other_hosts = match status.is_active_voter {
            true if last_announced.elapsed() < ANNOUNCE_INTERVAL => Vec::new(),
            true => {
                last_announced = Instant::now();
                join_sources.non_keepers(&status)
            }
            false => join_sources.other_hosts(&status.id),
        };
        let introductions = introduce(&status.id, &other_hosts, &peers).await;
        if !status.has_log {
            start_log_if_planned(&keeper, &status.to_blank_keeper(), &join_sources, &introductions)
                .await;
        }
        wait_log.record(&status, &introductions.answers);
        join_sources.add_introduced(&status, introductions);
        clayplank_clock::sleep(INTRODUCE_INTERVAL).await;
    }
}

/// Introduces this keeper to all given hosts concurrently, so that an unreachable one delays no other.
async fn introduce(local: &ReplicaId, other_hosts: &[HostId], peers: &Peers) -> Introductions {
    let calls = other_hosts.iter().map(|host| async move {
        let request = IntroduceRequest { replica: encode(local).unwrap_or_default() };
        let reply =
            peers
                .call(host, INTRODUCE_TIMEOUT, |mut client| async move {
                    client.introduce(request).await
                })
                .await
                .ok()?;
        Some((host.to_string(), reply))
    });
    let mut introductions = Introductions::default();
    for (host, reply) in futures_util::future::join_all(calls).await.into_iter().flatten() {
        introductions.keepers.extend(reply.keepers.into_iter().map(HostId::new));
        introductions.contacts.extend(reply.contacts.into_iter().map(HostId::new));
        match decode::<Introduction>(&reply.introduction) {
            Ok(answer) => {
                introductions.answers.insert(host, answer);
            }
            Err(_) if reply.introduction.is_empty() => {
                introductions.non_keepers.insert(host);
            }
            Err(error) => {
                log::warn!(target: log_target::KEEPER, host = host, cause:% = error;
                    "Could not decode the answer to an introduction");
            }
        }
    }
    introductions
}

/// Answers of the other hosts to an introduction of this keeper.
#[derive(Debug, Default)]
struct Introductions {
    /// Answers of keepers, by host.
    answers: BTreeMap<String, Introduction>,
    /// Hosts that answered that they are not keepers: creating the log does not wait for them.
    non_keepers: BTreeSet<String>,
    /// Keepers that the hosts know.
    keepers: Vec<HostId>,
    /// Hosts that may know keepers.
    contacts: Vec<HostId>,
}

/// Creates or joins the log if the answers allow it.
async fn start_log_if_planned(
    keeper: &Address<Keeper>,
    local: &BlankKeeper,
    join_sources: &JoinSources,
    introductions: &Introductions,
) {
    let bootstrap_hosts = join_sources.bootstrap_hosts.iter().map(ToString::to_string);
    let bootstrap_names: Vec<_> =
        bootstrap_hosts.filter(|host| !introductions.non_keepers.contains(host)).collect();
    let start = match plan_join(local, &bootstrap_names, &introductions.answers) {
        Join::Bootstrap(configuration) => StartLog(Some(configuration)),
        Join::AsLearner => StartLog(None),
        Join::Wait => {
            log::debug!(target: log_target::KEEPER,
                "Does not create the log yet: waits for answers of the other keepers");
            return;
        }
    };
    keeper.send(start).await.ok();
}
