//! Owners of pools, and the grants that entry hosts ask them for.

pub(crate) mod orders;
pub(crate) mod owner;
pub(crate) mod pools;
pub(crate) mod reserve;
pub(crate) mod upstreams;
