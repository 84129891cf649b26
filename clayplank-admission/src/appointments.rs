//! Open appointments: times at which refused callers were told to return, and the room that is
//! promised to them.

use std::collections::{BTreeMap, BTreeSet};

use clayplank_placement::{Demand, Promised};
use clayplank_types::Fingerprint;

/// A caller that returns this much before its appointment, in ms, is served as one that is on time:
/// clocks of callers and the network vary.
const EARLY_MS: f64 = 100.0;

/// An appointment lapses when its caller has not returned this long after it, in ms.
const LATE_MS: f64 = 1_000.0;

/// Promises that fall due within this time, in ms, are counted as scarce by the fleet. Those that
/// are further ahead would leave slots idle.
const DUE_SOON_MS: f64 = 200.0;

/// Upper bound of open appointments; callers that are refused beyond it return without a promise.
const MAX_OPEN: usize = 4_096;

/// One open appointment.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Appointment {
    pub(crate) pool: String,
    /// Time at which the caller was told to return.
    pub(crate) due_ms: f64,
    /// Time of the caller's first try.
    pub(crate) first_try_ms: f64,
    pub(crate) demand: Demand,
    /// Whether the forecast had capacity, which is reserved for the caller. Otherwise the appointment
    /// only recognises the caller, and keeps others from returning at the same time.
    pub(crate) is_promise: bool,
}

impl Appointment {
    /// Whether a caller that returns now is served by this appointment.
    pub(crate) fn is_kept_at(&self, now_ms: f64) -> bool {
        (self.due_ms - EARLY_MS..=self.due_ms + LATE_MS).contains(&now_ms)
    }

    fn has_lapsed(&self, now_ms: f64) -> bool {
        now_ms > self.due_ms + LATE_MS
    }
}

/// All open appointments, by the fingerprint of the request. Identical requests of one account
/// share a fingerprint, so there may be several.
#[derive(Clone, Debug, Default)]
pub(crate) struct Appointments {
    by_fingerprint: BTreeMap<Fingerprint, Vec<Appointment>>,
    open: usize,
}

impl Appointments {
    pub(crate) fn len(&self) -> usize {
        self.open
    }

    /// Pools with open appointments.
    pub(crate) fn pools(&self) -> BTreeSet<String> {
        self.by_fingerprint.values().flatten().map(|one| one.pool.clone()).collect()
    }

    /// Adds an appointment; returns whether there was room for it.
    pub(crate) fn open(&mut self, fingerprint: Fingerprint, appointment: Appointment) -> bool {
        if self.open >= MAX_OPEN {
            return false;
        }
        self.by_fingerprint.entry(fingerprint).or_default().push(appointment);
        self.open += 1;
        true
    }

    /// Removes the appointment of a caller that returns: one that is due, else the earliest if the
    /// caller is known to return.
    pub(crate) fn take(
        &mut self,
        now_ms: f64,
        fingerprint: Fingerprint,
        is_returning: bool,
    ) -> Option<Appointment> {
        let of_request = self.by_fingerprint.get_mut(&fingerprint)?;
        let rank = |one: &Appointment| (!one.is_kept_at(now_ms), one.due_ms);
        let position = (0..of_request.len()).min_by(|left, right| {
            let (left, right) = (rank(&of_request[*left]), rank(&of_request[*right]));
            left.0.cmp(&right.0).then(left.1.total_cmp(&right.1))
        })?;
        if !is_returning && !of_request[position].is_kept_at(now_ms) {
            return None;
        }
        let taken = of_request.swap_remove(position);
        if of_request.is_empty() {
            self.by_fingerprint.remove(&fingerprint);
        }
        self.open -= 1;
        Some(taken)
    }

    /// Removes the appointments whose caller did not return; returns the number of promises among
    /// them.
    pub(crate) fn drop_lapsed(&mut self, now_ms: f64) -> usize {
        let mut lapsed = 0;
        self.by_fingerprint.retain(|_, of_request| {
            of_request.retain(|one| {
                let has_lapsed = one.has_lapsed(now_ms);
                lapsed += usize::from(has_lapsed && one.is_promise);
                !has_lapsed
            });
            !of_request.is_empty()
        });
        self.open = self.by_fingerprint.values().map(Vec::len).sum();
        lapsed
    }

    /// Appointments in a pool, as times from now in ms and the room promised, if any; in any order.
    pub(crate) fn of_pool(&self, now_ms: f64, pool: &str) -> Vec<(f64, Option<Demand>)> {
        let all = self.by_fingerprint.values().flatten().filter(|one| one.pool == pool);
        all.map(|one| ((one.due_ms - now_ms).max(0.0), one.is_promise.then_some(one.demand)))
            .collect()
    }

    /// Room of the promises that are due now or soon.
    pub(crate) fn due_soon(&self, now_ms: f64, pool: &str) -> Promised {
        let all = self.by_fingerprint.values().flatten();
        let due = all
            .filter(|one| one.is_promise && one.pool == pool && one.due_ms - now_ms <= DUE_SOON_MS);
        due.fold(Promised::default(), |sum, one| Promised {
            slots: sum.slots + 1,
            prefill_ms: sum.prefill_ms + one.demand.prefill_ms,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn opened(due_ms: f64, is_promise: bool) -> Appointments {
        let demand = Demand { prefill_ms: 20.0, ..Demand::default() };
        let appointment =
            Appointment { pool: "main".to_owned(), due_ms, first_try_ms: 0.0, demand, is_promise };
        let mut appointments = Appointments::default();
        assert!(appointments.open(Fingerprint::new(1), appointment));
        appointments
    }

    /// A promise that is far ahead must not leave a slot idle now, nor one in another pool.
    #[test]
    fn only_promises_that_fall_due_soon_are_scarce() {
        let appointments = opened(3_000.0, true);
        assert_eq!(appointments.due_soon(2_700.0, "main"), Promised::default());
        assert_eq!(appointments.due_soon(2_900.0, "main"), Promised { slots: 1, prefill_ms: 20.0 });
        assert_eq!(appointments.due_soon(2_900.0, "other"), Promised::default());
    }

    /// During an overload, appointments without capacity made all slots look promised.
    #[test]
    fn an_appointment_without_capacity_reserves_nothing() {
        let mut appointments = opened(3_000.0, false);
        assert_eq!(appointments.due_soon(2_900.0, "main"), Promised::default());
        assert_eq!(appointments.of_pool(2_900.0, "main"), [(100.0, None)]);
        assert_eq!(appointments.drop_lapsed(4_010.0), 0);
        assert_eq!(appointments.len(), 0);
    }

    /// Callers that came slightly early lost their promise.
    #[test]
    fn a_caller_returns_within_a_window_around_its_appointment() {
        let fingerprint = Fingerprint::new(1);
        for (now_ms, is_kept) in [(2_890.0, false), (2_910.0, true), (3_990.0, true)] {
            let taken = opened(3_000.0, true).take(now_ms, fingerprint, false);
            assert_eq!(taken.is_some(), is_kept, "{now_ms}");
        }
        assert_eq!(opened(3_000.0, true).drop_lapsed(4_010.0), 1);
    }
}
