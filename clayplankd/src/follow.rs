//! Following: how plans, settings and news of upstreams reach the hosts.

pub(crate) mod exchange;
pub(crate) mod fleet_followers;
pub(crate) mod follow_log;
pub(crate) mod following;
pub(crate) mod news_pages;
pub(crate) mod plan_edits;
pub(crate) mod relay;
pub(crate) mod settings_watch;
