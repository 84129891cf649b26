//! Keepers, the hosts with a replica of the replicated state: the replica on this host, and the
//! client that finds the leader and sends requests to it.

pub(crate) mod compaction;
pub(crate) mod first_start;
pub(crate) mod full_disk;
pub(crate) mod keeper;
pub(crate) mod keeper_client;
pub(crate) mod keeper_disk;
pub(crate) mod keeper_log;
pub(crate) mod keeper_messages;
pub(crate) mod keeper_tasks;
pub(crate) mod leader_search;
pub(crate) mod planned_stop;
