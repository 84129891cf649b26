//! Reports the events of an entry host's placements to the keeper that places prompts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use clayplank_placement::{Event, PlacementId};
use clayplank_state::encode;
use clayplank_types::HostId;
use clayplank_wire::ReportRequest;
use tokio::sync::mpsc;

use crate::fleet::placement_client::PlacementClient;
use crate::process::clock::now_ms;
use crate::process::logging::log_target;

/// Time for which events of placements are collected into one call.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Time-out of a report to a keeper.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before events that no keeper accepted are reported again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Age at which events are no longer reported, in ms. The lists of running placements make up for
/// them by then.
const MAX_EVENT_AGE_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
struct RecordedEvent {
    id: PlacementId,
    event: Event,
    recorded_ms: u64,
}

impl RecordedEvent {
    /// Whether the keepers must learn of it also if the one that accepted it fails. Without the end
    /// of a placement, they count its slot as taken.
    fn is_end(&self) -> bool {
        match self.event {
            Event::Started { .. } => false,
            Event::Ended
            | Event::Failed
            | Event::Broken
            | Event::Unreached
            | Event::HelperFailed { .. } => true,
        }
    }

    fn is_expired(&self, now_ms: u64) -> bool {
        now_ms >= self.recorded_ms + MAX_EVENT_AGE_MS
    }
}

/// Events that the keeper that places prompts does not know yet, and those that it would have to be
/// told again after a change of that keeper.
#[derive(Debug, Default)]
struct EventReports {
    /// Events that no keeper has accepted, the oldest first.
    pending: VecDeque<RecordedEvent>,
    /// Ends that `accepted_by` has accepted, the oldest first.
    accepted_ends: VecDeque<RecordedEvent>,
    accepted_by: Option<HostId>,
}

impl EventReports {
    fn record(&mut self, now_ms: u64, (id, event): (PlacementId, Event)) {
        self.pending.push_back(RecordedEvent { id, event, recorded_ms: now_ms });
    }

    /// The events to report to a keeper, with the recent ends that another one has accepted: it may
    /// have failed before it told this one.
    fn for_keeper(&mut self, now_ms: u64, keeper: &HostId) -> Vec<(PlacementId, Event)> {
        if self.accepted_by.as_ref() != Some(keeper) {
            self.accepted_ends.append(&mut self.pending);
            self.pending = std::mem::take(&mut self.accepted_ends);
        }
        self.pending.retain(|one| !one.is_expired(now_ms));
        self.accepted_ends.retain(|one| !one.is_expired(now_ms));
        self.pending.iter().map(|one| (one.id, one.event)).collect()
    }

    /// Records that a keeper has accepted all pending events.
    fn set_accepted(&mut self, keeper: HostId) {
        self.accepted_ends.extend(self.pending.drain(..).filter(RecordedEvent::is_end));
        self.accepted_by = Some(keeper);
    }
}

/// Reports events, and repeats them until a keeper accepts them. After a change of the leader, the
/// next one is told of recent ends again.
pub(crate) async fn run_event_reports(
    placement_client: Arc<PlacementClient>,
    mut events: mpsc::UnboundedReceiver<(PlacementId, Event)>,
) {
    let mut reports = EventReports::default();
    let mut leader_changes = placement_client.subscribe_leader();
    loop {
        tokio::select! {
            event = events.recv() => match event {
                Some(event) => reports.record(now_ms(), event),
                None => return,
            },
            changed = leader_changes.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            () = clayplank_clock::sleep(RETRY_DELAY), if !reports.pending.is_empty() => {}
        }
        clayplank_clock::sleep(BATCH_DELAY).await;
        while let Ok(event) = events.try_recv() {
            reports.record(now_ms(), event);
        }
        tokio::select! {
            () = report(&placement_client, &mut reports) => {}
            // The call may be to the former leader.
            _ = leader_changes.changed() => leader_changes.mark_changed(),
        }
    }
}

/// Sends the events to the keeper that places prompts.
async fn report(placement_client: &PlacementClient, reports: &mut EventReports) {
    let Some(keeper) = placement_client.placing_keeper() else {
        return;
    };
    let events = reports.for_keeper(now_ms(), &keeper);
    if events.is_empty() {
        return;
    }
    let events = match encode(&events) {
        Ok(events) => events,
        Err(error) => {
            log::error!(target: log_target::MEMBERS, "Failed to encode events of placements: {error}.");
            return;
        }
    };
    let request = ReportRequest { events, ..ReportRequest::default() };
    let sent = placement_client
        .peers()
        .call(&keeper, REPORT_TIMEOUT, |mut client| async move { client.report(request).await })
        .await;
    match sent {
        Ok(_) => reports.set_accepted(keeper),
        Err(error) => {
            log::debug!(target: log_target::MEMBERS, "Failed to report events of placements to {keeper}, retries: {error}.");
        }
    }
}
