//! Tasks beside the keeper: ticks, sending, and joining the others.

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
use crate::keepers::keeper_messages::{Begin, Stand, Standing, Tick};
use crate::process::clock::millis;
use crate::process::logging::part;
use crate::process::peers::Peers;

/// Between two ticks of the replica, in ms, drawn anew each time: keepers that started
/// at the same moment would else ask for elections at the same moment, and split the votes.
const TICK_MS: std::ops::RangeInclusive<u64> = 8..=28;

/// Between two introductions of a keeper that does not vote yet.
const INTRODUCE_EVERY: Duration = Duration::from_millis(300);

/// The same of one that votes, to hosts that are no keepers: they name it to whoever is told of
/// them alone. A host that has just started knows of no keeper until then.
const ANNOUNCE_EVERY: Duration = Duration::from_secs(1);

/// Time for another keeper to answer an introduction.
const INTRODUCE_PATIENCE: Duration = Duration::from_millis(500);

/// A message that is not delivered in this time is dropped: the log sends anew.
const STEP_PATIENCE: Duration = Duration::from_secs(2);

/// Messages that wait for one peer; more are dropped.
const PEER_QUEUE: usize = 256;

/// Messages that go to a peer in one call.
const MAX_STEP_MESSAGES: usize = 64;

/// Lets time pass for the replica.
pub(crate) async fn run_ticks(keeper: Address<Keeper>) {
    loop {
        clayplank_clock::sleep(millis(rand::random_range(TICK_MS))).await;
        if keeper.send(Tick).await.is_err() {
            return;
        }
    }
}

/// Hands each message to the task of its peer; a peer that is stuck holds up nobody else.
pub(crate) async fn run_outbox(mut outbox: mpsc::UnboundedReceiver<Envelope>, peers: Peers) {
    let mut queues: HashMap<String, mpsc::Sender<Envelope>> = HashMap::new();
    while let Some(envelope) = outbox.recv().await {
        let host = envelope.to.host.clone();
        let queue = queues.entry(host).or_insert_with_key(|host| {
            let (sender, receiver) = mpsc::channel(PEER_QUEUE);
            tokio::spawn(run_peer(HostId::new(host.clone()), receiver, peers.clone()));
            sender
        });
        queue.try_send(envelope).ok();
    }
}

async fn run_peer(host: HostId, mut queue: mpsc::Receiver<Envelope>, peers: Peers) {
    let mut batch = Vec::new();
    while queue.recv_many(&mut batch, MAX_STEP_MESSAGES).await > 0 {
        let messages = batch.drain(..).filter_map(|envelope| encode(&envelope).ok()).collect();
        let request = StepRequest { to_host: host.to_string(), messages };
        let sent = peers
            .call(&host, STEP_PATIENCE, |mut client| async move { client.step(request).await })
            .await;
        if let Err(error) = sent {
            log::debug!(target: part::KEEPER, "Messages were dropped: {error}.");
        }
    }
}

/// How a keeper finds the others.
#[derive(Clone, Debug)]
pub(crate) struct Joining {
    /// Those that it was told of when it started, without itself.
    pub(crate) seeds: Vec<HostId>,
    /// Where more keepers are learned, and found.
    pub(crate) keepers: Option<KeeperClient>,
}

impl Joining {
    fn others(&self, own: &ReplicaId) -> Vec<HostId> {
        let mut others = self.seeds.clone();
        if let Some(keepers) = &self.keepers {
            others.extend(keepers.hosts());
            others.extend(keepers.contacts());
        }
        others.retain(|host| host.as_str() != own.host);
        others.sort();
        others.dedup();
        others
    }

    /// Hosts that this keeper was told of when it started, and that are no keepers as far as it
    /// knows.
    fn non_keepers(&self, stand: &Stand) -> Vec<HostId> {
        let is_seeded = self.keepers.is_some();
        let seeds = self.seeds.iter().filter(|host| is_seeded && !stand.members.contains(host));
        seeds.cloned().collect()
    }

    fn learn(&self, stand: &Stand, told: Told) {
        let Some(keepers) = &self.keepers else {
            return;
        };
        keepers.learn_contacts(told.contacts);
        if stand.votes {
            keepers.set_keepers(stand.members.iter().cloned());
            return;
        }
        keepers.learn(stand.members.iter().cloned());
        keepers.learn(told.keepers);
        for answer in told.answers.values() {
            if let Introduction::Member { members, .. } = answer {
                keepers.learn(members.members().map(|id| HostId::new(id.host.clone())));
            }
        }
    }
}

/// Introduces this keeper to the others until it votes, and again when it hears no leader; then
/// to the hosts that it was told of and that are no keepers.
pub(crate) async fn run_join(keeper: Address<Keeper>, joining: Joining, peers: Peers) {
    let mut waits = WaitLog::default();
    let mut announced = Instant::now();
    loop {
        let Ok(Some(stand)) = keeper.send(Standing).await else {
            return;
        };
        let others = match stand.votes {
            true if announced.elapsed() < ANNOUNCE_EVERY => Vec::new(),
            true => {
                announced = Instant::now();
                joining.non_keepers(&stand)
            }
            false => joining.others(&stand.id),
        };
        let told = introduce(&stand.id, &others, &peers).await;
        if !stand.has_log {
            begin_if_planned(&keeper, &stand.as_blank(), &joining, &told).await;
        }
        waits.note(&stand, &told.answers);
        joining.learn(&stand, told);
        clayplank_clock::sleep(INTRODUCE_EVERY).await;
    }
}

/// Introduces this keeper to all others at once: one that is cut off holds up nobody.
async fn introduce(own: &ReplicaId, others: &[HostId], peers: &Peers) -> Told {
    let calls = others.iter().map(|other| async move {
        let request = IntroduceRequest { replica: encode(own).unwrap_or_default() };
        let reply =
            peers
                .call(other, INTRODUCE_PATIENCE, |mut client| async move {
                    client.introduce(request).await
                })
                .await
                .ok()?;
        Some((other.to_string(), reply))
    });
    let mut told = Told::default();
    for (other, reply) in futures_util::future::join_all(calls).await.into_iter().flatten() {
        told.keepers.extend(reply.keepers.into_iter().map(HostId::new));
        told.contacts.extend(reply.contacts.into_iter().map(HostId::new));
        match decode::<Introduction>(&reply.introduction) {
            Ok(answer) => {
                told.answers.insert(other, answer);
            }
            Err(_) if reply.introduction.is_empty() => {
                told.no_keepers.insert(other);
            }
            Err(error) => {
                log::warn!(target: part::KEEPER, host = other, cause:% = error; "An introduction cannot be read");
            }
        }
    }
    told
}

/// What the others told when this keeper introduced itself.
#[derive(Debug, Default)]
struct Told {
    /// Of keepers, by their hosts.
    answers: BTreeMap<String, Introduction>,
    /// Hosts that answered that they are no keepers: a log does not wait for them.
    no_keepers: BTreeSet<String>,
    /// Keepers that they know.
    keepers: Vec<HostId>,
    /// Hosts that may know keepers.
    contacts: Vec<HostId>,
}

async fn begin_if_planned(
    keeper: &Address<Keeper>,
    own: &BlankKeeper,
    joining: &Joining,
    told: &Told,
) {
    let seeds = joining.seeds.iter().map(ToString::to_string);
    let names: Vec<_> = seeds.filter(|seed| !told.no_keepers.contains(seed)).collect();
    let begin = match plan_join(own, &names, &told.answers) {
        Join::Begin(configuration) => Begin(Some(configuration)),
        Join::Learn => Begin(None),
        Join::Wait => {
            log::debug!(target: part::KEEPER, "Waits for the other keepers.");
            return;
        }
    };
    keeper.send(begin).await.ok();
}
