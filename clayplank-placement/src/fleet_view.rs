//! Borrowed view of the state that a placement decision reads.
//!
//! Decisions depend on this view and on the engine types, and not on [`crate::Fleet`], which owns
//! the state and calls them.

use std::collections::{BTreeMap, HashMap};

use clayplank_types::UpstreamId;

use crate::engine::Engine;
use crate::noise::Noise;
use crate::promised::Promised;
use crate::rate_limit::Sender;
use crate::slot_times::SlotTimes;
use crate::split_load::SplitLoad;

/// State of all engines that a placement decision reads.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetView<'a> {
    pub(crate) engines: &'a BTreeMap<UpstreamId, Engine>,
    pub(crate) sender: &'a Sender,
    pub(crate) split_load: SplitLoad,
    pub(crate) slot_times: &'a SlotTimes,
    /// Room that is promised to callers that will return, by pool.
    pub(crate) promised: &'a HashMap<String, Promised>,
    /// Random additions to the costs of engines; `None` for no additions.
    pub(crate) noise: Option<&'a Noise>,
}

impl<'a> FleetView<'a> {
    /// Projects the engines to the state that they will have at `at_ms` if no request arrives
    /// before.
    pub(crate) fn projected_to(self, at_ms: f64) -> ProjectedFleet<'a> {
        let mut engines = self.engines.clone();
        engines.values_mut().for_each(|engine| engine.advance(at_ms));
        ProjectedFleet { engines, current: self }
    }

    /// Draws the random addition to the cost of one engine, as a share of the prompt's weight.
    pub(crate) fn draw_noise(self) -> f64 {
        self.noise.map_or(0.0, Noise::draw)
    }

    /// Share of the fleet's time that recently went into split prompts, from 0 to 1.
    pub(crate) fn split_load_share(self, now_ms: f64) -> f64 {
        self.split_load.share(now_ms, self.engines.len())
    }

    /// Room of a pool that is promised to callers that will return.
    pub(crate) fn promised(self, pool: &str) -> Promised {
        self.promised.get(pool).copied().unwrap_or_default()
    }

    /// Average time for which prompts of a pool occupy a slot, in ms; `None` until one has ended.
    pub(crate) fn mean_slot_ms(self, pool: &str) -> Option<f64> {
        self.slot_times.mean_ms(pool)
    }
}

/// Engines as they will be at a later time, with all other state as it is now.
pub(crate) struct ProjectedFleet<'a> {
    engines: BTreeMap<UpstreamId, Engine>,
    current: FleetView<'a>,
}

impl ProjectedFleet<'_> {
    /// View of the projected engines. It adds no noise to their costs, so that a projection does
    /// not change the random numbers of later decisions.
    pub(crate) fn view(&self) -> FleetView<'_> {
        FleetView { engines: &self.engines, noise: None, ..self.current }
    }
}
