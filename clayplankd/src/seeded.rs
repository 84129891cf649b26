//! A host that finds the others from seeds: starts its parts, and stops them in order.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_agreement::{Options, Store, StoreError};
use clayplank_forward::{
    BudgetLimits, Directory, EntryBuilder, Figures, Gate, OrderFormat, RetryBudget, serve_callers,
    serve_simple,
};
use clayplank_settings::{Role, SeededSettings};
use clayplank_types::HostId;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use xtra::Mailbox;

use crate::contract::SharedContract;
use crate::control_door::ControlDoor;
use crate::daemon::{MAILBOX, StartError, bind, serve_inner};
use crate::fleet_keeper::{FleetKeeper, run_fleet};
use crate::fleet_link::{FleetLink, Following, run_following, run_reports};
use crate::inner::InnerService;
use crate::keeper::{Keeper, Sizing};
use crate::keeper_client::KeeperClient;
use crate::keeper_join::{Joining, run_join, run_outbox, run_ticks};
use crate::logging::part;
use crate::peers::Peers;
use crate::spread::{Spread, run_spread};

/// An election follows after a leader was silent for this long, up to twice: a change
/// that waits for one is still acknowledged within about a second.
const ELECTION_MS: u64 = 350;

/// Between two heartbeats of the leader: several fit into the shortest election time.
const LEADER_HEARTBEAT_MS: u64 = 80;

/// A voter that is silent for this long gives its place to a newcomer that has caught up.
const REPLACE_SILENT_MS: u64 = 1_500;

/// Entries kept in memory for slow followers: each may be a whole plan.
const KEEP_ENTRIES: u64 = 32;

/// Share of the time until a revoked key must be without effect for which a
/// confirmation holds; the rest is for requests that are on their way.
const LEASE_SHARE: f64 = 0.8;

/// The balancer asks every second, and turns away after two misses: until then new
/// connections come. Requests that come later could be cut off at the end of the grace.
const TURN_AWAY: Duration = Duration::from_millis(2_700);

/// Time for the last bytes to leave after the last request has ended.
const LINGER: Duration = Duration::from_millis(150);

/// Before the end of the grace, the last bytes leave.
const GRACE_MARGIN: Duration = Duration::from_millis(500);

/// Between two looks at the requests in progress of a host that stops.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// A running seeded host.
pub struct SeededDaemon {
    settings: SeededSettings,
    keepers: KeeperClient,
    gate: Option<Arc<Gate>>,
    closing: watch::Sender<bool>,
    failed: mpsc::Receiver<StoreError>,
    _failed_sender: mpsc::Sender<StoreError>,
}

impl std::fmt::Debug for SeededDaemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SeededDaemon").field("name", &self.settings.name).finish_non_exhaustive()
    }
}

impl SeededDaemon {
    /// Starts the parts of the host's role.
    ///
    /// # Errors
    /// An address or the data folder cannot be used; nothing runs.
    pub async fn start(
        settings: SeededSettings,
        contract: SharedContract,
    ) -> Result<Self, StartError> {
        let peers = Peers::by_address(settings.listen.inner.port());
        let own = HostId::new(settings.ip.to_string());
        let seeds = settings.seeds.iter().map(|seed| HostId::new(seed.ip().to_string()));
        let keepers = KeeperClient::of_hosts(seeds, peers.clone());
        let (failed_sender, failed) = mpsc::channel(1);
        let (closing, closing_receiver) = watch::channel(false);
        let mut gate = None;
        match settings.role {
            Role::Entry => {
                let parts = EntryParts {
                    settings: &settings,
                    own,
                    contract,
                    peers,
                    keepers: keepers.clone(),
                };
                gate = Some(parts.start(closing_receiver).await?);
            }
            Role::Keeper => {
                let parts = KeeperParts {
                    settings: &settings,
                    own,
                    contract,
                    peers,
                    keepers: keepers.clone(),
                };
                parts.start(failed_sender.clone()).await?;
            }
        }
        log::info!(target: part::DAEMON,
            name = settings.name, role:? = settings.role, is_first_start = settings.is_first_start;
            "Started");
        Ok(Self { settings, keepers, gate, closing, failed, _failed_sender: failed_sender })
    }

    /// Waits until the daemon cannot go on.
    pub async fn failed(&mut self) -> StartError {
        match self.failed.recv().await {
            Some(error) => StartError::DiskFailed(error),
            None => std::future::pending().await,
        }
    }

    /// Takes in seeds of settings that were changed.
    pub fn reload(&self, settings: &SeededSettings) {
        self.keepers.learn(settings.seeds.iter().map(|seed| HostId::new(seed.ip().to_string())));
        log::info!(target: part::DAEMON, seeds = settings.seeds.len(); "Took in changed settings");
    }

    /// A planned stop: turns new callers away, and waits for those that are served.
    pub async fn leave_and_drain(&self) {
        let Some(gate) = &self.gate else {
            log::info!(target: part::DAEMON, "Stopped");
            return;
        };
        let end =
            Instant::now() + Duration::from_secs_f64(self.settings.bounds.grace_s) - GRACE_MARGIN;
        log::info!(target: part::DAEMON, in_progress = gate.in_progress(); "Stops");
        gate.leave();
        tokio::time::sleep(TURN_AWAY).await;
        gate.close();
        self.closing.send_replace(true);
        while gate.in_progress() > 0 && Instant::now() < end {
            tokio::time::sleep(DRAIN_POLL).await;
        }
        tokio::time::sleep(LINGER).await;
        log::info!(target: part::DAEMON, cut_off = gate.in_progress(); "Stopped");
    }
}

/// What the parts of an entry host start from.
struct EntryParts<'a> {
    settings: &'a SeededSettings,
    own: HostId,
    contract: SharedContract,
    peers: Peers,
    keepers: KeeperClient,
}

impl EntryParts<'_> {
    async fn start(self, closing: watch::Receiver<bool>) -> Result<Arc<Gate>, StartError> {
        let listen = &self.settings.listen;
        let callers = bind(listen.callers.ok_or(StartError::NoListen("callers"))?).await?;
        let readiness = bind(listen.readiness.ok_or(StartError::NoListen("readiness"))?).await?;
        let metrics = bind(listen.metrics).await?;
        let bounds = &self.settings.bounds;
        let gate = Arc::new(Gate::new((bounds.revoke_ms as f64 * LEASE_SHARE) as u64));
        let directory = Arc::new(Directory::default());
        let figures = Arc::new(Figures::default());
        let (link, events) = FleetLink::new(self.peers, self.keepers);
        let link = Arc::new(link);
        let budget = BudgetLimits {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window_ms: (bounds.retry_window_s * 1e3) as u64,
        };
        let entry = EntryBuilder::default()
            .names(self.contract.header_names())
            .budget(RetryBudget::new(budget))
            .orders(Arc::clone(&self.contract) as Arc<dyn OrderFormat>)
            .figures(Arc::clone(&figures))
            .data_centre(self.settings.data_centre.clone())
            .build(Arc::clone(&gate), Arc::clone(&directory), link.clone());
        let entry = Arc::new(entry);
        tokio::spawn(run_reports(Arc::clone(&link), events));
        tokio::spawn(run_following(Following {
            host: self.own,
            contract: Arc::clone(&self.contract),
            link,
            gate: Arc::clone(&gate),
            directory,
            entry: Arc::clone(&entry),
        }));
        tokio::spawn(serve_callers(callers, entry, closing));
        let readiness_gate = Arc::clone(&gate);
        let contract = self.contract;
        tokio::spawn(serve_simple(readiness, move |request| {
            let status = readiness_status(&contract, &readiness_gate, &request);
            async move { plain(status, String::new()) }
        }));
        tokio::spawn(serve_simple(metrics, move |_| {
            let text = figures.to_text();
            async move { plain(StatusCode::OK, text) }
        }));
        Ok(gate)
    }
}

fn readiness_status(
    contract: &SharedContract,
    gate: &Gate,
    request: &Request<Incoming>,
) -> StatusCode {
    if !contract.is_readiness_call(request.method(), request.uri().path()) {
        return StatusCode::NOT_FOUND;
    }
    if gate.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

fn plain(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}

/// What the parts of a keeper start from.
struct KeeperParts<'a> {
    settings: &'a SeededSettings,
    own: HostId,
    contract: SharedContract,
    peers: Peers,
    keepers: KeeperClient,
}

impl KeeperParts<'_> {
    async fn start(self, failed: mpsc::Sender<StoreError>) -> Result<(), StartError> {
        let listen = &self.settings.listen;
        let control = bind(listen.control.ok_or(StartError::NoListen("control"))?).await?;
        let inner = bind(listen.inner).await?;
        let metrics = bind(listen.metrics).await?;
        let dir = self.settings.data_dir.as_deref().ok_or(StartError::NoDataDir)?;
        let (store, state) =
            Store::open(dir, self.own.as_str(), rand::random()).map_err(StartError::Store)?;
        let options = Options {
            election_ms: ELECTION_MS,
            heartbeat_ms: LEADER_HEARTBEAT_MS,
            keep_entries: KEEP_ENTRIES,
            replace_silent_ms: Some(REPLACE_SILENT_MS),
            ..Options::default()
        };
        let sizing = Sizing::of_plans(self.settings.tolerated_losses);
        let (outbox, outbox_receiver) = mpsc::unbounded_channel();
        let keeper = Keeper::new(store, state, options, sizing, outbox, failed);
        let plans = keeper.plans();
        let keeper = xtra::spawn_tokio(keeper, Mailbox::bounded(MAILBOX));
        let heartbeat_ms = self.settings.bounds.heartbeat_ms;
        let fleet =
            FleetKeeper::new(Arc::clone(&self.contract), self.keepers.clone(), heartbeat_ms);
        let fleet = Arc::new(fleet);
        let spread = Spread::new(self.own.clone(), self.peers.clone(), self.keepers.clone());
        tokio::spawn(run_outbox(outbox_receiver, self.peers.clone()));
        tokio::spawn(run_ticks(keeper.clone()));
        tokio::spawn(run_join(keeper.clone(), self.joining(), self.peers.clone()));
        tokio::spawn(run_fleet(Arc::clone(&fleet), plans));
        tokio::spawn(run_spread(spread.clone()));
        tokio::spawn(serve_inner(
            inner,
            InnerService {
                owner: None,
                keeper: Some(keeper.clone()),
                membership: None,
                peers: self.peers,
                fleet: Some(Arc::clone(&fleet)),
            },
        ));
        let door = ControlDoor {
            own: self.own,
            contract: self.contract,
            keeper,
            keepers: self.keepers,
            fleet: Arc::clone(&fleet),
            spread,
        };
        tokio::spawn(serve_simple(control, move |request| door.clone().answer(request)));
        tokio::spawn(serve_simple(metrics, move |_| {
            let text = fleet.to_text();
            async move { plain(StatusCode::OK, text) }
        }));
        Ok(())
    }

    fn joining(&self) -> Joining {
        let seeds = self.settings.seeds.iter().map(|seed| HostId::new(seed.ip().to_string()));
        let seeds: Vec<_> = seeds.collect();
        let may_begin = self.settings.is_first_start && seeds.contains(&self.own);
        let seeds = seeds.into_iter().filter(|seed| *seed != self.own).collect();
        Joining { seeds, may_begin, keepers: Some(self.keepers.clone()) }
    }
}

const _: () =
    assert!(ELECTION_MS >= 3 * LEADER_HEARTBEAT_MS, "an election waits for several heartbeats");
