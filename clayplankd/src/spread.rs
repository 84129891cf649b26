//! Passes heartbeats of upstreams from the keeper that heard them to the others.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_registry::Heartbeat;
use clayplank_state::encode;
use clayplank_types::HostId;
use clayplank_wire::SpreadRequest;

use crate::keeper_client::KeeperClient;
use crate::lock::lock;
use crate::logging::part;
use crate::peers::Peers;

/// Heartbeats are collected for this long: one call for all that came.
const COLLECT: Duration = Duration::from_millis(150);

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
}

impl Spread {
    pub(crate) fn new(own: HostId, peers: Peers, keepers: KeeperClient) -> Self {
        Self { own, peers, keepers, waiting: Arc::default() }
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
        let request = SpreadRequest { heartbeats };
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

/// Passes on what was collected, again and again.
pub(crate) async fn run_spread(spread: Spread) {
    loop {
        tokio::time::sleep(COLLECT).await;
        let collected = std::mem::take(&mut *lock(&spread.waiting));
        if collected.is_empty() {
            continue;
        }
        let collected: Arc<[Heartbeat]> = collected.into();
        for host in spread.others() {
            let spread = spread.clone();
            let collected = Arc::clone(&collected);
            tokio::spawn(async move { spread.send(&host, &collected, PATIENCE).await });
        }
    }
}
