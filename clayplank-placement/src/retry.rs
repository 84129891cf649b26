//! Time after which a refused prompt should be retried.

use crate::admission::slot_pressure;
use crate::fleet_view::FleetView;
use crate::open_engine::OpenEngine;
use crate::request::{Assignment, PlacementRequest};

/// Bounds of the retry time, in ms. Engines need some time to work off their queues, and callers
/// wait for no more than a third of their remaining time.
const MIN_RETRY_MS: f64 = 700.0;
const MAX_RETRY_MS: f64 = 5_000.0;

/// Retry time, in ms: when the queue will be short enough for the prompt, or, when slots are scarce
/// and the prompt is late in any case, after the typical slot time.
pub(crate) fn retry_after(
    fleet: FleetView<'_>,
    open: &[OpenEngine<'_>],
    assignment: &Assignment,
    request: &PlacementRequest,
) -> u64 {
    let is_late_anyway = request.goal_ms < MIN_RETRY_MS;
    if is_late_anyway && slot_pressure(open, fleet.promised(&request.pool)) > 0.0 {
        return retry_after_slot_turnover(fleet, request, assignment.first_token_ms);
    }
    (assignment.first_token_ms - request.goal_ms / 2.0).clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64
}

/// Retry time, in ms, of a late prompt that found no free slot: once other requests occupy the
/// slots. An earlier retry mostly meets the same requests again.
pub(crate) fn retry_after_slot_turnover(
    fleet: FleetView<'_>,
    request: &PlacementRequest,
    min_ms: f64,
) -> u64 {
    let slot_ms = fleet.mean_slot_ms(&request.pool).unwrap_or(MIN_RETRY_MS);
    slot_ms.max(min_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64
}
