//! Cordons: an operator takes a data centre out of use and returns it.

use serde_json::Value;

use crate::client::call;
use crate::failover::leader;
use crate::host::Host;
use crate::system::{System, Topology, wait_for};

/// Data centre of all upstreams of a test.
const HALL: &str = "hall";

fn cordon_path(data_centre: &str) -> String {
    format!("/v1/cordons/{data_centre}")
}

/// Sends a command to a host until it is acknowledged.
fn send_command(host: &Host, method: &str, data_centre: &str) {
    let path = cordon_path(data_centre);
    wait_for("the acknowledgement of a command", || {
        call(host.control(), method, &path, &[], "").status == 200
    });
}

/// Cordoned data centres, as confirmed by a quorum.
fn cordoned(host: &Host) -> Vec<String> {
    let mut cordoned = None;
    wait_for("a confirmed answer", || {
        let answer = call(host.control(), "GET", "/v1/cordons", &[], "");
        cordoned = (answer.status == 200).then(|| serde_json::from_str(&answer.text()).unwrap());
        cordoned.is_some()
    });
    cordoned.unwrap()
}

/// Waits until every entry host has applied this number of cordon changes.
fn wait_until_known(system: &System, changes: usize) {
    wait_for("the cordon change at all hosts", || {
        let is_logged = |host: &Host| host.lines("Cordons are in force").len() >= changes;
        system.entries.iter().all(is_logged)
    });
}

fn assert_refused(system: &System, entry: usize, attempt: &str) {
    let answer = system.send(entry, attempt, "/once/x", &[]);
    assert_eq!(answer.status, 503, "{}", answer.text());
    assert!(answer.header("retry-after").is_some(), "the answer has a retry time");
    assert_eq!(system.runs.count(attempt), 0, "a refused request did not run");
}

#[test]
fn a_cordoned_data_centre_gets_no_requests_until_the_cordon_is_removed() {
    let system = System::start();
    send_command(&system.keepers[0], "PUT", HALL);
    send_command(&system.keepers[1], "PUT", HALL);
    wait_until_known(&system, 1);
    for entry in 0..system.entries.len() {
        assert_refused(&system, entry, &format!("emptied-{entry}"));
    }
    assert_eq!(cordoned(&system.keepers[2]), [HALL]);
    send_command(&system.keepers[2], "DELETE", HALL);
    wait_until_known(&system, 2);
    for entry in 0..system.entries.len() {
        let answer = system.send(entry, &format!("back-{entry}"), "/once/x", &[]);
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert!(cordoned(&system.keepers[0]).is_empty());
    send_command(&system.keepers[0], "DELETE", HALL);
}

#[test]
fn an_unknown_data_centre_is_rejected_with_the_reason() {
    let system = System::start();
    let answer = call(system.keepers[0].control(), "PUT", &cordon_path("nowhere"), &[], "");
    assert_eq!(answer.status, 404);
    let refusal: Value = serde_json::from_str(&answer.text()).unwrap();
    assert_eq!(refusal["error"], "there is no such data centre");
    let unnamed = call(system.keepers[0].control(), "POST", &cordon_path(HALL), &[], "");
    assert_eq!(unnamed.status, 404, "there is no such call");
    send_command(&system.keepers[0], "PUT", "annex");
    send_command(&system.keepers[0], "DELETE", "nowhere");
    assert_eq!(cordoned(&system.keepers[0]), ["annex"]);
    assert_eq!(system.send(0, "other", "/once/x", &[]).status, 200, "no upstream stands there");
}

#[test]
fn an_acknowledged_cordon_outlives_its_leader_and_a_loss_of_all_hosts() {
    let mut system = System::start_with(Topology { keepers: 3, entries: 2, ..Topology::default() });
    send_command(&system.keepers[0], "PUT", HALL);
    wait_until_known(&system, 1);
    let first = leader(&system);
    system.keepers[first].kill();
    let other = &system.keepers[(first + 1) % 3];
    assert_eq!(cordoned(other), [HALL]);
    for (number, entry) in [0, 1, 0].into_iter().enumerate() {
        assert_refused(&system, entry, &format!("led-by-another-{number}"));
    }
    system.write_settings(false);
    let System { keepers, entries, .. } = &mut system;
    for host in keepers.iter_mut().chain(entries.iter_mut()) {
        host.kill();
        host.start();
    }
    let entries = &system.entries;
    wait_for("readiness", || entries.iter().all(Host::is_ready));
    for number in 0..20 {
        let keeper = number % 3;
        system.send_heartbeat(keeper, "u1", "ready");
        system.send_heartbeat(keeper, "u2", "ready");
        assert_refused(&system, number % 2, &format!("after-all-{number}"));
    }
    assert_eq!(cordoned(&system.keepers[first]), [HALL]);
    send_command(&system.keepers[first], "DELETE", HALL);
    system.send_heartbeats_until_served();
}
