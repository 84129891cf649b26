//! Replicates placements and their events to the keeper that may have to place prompts next.
//!
//! The leader sends them to its deputy, the keeper that entry hosts query while the leader is
//! unresponsive. When another keeper becomes leader, each keeper that knows placements sends them
//! to it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use clayplank_placement::{
    Assignment, Event, PlacementId, PlacementRequest, RunningPlacement, SETTLE_MS,
};
use clayplank_state::encode;
use clayplank_types::HostId;
use clayplank_wire::ReportRequest;
use xtra::Address;

use crate::fleet::fleet_keeper::FleetKeeper;
use crate::fleet::placement_keeper::TAKE_OVER_MS;
use crate::keepers::keeper::Keeper;
use crate::keepers::keeper_messages::{GetPlacementKeepers, PlacementKeepers};
use crate::process::clock::now_ms;
use crate::process::lock::lock_ignoring_poison;
use crate::process::logging::log_target;
use crate::process::peers::Peers;

/// Interval at which collected updates are sent, in one call.
const BATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time-out of a call with updates. They are not repeated: a deputy that lacks some makes slightly
/// worse placements.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// Maximum number of placements, and of events, that are queued while there is no leader. Those
/// beyond it are not sent.
const MAX_PENDING_UPDATES: usize = 4_096;

/// Time after the last update for which the known placements count as current, in ms. A keeper that
/// gets no more updates, because another one became deputy or because it is partitioned, does not
/// learn which placements have ended.
const MAX_UPDATE_AGE_MS: u64 = 1_500;

/// Age at which a placement is removed although its end was not reported, in ms: its host has
/// failed, or the event was lost. No caller waits as long.
const MAX_PLACEMENT_AGE_MS: u64 = 60_000;

/// Time for which the end of a placement is remembered, in ms: a list of its host that was made before
/// the end may take as long, since keepers collect lists until their followers' calls are confirmed.
const ENDED_MEMORY_MS: u64 = 3_000;

/// Interval between two removals of such placements, in ms.
const PRUNE_INTERVAL_MS: u64 = 1_000;

/// A placement, and the time at which this keeper learned of it.
#[derive(Debug)]
struct KnownPlacement {
    placement: RunningPlacement,
    since_ms: u64,
}

/// Placements that this keeper knows, and the updates that were not sent yet.
#[derive(Debug, Default)]
pub(crate) struct PlacementReplicator {
    known: HashMap<PlacementId, KnownPlacement>,
    /// Placements that ended recently, and the times of their ends in ms.
    ended: HashMap<PlacementId, u64>,
    next_prune_ms: u64,
    /// Time of the last update that was received or made here, in ms.
    updated_ms: u64,
    /// Placements made here that were not sent yet.
    placed: Vec<RunningPlacement>,
    /// Events that were not sent yet.
    events: Vec<(PlacementId, Event)>,
}

impl PlacementReplicator {
    /// Records a placement that this keeper made.
    pub(crate) fn record_placement(
        &mut self,
        placement_request: &PlacementRequest,
        assignment: &Assignment,
    ) {
        let placement = RunningPlacement {
            ask: placement_request.clone(),
            assignment: assignment.clone(),
            is_started: false,
        };
        if self.placed.len() < MAX_PENDING_UPDATES {
            self.placed.push(placement.clone());
        }
        self.insert(placement);
    }

    /// Adds placements that another keeper made.
    pub(crate) fn take_over(&mut self, placed: &[RunningPlacement]) {
        placed.iter().for_each(|placement| self.insert(placement.clone()));
    }

    fn insert(&mut self, placement: RunningPlacement) {
        let since_ms = now_ms();
        self.updated_ms = since_ms;
        self.known.insert(placement.ask.id, KnownPlacement { placement, since_ms });
    }

    /// The engines of a placement that is known for so short a time that the renewals of its host
    /// have not dropped it from the fleet, although they do not list it.
    pub(crate) fn recent_assignment(&self, id: PlacementId) -> Option<Assignment> {
        let known =
            self.known.get(&id).filter(|known| now_ms() < known.since_ms + SETTLE_MS as u64)?;
        Some(known.placement.assignment.clone())
    }

    /// Whether the end of a placement was reported recently.
    pub(crate) fn has_ended(&self, id: PlacementId) -> bool {
        self.ended.contains_key(&id)
    }

    /// Whether the known placements are current enough to be used.
    pub(crate) fn is_current(&self) -> bool {
        now_ms() < self.updated_ms + MAX_UPDATE_AGE_MS
    }

    /// Records events of placements.
    pub(crate) fn record_events(&mut self, events: &[(PlacementId, Event)]) {
        self.updated_ms = now_ms();
        for (id, event) in events {
            match event {
                Event::Started { .. } => {
                    if let Some(known) = self.known.get_mut(id) {
                        known.placement.is_started = true;
                    }
                }
                Event::Ended
                | Event::Failed
                | Event::Broken
                | Event::Unreached
                | Event::HelperFailed { .. } => {
                    self.known.remove(id);
                    self.ended.insert(*id, self.updated_ms);
                }
            }
        }
        let room = MAX_PENDING_UPDATES.saturating_sub(self.events.len());
        self.events.extend(events.iter().take(room));
    }

    /// Removes and returns the updates that were not sent yet, for the deputy.
    fn take_updates(&mut self) -> PlacementUpdates {
        self.prune();
        PlacementUpdates {
            placed: std::mem::take(&mut self.placed),
            events: std::mem::take(&mut self.events),
        }
    }

    /// Returns all known placements, for a new deputy, and clears the unsent updates, which they
    /// include.
    fn all_as_updates(&mut self) -> PlacementUpdates {
        self.take_updates();
        PlacementUpdates {
            placed: self.known.values().map(|known| known.placement.clone()).collect(),
            events: Vec::new(),
        }
    }

    /// Removes placements whose end was never reported.
    fn prune(&mut self) {
        let now_ms = now_ms();
        if now_ms >= self.next_prune_ms {
            self.next_prune_ms = now_ms + PRUNE_INTERVAL_MS;
            self.known.retain(|_, placement| now_ms < placement.since_ms + MAX_PLACEMENT_AGE_MS);
            self.ended.retain(|_, ended_ms| now_ms < *ended_ms + ENDED_MEMORY_MS);
        }
    }

    /// Removes and returns all known placements, for a new leader. Returns none if they are not
    /// current.
    pub(crate) fn take_all(&mut self) -> PlacementUpdates {
        self.take_updates();
        let is_current = self.is_current();
        let known = self.known.drain().map(|(_, known)| known.placement).filter(|_| is_current);
        PlacementUpdates { placed: known.collect(), events: Vec::new() }
    }
}

/// Placements and events that one keeper sends to another.
pub(crate) struct PlacementUpdates {
    placed: Vec<RunningPlacement>,
    events: Vec<(PlacementId, Event)>,
}

impl PlacementUpdates {
    fn is_empty(&self) -> bool {
        self.placed.is_empty() && self.events.is_empty()
    }
}

/// Sends updates to the deputy while this keeper leads, and all known placements to a new leader.
pub(crate) async fn run_placement_replication(
    local_host: HostId,
    keeper: Address<Keeper>,
    fleet: Arc<FleetKeeper>,
    peers: Peers,
) {
    // Another keeper that leads, to which the placements known here were sent.
    let mut informed_leader = None;
    // The deputy to which the placements known here were sent, while this keeper leads.
    let mut informed_deputy = None;
    // Time since which this keeper leads, in ms.
    let mut leads_since_ms = None;
    loop {
        clayplank_clock::sleep(BATCH_INTERVAL).await;
        let Ok(placing) = keeper.send(GetPlacementKeepers).await else {
            return;
        };
        let Some(PlacementKeepers { leader, deputy }) = placing else {
            continue;
        };
        leads_since_ms = (leader == local_host).then(|| leads_since_ms.unwrap_or_else(now_ms));
        let has_led = leads_since_ms.is_some_and(|since_ms| now_ms() >= since_ms + TAKE_OVER_MS);
        fleet.placement().set_has_led(has_led);
        let (to, updates) = if leader == local_host {
            informed_leader = None;
            fleet.keepers().set_deputy(deputy.clone());
            let is_new = deputy.is_some() && informed_deputy != deputy;
            informed_deputy.clone_from(&deputy);
            let mut replicator = lock_ignoring_poison(fleet.placement().replicator());
            (deputy, if is_new { replicator.all_as_updates() } else { replicator.take_updates() })
        } else if informed_leader.as_ref() != Some(&leader) {
            informed_deputy = None;
            informed_leader = Some(leader.clone());
            (Some(leader), fleet.placement().take_placements())
        } else {
            fleet.placement().clear_stale_placements();
            (None, lock_ignoring_poison(fleet.placement().replicator()).take_updates())
        };
        if let Some(to) = to.filter(|_| !updates.is_empty()) {
            tokio::spawn(send(peers.clone(), to, updates));
        }
    }
}

async fn send(peers: Peers, to: HostId, updates: PlacementUpdates) {
    let (Ok(placed), Ok(events)) = (encode(&updates.placed), encode(&updates.events)) else {
        log::error!(target: log_target::KEEPER, "Failed to encode placements for another keeper.");
        return;
    };
    let request = ReportRequest { events, placed, ..ReportRequest::default() };
    let sent = peers
        .call(&to, CALL_TIMEOUT, |mut client| async move { client.report(request).await })
        .await;
    if let Err(error) = sent {
        log::debug!(target: log_target::KEEPER, "Failed to send placements to {to}: {error}.");
    }
}
