//! Forecast of the slots and of the prefill work of one pool.

use clayplank_placement::{Demand, PoolCapacity};

use crate::arrivals::ArrivalRate;
use crate::queue::Entry;

/// Resolution of the forecast, in ms.
const STEP_MS: f64 = 50.0;

/// Prompts that one engine prefills in at least this time, in ms, are split if the pool
/// has several engines. Shorter ones fit between the prefill work of others.
pub(crate) const MIN_SPLIT_PREFILL_MS: f64 = 150.0;

/// Prefill work per engine, in ms, up to which a longer prompt is expected to be placed.
const ROOM_MS: f64 = 100.0;

/// Share of the time until its last chance for which a late request is held for room. It is as long
/// as an appointment would be, after which it could still be served.
const MAX_HOLD_SHARE: f64 = 1.0 / 3.0;

/// Slot time of a pool in which no request has ended yet, in ms.
const TYPICAL_SLOT_MS: f64 = 2_000.0;

/// Queued requests and promises that go ahead of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Ahead {
    pub(crate) slots: usize,
    pub(crate) prefill_ms: f64,
}

impl Ahead {
    /// Sum with the room of one more queued request.
    pub(crate) fn plus(self, entry: &Entry) -> Self {
        Self { slots: self.slots + 1, prefill_ms: self.prefill_ms + entry.demand.prefill_ms }
    }

    /// Difference to the room of one queued request.
    pub(crate) fn minus(self, entry: &Entry) -> Self {
        Self {
            slots: self.slots.saturating_sub(1),
            prefill_ms: self.prefill_ms - entry.demand.prefill_ms,
        }
    }
}

/// Whether fresh requests that arrive later go ahead of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Overtaking {
    /// None does: the request can be in time, and later ones have later deadlines.
    None,
    /// All do: the request is late, and they can be in time.
    ByFresh,
}

/// What one pool has, and what is asked of it.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    pub(crate) capacity: PoolCapacity,
    pub(crate) arrivals: ArrivalRate,
    /// Promises, as times from now in ms, with the prefill work of all until then; ascending.
    promises: Vec<(f64, f64)>,
    /// Times of all appointments from now, in ms, also of those without a promise.
    returns_ms: Vec<f64>,
}

impl Ledger {
    pub(crate) fn new(
        capacity: PoolCapacity,
        arrivals: ArrivalRate,
        appointments: Vec<(f64, Option<Demand>)>,
    ) -> Self {
        let returns_ms = appointments.iter().map(|(due_ms, _)| *due_ms).collect();
        let with_promise = appointments.into_iter();
        let mut promises: Vec<_> =
            with_promise.filter_map(|(due_ms, demand)| Some((due_ms, demand?))).collect();
        promises.sort_by(|left, right| left.0.total_cmp(&right.0));
        let mut prefill_ms = 0.0;
        let with_sum = |(due_ms, demand): (f64, Demand)| {
            prefill_ms += demand.prefill_ms;
            (due_ms, prefill_ms)
        };
        let promises = promises.into_iter().map(with_sum).collect();
        Self { capacity, arrivals, promises, returns_ms }
    }

    /// Adds an appointment without a promise.
    pub(crate) fn add_return(&mut self, in_ms: f64) {
        self.returns_ms.push(in_ms);
    }

    /// Adds a promise that is due in this time.
    pub(crate) fn add_promise(&mut self, in_ms: f64, demand: &Demand) {
        self.add_return(in_ms);
        let position = self.promises_until(in_ms);
        let before_ms = position.checked_sub(1).map_or(0.0, |last| self.promises[last].1);
        self.promises.insert(position, (in_ms, before_ms));
        self.promises[position..].iter_mut().for_each(|(_, sum)| *sum += demand.prefill_ms);
    }

    /// Prefill work per engine, in ms.
    pub(crate) fn backlog_ms(&self) -> f64 {
        self.capacity.queued_prefill_ms / self.capacity.engines.max(1) as f64
    }

    /// Time until the requests ahead have slots and are prefilled and one more slot is free, in ms.
    pub(crate) fn start_in_ms(&self, ahead: Ahead) -> f64 {
        let releases_ms = &self.capacity.releases_ms;
        let slot_in_ms = match ahead.slots.checked_sub(self.capacity.free_slots) {
            None => 0.0,
            Some(after) => releases_ms.get(after).or(releases_ms.last()).copied().unwrap_or(0.0),
        };
        let engines = self.capacity.engines.max(1) as f64;
        slot_in_ms.max((self.capacity.queued_prefill_ms + ahead.prefill_ms) / engines - ROOM_MS)
    }

    /// Number of appointments within `width_ms` around a time.
    pub(crate) fn returns_near(&self, in_ms: f64, width_ms: f64) -> usize {
        let near = self.returns_ms.iter().filter(|due| (*due - in_ms).abs() <= width_ms / 2.0);
        near.count()
    }

    /// Earliest time within `from_ms..=to_ms` at which the pool has room for a request, in ms from
    /// now; `None` if it is expected to have none.
    pub(crate) fn room_in_ms(
        &self,
        demand: &Demand,
        ahead: Ahead,
        overtaking: Overtaking,
        from_ms: f64,
        to_ms: f64,
    ) -> Option<f64> {
        let mut in_ms = from_ms;
        if overtaking == Overtaking::ByFresh
            && let Some(exhausted_ms) = self.exhausted_until_ms(ahead)
        {
            in_ms = in_ms.max(exhausted_ms);
        }
        while in_ms <= to_ms {
            let has_slot = self.free_slots(in_ms, ahead, overtaking) >= 1.0;
            if has_slot && self.has_prefill_room(in_ms, demand, ahead, overtaking) {
                return Some(in_ms);
            }
            in_ms += STEP_MS;
        }
        None
    }

    /// Time from now, in ms, after the last promise that leaves no slot free; `None` if all do. A slot
    /// that is free before it is reserved for that promise, and must not be promised again.
    fn exhausted_until_ms(&self, ahead: Ahead) -> Option<f64> {
        let has_no_slot = |due_ms: &f64| self.free_slots(*due_ms, ahead, Overtaking::ByFresh) < 1.0;
        let due_ms = self.promises.iter().rev().map(|(due_ms, _)| *due_ms).find(has_no_slot)?;
        Some(due_ms + STEP_MS)
    }

    /// Time until a late request is expected to have room, in ms; `None` if it has none early enough
    /// that its caller could still return otherwise.
    pub(crate) fn late_room_in_ms(&self, now_ms: f64, entry: &Entry, ahead: Ahead) -> Option<f64> {
        let last_chance_ms = entry.last_chance_ms(self.backlog_ms()) - now_ms;
        let latest_ms = MAX_HOLD_SHARE * last_chance_ms;
        self.room_in_ms(&entry.demand, ahead, Overtaking::ByFresh, 0.0, latest_ms)
    }

    /// Slots that are free at a time and not asked for by others; negative if more are asked for
    /// than become free.
    fn free_slots(&self, in_ms: f64, ahead: Ahead, overtaking: Overtaking) -> f64 {
        let free = self.capacity.free_slots as f64 + self.releases(in_ms) - ahead.slots as f64;
        match overtaking {
            Overtaking::None => free,
            Overtaking::ByFresh => {
                free - self.arrivals.slots_per_ms * in_ms - self.promises_until(in_ms) as f64
            }
        }
    }

    fn promises_until(&self, in_ms: f64) -> usize {
        self.promises.partition_point(|(due_ms, _)| *due_ms <= in_ms)
    }

    /// Slots that become free until a time. A slot is taken again when it becomes free, and is
    /// free once more after an average slot time.
    fn releases(&self, in_ms: f64) -> f64 {
        let slot_ms = self.capacity.mean_slot_ms.unwrap_or(TYPICAL_SLOT_MS).max(STEP_MS);
        let mut until_ms = in_ms;
        let mut releases = 0;
        while until_ms >= 0.0 {
            releases += self.capacity.releases_ms.partition_point(|at_ms| *at_ms <= until_ms);
            until_ms -= slot_ms;
        }
        releases as f64
    }

    fn has_prefill_room(
        &self,
        in_ms: f64,
        demand: &Demand,
        ahead: Ahead,
        overtaking: Overtaking,
    ) -> bool {
        if demand.prefill_ms < MIN_SPLIT_PREFILL_MS {
            return true;
        }
        let mut work_ms = self.capacity.queued_prefill_ms + ahead.prefill_ms;
        if overtaking == Overtaking::ByFresh {
            work_ms += self.arrivals.prefill_ms_per_ms * in_ms;
            if let Some(last) = self.promises_until(in_ms).checked_sub(1) {
                work_ms += self.promises[last].1;
            }
        }
        let engines = self.capacity.engines as f64;
        (work_ms - engines * in_ms) / engines.max(1.0) <= ROOM_MS
    }
}

#[cfg(test)]
mod tests {
    use rand::rngs::SmallRng;
    use rand::{RngExt, SeedableRng};

    use super::*;

    const SHORT: Demand =
        Demand { slot_ms: 1_000.0, prefill_ms: 20.0, parts: 1, first_token_ms: 100.0 };

    /// Ten slots, of which one becomes free every 100 ms.
    fn ledger(arrivals_per_ms: f64, promises: Vec<(f64, Demand)>) -> Ledger {
        let capacity = PoolCapacity {
            engines: 1,
            slots: 10,
            releases_ms: (1..=10).map(|number| f64::from(number) * 100.0).collect(),
            mean_slot_ms: Some(1_000.0),
            ..PoolCapacity::default()
        };
        let arrivals = ArrivalRate { slots_per_ms: arrivals_per_ms, prefill_ms_per_ms: 0.0 };
        let promises = promises.into_iter().map(|(due_ms, demand)| (due_ms, Some(demand)));
        Ledger::new(capacity, arrivals, promises.collect())
    }

    fn room_in_ms(ledger: &Ledger, ahead: usize, overtaking: Overtaking) -> Option<f64> {
        let ahead = Ahead { slots: ahead, prefill_ms: 0.0 };
        ledger.room_in_ms(&SHORT, ahead, overtaking, 0.0, 3_000.0)
    }

    #[test]
    fn room_is_expected_when_the_requests_ahead_have_slots() {
        let ledger = ledger(0.0, Vec::new());
        assert_eq!(room_in_ms(&ledger, 0, Overtaking::None), Some(100.0));
        assert_eq!(room_in_ms(&ledger, 4, Overtaking::None), Some(500.0));
        // Slots that were taken meanwhile become free once more.
        assert_eq!(room_in_ms(&ledger, 14, Overtaking::None), Some(1_500.0));
    }

    /// Late callers were given the time at which the next slot becomes free, which fresh callers
    /// take.
    #[test]
    fn a_late_request_has_no_room_while_fresh_ones_take_all_slots() {
        assert_eq!(room_in_ms(&ledger(0.011, Vec::new()), 1, Overtaking::ByFresh), None);
        assert!(room_in_ms(&ledger(0.005, Vec::new()), 1, Overtaking::ByFresh).is_some());
    }

    /// A slot that is free before a promise was promised again, although the promise was for it.
    #[test]
    fn a_slot_is_not_promised_again_before_the_promise_that_it_is_for() {
        let mut ledger = ledger(0.0, vec![(250.0, SHORT), (250.0, SHORT)]);
        assert_eq!(room_in_ms(&ledger, 0, Overtaking::ByFresh), Some(300.0));
        ledger.add_promise(300.0, &SHORT);
        assert_eq!(room_in_ms(&ledger, 0, Overtaking::ByFresh), Some(400.0));
    }

    /// Never more is promised than the forecast has room for, in whatever order the promises are made.
    #[test]
    fn never_more_is_promised_than_the_forecast_has_room_for() {
        for seed in 0..2_000 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let ahead = Ahead { slots: rng.random_range(0..4), prefill_ms: 0.0 };
            let mut ledger = ledger(rng.random_range(0.0..0.01), Vec::new());
            ledger.capacity.free_slots = rng.random_range(0..4);
            ledger.capacity.releases_ms =
                (0..rng.random_range(1..10)).map(|_| rng.random_range(0.0..3_000.0)).collect();
            ledger.capacity.releases_ms.sort_by(f64::total_cmp);
            for _ in 0..30 {
                let reach_ms = rng.random_range(100.0..3_500.0);
                let from_ms = rng.random_range(0.0..reach_ms);
                let overtaking = Overtaking::ByFresh;
                let room_in_ms = ledger.room_in_ms(&SHORT, ahead, overtaking, from_ms, reach_ms);
                let Some(in_ms) = room_in_ms else { continue };
                ledger.add_promise(in_ms, &SHORT);
                for (due_ms, _) in &ledger.promises {
                    let left = ledger.free_slots(*due_ms, ahead, overtaking);
                    assert!(left >= 0.0, "seed {seed}: {left} slots are left at {due_ms} ms");
                }
            }
        }
    }

    /// Two callers must not get an appointment for the same slot.
    #[test]
    fn promised_slots_are_not_promised_again() {
        let mut ledger = ledger(0.0, vec![(100.0, SHORT)]);
        assert_eq!(room_in_ms(&ledger, 0, Overtaking::ByFresh), Some(200.0));
        ledger.add_promise(200.0, &SHORT);
        assert_eq!(room_in_ms(&ledger, 0, Overtaking::ByFresh), Some(300.0));
    }
}
