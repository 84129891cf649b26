//! Starts the parts of a keeper that finds the others from seeds.

use std::sync::Arc;

use clayplank_agreement::{Options, Store, StoreError};
use clayplank_forward::serve_simple;
use tokio::sync::mpsc;
use xtra::Mailbox;

use crate::control_door::ControlDoor;
use crate::daemon::{MAILBOX, StartError, bind, serve_inner};
use crate::engine_watch::run_engine_watch;
use crate::fleet_keeper::{FleetKeeper, run_fleet};
use crate::inner::InnerService;
use crate::keeper::{Keeper, Sizing};
use crate::keeper_join::{Joining, run_join, run_outbox, run_ticks};
use crate::seeded::{Parts, seed_hosts, serve_metrics};
use crate::spread::{Spread, run_spread};

/// An election follows after a leader was silent for this long, in ms, up to twice: a
/// change that waits for one is still acknowledged within about a second.
const ELECTION_MS: u64 = 350;

/// Between two heartbeats of the leader, in ms: several fit into the shortest election time.
const LEADER_HEARTBEAT_MS: u64 = 80;

/// A voter that is silent for this long, in ms, gives its place to a newcomer that has caught up.
const REPLACE_SILENT_MS: u64 = 1_500;

/// Entries kept in memory for slow followers: each may be a whole plan.
const KEEP_ENTRIES: u64 = 32;

const _: () =
    assert!(ELECTION_MS >= 3 * LEADER_HEARTBEAT_MS, "an election waits for several heartbeats");

impl Parts<'_> {
    /// Starts a keeper; a disk that fails is told to `failed`.
    pub(crate) async fn start_keeper(
        self,
        failed: mpsc::Sender<StoreError>,
    ) -> Result<(), StartError> {
        let listen = &self.settings.listen;
        let control = bind(listen.control.ok_or(StartError::NoListen("control"))?).await?;
        let inner = bind(listen.inner).await?;
        let metrics = bind(listen.metrics).await?;
        let dir = self.settings.data_dir.as_deref().ok_or(StartError::NoDataDir)?;
        let (store, state) =
            Store::open(dir, self.own.as_str(), rand::random()).map_err(StartError::Store)?;
        let sizing = Sizing::of_plans(self.settings.tolerated_losses);
        let (outbox, outbox_receiver) = mpsc::unbounded_channel();
        let keeper = Keeper::new(store, state, agreement_options(), sizing, outbox, failed);
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
        tokio::spawn(run_engine_watch(Arc::clone(&fleet)));
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
        serve_metrics(metrics, move || fleet.to_text());
        Ok(())
    }

    fn joining(&self) -> Joining {
        let seeds: Vec<_> = seed_hosts(self.settings).collect();
        let may_begin = self.settings.is_first_start && seeds.contains(&self.own);
        let seeds = seeds.into_iter().filter(|seed| *seed != self.own).collect();
        Joining { seeds, may_begin, keepers: Some(self.keepers.clone()) }
    }
}

fn agreement_options() -> Options {
    Options {
        election_ms: ELECTION_MS,
        heartbeat_ms: LEADER_HEARTBEAT_MS,
        keep_entries: KEEP_ENTRIES,
        replace_silent_ms: Some(REPLACE_SILENT_MS),
        ..Options::default()
    }
}
