//! Updates the engines of a [`Fleet`] from the serving plan and the registered upstreams.

use std::collections::{BTreeSet, HashSet};

use clayplank_placement::{EngineSpec, Fleet};
use clayplank_registry::{Record, UpstreamStatus};
use clayplank_routes::PlanIndex;
use clayplank_types::{DataCentre, UpstreamId};

use crate::process::clock::monotonic_now_ms;

/// Sets the engines of a fleet from the plan and all registered upstreams, and removes those that
/// are not registered.
pub(crate) fn set_engines(fleet: &mut Fleet, plan: &PlanIndex, records: &[Record]) {
    update_engines(fleet, plan, records);
    // A set, because with thousands of upstreams a linear search for each engine takes seconds.
    let known: HashSet<&UpstreamId> = records.iter().map(|record| &record.heartbeat.id).collect();
    fleet.retain_engines(|id| known.contains(id));
}

/// Adds or updates the engines in `records`, which are new or have changed. Other engines are
/// unaffected.
pub(crate) fn update_engines(fleet: &mut Fleet, plan: &PlanIndex, records: &[Record]) {
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
        fleet.set_engine(heartbeat.id.clone(), spec, heartbeat.standing == UpstreamStatus::Ready);
        fleet.set_heartbeats_missing(&heartbeat.id, record.is_silent);
        if let Some(start) = plan.cold_start_limit(&heartbeat.service) {
            let remaining_ms = heartbeat.cold_left_ms as f64;
            fleet.set_cold(monotonic_now_ms(), &heartbeat.id, remaining_ms, start.requests_per_s);
        }
    }
}

/// Places nothing new on the engines of cordoned data centres. Engines whose cordon was lifted
/// count as cold for as long as after a start: they may have become cold meanwhile, and their next
/// heartbeat, which would say so, comes later.
pub(crate) fn set_cordoned(fleet: &mut Fleet, plan: &PlanIndex, cordoned: &BTreeSet<DataCentre>) {
    for id in fleet.set_cordoned(cordoned.clone()) {
        let start = fleet.pool_of(&id).and_then(|pool| plan.cold_start_limit(pool));
        if let Some(start) = start {
            fleet.set_cold(monotonic_now_ms(), &id, start.lasts_ms as f64, start.requests_per_s);
        }
    }
}
