//! Asks engines whose first tokens are late how slow they are.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{CallError, call_whole};
use clayplank_types::UpstreamId;

use crate::fleet_keeper::FleetKeeper;
use crate::logging::part;

/// Between two looks at what is late.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time for an engine to answer; one that is silent is found out by those that wait for it.
const PATIENCE: Duration = Duration::from_millis(400);

/// Asks engines that are suspect of being slow; only a keeper that places prompts knows any.
pub(crate) async fn run_engine_watch(fleet: Arc<FleetKeeper>) {
    loop {
        tokio::time::sleep(LOOK_EVERY).await;
        for (id, address) in fleet.take_suspects() {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move { ask(&fleet, &id, address).await });
        }
    }
}

async fn ask(fleet: &FleetKeeper, id: &UpstreamId, address: SocketAddr) {
    match ask_pace(fleet, address).await {
        Ok(pace) => {
            log::info!(target: part::KEEPER, upstream = id.as_str(), pace = pace; "An engine told its pace");
            fleet.note_pace(id, pace);
        }
        Err(error) => {
            log::info!(target: part::KEEPER, upstream = id.as_str(), cause:% = error; "An engine told nothing of itself");
        }
    }
}

/// Why an engine's pace is not known.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("its report cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

async fn ask_pace(fleet: &FleetKeeper, address: SocketAddr) -> Result<f64, ReportError> {
    let contract = fleet.contract();
    let (_, body) = call_whole(address, contract.report_request(), PATIENCE).await?;
    Ok(contract.scan_report(&body)?.pace)
}
