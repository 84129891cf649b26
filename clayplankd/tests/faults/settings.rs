//! Settings: one of several concurrent changes wins, acknowledged changes are not lost, and no
//! request is served under unconfirmed settings.

use std::time::Duration;

use serde_json::{Value, json};

use crate::common::fast_engines;
use crate::harness::{Answer, DALA_KEY, HOSTS, ROTAFOLD_KEY, System, wait_for};

/// Longer than hosts serve under settings that no keeper confirms (`settings_lease_ms`).
const AFTER_SETTINGS_LEASE: Duration = Duration::from_millis(5_500);

fn template(deadline_ms: u64) -> Value {
    json!({ "deadline_ms": deadline_ms, "model": "base" })
}

fn version_of(answer: &Answer) -> u64 {
    serde_json::from_slice::<Value>(&answer.body).unwrap()["version"].as_u64().unwrap()
}

/// Waits until all hosts report the same deadline for a template.
fn wait_in_force(system: &System, name: &str, deadline_ms: u64) {
    for host in 0..HOSTS {
        wait_for("the setting on all hosts", || {
            let shown = system.get_operator_view(host, &format!("/settings/templates/{name}"));
            shown.is_some_and(|shown| shown["value"]["deadline_ms"] == deadline_ms)
        });
    }
}

#[test]
fn of_concurrent_changes_one_wins_and_a_resend_gets_the_first_answer() {
    let system = System::start(fast_engines());
    let statuses: Vec<_> = std::thread::scope(|scope| {
        let racers = (0..4).map(|racer| {
            let system = &system;
            let change_id = format!("race-{racer}");
            scope.spawn(move || {
                system.put_setting(
                    racer % HOSTS,
                    DALA_KEY,
                    "templates/race",
                    &change_id,
                    0,
                    &template(1_000),
                )
            })
        });
        racers.collect::<Vec<_>>().into_iter().map(|racer| racer.join().unwrap()).collect()
    });
    let won: Vec<_> = statuses.iter().filter(|answer| answer.status == 200).collect();
    assert_eq!(won.len(), 1);
    let lost = statuses.iter().find(|answer| answer.status == 409).unwrap();
    assert_eq!(
        serde_json::from_slice::<Value>(&lost.body).unwrap()["current"]["version"],
        version_of(won[0])
    );
    let first = system.put_setting(0, DALA_KEY, "templates/other", "once", 0, &template(2_000));
    let again = system.put_setting(1, DALA_KEY, "templates/other", "once", 0, &template(2_000));
    assert_eq!(version_of(&first), version_of(&again));
    let foreign = system.get_operator_view(0, "/settings/templates/short").unwrap()["version"]
        .as_u64()
        .unwrap();
    let hidden = system
        .put_setting(0, ROTAFOLD_KEY, "templates/short", "steal", foreign, &template(1))
        .status;
    assert_eq!(hidden, 409, "the other partner's name is another setting, which is not there");
    assert_eq!(
        system.get_operator_view(0, "/settings/templates/short").unwrap()["version"].as_u64(),
        Some(foreign)
    );
}

/// Voting keepers, or `None` while a membership change is in progress; queried at the host after
/// `host`.
fn voters(system: &System, host: usize) -> Option<Vec<String>> {
    let keepers = system.get_operator_view((host + 1) % HOSTS, "/keepers")?;
    let is_finished =
        keepers["members_committed"] == true && keepers["learners"].as_array()?.is_empty();
    is_finished.then(|| serde_json::from_value(keepers["voters"].clone()).unwrap())
}

#[test]
fn settings_survive_hundreds_of_changes_restarts_and_lost_disks_one_after_another() {
    let mut system = System::start(fast_engines());
    let mut version = 0;
    for number in 1..=300 {
        let answer = system.put_setting(
            0,
            DALA_KEY,
            "templates/t",
            &format!("c{number}"),
            version,
            &template(number),
        );
        assert_eq!(answer.status, 200, "{}", answer.text());
        version = version_of(&answer);
    }
    (0..HOSTS).for_each(|host| system.kill(host));
    (0..HOSTS).for_each(|host| system.spawn(host));
    (0..HOSTS).for_each(|host| system.wait_healthy(host));
    wait_in_force(&system, "t", 300);
    let again = system.put_setting(1, DALA_KEY, "templates/t", "c1", 0, &template(1));
    assert_eq!(again.status, 200, "a resend of the first change");
    wait_in_force(&system, "t", 300);
    // The next host loses its disk right after the previous one was repaired.
    for host in [1, 2, 0] {
        let former = voters(&system, host).unwrap();
        system.lose_disk(host);
        system.spawn(host);
        wait_for("the repair", || {
            let repaired = voters(&system, host).filter(|voters| voters.len() == HOSTS);
            repaired.is_some_and(|repaired| repaired != former) && system.is_healthy(host)
        });
    }
    wait_in_force(&system, "t", 300);
    let next = system.put_setting(2, DALA_KEY, "templates/t", "last", version, &template(301));
    assert_eq!(next.status, 200, "{}", next.text());
    wait_in_force(&system, "t", 301);
}

#[test]
fn a_partitioned_host_serves_nothing_under_stale_settings() {
    let system = System::start(fast_engines());
    system.links.set_partitioned(2, true);
    wait_for("a failing health check", || !system.is_healthy(2));
    let refused = system.complete(2, "q", 1);
    assert_eq!((refused.status, refused.outcome()), (503, "not-run"));
    assert!(refused.header("retry-after").is_some());
    let changed = system.put_setting(0, DALA_KEY, "templates/cut", "c", 0, &template(5));
    assert_eq!(changed.status, 200, "the peers continue: {}", changed.text());
    wait_for("answers at the peers", || system.complete(0, "q", 1).status == 200);
    system.links.set_partitioned(2, false);
    system.wait_healthy(2);
    wait_in_force(&system, "cut", 5);
}

/// Whether the keeper on this host leads. The leader's name in the answer is the host name followed
/// by its incarnation.
fn leads(system: &System, host: usize) -> bool {
    let keepers = system.get_operator_view(host, "/keepers").unwrap();
    keepers["leader"].as_str().unwrap().starts_with(&format!("h{host}#"))
}

/// Nothing changes settings or claims a key here, so hosts learn of the next leader only if they
/// query for it. A host that did not would lose its confirmation with the leader.
#[test]
fn settings_stay_confirmed_after_the_leader_is_killed() {
    let mut system = System::start(fast_engines());
    let leader = (0..HOSTS).find(|&host| leads(&system, host)).expect("a keeper leads");
    let others: Vec<_> = (0..HOSTS).filter(|&host| host != leader).collect();
    system.kill(leader);
    // The last confirmation by the former leader expires.
    std::thread::sleep(AFTER_SETTINGS_LEASE);
    for &host in &others {
        let answer = system.complete(host, "q", 1);
        assert_eq!(answer.status, 200, "host {host}: {}", answer.text());
    }
}
