//! HTTP endpoints of this host for callers, operators and upstreams.

pub(crate) mod account_limits;
pub(crate) mod body_abort;
pub(crate) mod callers;
pub(crate) mod claims;
pub(crate) mod completions;
pub(crate) mod contract;
pub(crate) mod control_endpoint;
pub(crate) mod cordons;
pub(crate) mod dispatch;
pub(crate) mod native;
pub(crate) mod operators;
pub(crate) mod quarantine;
pub(crate) mod replies;
pub(crate) mod serve;
pub(crate) mod services;
