//! Passes heartbeats of upstreams, and the limits that they name, from the keeper that heard of them to
//! the others.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_registry::{AgedLimit, Heartbeat, ObservedLimit};
use clayplank_state::encode;
use clayplank_types::{HostId, UpstreamId};
use clayplank_wire::SpreadRequest;
use rand::seq::SliceRandom;

use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::now_ms;
use crate::process::lock::lock;
use crate::process::logging::part;
use crate::process::peers::Peers;

/// Heartbeats are collected for this long: one call for all that came.
const COLLECT: Duration = Duration::from_millis(150);

/// The same on a host without a disk, of which there are hundreds: an upstream counts as silent
/// only after several heartbeats.
const COLLECT_TO_ONE: Duration = Duration::from_millis(250);

/// Time for another keeper to take heartbeats; what is lost comes again with the next heartbeat.
const PATIENCE: Duration = Duration::from_millis(600);

/// Time for the leader to take what must not be acknowledged before: upstreams wait a second.
const URGENT_PATIENCE: Duration = Duration::from_millis(700);

/// Heartbeats on their way to the other keepers.
#[derive(Clone, Debug)]
pub(crate) struct Spread {
    own: HostId,
    peers: Peers,
    keepers: KeeperClient,
    waiting: Arc<Mutex<Vec<Heartbeat>>>,
    waiting_limits: Arc<Mutex<BTreeMap<UpstreamId, ObservedLimit>>>,
}

impl Spread {
    pub(crate) fn new(own: HostId, peers: Peers, keepers: KeeperClient) -> Self {
        Self { own, peers, keepers, waiting: Arc::default(), waiting_limits: Arc::default() }
    }

    fn take_waiting(&self) -> Vec<Heartbeat> {
        std::mem::take(&mut *lock(&self.waiting))
    }

    /// Sends heartbeats to one keeper, in an order of chance, until one takes them.
    async fn send_to_one(&self, heartbeats: &[Heartbeat]) {
        let mut hosts = self.others();
        hosts.shuffle(&mut rand::rng());
        for host in hosts {
            if self.send_from_host(&host, heartbeats).await {
                return;
            }
        }
        log::warn!(target: part::KEEPER, heartbeats = heartbeats.len(); "No keeper takes heartbeats");
    }

    fn others(&self) -> Vec<HostId> {
        let mut hosts = self.keepers.hosts();
        hosts.retain(|host| *host != self.own);
        hosts
    }

    /// Passes a heartbeat on with the next call.
    pub(crate) fn push(&self, heartbeat: Heartbeat) {
        lock(&self.waiting).push(heartbeat);
    }

    /// Passes a limit on with the next call.
    pub(crate) fn push_limit(&self, limit: ObservedLimit) {
        lock(&self.waiting_limits).insert(limit.upstream.clone(), limit);
    }

    fn take_waiting_limits(&self) -> Vec<AgedLimit> {
        let limits = std::mem::take(&mut *lock(&self.waiting_limits));
        limits.values().map(|limit| limit.to_aged(now_ms())).collect()
    }

    /// Passes on at once that an upstream takes no new work; returns whether the
    /// leader knows, from which the entry hosts learn it.
    pub(crate) async fn push_urgent(&self, heartbeat: &Heartbeat, leader: Option<&HostId>) -> bool {
        let others: Vec<_> =
            self.others().into_iter().filter(|host| Some(host) != leader).collect();
        for host in others {
            let spread = self.clone();
            let heartbeat = heartbeat.clone();
            tokio::spawn(async move { spread.send(&host, &[heartbeat], PATIENCE).await });
        }
        match leader {
            Some(leader) if *leader == self.own => true,
            Some(leader) => {
                let heartbeats = std::slice::from_ref(heartbeat);
                self.send(leader, heartbeats, URGENT_PATIENCE).await
            }
            None => false,
        }
    }

    async fn send(&self, host: &HostId, heartbeats: &[Heartbeat], patience: Duration) -> bool {
        let Ok(heartbeats) = encode(&heartbeats) else {
            return false;
        };
        let request = SpreadRequest { heartbeats, ..SpreadRequest::default() };
        self.call(host, request, patience).await
    }

    /// Sends heartbeats to a keeper that passes them on to the others.
    async fn send_from_host(&self, host: &HostId, heartbeats: &[Heartbeat]) -> bool {
        let Ok(heartbeats) = encode(&heartbeats) else {
            return false;
        };
        let request = SpreadRequest { heartbeats, passes_on: true, ..SpreadRequest::default() };
        self.call(host, request, PATIENCE).await
    }

    async fn call(&self, host: &HostId, request: SpreadRequest, patience: Duration) -> bool {
        let sent = self
            .peers
            .call(host, patience, |mut client| async move { client.spread(request).await })
            .await;
        if let Err(error) = &sent {
            log::debug!(target: part::KEEPER, "Heartbeats were not passed on: {error}.");
        }
        sent.is_ok()
    }
}

/// Passes on what a keeper collected to the other keepers, again and again.
pub(crate) async fn run_spread(spread: Spread) {
    loop {
        clayplank_clock::sleep(COLLECT).await;
        let (heartbeats, limits) = (spread.take_waiting(), spread.take_waiting_limits());
        if heartbeats.is_empty() && limits.is_empty() {
            continue;
        }
        let (Ok(heartbeats), Ok(limits)) = (encode(&heartbeats), encode(&limits)) else {
            log::error!(target: part::KEEPER, "What upstreams told cannot be passed on.");
            continue;
        };
        let request = SpreadRequest { heartbeats, limits, passes_on: false };
        for host in spread.others() {
            let (spread, request) = (spread.clone(), request.clone());
            tokio::spawn(async move { spread.call(&host, request, PATIENCE).await });
        }
    }
}

/// Passes on what a host without a disk collected, to one keeper, which passes it on.
pub(crate) async fn run_spread_to_one(spread: Spread) {
    loop {
        clayplank_clock::sleep(COLLECT_TO_ONE).await;
        let collected = spread.take_waiting();
        if !collected.is_empty() {
            let spread = spread.clone();
            tokio::spawn(async move { spread.send_to_one(&collected).await });
        }
    }
}
