//! Decides on arrivals, and on the appointments of refused callers.

use clayplank_placement::{Event, PlacementId, PlacementOutcome, PlacementRequest, Promised};
use clayplank_types::Fingerprint;

use crate::admission::Admission;
use crate::appointments::Appointment;
use crate::decided::Verdict;
use crate::decision_log::DecisionKind;
use crate::ledger::{Ledger, Overtaking};
use crate::order::{QueueAhead, ahead_of, turn_of_newcomer};
use crate::queue::Entry;

/// Upper bound of the queued requests of all hosts.
const MAX_QUEUED: usize = 4_096;

impl Admission {
    /// Outcome of a request that is asked for again because the reply was lost; `None` if it is not
    /// known here.
    pub(crate) fn repeat_outcome(
        &mut self,
        now_ms: f64,
        id: PlacementId,
    ) -> Option<PlacementOutcome> {
        if let Some(entry) = self.queue.get_mut(id) {
            entry.renew_lease(now_ms);
            let expected_ms = (entry.expected_at_ms - now_ms).max(0.0) as u64;
            return Some(PlacementOutcome::Queued { expected_ms });
        }
        if !self.has_decision(id) {
            return None;
        }
        self.decided.fetch(now_ms, id)
    }

    /// Whether a request is decided. A placement that the fleet has dropped meanwhile no longer
    /// counts, since its slot may be occupied by another request.
    pub(crate) fn has_decision(&mut self, id: PlacementId) -> bool {
        match self.decided.get(id) {
            None => false,
            Some(Verdict::Refused { .. } | Verdict::Left) => true,
            Some(Verdict::Placed(_)) if self.fleet.is_placed(id) => true,
            Some(Verdict::Placed(_)) => {
                self.decided.remove(id);
                false
            }
        }
    }

    /// Ends a placement whose host still asks for it: the host never received it, since the keeper
    /// that made it was lost. Otherwise the request would occupy two slots.
    pub(crate) fn release_unknown_placement(&mut self, now_ms: f64, id: PlacementId) {
        if self.fleet.is_placed(id) {
            self.fleet.apply_event(now_ms, id, Event::Ended);
        }
    }

    /// Removes the appointment of a caller that returns. A request with the fingerprint of an
    /// appointment that is not due, and without another sign of an earlier try, is an identical
    /// request of the same account.
    pub(crate) fn take_appointment(
        &mut self,
        now_ms: f64,
        request: &PlacementRequest,
        fingerprint: Fingerprint,
    ) -> Option<Appointment> {
        let is_returning = request.is_returning || self.fleet.since_first_try_ms(request) > 0.0;
        self.appointments.take(now_ms, fingerprint, is_returning)
    }

    /// The entry of a request, with its turn; `None` if it has no queue terms, or if several
    /// engines prefill it.
    pub(crate) fn new_entry(
        &self,
        now_ms: f64,
        request: &PlacementRequest,
        appointment: Option<&Appointment>,
    ) -> Option<Entry> {
        let demand = self.fleet.demand(request);
        let since_ms = self.fleet.since_first_try_ms(request);
        let mut entry = Entry::new(now_ms, request, demand, since_ms, appointment)?;
        if entry.is_split() {
            return None;
        }
        let backlog_ms = self.fleet.backlog_ms(&request.pool);
        entry.turn = turn_of_newcomer(now_ms, &self.queue, &self.shares, &entry, backlog_ms);
        Some(entry)
    }

    /// Decides on a request that is not known yet.
    pub(crate) fn decide_arrival(
        &mut self,
        now_ms: f64,
        entry: Entry,
        appointment: Option<Appointment>,
    ) -> PlacementOutcome {
        let pool = entry.request.pool.clone();
        if appointment.is_none() {
            self.fleet.record_limit(&entry.request);
        }
        if !entry.is_returning && entry.request.waited_ms == 0.0 {
            self.arrivals.record(now_ms, &pool, &entry.demand);
        }
        self.update_promised(now_ms, &pool);
        let mut fleet_retry_ms = None;
        let ahead = ahead_of(&self.queue, &entry);
        if !self.must_wait(&entry, &ahead) {
            match self.try_place(now_ms, &entry, false) {
                PlacementOutcome::At(assignment) => {
                    self.record_placed(now_ms, &entry);
                    return PlacementOutcome::At(assignment);
                }
                PlacementOutcome::Soon { again_in_ms } if self.fleet.free_slots(&pool) > 0 => {
                    if let Some(appointment) = appointment {
                        self.appointments.open(entry.fingerprint, appointment);
                    }
                    return PlacementOutcome::Soon { again_in_ms };
                }
                PlacementOutcome::Full { retry_after_ms } => {
                    fleet_retry_ms = Some(retry_after_ms as f64);
                }
                PlacementOutcome::Soon { .. } | PlacementOutcome::Queued { .. } => {}
            }
        }
        let mut ledger = self.ledger(now_ms, &pool);
        let expected_ms = self.expected_wait_ms(now_ms, &entry, &ledger, &ahead);
        match expected_ms.filter(|_| self.queue.len() < MAX_QUEUED) {
            Some(expected_ms) => {
                self.enqueue(now_ms, entry, &ledger, expected_ms);
                PlacementOutcome::Queued { expected_ms: expected_ms as u64 }
            }
            None => {
                let return_at_ms =
                    self.refuse(now_ms, &entry, &mut ledger, ahead.all, fleet_retry_ms);
                PlacementOutcome::Full { retry_after_ms: (return_at_ms - now_ms) as u64 }
            }
        }
    }

    /// Queues a request that another keeper queued, or whose queue entry was dropped.
    pub(crate) fn enqueue_unknown(&mut self, now_ms: f64, request: &PlacementRequest) {
        let Some(entry) = self.new_entry(now_ms, request, None) else {
            self.decide_unqueued(now_ms, request);
            return;
        };
        let mut ledger = self.ledger(now_ms, &request.pool);
        let ahead = ahead_of(&self.queue, &entry);
        if self.queue.len() < MAX_QUEUED {
            let expected_ms = self.expected_wait_ms(now_ms, &entry, &ledger, &ahead).unwrap_or(0.0);
            self.enqueue(now_ms, entry, &ledger, expected_ms);
        } else {
            let return_at_ms = self.refuse(now_ms, &entry, &mut ledger, ahead.all, None);
            self.decided.insert(now_ms, request.id, Verdict::Refused { return_at_ms });
        }
    }

    /// Decides on a request that another keeper queued, and that is not queued here: the keepers may
    /// know different engines. `Soon` is tried again at the next renewal by its host.
    fn decide_unqueued(&mut self, now_ms: f64, request: &PlacementRequest) {
        let verdict = match self.fleet.place_again(now_ms, request) {
            PlacementOutcome::At(assignment) => Verdict::Placed(assignment),
            PlacementOutcome::Full { retry_after_ms } => {
                Verdict::Refused { return_at_ms: now_ms + retry_after_ms as f64 }
            }
            PlacementOutcome::Soon { .. } | PlacementOutcome::Queued { .. } => return,
        };
        self.decided.insert(now_ms, request.id, verdict);
    }

    fn enqueue(&mut self, now_ms: f64, mut entry: Entry, ledger: &Ledger, expected_ms: f64) {
        entry.expected_at_ms = now_ms + expected_ms;
        self.stats.queued_total += 1;
        self.record(now_ms, &entry, DecisionKind::Queued { expected_ms }, ledger);
        self.queue.insert(entry);
    }

    /// Whether queued requests that go ahead of it want the room that it would take: one of the
    /// same length, or as many as there are free slots.
    fn must_wait(&self, entry: &Entry, ahead: &QueueAhead) -> bool {
        let slots = ahead.now.slots;
        slots > 0 && (ahead.has_alike || slots >= self.fleet.free_slots(&entry.request.pool))
    }

    /// Tries to place a request. With `on_any_slot`, whatever it takes from others, as far as its
    /// first token can reach its caller.
    pub(crate) fn try_place(
        &mut self,
        now_ms: f64,
        entry: &Entry,
        on_any_slot: bool,
    ) -> PlacementOutcome {
        let mut request = entry.request_at(now_ms);
        let outcome = self.fleet.place_again(now_ms, &request);
        if matches!(outcome, PlacementOutcome::At(_)) || !on_any_slot {
            return outcome;
        }
        // A stream that has begun is resumed on any engine that serves it within its limit.
        request.has_begun = true;
        match self.fleet.place_again(now_ms, &request) {
            PlacementOutcome::At(assignment) => PlacementOutcome::At(assignment),
            PlacementOutcome::Soon { .. }
            | PlacementOutcome::Full { .. }
            | PlacementOutcome::Queued { .. } => outcome,
        }
    }

    /// Forecast of a pool.
    pub(crate) fn ledger(&self, now_ms: f64, pool: &str) -> Ledger {
        Ledger::new(
            self.fleet.capacity(now_ms, pool),
            self.arrivals.rate(now_ms, pool),
            self.appointments.of_pool(now_ms, pool),
        )
    }

    /// Expected time until a request is placed, in ms; `None` if it should be refused.
    ///
    /// A request that can be placed at its next try after it has waited for its whole limit is
    /// queued in any case, as is one whose caller will not come back: they lose nothing by it.
    fn expected_wait_ms(
        &self,
        now_ms: f64,
        entry: &Entry,
        ledger: &Ledger,
        ahead: &QueueAhead,
    ) -> Option<f64> {
        let (demand, backlog_ms) = (&entry.demand, ledger.backlog_ms());
        let in_time_ms = entry.in_time_until_ms(backlog_ms) - now_ms;
        let last_chance_ms = entry.last_chance_ms(backlog_ms) - now_ms;
        if last_chance_ms <= 0.0 {
            return None;
        }
        let in_time = ledger.room_in_ms(demand, ahead.now, Overtaking::None, 0.0, in_time_ms);
        let in_limit = || {
            let overtaking = Overtaking::ByFresh;
            ledger.room_in_ms(demand, ahead.when_late, overtaking, 0.0, last_chance_ms)
        };
        let waits_anyway = entry.is_returning || entry.can_return_after_limit();
        in_time.or_else(in_limit).or(waits_anyway.then_some(last_chance_ms))
    }

    /// Tells the fleet what is promised to callers of a pool that will return soon.
    pub(crate) fn update_promised(&mut self, now_ms: f64, pool: &str) {
        let promised = self.appointments.due_soon(now_ms, pool);
        self.fleet.set_promised(pool, promised);
        if promised != Promised::default() {
            self.promised_pools.insert(pool.to_owned());
        }
    }

    /// Updates what is promised in all pools, also in those where it was kept or has lapsed.
    pub(crate) fn update_all_promised(&mut self, now_ms: f64) {
        for pool in std::mem::take(&mut self.promised_pools).union(&self.appointments.pools()) {
            self.update_promised(now_ms, pool);
        }
    }
}
