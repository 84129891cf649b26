//! Engines of a fleet, as the plan and the registered upstreams have them.

use std::collections::{BTreeSet, HashSet};

use clayplank_placement::{EngineSpec, Fleet};
use clayplank_registry::{Record, Standing};
use clayplank_routes::PlanIndex;
use clayplank_types::{DataCentre, UpstreamId};

use crate::process::clock::fleet_now_ms;

/// Sets the engines of a fleet from the plan and all registered upstreams.
pub(crate) fn set_engines(fleet: &mut Fleet, plan: &PlanIndex, records: &[Record]) {
    change_engines(fleet, plan, records);
    // A set: with thousands of upstreams, a search through the list for each takes seconds.
    let known: HashSet<&UpstreamId> = records.iter().map(|record| &record.heartbeat.id).collect();
    fleet.retain_engines(|id| known.contains(id));
}

/// Changes the engines of a fleet whose records are new or have changed, and leaves the others.
pub(crate) fn change_engines(fleet: &mut Fleet, plan: &PlanIndex, records: &[Record]) {
    for record in records {
        let heartbeat = &record.heartbeat;
        let Some(model) = plan.engine_model(&heartbeat.service) else {
            continue;
        };
        let spec = EngineSpec {
            pool: heartbeat.service.clone(),
            data_centre: heartbeat.data_centre.clone(),
            model: model.clone(),
        };
        fleet.set_engine(heartbeat.id.clone(), spec, heartbeat.standing == Standing::Ready);
        fleet.set_silent(&heartbeat.id, record.is_silent);
        if let Some(start) = plan.cold_start(&heartbeat.service) {
            let left_ms = heartbeat.cold_left_ms as f64;
            fleet.set_cold(fleet_now_ms(), &heartbeat.id, left_ms, start.requests_per_s);
        }
    }
}

/// Sends nothing new to the engines of some data centres. Those that get something again pass for cold
/// as long as after a start: they may have turned cold meanwhile, and their next heartbeat comes later.
pub(crate) fn set_cordoned(fleet: &mut Fleet, plan: &PlanIndex, cordoned: &BTreeSet<DataCentre>) {
    for id in fleet.set_cordoned(cordoned.clone()) {
        let start = fleet.pool_of(&id).and_then(|pool| plan.cold_start(pool));
        if let Some(start) = start {
            fleet.set_cold(fleet_now_ms(), &id, start.lasts_ms as f64, start.requests_per_s);
        }
    }
}
