//! Doors: what callers, operators and upstreams ask of this host.

pub(crate) mod accounts;
pub(crate) mod callers;
pub(crate) mod claims;
pub(crate) mod completions;
pub(crate) mod contract;
pub(crate) mod control_door;
pub(crate) mod cordons;
pub(crate) mod cut_off;
pub(crate) mod dispatch;
pub(crate) mod native;
pub(crate) mod operators;
pub(crate) mod replies;
pub(crate) mod serve;
pub(crate) mod services;
pub(crate) mod suspects;
