//! Pool ownership: the scheduler on the host that owns a pool, and the grants that entry hosts
//! request from it.

pub(crate) mod commands;
pub(crate) mod leaving_upstreams;
pub(crate) mod owner;
pub(crate) mod pool_directory;
pub(crate) mod reservations;
