//! What a keeper remembers of the registered upstreams over a restart.
//!
//! The registry itself is soft state. After a loss of power of all hosts, though, callers come
//! back before half of the upstreams have sent a heartbeat, and all of them would go to the
//! few engines heard first: on one day 16 requests each to four of 18 engines, with up to
//! 1.6 s to read there, while others had none. What is remembered is replaced by the first
//! heartbeat, and gets nothing new without one after two heartbeat times.

use std::sync::Arc;
use std::time::Duration;

use clayplank_agreement::{Notes, StoreError};
use clayplank_registry::{Cursor, Heartbeat};

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::process::logging::part;

/// The note that holds them.
const FILE: &str = "upstreams";

/// Between two looks for changes: upstreams come and go a few times a minute, and each save is
/// three syncs.
const SAVE_EVERY: Duration = Duration::from_millis(500);

/// Takes in what was saved before this process started.
pub(crate) fn recall_upstreams(fleet: &FleetKeeper, notes: &Notes) {
    match notes.load::<Vec<Heartbeat>>(FILE) {
        Ok(Some(known)) => {
            log::info!(target: part::KEEPER, upstreams = known.len(); "Remembers upstreams");
            fleet.remember(&known);
        }
        Ok(None) => {}
        // Heartbeats bring all of it again.
        Err(error) => {
            log::warn!(target: part::KEEPER, cause:% = error; "Remembers no upstreams");
        }
    }
}

/// Saves the registered upstreams whenever one has changed.
pub(crate) async fn run_upstream_memory(fleet: Arc<FleetKeeper>, notes: Notes) {
    let mut saved = Cursor::default();
    loop {
        clayplank_clock::sleep(SAVE_EVERY).await;
        let Some((cursor, known)) = fleet.upstreams_after(saved) else {
            continue;
        };
        if let Err(error) = save(notes.clone(), known).await {
            log::warn!(target: part::KEEPER, cause:% = error; "The upstreams were not saved");
            continue;
        }
        saved = cursor;
    }
}

/// Why upstreams were not saved.
#[derive(Debug, thiserror::Error)]
enum SaveError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the save ended without a result: {0}")]
    Ended(#[from] tokio::task::JoinError),
}

/// Writes off the runtime's threads.
async fn save(notes: Notes, known: Vec<Heartbeat>) -> Result<(), SaveError> {
    Ok(tokio::task::spawn_blocking(move || notes.save(FILE, &known)).await??)
}
