//! Replacement of a keeper, followed by the loss of two disks.
//!
//! The failure: after a power loss in which two of five keepers lost their disks, no leader was
//! elected, settings could not be read, and every request was refused. Some time before, a keeper
//! had been replaced: an empty one was started, then the other one was stopped for good.
//!
//! The cause: the new keeper became the sixth voter, and the stopped one stayed a voter,
//! since members were changed only when a keeper introduced itself. Six voters need a quorum of
//! four, and two lost disks left three. The log showed it: `No leader is elected` named three
//! granted votes, a quorum of four, and six voters, one of which had logged `Stopped` 16 s before.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;

use crate::client::call;
use crate::failover::leader;
use crate::host::{CONTROL_PORT, Host, INNER_PORT};
use crate::system::{System, Topology, plan, publish, wait_for};

/// Time within which the keepers must have repaired one loss before the next one.
pub const REPAIR_TIME: Duration = Duration::from_secs(4);

/// Whether a keeper knows from a committed entry that it is itself a voter.
fn votes(keeper: &Host) -> bool {
    let changes = keeper.lines("The keepers' members changed");
    let id_prefix = format!("{}#", keeper.ip);
    let includes_keeper =
        |line: &Value| line["voters"].as_str().unwrap_or_default().contains(&id_prefix);
    changes.last().is_some_and(|line| line["is_committed"] == true && includes_keeper(line))
}

fn confirmed_plan_version(keeper: &Host) -> Option<u64> {
    let answer = call(keeper.control(), "GET", "/v1/plan", &[], "");
    serde_json::from_str::<Value>(&answer.text()).ok()?["version"].as_u64()
}

/// Kills all keepers at once and restarts them, two of them without their disks.
fn lose_two_disks(system: &mut System, lost: [usize; 2]) {
    system.keepers.iter_mut().for_each(Host::kill);
    for number in lost {
        std::fs::remove_dir_all(&system.keepers[number].data).unwrap();
    }
    for keeper in &mut system.keepers {
        keeper.change_settings_file(|settings| settings["is_first_start"] = false.into());
        keeper.start();
    }
}

#[derive(Clone, Copy, Debug)]
enum Stop {
    /// SIGTERM, once the new keeper votes.
    Planned,
    /// SIGKILL, without notice to the other keepers.
    Sudden,
}

#[rstest]
#[case::a_follower_is_stopped(Stop::Planned, false)]
#[case::the_leader_is_stopped(Stop::Planned, true)]
#[case::a_follower_is_killed(Stop::Sudden, false)]
fn two_lost_disks_after_a_replacement_are_tolerated(
    #[case] stop: Stop,
    #[case] stops_leader: bool,
) {
    let mut system = System::start_with(Topology { keepers: 5, entries: 1, ..Topology::default() });
    wait_for("five voters", || system.keepers.iter().all(votes));
    let added_keeper = system.add_keeper();
    wait_for("a sixth keeper that votes", || votes(&system.keepers[added_keeper]));
    let former = match stops_leader {
        true => leader(&system),
        false => (leader(&system) + 1) % added_keeper,
    };
    match stop {
        Stop::Planned => {
            system.keepers[former].terminate();
            wait_for("the end of the former keeper", || system.keepers[former].has_ended());
        }
        Stop::Sudden => {
            system.keepers[former].kill();
            std::thread::sleep(REPAIR_TIME);
        }
    }
    system.keepers.remove(former);
    let answer = publish(&system.keepers[0], &plan(2));
    assert_eq!(answer.status, 200, "{}", answer.text());

    lose_two_disks(&mut system, [1, 4]);

    wait_for("the plan that was acknowledged", || {
        system.keepers.iter().any(|keeper| confirmed_plan_version(keeper) == Some(2))
    });
    assert_eq!(publish(&system.keepers[0], &plan(3)).status, 200);
}

/// Tolerating two lost disks takes three copies. A plan stored by two keepers only would be lost
/// with these two.
#[test]
fn a_plan_is_acknowledged_only_once_it_survives_the_tolerated_losses() {
    let mut system = System::start();
    for keeper in &mut system.keepers {
        keeper.kill();
        keeper.change_settings_file(|settings| {
            settings["tolerated_losses"] = 2.into();
            settings["is_first_start"] = false.into();
        });
        keeper.start();
    }
    system.wait_for_plan(&plan(2));
    let leading = leader(&system);
    let paused = (leading + 1) % system.keepers.len();
    system.keepers[paused].signal("-STOP");
    for _ in 0..3 {
        let text = plan(3).to_string();
        let answer = call(system.keepers[leading].control(), "PUT", "/v1/plan", &[], &text);
        assert_eq!(answer.status, 503, "only two disks store the plan: {}", answer.text());
    }
    system.keepers[paused].signal("-CONT");
    system.wait_for_plan(&plan(3));
}

/// Sets entry hosts as the only bootstrap addresses of a keeper. A host has at most three bootstrap
/// addresses, which need not be keepers, and may be entry hosts without a disk.
fn bootstrap_from_entries(system: &System, keeper: &Host) {
    let addresses: Vec<_> = system.entries.iter().map(Host::control).collect();
    keeper.set_bootstrap_addresses(&addresses);
}

fn start_with_control_listeners() -> System {
    let topology =
        Topology { keepers: 3, entries: 3, has_combined_roles: true, ..Topology::default() };
    System::start_with(topology)
}

/// Guards against a keeper that never joins: after a replacement or a lost disk, a keeper logged
/// `Started` and nothing more, because its bootstrap addresses were entry hosts, which did not
/// answer peers at all.
#[test]
fn a_keeper_bootstrapped_from_entry_hosts_finds_the_others() {
    let mut system = start_with_control_listeners();
    wait_for("three voters", || system.keepers.iter().all(votes));
    system.keepers[2].kill();
    std::fs::remove_dir_all(&system.keepers[2].data).unwrap();
    std::fs::remove_file(system.keepers[2].settings.with_extension("log")).unwrap();
    bootstrap_from_entries(&system, &system.keepers[2]);
    system.keepers[2].start();
    wait_for("a keeper with an empty disk that votes", || votes(&system.keepers[2]));
}

/// All bootstrap addresses belong to hosts that have just started and do not know the keepers yet.
#[test]
fn hosts_bootstrapped_from_entry_hosts_find_the_keepers() {
    let mut system = start_with_control_listeners();
    for host in system.entries.iter().chain(&system.keepers) {
        bootstrap_from_entries(&system, host);
    }
    let all = system.entries.iter_mut().chain(&mut system.keepers);
    all.for_each(|host| {
        host.kill();
        host.start();
    });
    system.send_heartbeats_until_served();
    // Now only the entry hosts restart.
    system.entries.iter_mut().for_each(|host| {
        host.kill();
        host.start();
    });
    system.send_heartbeats_until_served();
}

/// Restarts all hosts, each with only the entry hosts that `bootstrap_entries_of` returns as
/// bootstrap addresses, and waits until all entry hosts are ready.
fn restart_with_bootstrap_entries(
    system: &mut System,
    bootstrap_entries_of: impl Fn(usize) -> Vec<usize>,
) {
    let all = system.keepers.iter().chain(&system.entries);
    for (number, host) in all.enumerate() {
        let bootstrap_addresses =
            bootstrap_entries_of(number).into_iter().map(|entry| system.entries[entry].control());
        host.set_bootstrap_addresses(&bootstrap_addresses.collect::<Vec<_>>());
    }
    system.restart_all();
    wait_for("a confirmed plan at all hosts", || system.entries.iter().all(Host::is_ready));
}

/// Hosts that no keeper contacts have to query their peers for the keepers.
#[rstest]
#[case::all_from_the_same_three(|_| vec![0, 1, 2])]
#[case::keepers_from_others_than_hosts(|host| if host < 3 { vec![0, 1, 2] } else { vec![3, 4, 5] })]
#[case::each_from_the_next_two(|host| if host < 3 { vec![0] } else { vec![host % 7, (host + 1) % 7] })]
fn hosts_that_no_keeper_contacts_find_the_keepers(
    #[case] bootstrap_entries_of: fn(usize) -> Vec<usize>,
) {
    let topology =
        Topology { keepers: 3, entries: 7, has_combined_roles: true, ..Topology::default() };
    let mut system = System::start_with(topology);
    restart_with_bootstrap_entries(&mut system, bootstrap_entries_of);
}

/// One bootstrap address accepts connections without answering, and nothing listens at another.
#[test]
fn hosts_find_the_keepers_with_an_unresponsive_and_a_departed_bootstrap_host() {
    let topology =
        Topology { keepers: 3, entries: 3, has_combined_roles: true, ..Topology::default() };
    let mut system = System::start_with(topology);
    let unresponsive = SocketAddr::new(IpAddr::V4(system.upstream_ip(91)), INNER_PORT);
    let _listener = TcpListener::bind(unresponsive).unwrap();
    let of = |last| SocketAddr::new(IpAddr::V4(system.upstream_ip(last)), CONTROL_PORT);
    let bootstrap_addresses = [of(91), of(92), system.entries[0].control()];
    system
        .keepers
        .iter()
        .chain(&system.entries)
        .for_each(|host| host.set_bootstrap_addresses(&bootstrap_addresses));
    system.restart_all();
    wait_for("a confirmed plan at all hosts", || system.entries.iter().all(Host::is_ready));
}

/// Guards against keepers that announce themselves at the bootstrap addresses of their start only.
#[test]
fn entry_hosts_that_name_only_each_other_find_running_keepers_after_a_change_of_bootstrap_addresses()
 {
    let topology =
        Topology { keepers: 3, entries: 3, has_combined_roles: true, ..Topology::default() };
    let mut system = System::start_with(topology);
    let bootstrap_addresses: Vec<_> = system.entries.iter().map(Host::control).collect();
    let hosts = || system.keepers.iter().chain(&system.entries);
    hosts().for_each(|host| host.set_bootstrap_addresses(&bootstrap_addresses));
    wait_for("the changed settings at all hosts", || {
        hosts().all(|host| !host.lines("Took in changed settings").is_empty())
    });
    system.entries.iter_mut().for_each(Host::kill);
    system.entries.iter_mut().for_each(Host::start);
    wait_for("a confirmed plan at all hosts", || system.entries.iter().all(Host::is_ready));
}

/// The addresses of replaced keepers stay unresponsive, or may belong to other machines later, so
/// hosts must forget them. A host that is also an entry host runs on for seconds after it gave up its
/// vote, and must not join again meanwhile.
#[rstest]
#[case::keepers_only(false)]
#[case::combined_roles(true)]
fn hosts_forget_replaced_keepers(#[case] has_combined_roles: bool) {
    let topology = Topology { keepers: 3, entries: 2, has_combined_roles, ..Topology::default() };
    let mut system = System::start_with(topology);
    wait_for("three voters", || system.keepers.iter().all(votes));
    let added_keeper = system.add_keeper();
    wait_for("a newcomer that votes", || votes(&system.keepers[added_keeper]));
    system.keepers[0].terminate();
    wait_for("the end of the replaced keeper", || system.keepers[0].has_ended());
    wait_for("exactly three known keepers", || {
        let knows_three = |host: &Host| host.metrics().contains("clayplank_follow_keepers 3\n");
        system.entries.iter().all(knows_three)
    });
    let former = system.keepers[0].ip.to_string();
    let changes = system.keepers[1..]
        .iter()
        .flat_map(|keeper| keeper.lines("Proposed a membership change of the keepers"));
    let joins: Vec<_> = changes
        .filter(|line| line["change"].as_str().is_some_and(|change| change.starts_with("add")))
        .filter(|line| line["change"].as_str().is_some_and(|change| change.contains(&former)))
        .collect();
    assert!(joins.is_empty(), "the keeper joined again while it stopped: {joins:?}");
}

/// Only one bootstrap address is still in use, and its host is not a keeper.
#[test]
fn hosts_find_the_keepers_after_all_bootstrap_keepers_were_replaced() {
    let topology =
        Topology { keepers: 3, entries: 2, has_combined_roles: true, ..Topology::default() };
    let mut system = System::start_with(topology);
    wait_for("three voters", || system.keepers.iter().all(votes));
    let replaced = [system.keepers[0].control(), system.keepers[1].control()];
    for _ in 0..topology.keepers {
        let added_keeper = system.add_keeper();
        wait_for("a newcomer that votes", || votes(&system.keepers[added_keeper]));
        system.keepers[0].terminate();
        wait_for("the end of the replaced keeper", || system.keepers[0].has_ended());
        system.keepers.remove(0);
    }
    let bootstrap_addresses = [replaced[0], replaced[1], system.entries[0].control()];
    system
        .keepers
        .iter()
        .chain(&system.entries)
        .for_each(|host| host.set_bootstrap_addresses(&bootstrap_addresses));
    system.entries[1].kill();
    system.entries[1].start();
    wait_for("a confirmed plan at one host", || system.entries[1].is_ready());
    system.restart_all();
    wait_for("a confirmed plan at all hosts", || system.entries.iter().all(Host::is_ready));
}

/// Only one of the bootstrap addresses at the first start belongs to a keeper.
#[test]
fn a_first_start_with_entry_hosts_among_the_bootstrap_addresses_succeeds() {
    let topology = Topology {
        keepers: 3,
        entries: 2,
        has_combined_roles: true,
        bootstraps_from_entries: true,
        ..Topology::default()
    };
    let system = System::start_with(topology);
    wait_for("three voters", || system.keepers.iter().all(votes));
}
