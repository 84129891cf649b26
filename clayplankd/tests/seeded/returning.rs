//! Upstreams that start again under the name that they had.
//!
//! A new life holds and knows nothing of the former one, and counts its heartbeats from the start:
//! what the former one said last, that it leaves or how many heartbeats it had sent, must not
//! keep the new one from being used; and what of it comes late must not end the new one.

use crate::client::call;
use crate::system::{System, wait_for};

fn heartbeat_path(name: &str) -> String {
    format!("/v1/upstreams/{name}")
}

/// Tells one keeper of a life of an upstream.
fn tell(system: &System, life: (&str, u8, u64), sequence: u64, standing: &str) {
    let (name, last, born_ms) = life;
    let mut body = system.heartbeat(name, last, sequence, standing);
    body["born_ms"] = born_ms.into();
    let keeper = system.keepers[0].control();
    let path = heartbeat_path(name);
    wait_for("a keeper that takes a heartbeat", || {
        call(keeper, "PUT", &path, &[], &body.to_string()).status == 200
    });
}

fn is_served(system: &System, attempt: &str) -> bool {
    system.send(0, attempt, "/repeatable/x", &[]).status == 200
}

/// Only `u1` is left, in its first life, which drains.
fn drain_all() -> System {
    let system = System::start();
    let keeper = system.keepers[0].control();
    wait_for("the end of the other upstream", || {
        call(keeper, "DELETE", &heartbeat_path("u2"), &[], "").status == 200
    });
    tell(&system, ("u1", 21, 1_000), 5_000, "ready");
    tell(&system, ("u1", 21, 1_000), 5_001, "draining");
    let mut number = 0;
    wait_for("no upstream that takes work", || {
        number += 1;
        !is_served(&system, &format!("drained-{number}"))
    });
    system
}

#[test]
fn an_upstream_that_starts_again_under_its_name_is_used() {
    let system = drain_all();
    tell(&system, ("u1", 21, 2_000), 1, "ready");
    let mut number = 0;
    wait_for("service by the new life", || {
        number += 1;
        is_served(&system, &format!("again-{number}"))
    });
    // What the former one said last comes once more, and then its next word.
    tell(&system, ("u1", 21, 1_000), 5_001, "draining");
    tell(&system, ("u1", 21, 1_000), 5_002, "draining");
    tell(&system, ("u1", 21, 2_000), 2, "ready");
    for number in 0..20 {
        assert!(is_served(&system, &format!("late-{number}")), "request {number}");
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}
