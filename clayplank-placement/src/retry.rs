//! When a prompt that is refused should come back.

use crate::admit::place_pressure;
use crate::ask::{Ask, Assignment};
use crate::candidate::Open;
use crate::fleet::Fleet;

/// Bounds, in ms, of the time to come back: engines need some time to catch up, and
/// callers honour no more than a third of what they have left.
const RETRY_MIN_MS: f64 = 700.0;
const RETRY_MAX_MS: f64 = 5_000.0;

/// A refusal that comes back when the wait has shrunk to what the prompt can bear, or, where
/// places are scarce and it is late whenever it comes, with the next turn of places.
pub(crate) fn retry_after(
    fleet: &Fleet,
    open: &[Open<'_>],
    assignment: &Assignment,
    ask: &Ask,
) -> u64 {
    let is_late_anyway = ask.goal_ms - ask.since_first_try_ms < RETRY_MIN_MS;
    if is_late_anyway && place_pressure(open) > 0.0 {
        return next_turn(fleet, ask, assignment.first_token_ms);
    }
    (assignment.first_token_ms - ask.goal_ms / 2.0).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64
}

/// When a late prompt should come back that found no place: once places are held by others than
/// now. One that comes back sooner mostly meets the same prompts again.
pub(crate) fn next_turn(fleet: &Fleet, ask: &Ask, least_ms: f64) -> u64 {
    let held_ms = fleet.usual_hold_ms(ask).unwrap_or(RETRY_MIN_MS);
    held_ms.max(least_ms).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64
}
