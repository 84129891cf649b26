//! Chooses the engines that prefill a prompt and decode its answer, from the cost model that
//! engines publish.
//!
//! The crate does no I/O and reads no clock: the current time is an argument of each call. A
//! [`Fleet`] tracks the load that placements put on each engine. [`Fleet::place`] weighs what a
//! prompt gains on an engine against what the requests there lose.
//!
//! ```
//! use clayplank_placement::{PlacementRequest, EngineModel, EngineSpec, Fleet, PlacementId, PlacementOutcome};
//! use clayplank_types::{DataCentre, UpstreamId};
//!
//! let mut fleet = Fleet::default();
//! let spec = EngineSpec {
//!     pool: "main".to_owned(),
//!     data_centre: DataCentre::new("a"),
//!     model: EngineModel::default(),
//! };
//! fleet.set_engine(UpstreamId::new("engine-1"), spec, true);
//! let request = PlacementRequest::new(PlacementId { host: 1, number: 1 }, "main", 5_000, 300.0);
//! assert!(matches!(fleet.place(0.0, &request), PlacementOutcome::At(_)));
//! ```

mod admission;
mod avoid;
mod best_option;
mod candidate;
mod capacity;
mod choose;
mod defer;
mod dispatch_option;
mod engine;
mod engine_loads;
mod event;
mod fleet;
mod fleet_view;
mod health;
mod job;
mod losses;
mod model;
mod noise;
mod open_engine;
mod placement;
mod pool_summary;
mod promised;
mod rate_limit;
mod reachability;
mod request;
mod retry;
mod slot_times;
mod split_load;
mod typical_limits;

pub use avoid::avoid_ms;
pub use capacity::{Demand, PoolCapacity};
pub use engine::EngineSpec;
pub use event::{Event, RunningPlacement};
pub use fleet::Fleet;
pub use model::EngineModel;
pub use placement::SETTLE_MS;
pub use pool_summary::PoolSummary;
pub use promised::Promised;
pub use rate_limit::{ColdStart, HostShare, RateLimit};
pub use request::{
    Assignment, HelperPart, MIN_GOAL_MS, PlacementId, PlacementOutcome, PlacementRequest,
    QueueTerms,
};
pub use typical_limits::TypicalLimits;
