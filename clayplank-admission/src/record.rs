//! Records decisions in the statistics and in the log.

use crate::admission::Admission;
use crate::decision_log::{DecisionKind, DecisionRecord, Shortage};
use crate::ledger::Ledger;
use crate::queue::Entry;

/// Prefill work per engine, in ms, from which a shortage is one of prefill.
const PREFILL_SHORTAGE_MS: f64 = 150.0;

impl Admission {
    /// Records that a request is placed, queued before or not.
    pub(crate) fn record_placed(&mut self, now_ms: f64, entry: &Entry) {
        let pool = &entry.request.pool;
        self.shares.record(now_ms, pool, &entry.account, entry.demand.slot_ms);
        self.stats.kept_total += u64::from(entry.has_promise);
    }

    /// Records that the caller of a queued request left, or that its host did not renew it.
    pub(crate) fn record_abandoned(&mut self, now_ms: f64, entry: &Entry) {
        self.stats.abandoned_total += 1;
        let ledger = self.ledger(now_ms, &entry.request.pool);
        self.record(now_ms, entry, DecisionKind::Abandoned, &ledger);
    }

    /// Records a decision with the figures that decided it.
    pub(crate) fn record(
        &mut self,
        now_ms: f64,
        entry: &Entry,
        kind: DecisionKind,
        ledger: &Ledger,
    ) {
        self.log.push(DecisionRecord {
            id: entry.id,
            route: entry.request.route.clone(),
            kind,
            shortage: shortage(ledger),
            queued_ms: now_ms - entry.asked_ms,
            free_slots: ledger.capacity.free_slots,
            backlog_ms: ledger.backlog_ms(),
            arrivals_per_s: ledger.arrivals.slots_per_ms * 1e3,
            queued: self.queue.len(),
            open_appointments: self.appointments.len(),
        });
    }

    pub(crate) fn update_lengths(&mut self) {
        self.stats.queued = self.queue.len();
        self.stats.open_appointments = self.appointments.len();
    }
}

fn shortage(ledger: &Ledger) -> Shortage {
    if ledger.capacity.free_slots == 0 {
        Shortage::Slots
    } else if ledger.backlog_ms() >= PREFILL_SHORTAGE_MS {
        Shortage::Prefill
    } else {
        Shortage::Neither
    }
}
