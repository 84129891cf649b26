//! Reports the rate limits that upstreams name in their answers to the keeper that places prompts.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::Directory;
use clayplank_placement::{Event, PlacementId};
use clayplank_registry::{AgedLimit, LimitObservation};
use clayplank_state::encode;
use clayplank_types::UpstreamId;
use clayplank_wire::ReportRequest;
use tokio::sync::mpsc;

use crate::fleet::placement_client::PlacementClient;
use crate::process::clock::now_ms;
use crate::process::logging::log_target;

/// Time for which limits are collected into one call.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Time-out of a report to the keeper.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before limits that no keeper accepted are reported again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval at which a host reports all limits that it knows again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Newest limit of each upstream that no keeper has accepted yet.
type PendingLimits = BTreeMap<UpstreamId, LimitObservation>;

/// Reports limits, and repeats them until a keeper accepts them: a single answer of the upstream
/// may be the only one that shows that a limit was lifted.
pub(crate) async fn run_limit_reports(
    placement_client: Arc<PlacementClient>,
    mut observed: mpsc::UnboundedReceiver<LimitObservation>,
) {
    let mut pending = PendingLimits::new();
    loop {
        if pending.is_empty() {
            let Some(first) = observed.recv().await else {
                return;
            };
            pending.insert(first.upstream.clone(), first);
        }
        clayplank_clock::sleep(BATCH_DELAY).await;
        while let Ok(next) = observed.try_recv() {
            pending.insert(next.upstream.clone(), next);
        }
        if report(&placement_client, &pending).await {
            pending.clear();
        } else {
            clayplank_clock::sleep(RETRY_DELAY).await;
        }
    }
}

/// Reports all known limits again at regular intervals, including recently lifted ones. A keeper that
/// accepted a report may have ended before it told the other keepers, and upstreams may not state
/// again that a limit was lifted. The first interval is random, so that hosts started together do not
/// report together.
pub(crate) async fn run_limit_refresh(
    placement_client: Arc<PlacementClient>,
    directory: Arc<Directory>,
) {
    clayplank_clock::sleep(REFRESH_INTERVAL.mul_f64(rand::random())).await;
    loop {
        for observed in directory.latest_limits() {
            placement_client.report_limit(observed);
        }
        clayplank_clock::sleep(REFRESH_INTERVAL).await;
    }
}

/// Sends the limits to the keeper that places prompts. Returns whether it accepted them.
async fn report(placement_client: &PlacementClient, pending: &PendingLimits) -> bool {
    let now_ms = now_ms();
    let limits: Vec<AgedLimit> = pending.values().map(|one| one.to_aged(now_ms)).collect();
    let no_events: Vec<(PlacementId, Event)> = Vec::new();
    let (Some(keeper), Ok(events), Ok(limits)) =
        (placement_client.placing_keeper(), encode(&no_events), encode(&limits))
    else {
        return false;
    };
    let request = ReportRequest { events, limits, ..ReportRequest::default() };
    let sent = placement_client
        .peers()
        .call(&keeper, REPORT_TIMEOUT, |mut client| async move { client.report(request).await })
        .await;
    if let Err(error) = &sent {
        log::debug!(target: log_target::MEMBERS, "Failed to report limits of upstreams, retries: {error}.");
    }
    sent.is_ok()
}
