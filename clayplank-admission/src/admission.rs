//! Decides on arrivals and on queued requests.

use std::collections::BTreeSet;

use clayplank_placement::{
    Event, Fleet, PlacementId, PlacementOutcome, PlacementRequest, Promised,
};

use crate::account_shares::AccountShares;
use crate::appointments::Appointments;
use crate::arrivals::Arrivals;
use crate::decided::{Decided, Verdict};
use crate::decision_log::{DecisionLog, DecisionRecord};
use crate::queue::Queue;
use crate::stats::AdmissionStats;

/// The fleet of a keeper, with the requests that wait for room in it.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    pub(crate) fleet: Fleet,
    pub(crate) queue: Queue,
    pub(crate) appointments: Appointments,
    pub(crate) arrivals: Arrivals,
    pub(crate) shares: AccountShares,
    pub(crate) decided: Decided,
    pub(crate) log: DecisionLog,
    pub(crate) stats: AdmissionStats,
    /// Pools in which the fleet was told of promises.
    pub(crate) promised_pools: BTreeSet<String>,
    /// Time from which leases and appointments are to be checked again.
    pub(crate) next_sweep_ms: f64,
    /// Time of the latest call.
    now_ms: f64,
}

impl Admission {
    /// Decides on an arrival: places, queues or refuses it.
    pub fn place(&mut self, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome {
        self.now_ms = now_ms;
        let Some(terms) = request.queue_terms.as_ref().filter(|_| !request.has_begun) else {
            return self.fleet.place(now_ms, request);
        };
        self.drop_stale(now_ms);
        if let Some(outcome) = self.repeat_outcome(now_ms, request.id) {
            return outcome;
        }
        self.release_unknown_placement(now_ms, request.id);
        let appointment = self.take_appointment(now_ms, request, terms.fingerprint);
        let outcome = match self.new_entry(now_ms, request, appointment.as_ref()) {
            Some(entry) => self.decide_arrival(now_ms, entry, appointment),
            None => self.fleet.place(now_ms, request),
        };
        self.update_lengths();
        outcome
    }

    /// Renews a host's queued requests, and queues those that are unknown here.
    pub fn renew(&mut self, now_ms: f64, host: u64, queued: &[PlacementRequest]) {
        self.now_ms = now_ms;
        self.drop_stale(now_ms);
        let mut has_unknown = false;
        for request in queued.iter().filter(|request| request.id.host == host) {
            if let Some(entry) = self.queue.get_mut(request.id) {
                entry.renew(now_ms, request);
            } else if !self.has_decision(request.id) {
                self.release_unknown_placement(now_ms, request.id);
                self.enqueue_unknown(now_ms, request);
                has_unknown = true;
            }
        }
        if has_unknown {
            // Some may be near their limits, since the keeper before was lost.
            self.advance(now_ms);
        }
        self.update_lengths();
    }

    /// Decides on queued requests for which there is room now, and on those that can no longer be
    /// served. Must be called every 20 ms or so while requests are queued or appointments are open
    /// (see [`Admission::stats`]).
    pub fn advance(&mut self, now_ms: f64) {
        self.now_ms = now_ms;
        self.drop_stale(now_ms);
        for pool in self.queue.pools() {
            self.advance_pool(now_ms, &pool);
        }
        self.update_lengths();
    }

    /// Returns the decisions on these requests of a host, for as far as they are made. A decision
    /// is kept for some time after the first call, since the reply may be lost.
    pub fn take_decisions(
        &mut self,
        host: u64,
        of: &[PlacementId],
    ) -> Vec<(PlacementId, PlacementOutcome)> {
        let now_ms = self.now_ms;
        let of_host = of.iter().filter(|id| id.host == host);
        let fetch = |id: &PlacementId| {
            self.has_decision(*id).then(|| self.decided.fetch(now_ms, *id))?.map(|one| (*id, one))
        };
        of_host.filter_map(fetch).collect()
    }

    /// Applies an event that a host reported for one of its placements or queued requests.
    pub fn apply_event(&mut self, now_ms: f64, id: PlacementId, event: Event) {
        let has_decision = self.decided.remove(id).is_some();
        match event {
            Event::Ended => {
                let entry = self.queue.remove(id);
                if has_decision || entry.is_some() {
                    self.decided.insert(now_ms, id, Verdict::Left);
                }
                if let Some(entry) = entry {
                    self.record_abandoned(now_ms, &entry);
                }
            }
            Event::Started { .. }
            | Event::Failed
            | Event::Broken
            | Event::Unreached
            | Event::HelperFailed { .. } => {}
        }
        self.fleet.apply_event(now_ms, id, event);
        self.update_lengths();
    }

    /// Drops all placements, queued requests and appointments, for a keeper that no longer places.
    pub fn forget(&mut self) {
        for pool in std::mem::take(&mut self.promised_pools) {
            self.fleet.set_promised(&pool, Promised::default());
        }
        self.fleet.forget_placements();
        self.queue = Queue::default();
        self.appointments = Appointments::default();
        self.arrivals = Arrivals::default();
        self.shares = AccountShares::default();
        self.decided = Decided::default();
        self.update_lengths();
    }

    /// Removes and returns the newest decisions on queued and refused requests.
    pub fn take_log(&mut self) -> Vec<DecisionRecord> {
        self.log.take()
    }

    /// Counters of the queue.
    pub fn stats(&self) -> &AdmissionStats {
        &self.stats
    }

    /// The fleet that requests are placed on.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// The fleet that requests are placed on, to update its engines.
    pub fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}
