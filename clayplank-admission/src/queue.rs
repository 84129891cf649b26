//! Requests that wait for room.

use std::collections::BTreeMap;

use clayplank_placement::{Demand, MIN_GOAL_MS, PlacementId, PlacementRequest};
use clayplank_types::Fingerprint;

use crate::appointments::Appointment;
use crate::ledger::MIN_SPLIT_PREFILL_MS;
use crate::order::{Turn, Urgency};

/// A queued request is dropped when its host has not renewed it for this long, in ms.
pub(crate) const QUEUE_LEASE_MS: f64 = 1_000.0;

/// Time, in ms, that an answer needs from the keeper to the caller.
const ANSWER_MARGIN_MS: f64 = 200.0;

/// Factor on the expected time of a stream, which prefill passes of other prompts prolong.
const SLOT_TIME_FACTOR: f64 = 1.2;

/// Time before its last chance, in ms, from which a request of a returning caller is placed on any free
/// slot: some ticks of the queue.
const LAST_CHANCE_SPAN_MS: f64 = 100.0;

/// Interval, in ms, of the checks whether a late request can still be served.
const CHECK_INTERVAL_MS: f64 = 500.0;

/// A late request is refused when it has no room this long after it was expected, in ms.
const MAX_OVERDUE_MS: f64 = 1_000.0;

/// A caller whose limit is at most this share of the time until its deadline has time for an
/// appointment after it, which takes up to a third of the rest, and for its limit once more.
const MAX_LIMIT_SHARE: f64 = 0.4;

/// Steps of the worth per ms of slot time by which requests are compared. Prompts of nearly the same
/// length count as equal.
const WORTH_STEPS: f64 = 1e4;

/// A request, with the times that follow from it.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: PlacementId,
    /// The request, apart from what each update of the queue reads.
    pub(crate) request: Box<PlacementRequest>,
    /// Binary logarithm of the prompt's length.
    pub(crate) length_band: u32,
    /// Worth per time of its slot, as an integer to order by.
    pub(crate) worth_rank: u64,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) account: String,
    pub(crate) rank: u8,
    /// Time at which the remaining times in `request` were right.
    pub(crate) asked_ms: f64,
    /// Time of the caller's first try.
    pub(crate) first_try_ms: f64,
    /// Time until which its first token is in time, counted from the caller's first try.
    pub(crate) goal_at_ms: f64,
    /// Time at which its caller no longer waits inside.
    pub(crate) limit_at_ms: f64,
    pub(crate) deadline_at_ms: f64,
    pub(crate) lease_until_ms: f64,
    /// Time from which it is to be checked whether it can still be served.
    check_at_ms: f64,
    /// Time at which room was expected when it became late.
    late_room_at_ms: Option<f64>,
    pub(crate) demand: Demand,
    /// Whether its caller was refused before.
    pub(crate) is_returning: bool,
    /// Whether its caller returned by an appointment for which capacity is reserved.
    pub(crate) has_promise: bool,
    /// Time at which it was expected to be placed when it was queued.
    pub(crate) expected_at_ms: f64,
    pub(crate) turn: Turn,
}

impl Entry {
    /// An entry for a request that has queue terms; `None` otherwise. `since_first_try_ms` is what
    /// the request itself tells of earlier tries.
    pub(crate) fn new(
        now_ms: f64,
        request: &PlacementRequest,
        demand: Demand,
        since_first_try_ms: f64,
        appointment: Option<&Appointment>,
    ) -> Option<Self> {
        let terms = request.queue_terms.as_ref()?;
        let since_ms = appointment
            .map_or(since_first_try_ms, |one| (now_ms - one.first_try_ms).max(since_first_try_ms));
        Some(Self {
            fingerprint: terms.fingerprint,
            account: terms.account.clone(),
            rank: terms.rank,
            asked_ms: now_ms,
            first_try_ms: now_ms - since_ms - request.waited_ms,
            goal_at_ms: now_ms + request.goal_ms - since_ms,
            limit_at_ms: now_ms + request.limit_ms,
            deadline_at_ms: now_ms + terms.deadline_ms.max(request.limit_ms),
            lease_until_ms: now_ms + QUEUE_LEASE_MS,
            check_at_ms: now_ms + CHECK_INTERVAL_MS,
            late_room_at_ms: None,
            demand,
            is_returning: request.is_returning || since_ms > 0.0,
            has_promise: appointment.is_some_and(|one| one.is_promise && one.is_kept_at(now_ms)),
            expected_at_ms: now_ms,
            turn: Turn::default(),
            id: request.id,
            length_band: (request.prompt_tokens / 1_000 + 1).ilog2(),
            worth_rank: (request.weight() / demand.slot_ms.max(1.0) * WORTH_STEPS) as u64,
            request: Box::new(request.clone()),
        })
    }

    /// Keeps it queued until its host must renew it again.
    pub(crate) fn renew_lease(&mut self, now_ms: f64) {
        self.lease_until_ms = now_ms + QUEUE_LEASE_MS;
    }

    /// Renews the lease, and takes over from the host's list which engines must not serve it now.
    pub(crate) fn renew(&mut self, now_ms: f64, listed: &PlacementRequest) {
        self.renew_lease(now_ms);
        self.request.avoid.clone_from(&listed.avoid);
    }

    /// Time to the first token if it is placed now, in ms.
    fn first_token_ms(&self, backlog_ms: f64) -> f64 {
        self.demand.first_token_ms + backlog_ms
    }

    /// Whether several engines prefill it. Such prompts are not queued: holding them makes them late,
    /// and the short ones beside them too.
    pub(crate) fn is_split(&self) -> bool {
        self.demand.parts > 1 && self.demand.prefill_ms >= MIN_SPLIT_PREFILL_MS
    }

    /// Latest time at which it can be placed to be in time.
    pub(crate) fn in_time_until_ms(&self, backlog_ms: f64) -> f64 {
        self.goal_at_ms - self.first_token_ms(backlog_ms)
    }

    /// Latest time at which it can be placed to reach its caller with its first token, and with its
    /// whole answer before the deadline.
    pub(crate) fn last_chance_ms(&self, backlog_ms: f64) -> f64 {
        let first_token_by_ms = self.limit_at_ms - self.first_token_ms(backlog_ms);
        first_token_by_ms.min(self.complete_by_ms()) - ANSWER_MARGIN_MS
    }

    /// Latest time at which it can be placed so that its whole answer reaches its caller before the
    /// deadline.
    pub(crate) fn complete_by_ms(&self) -> f64 {
        self.deadline_at_ms - SLOT_TIME_FACTOR * self.demand.slot_ms
    }

    /// Whether its last chance is near.
    pub(crate) fn is_last_chance(&self, now_ms: f64, backlog_ms: f64) -> bool {
        now_ms >= self.last_chance_ms(backlog_ms) - LAST_CHANCE_SPAN_MS
    }

    /// Whether it is to be checked now whether it can still be served, so that its caller is not held
    /// in vain. Requests that can return after their limit, or that will not return, are not
    /// checked: they lose nothing by waiting. Counts it as checked.
    pub(crate) fn take_check(&mut self, now_ms: f64) -> bool {
        let is_late = match self.turn.urgency {
            Urgency::InTime => false,
            Urgency::Promised | Urgency::Late => true,
        };
        let waits_anyway = self.is_returning || self.can_return_after_limit();
        if !is_late || waits_anyway || now_ms < self.check_at_ms {
            return false;
        }
        self.check_at_ms = now_ms + CHECK_INTERVAL_MS;
        true
    }

    /// Whether it should be refused, since no room is expected before its last chance, or since the
    /// room that was expected when it became late did not come. A forecast that is made anew each
    /// time may expect room soon until the request has no time left to return.
    pub(crate) fn is_overdue(&mut self, now_ms: f64, room_in_ms: Option<f64>) -> bool {
        let Some(room_in_ms) = room_in_ms else {
            return true;
        };
        let room_at_ms = *self.late_room_at_ms.get_or_insert(now_ms + room_in_ms);
        now_ms > room_at_ms + MAX_OVERDUE_MS
    }

    /// Whether its caller can wait for its limit, return by an appointment, and wait for it again.
    pub(crate) fn can_return_after_limit(&self) -> bool {
        let limit_ms = self.limit_at_ms - self.asked_ms;
        !self.is_returning && limit_ms <= MAX_LIMIT_SHARE * (self.deadline_at_ms - self.asked_ms)
    }

    /// The request as its host would send it now.
    pub(crate) fn request_at(&self, now_ms: f64) -> PlacementRequest {
        let mut request = self.request.aged(now_ms - self.asked_ms);
        // The fleet knows the work of each engine, and finds idle ones also when the mean is high.
        if request.goal_ms < self.demand.first_token_ms {
            request.goal_ms = MIN_GOAL_MS;
        }
        request.is_returning |= self.is_returning;
        request
    }
}

/// Queued requests by pool. Each pool has at least one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Queue {
    by_pool: BTreeMap<String, BTreeMap<PlacementId, Entry>>,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.by_pool.values().map(BTreeMap::len).sum()
    }

    pub(crate) fn get_mut(&mut self, id: PlacementId) -> Option<&mut Entry> {
        self.by_pool.values_mut().find_map(|of_pool| of_pool.get_mut(&id))
    }

    pub(crate) fn insert(&mut self, entry: Entry) {
        let of_pool = self.by_pool.entry(entry.request.pool.clone()).or_default();
        of_pool.insert(entry.id, entry);
    }

    pub(crate) fn remove(&mut self, id: PlacementId) -> Option<Entry> {
        let entry = self.by_pool.values_mut().find_map(|of_pool| of_pool.remove(&id))?;
        self.by_pool.retain(|_, of_pool| !of_pool.is_empty());
        Some(entry)
    }

    /// Pools with queued requests.
    pub(crate) fn pools(&self) -> Vec<String> {
        self.by_pool.keys().cloned().collect()
    }

    pub(crate) fn of_pool(&self, pool: &str) -> impl Iterator<Item = &Entry> {
        self.by_pool.get(pool).into_iter().flat_map(BTreeMap::values)
    }

    pub(crate) fn of_pool_mut(&mut self, pool: &str) -> impl Iterator<Item = &mut Entry> {
        self.by_pool.get_mut(pool).into_iter().flat_map(BTreeMap::values_mut)
    }

    /// Removes the requests whose hosts no longer renew them.
    pub(crate) fn take_stale(&mut self, now_ms: f64) -> Vec<Entry> {
        let mut stale = Vec::new();
        self.by_pool.retain(|_, of_pool| {
            let taken = of_pool.extract_if(.., |_, entry| entry.lease_until_ms < now_ms);
            stale.extend(taken.map(|(_, entry)| entry));
            !of_pool.is_empty()
        });
        stale
    }
}
