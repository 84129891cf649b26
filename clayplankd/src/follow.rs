//! Distribution of plans, settings and upstream updates from the keepers to the entry hosts.

pub(crate) mod exchange;
pub(crate) mod fleet_followers;
pub(crate) mod follow_log;
pub(crate) mod following;
pub(crate) mod news_pages;
pub(crate) mod plan_edits;
pub(crate) mod relay;
pub(crate) mod settings_watch;
