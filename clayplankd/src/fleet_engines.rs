//! Engines of a fleet, as the plan and the registered upstreams have them.

use clayplank_placement::{EngineSpec, Fleet};
use clayplank_registry::{Record, Standing};
use clayplank_routes::PlanIndex;
use clayplank_types::UpstreamId;

/// Sets the engines of a fleet from the plan and the registered upstreams.
pub(crate) fn set_engines(fleet: &mut Fleet, plan: &PlanIndex, records: &[Record]) {
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
    let is_known = |id: &UpstreamId| records.iter().any(|record| record.heartbeat.id == *id);
    fleet.retain_engines(is_known);
}
