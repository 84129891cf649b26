//! Asks engines whose first tokens are late how slow they are, and those that broke off or could
//! not be reached whether they live.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{CallError, ExchangeError, call_whole};
use clayplank_types::UpstreamId;

use crate::doors::contract::EngineReport;
use crate::fleet::fleet_keeper::FleetKeeper;
use crate::process::logging::part;

/// Between two looks at what is late.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// Time for an engine to answer, with its connection, which is given up after 400 ms. One that is
/// silent is found out by those that wait for it.
const PATIENCE: Duration = Duration::from_millis(450);

/// Asks engines that are suspect of being slow or dead; only a keeper that places prompts knows any.
pub(crate) async fn run_engine_watch(fleet: Arc<FleetKeeper>) {
    loop {
        clayplank_clock::sleep(LOOK_EVERY).await;
        for (id, address) in fleet.take_suspects() {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move { ask(&fleet, &id, address).await });
        }
    }
}

async fn ask(fleet: &FleetKeeper, id: &UpstreamId, address: SocketAddr) {
    match ask_report(fleet, address).await {
        Ok(report) => {
            log::info!(target: part::KEEPER,
                upstream = id.as_str(), pace = report.pace, running = report.running,
                waiting = report.waiting, used_tokens = report.used_tokens;
                "An engine told its load");
            fleet.note_report(id, &report);
        }
        Err(error) => {
            log::info!(target: part::KEEPER, upstream = id.as_str(), cause:% = error; "An engine told nothing of itself");
            if error.is_unreached() {
                fleet.note_unreached(id);
            }
        }
    }
}

/// Why an engine's load is not known.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("its report cannot be read: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl ReportError {
    /// Whether no connection could be had.
    fn is_unreached(&self) -> bool {
        matches!(self, Self::Call(CallError::Exchange(ExchangeError::Connect(_))))
    }
}

async fn ask_report(fleet: &FleetKeeper, address: SocketAddr) -> Result<EngineReport, ReportError> {
    let contract = fleet.contract();
    let (_, body) = call_whole(address, contract.report_request(), PATIENCE).await?;
    Ok(contract.scan_report(&body)?)
}
