//! State and tasks of hosts that find each other by bootstrap addresses: known engines, placement
//! of prompts on them, and the reports that hosts exchange about engines and upstreams.

pub(crate) mod engine_watch;
pub(crate) mod fleet_engines;
pub(crate) mod fleet_keeper;
pub(crate) mod fleet_link;
pub(crate) mod host_counts;
pub(crate) mod limit_reports;
pub(crate) mod mirror;
pub(crate) mod sightings;
pub(crate) mod spread;
pub(crate) mod unreachable;
pub(crate) mod upstream_memory;
