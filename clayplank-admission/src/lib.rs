//! Admission control of the keeper that places prompts: queues prompts that find no room, and keeps
//! room for callers that were told when to return.
//!
//! The crate does no I/O and reads no clock: the current time is an argument of each call. What is
//! queued and promised is soft state, which a new keeper rebuilds from the lists of the hosts.

mod account_shares;
mod admission;
mod appointments;
mod arrivals;
mod decide;
mod decided;
mod decision_log;
mod ledger;
mod order;
mod queue;
mod re_examine;
mod record;
mod refuse;
mod stats;

pub use admission::Admission;
pub use decision_log::{DecisionKind, DecisionRecord, Shortage};
pub use stats::AdmissionStats;
