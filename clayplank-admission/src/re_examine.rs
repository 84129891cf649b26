//! Re-examines queued requests when time has passed or slots have become free.

use clayplank_placement::{Event, PlacementOutcome};

use crate::admission::Admission;
use crate::decided::Verdict;
use crate::decision_log::DecisionKind;
use crate::ledger::Ahead;
use crate::order::{Alike, WithoutRoom, update_turns};

/// Upper bound of the late requests for which one update forecasts whether they can still be served.
const MAX_CHECKS: usize = 64;

/// Interval, in ms, at which leases and appointments are checked.
const SWEEP_INTERVAL_MS: f64 = 10.0;

impl Admission {
    /// Drops queued requests that their hosts no longer renew, placements that were not fetched,
    /// and appointments whose callers did not come.
    pub(crate) fn drop_stale(&mut self, now_ms: f64) {
        if now_ms < self.next_sweep_ms {
            return;
        }
        self.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
        for entry in self.queue.take_stale(now_ms) {
            self.record_abandoned(now_ms, &entry);
        }
        for id in self.decided.take_stale(now_ms) {
            self.stats.abandoned_total += 1;
            self.fleet.apply_event(now_ms, id, Event::Ended);
        }
        self.stats.lapsed_total += self.appointments.drop_lapsed(now_ms) as u64;
        self.update_all_promised(now_ms);
    }

    /// Decides on the queued requests of a pool, in their order.
    pub(crate) fn advance_pool(&mut self, now_ms: f64, pool: &str) {
        let mut ledger = self.ledger(now_ms, pool);
        let backlog_ms = ledger.backlog_ms();
        let (order, mut queued) =
            update_turns(now_ms, &mut self.queue, &self.shares, pool, &ledger);
        let mut free_slots = ledger.capacity.free_slots;
        let mut without_room = WithoutRoom::default();
        let mut ahead = Ahead::default();
        let mut checks_left = MAX_CHECKS;
        for id in order {
            let Some(entry) = self.queue.get_mut(id) else { continue };
            let ahead_of_entry = ahead;
            ahead = ahead.plus(entry);
            // Late requests that took any slot made the later ones late, also after an overload.
            let on_any_slot = entry.is_returning && entry.is_last_chance(now_ms, backlog_ms);
            let is_over = now_ms >= entry.last_chance_ms(backlog_ms);
            let alike = Alike::of(entry, on_any_slot);
            let may_fit = free_slots > 0 && !without_room.includes(alike, &entry.request.avoid);
            let is_checked = checks_left > 0 && entry.take_check(now_ms);
            checks_left -= usize::from(is_checked);
            let is_hopeless = is_checked && {
                let room_in_ms = ledger.late_room_in_ms(now_ms, entry, ahead_of_entry);
                entry.is_overdue(now_ms, room_in_ms)
            };
            if !may_fit && !is_over && !is_hopeless {
                continue;
            }
            let Some(entry) = self.queue.remove(id) else { continue };
            queued = queued.minus(&entry);
            if may_fit {
                if let PlacementOutcome::At(assignment) =
                    self.try_place(now_ms, &entry, on_any_slot)
                {
                    free_slots -= 1;
                    self.stats.placed_total += 1;
                    self.record_placed(now_ms, &entry);
                    self.record(now_ms, &entry, DecisionKind::Placed, &ledger);
                    self.decided.insert(now_ms, id, Verdict::Placed(assignment));
                    continue;
                }
                without_room.insert(alike, &entry.request.avoid);
            }
            if is_over || is_hopeless {
                self.stats.refused_total += 1;
                let return_at_ms = self.refuse(now_ms, &entry, &mut ledger, queued, None);
                self.decided.insert(now_ms, id, Verdict::Refused { return_at_ms });
            } else {
                queued = queued.plus(&entry);
                self.queue.insert(entry);
            }
        }
    }
}
