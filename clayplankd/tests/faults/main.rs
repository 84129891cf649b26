//! End-to-end tests of the guarantees with real processes: kills, freezes, network partitions and
//! lost disks.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod answers;
mod capacity;
mod claims;
mod common;
mod crashing;
#[path = "../harness/mod.rs"]
mod harness;
mod pairs;
mod restarts;
mod settings;
