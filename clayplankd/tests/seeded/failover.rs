//! How entry hosts come from a leader that is gone to the next one.

use crate::host::Host;
use crate::system::{Shape, System, wait_for};

/// The keeper that told last that it leads.
pub fn leader(system: &System) -> usize {
    let leads = |keeper: &Host| {
        keeper.lines("Leads the keepers.").last().map(|line| line["time"].to_string())
    };
    let times: Vec<_> = system.keepers.iter().map(leads).collect();
    let newest = times.iter().max().unwrap();
    times.iter().position(|time| time == newest).unwrap()
}

/// Pauses, or kills, the leader; every host has to find the next one by one search, and must not
/// ask a keeper to be followed that does not lead: at hundreds of hosts such questions would meet
/// keepers that are about to elect.
fn lose_leader(is_paused: bool) {
    let shape = Shape { keepers: 5, entries: 4, ..Shape::default() };
    let mut system = System::start_as(shape);
    let former = leader(&system);
    let former_ip = system.keepers[former].ip.to_string();
    let not_led = |host: &Host| {
        let lost = host.lines("The plan is not confirmed");
        lost.iter().filter(|line| line["cause"] == "it does not lead").count()
    };
    let before: Vec<_> = system.entries.iter().map(not_led).collect();
    if is_paused {
        system.keepers[former].signal("-STOP");
    } else {
        system.keepers[former].kill();
    }
    let next = |host: &Host| {
        let found = host.lines("Found the next leader");
        found.into_iter().rfind(|line| line["former"] == former_ip.as_str())
    };
    wait_for("the next leader", || system.entries.iter().all(|host| next(host).is_some()));
    let found: Vec<_> = system.entries.iter().filter_map(next).collect();
    assert!(found.iter().all(|line| line["leader"] == found[0]["leader"]), "{found:?}");
    wait_for("a plan that is confirmed again", || {
        let is_back = |host: &Host| !host.lines("The plan is confirmed again").is_empty();
        system.entries.iter().all(is_back)
    });
    let after: Vec<_> = system.entries.iter().map(not_led).collect();
    assert_eq!(before, after, "a keeper was asked to be followed that did not lead");
    if is_paused {
        system.keepers[former].signal("-CONT");
    }
    assert_eq!(system.send(0, "after", "/repeatable/x", &[]).status, 200);
}

#[test]
fn a_leader_that_is_killed_is_replaced_by_one_search_of_each_host() {
    lose_leader(false);
}

#[test]
fn a_leader_that_is_paused_is_replaced_by_one_search_of_each_host() {
    lose_leader(true);
}
