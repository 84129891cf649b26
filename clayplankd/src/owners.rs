//! Pool ownership: the scheduler on the host that owns a pool, and the grants that entry hosts
//! request from it.

pub(crate) mod commands;
pub(crate) mod owner;
pub(crate) mod pools;
pub(crate) mod reserve;
pub(crate) mod upstreams;
