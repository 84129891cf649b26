//! State and tasks of hosts that find each other by bootstrap addresses: known engines, placement
//! of prompts on them, and the reports that hosts exchange about engines and upstreams.

pub(crate) mod decision_log;
pub(crate) mod event_reports;
pub(crate) mod fleet_engines;
pub(crate) mod fleet_keeper;
pub(crate) mod heartbeat_relay;
pub(crate) mod host_counts;
pub(crate) mod limit_reports;
pub(crate) mod placement_client;
pub(crate) mod placement_keeper;
pub(crate) mod placement_replication;
pub(crate) mod saved_upstreams;
pub(crate) mod suspect_probe;
pub(crate) mod termination_reports;
pub(crate) mod tunnel_hosts;
pub(crate) mod unreachable;
