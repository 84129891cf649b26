//! The fleet of seeded hosts: its engines, where prompts are placed, and what hosts tell of them.

pub(crate) mod engine_watch;
pub(crate) mod fleet_engines;
pub(crate) mod fleet_keeper;
pub(crate) mod fleet_link;
pub(crate) mod host_counts;
pub(crate) mod limit_reports;
pub(crate) mod mirror;
pub(crate) mod sightings;
pub(crate) mod spread;
pub(crate) mod unreached;
pub(crate) mod upstream_memory;
