//! End-to-end tests of the guarantees with real processes: kills, freezes, network partitions and
//! lost disks.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod capacity;
mod claims;
mod common;
mod crashing;
mod failure_pairs;
#[path = "../harness/mod.rs"]
mod harness;
mod restarts;
mod settings;
