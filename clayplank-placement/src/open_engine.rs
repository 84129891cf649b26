//! Engines that may receive work for a request.

use clayplank_types::UpstreamId;

use crate::engine::Engine;
use crate::fleet_view::FleetView;
use crate::request::PlacementRequest;

/// An engine that accepts new work for a request.
pub(crate) struct OpenEngine<'a> {
    pub(crate) id: &'a UpstreamId,
    pub(crate) engine: &'a Engine,
    /// Random addition to its cost.
    pub(crate) noise: f64,
    /// Whether it accepts a request now, and not only helper parts: its rate limit, if it has one,
    /// is not used up.
    pub(crate) has_permit: bool,
}

impl OpenEngine<'_> {
    /// Whether it can start another stream now.
    pub(crate) fn has_slot(&self) -> bool {
        self.has_permit && self.engine.free_slots() > 0
    }
}

/// Engines that may receive work for the request now, with random additions to their costs.
/// Unreachable engines are left out, so that they do not count as free slots either.
pub(crate) fn open_engines<'a>(
    fleet: FleetView<'a>,
    now_ms: f64,
    request: &PlacementRequest,
) -> Vec<OpenEngine<'a>> {
    usable_engines(fleet, request)
        .filter(|(id, engine)| engine.rate_limit.work_wait_ms(now_ms, id, fleet.sender) == 0.0)
        .map(|(id, engine)| OpenEngine {
            id,
            engine,
            noise: fleet.draw_noise() * request.weight(),
            has_permit: engine.rate_limit.wait_ms(now_ms, id, fleet.sender) == 0.0,
        })
        .collect()
}

/// Engines that may serve the request now or as soon as their rate limit permits.
fn usable_engines<'a>(
    fleet: FleetView<'a>,
    request: &PlacementRequest,
) -> impl Iterator<Item = (&'a UpstreamId, &'a Engine)> {
    fleet.engines.iter().filter(|(id, engine)| {
        let is_usable = engine.takes_work() && !engine.reachability.is_unreachable();
        is_usable && engine.spec.pool == request.pool && !request.avoid.contains(id)
    })
}

/// Shortest wait for a permit among the engines with a rate limit, in ms; `None` if no engine makes
/// the request wait.
pub(crate) fn earliest_permit_ms(
    fleet: FleetView<'_>,
    now_ms: f64,
    request: &PlacementRequest,
) -> Option<f64> {
    let waits = usable_engines(fleet, request)
        .map(|(id, engine)| engine.rate_limit.wait_ms(now_ms, id, fleet.sender));
    waits.filter(|wait_ms| *wait_ms > 0.0).min_by(f64::total_cmp)
}
