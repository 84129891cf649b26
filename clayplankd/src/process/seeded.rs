//! A seeded host, which finds its peers from the bootstrap addresses in its settings (`seeds`):
//! starts the parts that the settings require, and drains requests before it stops.
//!
//! A host with an address for callers is an entry host; one with a data folder and an address for
//! operators is a keeper. A host may be both in one process: it then needs only one runtime,
//! and its keeper keeps running while its callers are drained.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_connect::{Connector, TunnelServer};
use clayplank_forward::{Directory, Gate, serve_small_requests};
use clayplank_settings::{Role, SeededSettings};
use clayplank_types::HostId;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::doors::contract::SharedContract;
use crate::doors::control_endpoint::RegistryAccess;
use crate::fleet::fleet_keeper::FleetKeeper;
use crate::keepers::keeper_client::KeeperClient;
use crate::keepers::leader_search::run_leader_search;
use crate::keepers::planned_stop::release_vote;
use crate::process::daemon::{StartError, bind};
use crate::process::logging::{log_target, set_log_level};
use crate::process::peers::Peers;
use crate::process::seeded_entry::EntryHost;
use crate::process::seeded_keeper::run_keeper_start;
use crate::process::supervision::Supervisor;
use crate::process::suspension::{run_suspension_watch, suspension_metrics};

/// Time until the balancer sends no new connections to a departing host: it checks readiness every
/// second, and removes a host after two failed checks. Requests accepted later than this might be
/// aborted at the end of the grace period.
const BALANCER_DELAY: Duration = Duration::from_millis(2_700);

/// Delay between the end of the last request and the stop, in which the last bytes are sent, among
/// them those that tell callers that their requests are abandoned.
const FLUSH_DELAY: Duration = Duration::from_millis(150);

/// Draining ends this long before the grace period, so that the last bytes can still be sent.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Interval of the check for requests in progress while the host drains.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running seeded host.
pub struct SeededDaemon {
    settings: SeededSettings,
    keepers: KeeperClient,
    /// `None` on a host without callers.
    entry: Option<EntryHost>,
    tunnels: Arc<TunnelServer>,
    closing: watch::Sender<bool>,
    /// Errors that end the daemon.
    failed: mpsc::Receiver<StartError>,
}

impl std::fmt::Debug for SeededDaemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SeededDaemon").field("name", &self.settings.name).finish_non_exhaustive()
    }
}

impl SeededDaemon {
    /// Starts the parts of the host. A keeper starts in a separate task as soon as its disk is
    /// usable, so that a full disk does not delay the callers.
    ///
    /// # Errors
    /// An address cannot be listened on; the daemon does not run then.
    pub async fn start(
        settings: SeededSettings,
        contract: SharedContract,
    ) -> Result<Self, StartError> {
        let peers = Peers::with_inner_port(settings.listen.inner.port());
        let local_host = HostId::new(settings.ip.to_string());
        let keepers = KeeperClient::from_bootstrap_hosts(
            local_host.clone(),
            bootstrap_hosts(&settings),
            peers.clone(),
        );
        let (tasks, failed) = Supervisor::new();
        let (closing, closing_receiver) = watch::channel(false);
        let directory = Arc::new(Directory::default());
        let connector = Arc::new(Connector::with_source(settings.source_ip));
        connector.set_drain_ms(settings.bounds.drain_ms);
        let context = StartContext {
            settings: Arc::new(settings.clone()),
            local_host,
            contract,
            peers,
            keepers: keepers.clone(),
            tunnels: Arc::new(TunnelServer::new(Arc::clone(&connector), directory.clone())),
            directory,
            connector,
            tasks: tasks.clone(),
        };
        let tunnels = Arc::clone(&context.tunnels);
        let counted_tunnels = Arc::clone(&tunnels);
        let metrics = bind(settings.listen.metrics).await?;
        tasks.spawn("leader search", run_leader_search(keepers.clone()));
        tasks.spawn("suspension watch", run_suspension_watch());
        let entry = match settings.role {
            Role::Entry => Some(context.start_entry(closing_receiver).await?),
            Role::Keeper => None,
        };
        let entry_metrics =
            entry.as_ref().map(|host| (Arc::clone(&host.entry), Arc::clone(&host.follow_metrics)));
        let fleet = settings.is_keeper().then(|| context.new_fleet());
        if let Some(fleet) = &fleet {
            tasks.spawn("keeper start", run_keeper_start(context, Arc::clone(fleet)));
        } else if let (Some(control), Some(_)) = (settings.listen.control, &entry) {
            let heartbeat_relay = context.new_heartbeat_relay();
            context.start_control_endpoint(
                bind(control).await?,
                RegistryAccess::Remote,
                heartbeat_relay,
            );
        }
        serve_metrics(&tasks, metrics, move || {
            let entry_text = entry_metrics
                .as_ref()
                .map(|(entry, follow_metrics)| entry.metrics_text() + &follow_metrics.to_text())
                .unwrap_or_default();
            let keeper_text = fleet.as_deref().map(FleetKeeper::to_text).unwrap_or_default();
            entry_text + &counted_tunnels.metrics_text() + &keeper_text + &suspension_metrics()
        });
        log::info!(target: log_target::DAEMON,
            name = settings.name, role:? = settings.role, keeper = settings.is_keeper(),
            is_first_start = settings.is_first_start,
            seeds = bootstrap_hosts(&settings).map(|host| host.to_string()).collect::<Vec<_>>().join(" ");
            "Host started");
        Ok(Self { settings, keepers, entry, tunnels, closing, failed })
    }

    /// Waits for a failure that ends the daemon.
    pub async fn failed(&mut self) -> StartError {
        match self.failed.recv().await {
            Some(error) => error,
            None => std::future::pending().await,
        }
    }

    /// Applies changed settings: bootstrap addresses, bounds and the log level. Other changed
    /// fields are named in the log, and take effect at the next start.
    pub fn reload(&mut self, settings: SeededSettings) {
        self.keepers.set_bootstrap_hosts(bootstrap_hosts(&settings));
        set_log_level(settings.log.level);
        if let Some(entry) = &self.entry {
            entry.set_bounds(&settings.bounds);
        }
        let deferred = self.fields_for_next_start(&settings);
        self.settings.seeds = settings.seeds;
        self.settings.bounds = settings.bounds;
        self.settings.log = settings.log;
        log::info!(target: log_target::DAEMON,
            seeds = self.settings.seeds.len(), for_next_start = deferred.join(",");
            "Took in changed settings");
    }

    /// Names of changed fields that a running host does not apply.
    fn fields_for_next_start(&self, changed: &SeededSettings) -> Vec<&'static str> {
        let current = &self.settings;
        let fields = [
            ("name", current.name != changed.name),
            ("role", current.role != changed.role),
            ("ip", current.ip != changed.ip),
            ("source_ip", current.source_ip != changed.source_ip),
            ("data_centre", current.data_centre != changed.data_centre),
            ("listen", current.listen != changed.listen),
            ("data_dir", current.data_dir != changed.data_dir),
            ("resources", current.resources != changed.resources),
            ("tolerated_losses", current.tolerated_losses != changed.tolerated_losses),
            (
                "bounds/apply_ms",
                current.is_keeper() && current.bounds.apply_ms != changed.bounds.apply_ms,
            ),
        ];
        fields.into_iter().filter(|(_, is_changed)| *is_changed).map(|(name, _)| name).collect()
    }

    /// Graceful shutdown: a keeper gives up its vote while an entry host drains its requests.
    pub async fn leave_and_drain(&self) {
        let local_host = HostId::new(self.settings.ip.to_string());
        let release_vote = async {
            if self.settings.is_keeper() {
                release_vote(&self.keepers, &local_host).await;
            }
        };
        let drain = async {
            if let Some(EntryHost { gate, .. }) = &self.entry {
                self.drain(gate).await;
            }
        };
        tokio::join!(release_vote, drain);
        let cut_off = self.entry.as_ref().map_or(0, |entry| entry.gate.in_progress());
        log::info!(target: log_target::DAEMON, cut_off = cut_off; "Stopped");
    }

    /// Fails the readiness check, then rejects new requests and those that still wait for an
    /// upstream. Waits until the answers to the others are written, also those of peers in tunnels, or
    /// until the grace period is nearly over.
    async fn drain(&self, gate: &Gate) {
        let started_at = Instant::now();
        let closes_at = started_at + BALANCER_DELAY;
        let end = started_at + Duration::from_secs_f64(self.settings.bounds.grace_s) - GRACE_MARGIN;
        log::info!(target: log_target::DAEMON, in_progress = gate.in_progress(); "Shutting down; draining requests");
        gate.start_shutdown(closes_at, end);
        self.tunnels.close();
        clayplank_clock::sleep_until(closes_at).await;
        gate.close();
        self.closing.send_replace(true);
        let is_busy = || {
            let has_callers = gate.in_progress() > 0 || gate.used_connections() > 0;
            has_callers || self.tunnels.open_tunnels() > 0
        };
        while is_busy() && Instant::now() < end {
            clayplank_clock::sleep(DRAIN_POLL_INTERVAL).await;
        }
        gate.abandon_requests();
        clayplank_clock::sleep(FLUSH_DELAY).await;
    }
}

/// Settings and clients with which the parts of a host start.
pub(crate) struct StartContext {
    pub(crate) settings: Arc<SeededSettings>,
    pub(crate) local_host: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) peers: Peers,
    pub(crate) keepers: KeeperClient,
    /// Upstreams known to this host, if it is an entry host.
    pub(crate) directory: Arc<Directory>,
    /// Opens the connections of this host to upstreams.
    pub(crate) connector: Arc<Connector>,
    /// Connects to upstreams on behalf of peers, if this is an entry host: it declines where the
    /// directory is empty.
    pub(crate) tunnels: Arc<TunnelServer>,
    pub(crate) tasks: Supervisor,
}

/// The hosts at the bootstrap addresses in the settings (`seeds`).
pub(crate) fn bootstrap_hosts(settings: &SeededSettings) -> impl Iterator<Item = HostId> + '_ {
    settings.seeds.iter().map(|address| HostId::new(address.ip().to_string()))
}

/// Serves the metrics that `to_text` returns.
pub(crate) fn serve_metrics<F>(tasks: &Supervisor, listener: TcpListener, to_text: F)
where
    F: Fn() -> String + Clone + Send + Sync + 'static,
{
    let answer = move |_| {
        let text = to_text();
        async move { plain_text(StatusCode::OK, text) }
    };
    tasks.spawn("metrics listener", serve_small_requests(listener, answer));
}

/// A response with a plain-text body.
pub(crate) fn plain_text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
