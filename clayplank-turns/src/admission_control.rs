//! Interface of the decisions behind a [`crate::KeeperQueue`].

use clayplank_admission::Admission;
use clayplank_placement::{
    Event, PlacementId, PlacementOutcome, PlacementRequest, RunningPlacement,
};

use crate::Decisions;

/// Decides on arriving and on queued requests; see [`Admission`], which is used in production.
pub trait AdmissionControl {
    /// Decides on an arrival.
    fn place(&mut self, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome;

    /// Renews a host's queued requests, and queues those that are unknown here.
    fn renew(&mut self, now_ms: f64, host: u64, queued: &[PlacementRequest]);

    /// Decides on what is queued.
    fn advance(&mut self, now_ms: f64);

    /// Removes and returns the decisions on these requests of a host.
    fn take_decisions(&mut self, host: u64, of: &[PlacementId]) -> Decisions;

    /// Applies an event of a placement or of a queued request.
    fn apply_event(&mut self, now_ms: f64, id: PlacementId, event: Event);

    /// Adds placements that another keeper made.
    fn take_over(&mut self, now_ms: f64, placed: &[RunningPlacement]);

    /// Drops everything, for a keeper that no longer places.
    fn forget(&mut self);
}

impl AdmissionControl for Admission {
    fn place(&mut self, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome {
        Admission::place(self, now_ms, request)
    }

    fn renew(&mut self, now_ms: f64, host: u64, queued: &[PlacementRequest]) {
        Admission::renew(self, now_ms, host, queued);
    }

    fn advance(&mut self, now_ms: f64) {
        Admission::advance(self, now_ms);
    }

    fn take_decisions(&mut self, host: u64, of: &[PlacementId]) -> Decisions {
        Admission::take_decisions(self, host, of)
    }

    fn apply_event(&mut self, now_ms: f64, id: PlacementId, event: Event) {
        Admission::apply_event(self, now_ms, id, event);
    }

    fn take_over(&mut self, now_ms: f64, placed: &[RunningPlacement]) {
        self.fleet_mut().take_over(now_ms, placed);
    }

    fn forget(&mut self) {
        Admission::forget(self);
    }
}
