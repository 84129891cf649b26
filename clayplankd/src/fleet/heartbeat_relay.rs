//! Relays heartbeats of upstreams, and the rate limits that upstreams name, from the host that
//! received them to the other keepers.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use clayplank_registry::{AgedLimit, Heartbeat, LimitObservation};
use clayplank_state::encode;
use clayplank_types::{HostId, UpstreamId};
use clayplank_wire::SpreadRequest;
use rand::seq::SliceRandom;
use tokio::sync::mpsc;

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::now_ms;
use crate::process::lock::lock_ignoring_poison;
use crate::process::logging::log_target;
use crate::process::peers::Peers;

/// Interval at which a keeper sends the collected heartbeats, in one call to each other keeper.
const BATCH_INTERVAL: Duration = Duration::from_millis(150);

/// The same interval on a host without a disk. It is longer because there are hundreds of such
/// hosts. The delay is tolerable, as an upstream counts as unresponsive only after several missing
/// heartbeats.
const DISKLESS_BATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Time-out of a call that relays heartbeats. The next heartbeat makes up for a lost one.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Time-out for enough keepers to save an urgent heartbeat. This precedes the acknowledgement to
/// the upstream, which waits for one second.
const URGENT_TIMEOUT: Duration = Duration::from_millis(700);

/// Maximum number of calls with which an urgent heartbeat is sent to one keeper.
const MAX_URGENT_CALLS: usize = 4;

/// Pause between two such calls.
const URGENT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Queue of heartbeats and limits for the other keepers.
#[derive(Clone, Debug)]
pub(crate) struct HeartbeatRelay {
    local_host: HostId,
    peers: Peers,
    keepers: KeeperClient,
    /// Number of keepers that may lose their state at once.
    tolerated_losses: usize,
    pending: Arc<Mutex<Vec<Heartbeat>>>,
    pending_limits: Arc<Mutex<BTreeMap<UpstreamId, LimitObservation>>>,
}

impl HeartbeatRelay {
    pub(crate) fn new(
        local_host: HostId,
        peers: Peers,
        keepers: KeeperClient,
        tolerated_losses: usize,
    ) -> Self {
        let (pending, pending_limits) = (Arc::default(), Arc::default());
        Self { local_host, peers, keepers, tolerated_losses, pending, pending_limits }
    }

    fn take_pending(&self) -> Vec<Heartbeat> {
        std::mem::take(&mut *lock_ignoring_poison(&self.pending))
    }

    /// Tries the keepers in random order until one accepts the heartbeats.
    async fn send_to_one_keeper(&self, heartbeats: &[Heartbeat]) {
        let mut hosts = self.peer_keepers();
        hosts.shuffle(&mut rand::rng());
        for host in hosts {
            if self.send_for_relay(&host, heartbeats).await {
                return;
            }
        }
        log::warn!(target: log_target::KEEPER, heartbeats = heartbeats.len(); "No keeper accepted the collected heartbeats");
    }

    fn peer_keepers(&self) -> Vec<HostId> {
        let mut hosts = self.keepers.keepers();
        hosts.retain(|host| *host != self.local_host);
        hosts
    }

    /// Queues a heartbeat for the next call.
    pub(crate) fn queue_heartbeat(&self, heartbeat: Heartbeat) {
        lock_ignoring_poison(&self.pending).push(heartbeat);
    }

    /// Queues a limit for the next call. It replaces an earlier one of the same upstream.
    pub(crate) fn queue_limit(&self, limit: LimitObservation) {
        lock_ignoring_poison(&self.pending_limits).insert(limit.upstream.clone(), limit);
    }

    fn take_pending_limits(&self) -> Vec<AgedLimit> {
        let limits = std::mem::take(&mut *lock_ignoring_poison(&self.pending_limits));
        limits.values().map(|limit| limit.to_aged(now_ms())).collect()
    }

    /// Relays immediately that an upstream accepts no new work, which it may not repeat. Returns
    /// whether this outlasts the tolerated losses and reaches all hosts: whether the leader, from
    /// which they learn it, and more keepers than may lose their disks at once have saved it. `fleet`
    /// is that of this host if it is a keeper, and has applied the heartbeat.
    pub(crate) async fn relay_now(
        &self,
        heartbeat: &Heartbeat,
        leader: Option<&HostId>,
        fleet: Option<&Arc<FleetKeeper>>,
    ) -> bool {
        let Some(leader) = leader else {
            return false;
        };
        let hosts = self.peer_keepers();
        let known_keepers = hosts.len() + usize::from(fleet.is_some());
        let required_copies = (self.tolerated_losses + 1).min(known_keepers);
        let (sender, mut accepted) = mpsc::unbounded_channel();
        self.send_to_all(hosts, heartbeat, &sender);
        if let Some(fleet) = fleet {
            self.save_locally(Arc::clone(fleet), sender);
        }
        let (mut copies, mut is_at_leader) = (0, false);
        let enough_copies = async {
            while !is_at_leader || copies < required_copies {
                let Some(host) = accepted.recv().await else {
                    return false;
                };
                copies += 1;
                is_at_leader |= host == *leader;
            }
            true
        };
        clayplank_clock::timeout(URGENT_TIMEOUT, enough_copies).await.unwrap_or(false)
    }

    /// Sends an urgent heartbeat to keepers, and to `accepted` those that have saved it. The calls
    /// continue if the receiver is dropped.
    fn send_to_all(
        &self,
        hosts: Vec<HostId>,
        heartbeat: &Heartbeat,
        accepted: &mpsc::UnboundedSender<HostId>,
    ) {
        for host in hosts {
            let (heartbeat_relay, accepted) = (self.clone(), accepted.clone());
            let heartbeats = [heartbeat.clone()];
            tokio::spawn(async move {
                if heartbeat_relay.send_with_retries(&host, &heartbeats).await {
                    // The receiver does not wait for all keepers.
                    accepted.send(host).ok();
                }
            });
        }
    }

    /// Sends this host to `accepted` once its own registry is saved.
    fn save_locally(&self, fleet: Arc<FleetKeeper>, accepted: mpsc::UnboundedSender<HostId>) {
        let local_host = self.local_host.clone();
        tokio::spawn(async move {
            fleet.wait_until_saved().await;
            // The receiver does not wait for all keepers.
            accepted.send(local_host).ok();
        });
    }

    async fn send_with_retries(&self, host: &HostId, heartbeats: &[Heartbeat]) -> bool {
        for _ in 0..MAX_URGENT_CALLS {
            if self.send(host, heartbeats, CALL_TIMEOUT).await {
                return true;
            }
            clayplank_clock::sleep(URGENT_RETRY_PAUSE).await;
        }
        false
    }

    async fn send(&self, host: &HostId, heartbeats: &[Heartbeat], timeout: Duration) -> bool {
        let Ok(heartbeats) = encode(&heartbeats) else {
            return false;
        };
        let request = SpreadRequest { heartbeats, ..SpreadRequest::default() };
        self.call(host, request, timeout).await
    }

    /// Sends heartbeats to a keeper that relays them to the other keepers.
    async fn send_for_relay(&self, host: &HostId, heartbeats: &[Heartbeat]) -> bool {
        let Ok(heartbeats) = encode(&heartbeats) else {
            return false;
        };
        let request = SpreadRequest { heartbeats, passes_on: true, ..SpreadRequest::default() };
        self.call(host, request, CALL_TIMEOUT).await
    }

    async fn call(&self, host: &HostId, request: SpreadRequest, timeout: Duration) -> bool {
        let sent = self
            .peers
            .call(host, timeout, |mut client| async move { client.spread(request).await })
            .await;
        if let Err(error) = &sent {
            log::debug!(target: log_target::KEEPER, "Failed to relay heartbeats to {host}: {error}.");
        }
        sent.is_ok()
    }
}

/// Relays what a keeper collected to all other keepers, at a fixed interval.
pub(crate) async fn run_heartbeat_relay(heartbeat_relay: HeartbeatRelay) {
    loop {
        clayplank_clock::sleep(BATCH_INTERVAL).await;
        let (heartbeats, limits) =
            (heartbeat_relay.take_pending(), heartbeat_relay.take_pending_limits());
        if heartbeats.is_empty() && limits.is_empty() {
            continue;
        }
        let (Ok(heartbeats), Ok(limits)) = (encode(&heartbeats), encode(&limits)) else {
            log::error!(target: log_target::KEEPER, "Failed to encode heartbeats and limits for relaying.");
            continue;
        };
        let request = SpreadRequest { heartbeats, limits, passes_on: false };
        for host in heartbeat_relay.peer_keepers() {
            let (heartbeat_relay, request) = (heartbeat_relay.clone(), request.clone());
            tokio::spawn(async move { heartbeat_relay.call(&host, request, CALL_TIMEOUT).await });
        }
    }
}

/// Sends what a host without a disk collected to one keeper, which relays it to the others.
pub(crate) async fn run_diskless_heartbeat_relay(heartbeat_relay: HeartbeatRelay) {
    loop {
        clayplank_clock::sleep(DISKLESS_BATCH_INTERVAL).await;
        let collected = heartbeat_relay.take_pending();
        if !collected.is_empty() {
            let heartbeat_relay = heartbeat_relay.clone();
            tokio::spawn(async move { heartbeat_relay.send_to_one_keeper(&collected).await });
        }
    }
}
