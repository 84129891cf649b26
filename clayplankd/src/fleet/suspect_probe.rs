//! Requests load reports from suspect engines: those whose first tokens are late, to learn how slow
//! they are, and those that broke off a response or refused a connection, to learn whether they are
//! alive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{CallError, ExchangeError, request_complete};
use clayplank_types::UpstreamId;

use crate::doors::contract::EngineLoadReport;
use crate::fleet::fleet_keeper::FleetKeeper;
use crate::process::logging::log_target;

/// Interval between two checks for suspect engines.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time-out of a load report request, including its connection attempt, which alone times out after
/// 400 ms. An engine that accepts connections but does not answer is detected by the requests that
/// wait for it.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);

/// Queries engines suspected to be slow or dead. Only a keeper that places prompts has suspects.
pub(crate) async fn run_engine_watch(fleet: Arc<FleetKeeper>) {
    loop {
        clayplank_clock::sleep(CHECK_INTERVAL).await;
        for (id, address) in fleet.take_suspects() {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move { query(&fleet, &id, address).await });
        }
    }
}

async fn query(fleet: &FleetKeeper, id: &UpstreamId, address: SocketAddr) {
    match request_report(fleet, address).await {
        Ok(report) => {
            log::info!(target: log_target::KEEPER,
                upstream = id.as_str(), pace = report.pace, running = report.running,
                waiting = report.waiting, used_tokens = report.used_tokens;
                "An engine reported its load");
            fleet.record_report(id, &report);
        }
        Err(error) => {
            log::info!(target: log_target::KEEPER, upstream = id.as_str(), cause:% = error; "An engine did not answer a load report request");
            if error.is_connect_failure() {
                fleet.placement().record_unreachable(id);
            }
        }
    }
}

/// Failure of a load report request.
#[derive(Debug, thiserror::Error)]
enum ReportError {
    #[error(transparent)]
    Call(#[from] CallError),
    #[error("cannot parse the load report: {0}")]
    Unreadable(#[from] serde_json::Error),
}

impl ReportError {
    /// Whether no connection to the engine could be established.
    fn is_connect_failure(&self) -> bool {
        matches!(self, Self::Call(CallError::Exchange(ExchangeError::Connect(_))))
    }
}

async fn request_report(
    fleet: &FleetKeeper,
    address: SocketAddr,
) -> Result<EngineLoadReport, ReportError> {
    let contract = fleet.contract();
    let request = contract.report_request();
    let (_, body) = request_complete(fleet.connector(), address, request, REPORT_TIMEOUT).await?;
    Ok(contract.parse_report(&body)?)
}
