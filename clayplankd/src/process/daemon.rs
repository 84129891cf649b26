//! A host whose settings list all hosts: starts its parts, and drains requests before it stops.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_agreement::{Options, Store, StoreError};
use clayplank_clock::Instant;
use clayplank_connect::{TunnelServer, is_tunnel_request};
use clayplank_forward::RequestQuarantine;
use clayplank_settings::{Faults, HostSettings, Role};
use clayplank_types::{HostId, Incarnation};
use clayplank_upstream::{EngineClient, HttpClient, HttpEngineClient};
use clayplank_wire::inner_server::InnerServer;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use xtra::Address;

use crate::doors::callers;
use crate::doors::operators::{self, OperatorsEndpoint};
use crate::doors::serve::{ListenerLimits, serve};
use crate::fleet::termination_reports::{TerminationReporter, run_termination_reports};
use crate::follow::current_settings::{CurrentSettings, run_settings_watch};
use crate::keepers::keeper::{Keeper, KeeperAddress, KeeperOptions};
use crate::keepers::keeper_client::KeeperClient;
use crate::keepers::keeper_disk::DiskError;
use crate::keepers::keeper_tasks::{JoinSources, run_join, run_outbox, run_ticks};
use crate::keepers::leader_search::run_leader_search;
use crate::owners::leaving_upstreams::LeavingUpstreams;
use crate::owners::owner::{Owner, run_owner};
use crate::owners::pool_directory::PoolDirectory;
use crate::owners::reservations::run_renewals;
use crate::process::clock::{millis, new_incarnation};
use crate::process::host_state::{Host, InProgress};
use crate::process::logging::log_target;
use crate::process::membership::{
    Leave, MembersView, Membership, run_membership, run_platform_poll,
};
use crate::process::peer_service::InnerService;
use crate::process::peers::{MAX_MESSAGE_BYTES, Peers};
use crate::process::supervision::Supervisor;
use crate::process::suspension::run_suspension_watch;

/// Delay between the end of the last request and the stop, in which the last bytes are sent.
const FLUSH_DELAY: Duration = Duration::from_millis(300);

/// Limit of open connections of operators.
const MAX_OPERATOR_CONNECTIONS: usize = 64;

/// Reason for which the daemon could not start, or failed while it ran.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The settings file cannot be read.
    #[error("the settings cannot be read")]
    Read(#[source] std::io::Error),
    /// The settings are invalid.
    #[error("the settings are wrong:\n{0}")]
    Settings(Faults),
    /// Logging cannot be started.
    #[error("logging cannot be started")]
    Logging(#[source] log::SetLoggerError),
    /// Signals cannot be caught.
    #[error("signals cannot be caught")]
    Signal(#[source] std::io::Error),
    /// An address cannot be listened on.
    #[error("cannot listen on {address}")]
    Listen {
        /// The address in the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The data folder cannot be used.
    #[error("the data folder cannot be used: {0}")]
    Store(#[source] StoreError),
    /// Opening the data folder ended without a result.
    #[error("the data folder was not opened")]
    Opening(#[source] tokio::task::JoinError),
    /// The settings have no address for a listener that the role needs.
    #[error("the settings have no address for {0}")]
    NoListen(&'static str),
    /// The settings of a keeper name no data folder.
    #[error("a keeper needs a data folder")]
    NoDataDir,
    /// Writing to the data folder failed while the keeper ran.
    #[error("the disk failed: {0}")]
    DiskFailed(#[source] DiskError),
    /// A task that the host needs panicked.
    #[error("the task `{0}` panicked")]
    Panicked(&'static str),
}

/// A running daemon, on a host whose settings list all hosts.
#[derive(Debug)]
pub struct Daemon {
    host: Arc<Host>,
    membership: Address<Membership>,
    failed: mpsc::Receiver<StartError>,
}

impl Daemon {
    /// Starts the parts that the settings require.
    ///
    /// # Errors
    /// An address or the data folder cannot be used; the daemon does not run then.
    pub async fn start(settings: HostSettings) -> Result<Self, StartError> {
        let settings = Arc::new(settings);
        let callers_listener = bind(settings.listen.callers).await?;
        let inner_listener = bind(settings.listen.inner).await?;
        let operators_listener = bind(settings.listen.operators).await?;
        let incarnation = Incarnation(new_incarnation());
        let (tasks, failed) = Supervisor::new();
        tasks.spawn("suspension watch", run_suspension_watch());
        let peers = Peers::new(&settings);
        let pools = Arc::new(PoolDirectory::new(&settings));
        let keeper = start_keeper(&settings, incarnation, &peers, &tasks)?;
        let (membership, members) =
            Membership::new(&settings, incarnation, peers.clone(), Arc::clone(&pools));
        let membership = tasks.spawn_actor("membership", membership);
        let host = new_host(&settings, incarnation, peers.clone(), members, pools, &tasks);
        tasks.spawn("membership rounds", run_membership(membership.clone()));
        let upstreams = host.upstreams.clone();
        tasks.spawn(
            "platform poll",
            run_platform_poll(
                Arc::clone(&settings),
                membership.clone(),
                upstreams,
                HttpClient::default(),
            ),
        );
        let owner = start_owner(&host, &tasks);
        let inner = InnerService {
            owner: owner.clone(),
            keeper,
            membership: Some(membership.clone()),
            peers,
            keepers: None,
            fleet: None,
            relay: None,
            heartbeat_relay: None,
        };
        tasks.spawn("peer listener", serve_inner(inner_listener, inner, None));
        let local_host = settings.host.clone();
        tasks.spawn("leader search", run_leader_search(host.keepers.clone()));
        tasks.spawn("settings watch", run_settings_watch(Arc::clone(&host), local_host));
        start_endpoints(&host, owner, callers_listener, operators_listener, &tasks);
        log::info!(target: log_target::DAEMON, "Host {} accepts callers at {}.", settings.host, settings.listen.callers);
        Ok(Self { host, membership, failed })
    }

    /// Waits for a failure that ends the daemon.
    pub async fn failed(&mut self) -> StartError {
        match self.failed.recv().await {
            Some(error) => error,
            None => std::future::pending().await,
        }
    }

    /// Graceful shutdown: fails the health check, notifies peers of the departure, and waits until
    /// every request in progress has ended, up to `drain_ms`.
    pub async fn leave_and_drain(&self) {
        let timing = &self.host.settings.timing;
        log::info!(target: log_target::DAEMON, "Shutting down; {} requests are in progress.", self.host.progress.count());
        let deadline = Instant::now() + millis(timing.drain_ms);
        self.host.progress.leave();
        self.membership.send(Leave).await.ok();
        // The balancer sends requests until it notices the failing health check: they are served.
        clayplank_clock::sleep(millis(timing.leave_grace_ms)).await;
        self.host.progress.close();
        while self.host.progress.count() > 0 && Instant::now() < deadline {
            clayplank_clock::sleep(millis(20)).await;
        }
        let abandoned = self.host.progress.count();
        self.host.progress.abandon();
        clayplank_clock::sleep(FLUSH_DELAY).await;
        log::info!(target: log_target::DAEMON, "Shutdown complete; {abandoned} requests were still in progress and are aborted.");
    }
}

pub(crate) async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(|source| StartError::Listen { address, source })
}

fn new_host(
    settings: &Arc<HostSettings>,
    incarnation: Incarnation,
    peers: Peers,
    members: Arc<MembersView>,
    pools: Arc<PoolDirectory>,
    tasks: &Supervisor,
) -> Arc<Host> {
    let engines: Arc<dyn EngineClient> = Arc::new(HttpEngineClient::default());
    let keepers = KeeperClient::new(settings, peers.clone());
    let (termination_reporter, observations) = TerminationReporter::new(keepers.clone());
    tasks.spawn("termination reports", run_termination_reports(keepers.clone(), observations));
    Arc::new_cyclic(|weak_self| Host {
        weak_self: weak_self.clone(),
        settings: Arc::clone(settings),
        incarnation,
        keepers,
        peers,
        replicated_settings: Arc::new(CurrentSettings::new(settings.timing.settings_lease_ms)),
        members,
        engines,
        http: HttpClient::default(),
        addresses: settings.engines().map(|engine| (engine.id.clone(), engine.address)).collect(),
        pools,
        upstreams: LeavingUpstreams::default(),
        grants: Default::default(),
        pool_wait_estimates: Default::default(),
        account_limits: Default::default(),
        metrics: Default::default(),
        progress: InProgress::default(),
        service_loads: Default::default(),
        quarantine: Arc::new(RequestQuarantine::new(Arc::new(termination_reporter))),
    })
}

fn start_owner(host: &Arc<Host>, tasks: &Supervisor) -> Option<Address<Owner>> {
    if !host.settings.has_role(Role::Entry) {
        return None;
    }
    let owner = Owner::new(
        Arc::clone(&host.settings),
        host.incarnation,
        Arc::clone(&host.members),
        Arc::clone(&host.pools),
        host.upstreams.clone(),
        Arc::clone(&host.engines),
        host.keepers.clone(),
    );
    let owner = tasks.spawn_actor("owner", owner);
    tasks.spawn("owner rounds", run_owner(owner.clone()));
    tasks.spawn("reservation renewals", run_renewals(Arc::clone(host)));
    Some(owner)
}

fn start_keeper(
    settings: &HostSettings,
    incarnation: Incarnation,
    peers: &Peers,
    tasks: &Supervisor,
) -> Result<KeeperAddress, StartError> {
    if !settings.has_role(Role::Keeper) {
        return Ok(None);
    }
    let dir = settings.data_dir.as_deref().ok_or(StartError::NoDataDir)?;
    let (store, state) =
        Store::open(dir, settings.host.as_str(), incarnation.0).map_err(StartError::Store)?;
    let options = Options {
        election_timeout_ms: settings.timing.election_ms,
        heartbeat_interval_ms: settings.timing.heartbeat_ms,
        ..Options::default()
    };
    let (outbox, outbox_receiver) = mpsc::unbounded_channel();
    let keeper =
        Keeper::new(store, state, options, KeeperOptions::default(), outbox, tasks.clone())
            .with_may_bootstrap(true);
    let keeper = tasks.spawn_actor("keeper", keeper);
    let is_peer = |host: &HostId| *host != settings.host;
    let keepers =
        settings.hosts.iter().filter(|entry| entry.keeper).map(|entry| entry.host.clone());
    let peer_keepers: Vec<_> = keepers.filter(is_peer).collect();
    tasks.spawn("replication", run_outbox(outbox_receiver, peers.clone()));
    tasks.spawn("keeper ticks", run_ticks(keeper.clone()));
    let join_sources = JoinSources { bootstrap_hosts: peer_keepers, client: None };
    tasks.spawn("join", run_join(keeper.clone(), join_sources, peers.clone()));
    Ok(Some(keeper))
}

fn start_endpoints(
    host: &Arc<Host>,
    owner: Option<Address<Owner>>,
    callers: TcpListener,
    operators: TcpListener,
    tasks: &Supervisor,
) {
    let doors = &host.settings.doors;
    let limits = ListenerLimits {
        max_connections: doors.max_connections as usize,
        max_head_bytes: doors.max_head_bytes as usize,
        read_timeout: millis(doors.read_timeout_ms),
    };
    if host.settings.has_role(Role::Entry) {
        let host = Arc::clone(host);
        let answer = move |request| callers::answer(Arc::clone(&host), request);
        tasks.spawn("caller listener", serve(callers, limits, answer));
    }
    let operator_limits = ListenerLimits { max_connections: MAX_OPERATOR_CONNECTIONS, ..limits };
    let endpoint = OperatorsEndpoint { host: Arc::clone(host), owner };
    let answer = move |request| operators::answer(endpoint.clone(), request);
    tasks.spawn("operator listener", serve(operators, operator_limits, answer));
}

/// Serves the gRPC calls of peers. There is only one service, so that no router is needed.
pub(crate) async fn serve_inner(
    listener: TcpListener,
    inner: InnerService,
    tunnels: Option<Arc<TunnelServer>>,
) {
    let service = InnerServer::new(inner)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        stream.set_nodelay(true).ok();
        tokio::spawn(serve_peer(stream, service.clone(), tunnels.clone()));
    }
}

/// Time-out for the first byte of a peer, which is sent as soon as it is connected.
const PREFACE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one connection of a peer: a tunnel, or calls.
async fn serve_peer(
    stream: TcpStream,
    service: InnerServer<InnerService>,
    tunnels: Option<Arc<TunnelServer>>,
) {
    if let Some(tunnels) = tunnels {
        let is_tunnel = clayplank_clock::timeout(PREFACE_TIMEOUT, is_tunnel_request(&stream));
        match is_tunnel.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into())) {
            Ok(true) => return tunnels.serve(stream).await,
            Ok(false) => {}
            Err(error) => {
                log::debug!(target: log_target::INNER, "The connection of a peer failed: {error}.");
                return;
            }
        }
    }
    let mut builder = auto::Builder::new(TokioExecutor::new()).http2_only();
    builder.http2().timer(TokioTimer::new()).keep_alive_interval(Some(Duration::from_secs(5)));
    let service = TowerToHyperService::new(service);
    if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
        log::debug!(target: log_target::INNER, "The connection of a peer ended with an error: {error}.");
    }
}
