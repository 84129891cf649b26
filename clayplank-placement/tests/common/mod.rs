//! Fleets of engines that are alike.

use clayplank_placement::{EngineModel, EngineSpec, Fleet};
use clayplank_types::{DataCentre, UpstreamId};

/// An engine; the order of ids is that of numbers.
pub fn engine(number: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{number:03}"))
}

/// What is fixed of an engine in the one data centre of most tests.
fn spec(model: EngineModel) -> EngineSpec {
    EngineSpec { pool: "main".to_owned(), data_centre: DataCentre::new("a"), model }
}

/// Adds engines of a model to a fleet.
pub fn with_engines(mut fleet: Fleet, engines: usize, model: &EngineModel) -> Fleet {
    for number in 0..engines {
        fleet.set_engine(engine(number), spec(model.clone()), true);
    }
    fleet
}
