//! Tells the keeper that places what upstreams said of their limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use clayplank_placement::{Event, PlacementId};
use clayplank_registry::{AgedLimit, ObservedLimit};
use clayplank_state::encode;
use clayplank_types::UpstreamId;
use clayplank_wire::ReportRequest;
use tokio::sync::mpsc;

use crate::fleet::fleet_link::FleetLink;
use crate::process::clock::now_ms;
use crate::process::logging::part;

/// Limits are collected for this long: one call for all that were named.
const COLLECT: Duration = Duration::from_millis(15);

/// Time for the keeper to take limits.
const PATIENCE: Duration = Duration::from_millis(300);

/// Limits that no keeper took are told again after this time.
const RETRY_EVERY: Duration = Duration::from_millis(200);

/// The newest limits that no keeper took yet.
type Waiting = BTreeMap<UpstreamId, ObservedLimit>;

/// Tells limits until a keeper takes them: that one was lifted may be told by one answer alone.
pub(crate) async fn run_limit_reports(
    link: Arc<FleetLink>,
    mut observed: mpsc::UnboundedReceiver<ObservedLimit>,
) {
    let mut waiting = Waiting::new();
    loop {
        if waiting.is_empty() {
            let Some(first) = observed.recv().await else {
                return;
            };
            waiting.insert(first.upstream.clone(), first);
        }
        clayplank_clock::sleep(COLLECT).await;
        while let Ok(next) = observed.try_recv() {
            waiting.insert(next.upstream.clone(), next);
        }
        if tell(&link, &waiting).await {
            waiting.clear();
        } else {
            clayplank_clock::sleep(RETRY_EVERY).await;
        }
    }
}

/// Whether the keeper that places took them.
async fn tell(link: &FleetLink, waiting: &Waiting) -> bool {
    let now_ms = now_ms();
    let limits: Vec<AgedLimit> = waiting.values().map(|one| one.to_aged(now_ms)).collect();
    let no_events: Vec<(PlacementId, Event)> = Vec::new();
    let (Some(keeper), Ok(events), Ok(limits)) =
        (link.placing_keeper(), encode(&no_events), encode(&limits))
    else {
        return false;
    };
    let request = ReportRequest { events, limits, ..ReportRequest::default() };
    let told = link
        .peers()
        .call(&keeper, PATIENCE, |mut client| async move { client.report(request).await })
        .await;
    if let Err(error) = &told {
        log::debug!(target: part::MEMBERS, "Limits are told again: {error}.");
    }
    told.is_ok()
}
