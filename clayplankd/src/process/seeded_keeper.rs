//! Starts the parts of a seeded keeper, which holds a replica of the replicated state.

use std::sync::Arc;

use clayplank_agreement::{Options, Store, StoreError, StoredState};
use clayplank_forward::serve_small_requests;
use clayplank_members::FollowTimeouts;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::doors::control_endpoint::{ControlEndpoint, RegistryAccess};
use crate::fleet::fleet_keeper::{FleetKeeper, run_fleet};
use crate::fleet::heartbeat_relay::{
    HeartbeatRelay, run_diskless_heartbeat_relay, run_heartbeat_relay,
};
use crate::fleet::placement_keeper::run_queue;
use crate::fleet::placement_replication::run_placement_replication;
use crate::fleet::saved_upstreams::{restore_upstreams, run_upstream_saves};
use crate::fleet::suspect_probe::run_engine_watch;
use crate::follow::leader_confirmation::{Relay, run_relay};
use crate::keepers::first_start::load_or_save_first_start;
use crate::keepers::full_disk::FullDiskRetry;
use crate::keepers::keeper::{Keeper, KeeperOptions};
use crate::keepers::keeper_tasks::{JoinSources, run_join, run_outbox, run_ticks};
use crate::process::daemon::{StartError, bind, serve_inner};
use crate::process::peer_service::InnerService;
use crate::process::seeded::{StartContext, bootstrap_hosts};

/// Election time-out, in ms: an election starts once the leader was unresponsive for between one
/// and two times this long. A change that waits for an election is still acknowledged within about
/// a second.
const ELECTION_TIMEOUT_MS: u64 = 350;

/// Interval of the leader's heartbeats, in ms: several fit into the shortest election time-out.
const LEADER_HEARTBEAT_INTERVAL_MS: u64 = 80;

/// A surplus voter is removed after it was unresponsive for this long, in ms: several election
/// time-outs, so that a restart seldom costs a host its vote.
const REPLACE_UNRESPONSIVE_MS: u64 = 1_500;

/// Number of log entries kept in memory for slow followers; small, as an entry may be a complete
/// plan.
const MAX_RETAINED_ENTRIES: u64 = 32;

const _: () = assert!(
    ELECTION_TIMEOUT_MS >= 3 * LEADER_HEARTBEAT_INTERVAL_MS,
    "an election time-out must exceed several heartbeats"
);

/// A keeper's opened store, and what it contained.
struct OpenedStore {
    store: Store,
    /// Stored state; `None` if the store has never contained a log.
    state: Option<StoredState>,
    /// Whether this keeper may start a new log together with the other bootstrap hosts.
    may_begin: bool,
}

/// Starts a keeper once its disk is usable. An error ends the process.
pub(crate) async fn run_keeper_start(context: StartContext, fleet: Arc<FleetKeeper>) {
    let tasks = context.tasks.clone();
    let started = match context.open_store().await {
        Ok(opened) => context.start_keeper(opened, fleet).await,
        Err(error) => Err(error),
    };
    if let Err(error) = started {
        tasks.fail(error);
    }
}

impl StartContext {
    /// Creates the registry of upstreams and the fleet for a keeper on this host.
    pub(crate) fn new_fleet(&self) -> Arc<FleetKeeper> {
        let heartbeat_ms = self.settings.bounds.heartbeat_ms;
        let contract = Arc::clone(&self.contract);
        let connector = Arc::clone(&self.connector);
        Arc::new(FleetKeeper::new(contract, connector, self.keepers.clone(), heartbeat_ms))
    }

    /// Creates the forwarder of heartbeats from this host to the keepers.
    pub(crate) fn new_heartbeat_relay(&self) -> HeartbeatRelay {
        HeartbeatRelay::new(
            self.local_host.clone(),
            self.peers.clone(),
            self.keepers.clone(),
            self.settings.tolerated_losses,
        )
    }

    /// Starts the control endpoint, for operators and heartbeats of upstreams.
    pub(crate) fn start_control_endpoint(
        self,
        control: TcpListener,
        registry: RegistryAccess,
        heartbeat_relay: HeartbeatRelay,
    ) {
        let relay = heartbeat_relay.clone();
        match &registry {
            RegistryAccess::Local { .. } => {
                self.tasks.spawn("heartbeat relay", run_heartbeat_relay(relay));
            }
            RegistryAccess::Remote => {
                self.tasks.spawn("heartbeat relay", run_diskless_heartbeat_relay(relay));
            }
        }
        let endpoint = ControlEndpoint {
            local_host: self.local_host,
            contract: self.contract,
            keepers: self.keepers,
            registry,
            heartbeat_relay,
            data_centres: self.settings.data_centres.clone().into(),
        };
        let answer = move |request| endpoint.clone().answer(request);
        self.tasks.spawn("control listener", serve_small_requests(control, answer));
    }

    /// Opens the data folder on a blocking thread, as a disk may stall. Waits while the disk is
    /// full.
    async fn open_store(&self) -> Result<OpenedStore, StartError> {
        let dir = self.settings.data_dir.clone().ok_or(StartError::NoDataDir)?;
        let is_first_start = self.settings.is_first_start;
        let is_bootstrap_host = bootstrap_hosts(&self.settings).any(|host| host == self.local_host);
        let mut full_disk = FullDiskRetry::default();
        loop {
            let (dir, local_host) = (dir.clone(), self.local_host.clone());
            let open = move || {
                let (store, state) = Store::open(&dir, local_host.as_str(), rand::random())?;
                let is_candidate = state.is_none() && is_bootstrap_host;
                let may_begin =
                    is_candidate && load_or_save_first_start(&store.side_files(), is_first_start)?;
                Ok(OpenedStore { store, state, may_begin })
            };
            let opened: Result<_, StoreError> =
                tokio::task::spawn_blocking(open).await.map_err(StartError::Opening)?;
            match opened {
                Ok(opened) => {
                    full_disk.record_success();
                    return Ok(opened);
                }
                Err(error) if error.is_full() => full_disk.wait(&error).await,
                Err(error) => return Err(StartError::Store(error)),
            }
        }
    }

    /// Starts a keeper from its opened store.
    async fn start_keeper(
        self,
        opened: OpenedStore,
        fleet: Arc<FleetKeeper>,
    ) -> Result<(), StartError> {
        let OpenedStore { store, state, may_begin } = opened;
        let listen = &self.settings.listen;
        let control = bind(listen.control.ok_or(StartError::NoListen("control"))?).await?;
        let inner = bind(listen.inner).await?;
        let keeper_options = KeeperOptions::for_plans(self.settings.tolerated_losses);
        let notes = store.side_files();
        restore_upstreams(&fleet, &notes);
        let tasks = &self.tasks;
        tasks.spawn("upstream saves", run_upstream_saves(Arc::clone(&fleet), notes));
        let (outbox, outbox_receiver) = mpsc::unbounded_channel();
        let options = agreement_options(self.settings.tolerated_losses);
        let keeper = Keeper::new(store, state, options, keeper_options, outbox, tasks.clone())
            .with_may_bootstrap(may_begin);
        let applied = keeper.subscribe_applied();
        let keeper = tasks.spawn_actor("keeper", keeper);
        tasks.spawn("replication", run_outbox(outbox_receiver, self.peers.clone()));
        tasks.spawn("keeper ticks", run_ticks(keeper.clone()));
        let join = run_join(keeper.clone(), self.join_sources(), self.peers.clone());
        tasks.spawn("join", join);
        tasks.spawn("fleet", run_fleet(Arc::clone(&fleet), applied.clone()));
        let relay = Arc::new(Relay::new(
            self.local_host.clone(),
            keeper.clone(),
            Arc::clone(&fleet),
            self.peers.clone(),
            applied,
            FollowTimeouts::for_bound(self.settings.bounds.apply_ms),
        ));
        tasks.spawn("leader confirmation", run_relay(Arc::clone(&relay)));
        tasks.spawn("engine watch", run_engine_watch(Arc::clone(&fleet)));
        tasks.spawn("admission queue", run_queue(Arc::clone(fleet.placement())));
        let replication = run_placement_replication(
            self.local_host.clone(),
            keeper.clone(),
            Arc::clone(&fleet),
            self.peers.clone(),
        );
        tasks.spawn("placement replication", replication);
        let heartbeat_relay = self.new_heartbeat_relay();
        let service = InnerService {
            owner: None,
            keeper: Some(keeper.clone()),
            membership: None,
            peers: self.peers.clone(),
            keepers: Some(self.keepers.clone()),
            fleet: Some(Arc::clone(&fleet)),
            relay: Some(relay),
            heartbeat_relay: Some(heartbeat_relay.clone()),
        };
        let serve = serve_inner(inner, service, Some(Arc::clone(&self.tunnels)));
        tasks.spawn("peer listener", serve);
        self.start_control_endpoint(
            control,
            RegistryAccess::Local { keeper, fleet },
            heartbeat_relay,
        );
        Ok(())
    }

    fn join_sources(&self) -> JoinSources {
        let bootstrap_hosts =
            bootstrap_hosts(&self.settings).filter(|host| *host != self.local_host).collect();
        JoinSources { bootstrap_hosts, client: Some(self.keepers.clone()) }
    }
}

fn agreement_options(tolerated_losses: usize) -> Options {
    Options {
        election_timeout_ms: ELECTION_TIMEOUT_MS,
        heartbeat_interval_ms: LEADER_HEARTBEAT_INTERVAL_MS,
        retained_entries: MAX_RETAINED_ENTRIES,
        replace_unresponsive_ms: Some(REPLACE_UNRESPONSIVE_MS),
        tolerated_losses,
        ..Options::default()
    }
}
