//! Starts the parts of a keeper that finds the others from seeds.

use std::sync::Arc;

use clayplank_agreement::{Options, Store, StoreError, StoredState};
use clayplank_forward::serve_simple;
use clayplank_members::FollowTimes;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use xtra::Mailbox;

use crate::doors::control_door::{ControlDoor, Registered};
use crate::fleet::engine_watch::run_engine_watch;
use crate::fleet::fleet_keeper::{FleetKeeper, run_fleet};
use crate::fleet::mirror::run_mirror;
use crate::fleet::spread::{Spread, run_spread, run_spread_to_one};
use crate::fleet::upstream_memory::{recall_upstreams, run_upstream_memory};
use crate::follow::relay::{Relay, run_relay};
use crate::keepers::first_start::recall_first_start;
use crate::keepers::full_disk::FullDisk;
use crate::keepers::keeper::{Keeper, Sizing};
use crate::keepers::keeper_join::{Joining, run_join, run_outbox, run_ticks};
use crate::process::daemon::{MAILBOX, StartError, bind, serve_inner};
use crate::process::inner::InnerService;
use crate::process::seeded::{Parts, seed_hosts};

/// An election follows after a leader was silent for this long, in ms, up to twice: a
/// change that waits for one is still acknowledged within about a second.
const ELECTION_MS: u64 = 350;

/// Between two heartbeats of the leader, in ms: several fit into the shortest election time.
const LEADER_HEARTBEAT_MS: u64 = 80;

/// A voter beyond those that are needed is taken out when it was silent for this long, in ms:
/// several times an election, so that a restart seldom costs a place.
const REPLACE_SILENT_MS: u64 = 1_500;

/// Entries kept in memory for slow followers: each may be a whole plan.
const KEEP_ENTRIES: u64 = 32;

const _: () =
    assert!(ELECTION_MS >= 3 * LEADER_HEARTBEAT_MS, "an election waits for several heartbeats");

/// What a keeper's disk holds.
struct OpenedStore {
    store: Store,
    /// `None` if it has never held a log.
    state: Option<StoredState>,
    /// Whether this keeper may begin a log with the other seeds.
    may_begin: bool,
}

/// Starts a keeper once its disk can be used; what ends it is told to `failed`.
pub(crate) async fn run_keeper_start(
    parts: Parts,
    fleet: Arc<FleetKeeper>,
    failed: mpsc::Sender<StartError>,
) {
    let opened = parts.open_store().await;
    let started = match opened {
        Ok(opened) => parts.start_keeper(opened, fleet).await,
        Err(error) => Err(error),
    };
    let error = match started {
        Ok(mut disk_failed) => match disk_failed.recv().await {
            Some(error) => StartError::DiskFailed(error),
            None => return,
        },
        Err(error) => error,
    };
    failed.send(error).await.ok();
}

impl Parts {
    /// The registry and the fleet of a keeper on this host.
    pub(crate) fn new_fleet(&self) -> Arc<FleetKeeper> {
        let heartbeat_ms = self.settings.bounds.heartbeat_ms;
        let contract = Arc::clone(&self.contract);
        Arc::new(FleetKeeper::new(contract, self.keepers.clone(), heartbeat_ms))
    }

    /// What passes heartbeats on from this host.
    pub(crate) fn new_spread(&self) -> Spread {
        Spread::new(self.own.clone(), self.peers.clone(), self.keepers.clone())
    }

    /// Serves operators and upstreams.
    pub(crate) fn start_door(self, control: TcpListener, registered: Registered, spread: Spread) {
        match &registered {
            Registered::Kept { .. } => tokio::spawn(run_spread(spread.clone())),
            Registered::Followed => tokio::spawn(run_spread_to_one(spread.clone())),
        };
        let door = ControlDoor {
            own: self.own,
            contract: self.contract,
            keepers: self.keepers,
            registered,
            spread,
            data_centres: self.settings.data_centres.clone().into(),
        };
        tokio::spawn(serve_simple(control, move |request| door.clone().answer(request)));
    }

    /// Opens the data folder, off the runtime's threads: a disk may stall. Waits while it is full.
    async fn open_store(&self) -> Result<OpenedStore, StartError> {
        let dir = self.settings.data_dir.clone().ok_or(StartError::NoDataDir)?;
        let is_first_start = self.settings.is_first_start;
        let is_seed = seed_hosts(&self.settings).any(|seed| seed == self.own);
        let mut full = FullDisk::default();
        loop {
            let (dir, own) = (dir.clone(), self.own.clone());
            let open = move || {
                let (store, state) = Store::open(&dir, own.as_str(), rand::random())?;
                let is_candidate = state.is_none() && is_seed;
                let may_begin = is_candidate && recall_first_start(&store.notes(), is_first_start)?;
                Ok(OpenedStore { store, state, may_begin })
            };
            let opened: Result<_, StoreError> =
                tokio::task::spawn_blocking(open).await.map_err(StartError::Opening)?;
            match opened {
                Ok(opened) => {
                    full.note_room();
                    return Ok(opened);
                }
                Err(error) if error.is_full() => full.wait(&error).await,
                Err(error) => return Err(StartError::Store(error)),
            }
        }
    }

    /// Starts a keeper on what its disk holds; a disk that fails later is told by the channel.
    async fn start_keeper(
        self,
        opened: OpenedStore,
        fleet: Arc<FleetKeeper>,
    ) -> Result<mpsc::Receiver<StoreError>, StartError> {
        let OpenedStore { store, state, may_begin } = opened;
        let listen = &self.settings.listen;
        let control = bind(listen.control.ok_or(StartError::NoListen("control"))?).await?;
        let inner = bind(listen.inner).await?;
        let sizing = Sizing::of_plans(self.settings.tolerated_losses);
        let notes = store.notes();
        recall_upstreams(&fleet, &notes);
        tokio::spawn(run_upstream_memory(Arc::clone(&fleet), notes));
        let (outbox, outbox_receiver) = mpsc::unbounded_channel();
        let (disk_failed, disk_failed_receiver) = mpsc::channel(1);
        let options = agreement_options(self.settings.tolerated_losses);
        let keeper = Keeper::new(store, state, options, sizing, outbox, disk_failed)
            .with_may_begin(may_begin);
        let applied = keeper.applied();
        let keeper = xtra::spawn_tokio(keeper, Mailbox::bounded(MAILBOX));
        tokio::spawn(run_outbox(outbox_receiver, self.peers.clone()));
        tokio::spawn(run_ticks(keeper.clone()));
        tokio::spawn(run_join(keeper.clone(), self.joining(), self.peers.clone()));
        tokio::spawn(run_fleet(Arc::clone(&fleet), applied.clone()));
        let relay = Arc::new(Relay::new(
            self.own.clone(),
            keeper.clone(),
            Arc::clone(&fleet),
            self.peers.clone(),
            applied,
            FollowTimes::of_bound(self.settings.bounds.apply_ms),
        ));
        tokio::spawn(run_relay(Arc::clone(&relay)));
        tokio::spawn(run_engine_watch(Arc::clone(&fleet)));
        tokio::spawn(run_mirror(
            self.own.clone(),
            keeper.clone(),
            Arc::clone(&fleet),
            self.peers.clone(),
        ));
        let spread = self.new_spread();
        tokio::spawn(serve_inner(
            inner,
            InnerService {
                owner: None,
                keeper: Some(keeper.clone()),
                membership: None,
                peers: self.peers.clone(),
                keepers: Some(self.keepers.clone()),
                fleet: Some(Arc::clone(&fleet)),
                relay: Some(relay),
                spread: Some(spread.clone()),
            },
        ));
        self.start_door(control, Registered::Kept { keeper, fleet }, spread);
        Ok(disk_failed_receiver)
    }

    fn joining(&self) -> Joining {
        let seeds = seed_hosts(&self.settings).filter(|seed| *seed != self.own).collect();
        Joining { seeds, keepers: Some(self.keepers.clone()) }
    }
}

fn agreement_options(tolerated_losses: usize) -> Options {
    Options {
        election_ms: ELECTION_MS,
        heartbeat_ms: LEADER_HEARTBEAT_MS,
        keep_entries: KEEP_ENTRIES,
        replace_silent_ms: Some(REPLACE_SILENT_MS),
        tolerated_losses,
        ..Options::default()
    }
}
