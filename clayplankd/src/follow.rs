//! Distribution of plans, settings and upstream updates from the keepers to the entry hosts.

pub(crate) mod current_settings;
pub(crate) mod exchange;
pub(crate) mod follow_metrics;
pub(crate) mod follow_responder;
pub(crate) mod follow_task;
pub(crate) mod leader_confirmation;
pub(crate) mod packed_changes;
pub(crate) mod plan_edits;
