//! Upstreams that restart under their former id.
//!
//! A new incarnation has no state of the former one, and counts its heartbeats from 1. The last
//! report of the former incarnation (that it drains, and its heartbeat number) must not keep the
//! new one from being used, and late heartbeats of the former one must not end the new one.

use crate::client::call;
use crate::system::{System, wait_for};

fn heartbeat_path(name: &str) -> String {
    format!("/v1/upstreams/{name}")
}

/// Sends a heartbeat of one incarnation of an upstream (id, last address byte, `born_ms`) to a
/// keeper.
fn send_heartbeat_of(system: &System, incarnation: (&str, u8, u64), sequence: u64, status: &str) {
    let (name, last, born_ms) = incarnation;
    let mut body = system.heartbeat(name, last, sequence, status);
    body["born_ms"] = born_ms.into();
    let keeper = system.keepers[0].control();
    let path = heartbeat_path(name);
    wait_for("a keeper that accepts a heartbeat", || {
        call(keeper, "PUT", &path, &[], &body.to_string()).status == 200
    });
}

fn is_served(system: &System, attempt: &str) -> bool {
    system.send(0, attempt, "/repeatable/x", &[]).status == 200
}

/// Starts a system whose only upstream is `u1` in its first incarnation, which drains.
fn drain_all() -> System {
    let system = System::start();
    let keeper = system.keepers[0].control();
    wait_for("the departure of the other upstream", || {
        call(keeper, "DELETE", &heartbeat_path("u2"), &[], "").status == 200
    });
    send_heartbeat_of(&system, ("u1", 21, 1_000), 5_000, "ready");
    send_heartbeat_of(&system, ("u1", 21, 1_000), 5_001, "draining");
    let mut number = 0;
    wait_for("no upstream that accepts requests", || {
        number += 1;
        !is_served(&system, &format!("drained-{number}"))
    });
    system
}

#[test]
fn an_upstream_that_restarts_under_its_id_is_used() {
    let system = drain_all();
    send_heartbeat_of(&system, ("u1", 21, 2_000), 1, "ready");
    let mut number = 0;
    wait_for("service by the new incarnation", || {
        number += 1;
        is_served(&system, &format!("again-{number}"))
    });
    // The last heartbeat of the former incarnation arrives again, followed by its next one.
    send_heartbeat_of(&system, ("u1", 21, 1_000), 5_001, "draining");
    send_heartbeat_of(&system, ("u1", 21, 1_000), 5_002, "draining");
    send_heartbeat_of(&system, ("u1", 21, 2_000), 2, "ready");
    for number in 0..20 {
        assert!(is_served(&system, &format!("late-{number}")), "request {number}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}
