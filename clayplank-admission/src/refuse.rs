//! Refuses requests, and finds the times of their appointments.

use crate::admission::Admission;
use crate::appointments::Appointment;
use crate::decision_log::DecisionKind;
use crate::ledger::{Ahead, Ledger, Overtaking};
use crate::queue::Entry;

/// Shortest time until an appointment, in ms.
const MIN_APPOINTMENT_MS: f64 = 100.0;

/// Share of the time until its deadline for which a caller follows a retry time.
const MAX_APPOINTMENT_SHARE: f64 = 1.0 / 3.0;

/// When no room is expected within the reach of a caller, appointments are spread over the last
/// part of it, from this share on.
const SPREAD_FROM_SHARE: f64 = 0.7;

/// Resolution of the spread of appointments, in ms.
const SPREAD_STEP_MS: f64 = 100.0;

impl Admission {
    /// Refuses a request; returns when its caller should come back. `queued` is the room of the
    /// queued requests of its pool.
    pub(crate) fn refuse(
        &mut self,
        now_ms: f64,
        entry: &Entry,
        ledger: &mut Ledger,
        queued: Ahead,
        fleet_retry_ms: Option<f64>,
    ) -> f64 {
        let (due_ms, is_promise) = appointment_at(now_ms, entry, ledger, queued, fleet_retry_ms);
        let retry_after_ms = due_ms - now_ms;
        let kind = if entry.is_returning {
            self.stats.refused_again_total += 1;
            self.stats.broken_total += u64::from(entry.has_promise);
            DecisionKind::RefusedAgain { retry_after_ms }
        } else {
            let appointment = Appointment {
                pool: entry.request.pool.clone(),
                due_ms,
                first_try_ms: entry.first_try_ms,
                demand: entry.demand,
                is_promise,
            };
            let is_open = self.appointments.open(entry.fingerprint, appointment);
            if is_open && is_promise {
                self.stats.promised_total += 1;
                ledger.add_promise(retry_after_ms, &entry.demand);
            } else if is_open {
                ledger.add_return(retry_after_ms);
            }
            DecisionKind::Refused { retry_after_ms }
        };
        self.record(now_ms, entry, kind, ledger);
        due_ms
    }
}

/// Time of the appointment of a request: the earliest with room, else one of the last that its
/// caller can reach, where the fewest others have theirs. Returns also whether there is room, which
/// makes it a promise.
fn appointment_at(
    now_ms: f64,
    entry: &Entry,
    ledger: &Ledger,
    queued: Ahead,
    fleet_retry_ms: Option<f64>,
) -> (f64, bool) {
    let deadline_ms = entry.deadline_at_ms - now_ms;
    let reach_ms = (deadline_ms * MAX_APPOINTMENT_SHARE)
        .min(entry.complete_by_ms() - now_ms)
        .max(MIN_APPOINTMENT_MS);
    let overtaking = Overtaking::ByFresh;
    let room_in_ms =
        ledger.room_in_ms(&entry.demand, queued, overtaking, MIN_APPOINTMENT_MS, reach_ms);
    let in_ms = match (room_in_ms, fleet_retry_ms) {
        // There is room by the ledger, and the fleet refused it for another reason.
        (Some(room_in_ms), Some(retry_ms)) if room_in_ms <= MIN_APPOINTMENT_MS => {
            retry_ms.clamp(MIN_APPOINTMENT_MS, reach_ms)
        }
        (Some(room_in_ms), _) => room_in_ms,
        (None, _) => fewest_returns_ms(ledger, reach_ms),
    };
    (now_ms + in_ms, room_in_ms.is_some())
}

/// Time, in ms, within the last part of a caller's reach at which the fewest others return; the
/// latest of several.
fn fewest_returns_ms(ledger: &Ledger, reach_ms: f64) -> f64 {
    let mut best_ms = reach_ms;
    let mut fewest = ledger.returns_near(reach_ms, SPREAD_STEP_MS);
    let mut in_ms = reach_ms - SPREAD_STEP_MS;
    while in_ms >= SPREAD_FROM_SHARE * reach_ms && fewest > 0 {
        let returns = ledger.returns_near(in_ms, SPREAD_STEP_MS);
        if returns < fewest {
            (best_ms, fewest) = (in_ms, returns);
        }
        in_ms -= SPREAD_STEP_MS;
    }
    best_ms
}
