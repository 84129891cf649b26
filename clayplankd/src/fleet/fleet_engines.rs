//! Engines of a fleet, as the plan and the registered upstreams have them.

use std::collections::HashSet;

use clayplank_placement::{EngineSpec, Fleet};
use clayplank_registry::{Record, Standing};
use clayplank_routes::PlanIndex;
use clayplank_types::UpstreamId;

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
    }
}
