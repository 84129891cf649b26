//! Capacity reserved at engines is released whichever process fails.

use crate::common::{assert_complete, slow_engines, start_stream, streamed_text};
use crate::harness::{Engine, HOSTS, System, wait_for};

#[test]
fn capacity_returns_after_an_entry_host_is_killed() {
    let mut system = System::start(slow_engines());
    let _streams: Vec<_> = (0..4).map(|_| start_stream(&system, 1, 60)).collect();
    system.kill(1);
    wait_for("the release of all memory", || system.reserved_tokens() == Some(0));
    let reserved: u64 = system.engines.iter().map(Engine::reserved_tokens).sum();
    assert_eq!(reserved, 0, "and the engines run nothing");
}

#[test]
fn capacity_returns_after_an_entry_host_is_frozen_and_thawed() {
    let system = System::start(vec![Engine::start(400, 40.0), Engine::start(400, 40.0)]);
    let streams: Vec<_> = (0..3).map(|_| start_stream(&system, 2, 400)).collect();
    system.signal(2, "STOP");
    wait_for("the release of all memory", || {
        (0..2)
            .filter_map(|host| system.get_operator_view(host, "/upstreams"))
            .any(|shown| shown["owned_pools"][0]["granted_tokens"] == 0)
            && system.engines.iter().all(|engine| engine.reserved_tokens() == 0)
    });
    system.signal(2, "CONT");
    for stream in streams {
        let answer = stream.join().unwrap();
        assert!(!answer.text().contains("[DONE]"), "a cancelled answer is not complete");
    }
    wait_for("health after SIGCONT", || system.is_healthy(2));
    wait_for("an answer", || system.complete(2, "again", 1).status == 200);
    wait_for("the release of all memory", || system.reserved_tokens() == Some(0));
}

#[test]
fn capacity_returns_after_the_owner_is_killed_and_an_engine_restarts() {
    let mut system = System::start(slow_engines());
    let owner = (0..HOSTS)
        .find(|&host| {
            system.get_operator_view(host, "/upstreams").unwrap()["owned_pools"][0].is_object()
        })
        .unwrap();
    let other = (owner + 1) % HOSTS;
    let stream = start_stream(&system, other, 60);
    system.kill(owner);
    let answer = stream.join().unwrap();
    assert_complete(&streamed_text(&answer), 60);
    system.engines[0].terminate();
    system.engines[0].restart();
    wait_for("a new owner with free engines", || system.reserved_tokens() == Some(0));
    wait_for("an answer", || system.complete(other, "again", 1).status == 200);
}
