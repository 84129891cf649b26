//! Fleets of identical engines.

use clayplank_placement::{EngineModel, EngineSpec, Fleet};
use clayplank_types::{DataCentre, UpstreamId};

/// Id of an engine; ids sort by number.
pub fn engine(number: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{number:03}"))
}

/// Description of an engine in the data centre that most tests use.
fn spec(model: EngineModel) -> EngineSpec {
    EngineSpec { pool: "main".to_owned(), data_centre: DataCentre::new("a"), model }
}

/// Adds engines of this model to a fleet.
pub fn with_engines(mut fleet: Fleet, engines: usize, model: &EngineModel) -> Fleet {
    for number in 0..engines {
        fleet.set_engine(engine(number), spec(model.clone()), true);
    }
    fleet
}
