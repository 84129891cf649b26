//! A host that finds the others from seeds: starts what its settings ask for, and stops in order.
//!
//! A host with callers' addresses is an entry host; one with a disk and a door for operators
//! is a keeper; one may be both, in one process, so that a host pays for one runtime and its
//! keeper goes on while its callers are drained.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_forward::{Gate, serve_simple};
use clayplank_settings::{Role, SeededSettings};
use clayplank_types::HostId;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

use crate::doors::contract::SharedContract;
use crate::doors::control_door::Registered;
use crate::fleet::fleet_keeper::FleetKeeper;
use crate::keepers::keeper_client::KeeperClient;
use crate::keepers::keeper_stop::give_up_vote;
use crate::keepers::leader_search::run_leader_search;
use crate::process::daemon::{StartError, bind};
use crate::process::logging::{part, set_log_level};
use crate::process::peers::Peers;
use crate::process::seeded_entry::EntryHost;
use crate::process::seeded_keeper::run_keeper_start;
use crate::process::suspension::{run_suspension_watch, suspension_figures};

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
    /// `None` on a host without callers.
    entry: Option<EntryHost>,
    closing: watch::Sender<bool>,
    /// Closed on a host without a disk, which nothing can end.
    failed: mpsc::Receiver<StartError>,
}

impl std::fmt::Debug for SeededDaemon {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SeededDaemon").field("name", &self.settings.name).finish_non_exhaustive()
    }
}

impl SeededDaemon {
    /// Starts the parts of the host. A keeper starts beside them as soon as its disk can be
    /// used, so that a full one holds up no caller.
    ///
    /// # Errors
    /// An address cannot be used; nothing runs.
    pub async fn start(
        settings: SeededSettings,
        contract: SharedContract,
    ) -> Result<Self, StartError> {
        let peers = Peers::by_address(settings.listen.inner.port());
        let own = HostId::new(settings.ip.to_string());
        let keepers = KeeperClient::of_seeds(own.clone(), seed_hosts(&settings), peers.clone());
        let (failed_sender, failed) = mpsc::channel(1);
        let (closing, closing_receiver) = watch::channel(false);
        let parts = Parts {
            settings: Arc::new(settings.clone()),
            own,
            contract,
            peers,
            keepers: keepers.clone(),
        };
        let metrics = bind(settings.listen.metrics).await?;
        tokio::spawn(run_leader_search(keepers.clone()));
        tokio::spawn(run_suspension_watch());
        let entry = match settings.role {
            Role::Entry => Some(parts.start_entry(closing_receiver).await?),
            Role::Keeper => None,
        };
        let counting =
            entry.as_ref().map(|host| (Arc::clone(&host.entry), Arc::clone(&host.following)));
        let fleet = settings.is_keeper().then(|| parts.new_fleet());
        if let Some(fleet) = &fleet {
            tokio::spawn(run_keeper_start(parts, Arc::clone(fleet), failed_sender));
        } else if let (Some(control), Some(_)) = (settings.listen.control, &entry) {
            let spread = parts.new_spread();
            parts.start_door(bind(control).await?, Registered::Followed, spread);
        }
        serve_metrics(metrics, move || {
            let of_entry = counting
                .as_ref()
                .map(|(entry, following)| entry.to_text() + &following.to_text())
                .unwrap_or_default();
            let of_keeper = fleet.as_deref().map(FleetKeeper::to_text).unwrap_or_default();
            of_entry + &of_keeper + &suspension_figures()
        });
        log::info!(target: part::DAEMON,
            name = settings.name, role:? = settings.role, keeper = settings.is_keeper(),
            is_first_start = settings.is_first_start,
            seeds = seed_hosts(&settings).map(|seed| seed.to_string()).collect::<Vec<_>>().join(" ");
            "Started");
        Ok(Self { settings, keepers, entry, closing, failed })
    }

    /// Waits until the daemon cannot go on.
    pub async fn failed(&mut self) -> StartError {
        match self.failed.recv().await {
            Some(error) => error,
            None => std::future::pending().await,
        }
    }

    /// Takes in changed settings: seeds, bounds and the level of logs. What else has
    /// changed is named in the log, and counts from the next start on.
    pub fn reload(&mut self, settings: SeededSettings) {
        self.keepers.set_seeds(seed_hosts(&settings));
        set_log_level(settings.log.level);
        if let Some(entry) = &self.entry {
            entry.set_bounds(&settings.bounds);
        }
        let waiting = self.fields_for_next_start(&settings);
        self.settings.seeds = settings.seeds;
        self.settings.bounds = settings.bounds;
        self.settings.log = settings.log;
        log::info!(target: part::DAEMON,
            seeds = self.settings.seeds.len(), for_next_start = waiting.join(",");
            "Took in changed settings");
    }

    /// Names of changed fields that a running host does not take in.
    fn fields_for_next_start(&self, changed: &SeededSettings) -> Vec<&'static str> {
        let held = &self.settings;
        let fields = [
            ("name", held.name != changed.name),
            ("role", held.role != changed.role),
            ("ip", held.ip != changed.ip),
            ("data_centre", held.data_centre != changed.data_centre),
            ("listen", held.listen != changed.listen),
            ("data_dir", held.data_dir != changed.data_dir),
            ("tolerated_losses", held.tolerated_losses != changed.tolerated_losses),
            (
                "bounds/apply_ms",
                held.is_keeper() && held.bounds.apply_ms != changed.bounds.apply_ms,
            ),
        ];
        fields.into_iter().filter(|(_, is_changed)| *is_changed).map(|(name, _)| name).collect()
    }

    /// A planned stop: a keeper gives up its vote, an entry host waits for those that it serves.
    pub async fn leave_and_drain(&self) {
        let own = HostId::new(self.settings.ip.to_string());
        let give_up_vote = async {
            if self.settings.is_keeper() {
                give_up_vote(&self.keepers, &own).await;
            }
        };
        let drain = async {
            if let Some(EntryHost { gate, .. }) = &self.entry {
                self.drain(gate).await;
            }
        };
        tokio::join!(give_up_vote, drain);
        let cut_off = self.entry.as_ref().map_or(0, |entry| entry.gate.in_progress());
        log::info!(target: part::DAEMON, cut_off = cut_off; "Stopped");
    }

    /// Turns new callers away, and waits for those that are served.
    async fn drain(&self, gate: &Gate) {
        let end =
            Instant::now() + Duration::from_secs_f64(self.settings.bounds.grace_s) - GRACE_MARGIN;
        log::info!(target: part::DAEMON, in_progress = gate.in_progress(); "Stops");
        gate.leave();
        clayplank_clock::sleep(TURN_AWAY).await;
        gate.close();
        self.closing.send_replace(true);
        while gate.in_progress() > 0 && Instant::now() < end {
            clayplank_clock::sleep(DRAIN_POLL).await;
        }
        clayplank_clock::sleep(LINGER).await;
    }
}

/// What the parts of a host start from.
pub(crate) struct Parts {
    pub(crate) settings: Arc<SeededSettings>,
    pub(crate) own: HostId,
    pub(crate) contract: SharedContract,
    pub(crate) peers: Peers,
    pub(crate) keepers: KeeperClient,
}

/// The hosts that the settings name as seeds.
pub(crate) fn seed_hosts(settings: &SeededSettings) -> impl Iterator<Item = HostId> + '_ {
    settings.seeds.iter().map(|seed| HostId::new(seed.ip().to_string()))
}

/// Serves the figures that `to_text` tells.
pub(crate) fn serve_metrics<F>(listener: TcpListener, to_text: F)
where
    F: Fn() -> String + Clone + Send + Sync + 'static,
{
    tokio::spawn(serve_simple(listener, move |_| {
        let text = to_text();
        async move { plain_text(StatusCode::OK, text) }
    }));
}

/// An answer in plain text.
pub(crate) fn plain_text(status: StatusCode, text: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
