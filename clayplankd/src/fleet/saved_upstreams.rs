//! Saves the registered upstreams of a keeper on disk, and restores them after a restart.
//!
//! The registry itself is soft state, rebuilt from heartbeats. After a power failure of all hosts,
//! though, callers return before half of the upstreams have sent a heartbeat, and all requests
//! would go to the few engines heard first. In one such failure, four of 18 engines got 16 requests
//! each, with up to 1.6 s of prefill queued, while other engines had none. The first heartbeat of
//! an upstream replaces its restored record; without one, the upstream gets no new requests after
//! two heartbeat intervals.
//!
//! Reports that an upstream drains or departs are different: no later heartbeat replaces them, so
//! they are saved before they are acknowledged.

use std::sync::Arc;
use std::time::Duration;

use clayplank_agreement::{SideFiles, StoreError};
use clayplank_registry::{Cursor, Heartbeat};
use tokio::sync::{Notify, watch};

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::process::logging::log_target;

/// Name of the stored note.
const NOTE_NAME: &str = "upstreams";

/// Interval between two checks for changes that nobody waits for. Each save costs three disk syncs.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

/// Progress of the saves of one registry.
#[derive(Debug, Default)]
pub(crate) struct SaveProgress {
    /// Cursor of the newest change on disk.
    saved: watch::Sender<Cursor>,
    /// Notified when the next save is to start at once.
    requested: Notify,
}

impl SaveProgress {
    /// Requests a save, and waits until the changes of the registry up to `cursor` are on disk.
    pub(crate) async fn wait_until_saved(&self, cursor: Cursor) {
        let mut saved = self.saved.subscribe();
        let is_saved = |saved: &Cursor| saved.life == cursor.life && saved.change >= cursor.change;
        if is_saved(&saved.borrow()) {
            return;
        }
        self.requested.notify_one();
        if saved.wait_for(is_saved).await.is_err() {
            // The sender lives as long as `self`.
            std::future::pending().await
        }
    }

    /// Waits for the time of the next save.
    async fn wait_until_due(&self) {
        // Without a request, the save is due after the interval.
        clayplank_clock::timeout(SAVE_INTERVAL, self.requested.notified()).await.ok();
    }
}

/// Restores the upstreams that an earlier process saved.
pub(crate) fn restore_upstreams(fleet: &FleetKeeper, notes: &SideFiles) {
    match notes.load::<Vec<Heartbeat>>(NOTE_NAME) {
        Ok(Some(known)) => {
            log::info!(target: log_target::KEEPER, upstreams = known.len(); "Restored the saved upstreams");
            fleet.restore(&known);
        }
        Ok(None) => {}
        // Not fatal: heartbeats rebuild the registry.
        Err(error) => {
            log::warn!(target: log_target::KEEPER, cause:% = error; "Failed to load the saved upstreams");
        }
    }
}

/// Saves the registered upstreams whenever one has changed, at once if somebody waits for it.
pub(crate) async fn run_upstream_saves(fleet: Arc<FleetKeeper>, notes: SideFiles) {
    let progress = fleet.save_progress();
    loop {
        progress.wait_until_due().await;
        let saved = *progress.saved.borrow();
        let Some((cursor, known)) = fleet.upstreams_after(saved) else {
            continue;
        };
        if let Err(error) = save(notes.clone(), known).await {
            log::warn!(target: log_target::KEEPER, cause:% = error; "Failed to save the registered upstreams; retries");
            continue;
        }
        progress.saved.send_replace(cursor);
    }
}

/// Failure of a save.
#[derive(Debug, thiserror::Error)]
enum SaveError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the save task panicked or was cancelled: {0}")]
    Ended(#[from] tokio::task::JoinError),
}

/// Writes on a blocking thread, so that the disk does not stall the async runtime.
async fn save(notes: SideFiles, known: Vec<Heartbeat>) -> Result<(), SaveError> {
    Ok(tokio::task::spawn_blocking(move || notes.save(NOTE_NAME, &known)).await??)
}
