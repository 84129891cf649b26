//! An entry host over sockets: what it sends to upstreams, what callers get, and what it tells others.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod broken_stream;
mod full;
mod harness;
mod held_back;
mod late_orders;
mod limits;
mod replaced;
mod slow_readers;
mod suspended;
