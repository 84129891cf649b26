//! When a prompt that is refused should come back.

use crate::admission::slot_pressure;
use crate::candidate::OpenEngine;
use crate::fleet::Fleet;
use crate::request::{Ask, Assignment};

/// Bounds, in ms, of the time to come back: engines need some time to catch up, and
/// callers honour no more than a third of what they have left.
const MIN_RETRY_MS: f64 = 700.0;
const MAX_RETRY_MS: f64 = 5_000.0;

/// A refusal that comes back when the wait has shrunk to what the prompt can bear, or, where
/// places are scarce and it is late whenever it comes, with the next turn of places.
pub(crate) fn retry_after(
    fleet: &Fleet,
    open: &[OpenEngine<'_>],
    assignment: &Assignment,
    request: &Ask,
) -> u64 {
    let is_late_anyway = request.goal_ms - request.since_first_try_ms < MIN_RETRY_MS;
    if is_late_anyway && slot_pressure(open) > 0.0 {
        return retry_after_slot_turnover(fleet, request, assignment.first_token_ms);
    }
    (assignment.first_token_ms - request.goal_ms / 2.0).clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64
}

/// When a late prompt should come back that found no place: once places are held by others than
/// now. One that comes back sooner mostly meets the same prompts again.
pub(crate) fn retry_after_slot_turnover(fleet: &Fleet, request: &Ask, min_ms: f64) -> u64 {
    let slot_ms = fleet.mean_slot_ms(request).unwrap_or(MIN_RETRY_MS);
    slot_ms.max(min_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64
}
