//! Saves the registered upstreams of a keeper on disk, and restores them after a restart.
//!
//! The registry itself is soft state, rebuilt from heartbeats. After a power failure of all hosts,
//! though, callers return before half of the upstreams have sent a heartbeat, and all requests
//! would go to the few engines heard first. In one such failure, four of 18 engines got 16 requests
//! each, with up to 1.6 s of prefill queued, while other engines had none. The first heartbeat of
//! an upstream replaces its restored record; without one, the upstream gets no new requests after
//! two heartbeat intervals.

use std::sync::Arc;
use std::time::Duration;

use clayplank_agreement::{SideFiles, StoreError};
use clayplank_registry::{Cursor, Heartbeat};

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::process::logging::log_target;

/// Name of the stored note.
const NOTE_NAME: &str = "upstreams";

/// Interval between two checks for changes. Upstreams register and depart a few times a minute, and
/// each save costs three disk syncs.
const SAVE_INTERVAL: Duration = Duration::from_millis(500);

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

/// Saves the registered upstreams whenever one has changed.
pub(crate) async fn run_upstream_saves(fleet: Arc<FleetKeeper>, notes: SideFiles) {
    let mut saved = Cursor::default();
    loop {
        clayplank_clock::sleep(SAVE_INTERVAL).await;
        let Some((cursor, known)) = fleet.upstreams_after(saved) else {
            continue;
        };
        if let Err(error) = save(notes.clone(), known).await {
            log::warn!(target: log_target::KEEPER, cause:% = error; "Failed to save the registered upstreams; retries");
            continue;
        }
        saved = cursor;
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
