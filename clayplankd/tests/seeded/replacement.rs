//! Replacement of a keeper, followed by the loss of two disks.
//!
//! The failure: after a power loss in which two of five keepers lost their disks, no leader was
//! elected, settings could not be read, and every request was refused. Some time before, a keeper
//! had been replaced: an empty one was started, then the other one was stopped for good.
//!
//! How it came about: the new keeper became the sixth voter, and the stopped one stayed a voter,
//! since members were changed only when a keeper introduced itself. Six voters need a quorum of
//! four, and two lost disks left three. The log showed it: `No leader is elected` named three
//! granted votes, a quorum of four, and six voters, one of which had logged `Stopped` 16 s before.

use std::net::{IpAddr, SocketAddr, TcpListener};
use std::time::Duration;

use rstest::rstest;
use serde_json::Value;

use crate::client::call;
use crate::failover::leader;
use crate::host::{CONTROL, Host, INNER};
use crate::system::{Shape, System, plan, publish, wait_for};

/// Time within which the keepers must have repaired one loss before the next one.
pub const CATCH_UP: Duration = Duration::from_secs(4);

/// Whether a keeper knows from a committed entry that it is itself a voter.
fn votes(keeper: &Host) -> bool {
    let told = keeper.lines("The keepers' members changed");
    let own = format!("{}#", keeper.ip);
    let names_own = |line: &Value| line["voters"].as_str().unwrap_or_default().contains(&own);
    told.last().is_some_and(|line| line["is_committed"] == true && names_own(line))
}

fn held_version(keeper: &Host) -> Option<u64> {
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
enum End {
    /// SIGTERM, once the new keeper votes.
    Planned,
    /// SIGKILL, without notice to the other keepers.
    Sudden,
}

#[rstest]
#[case::a_follower_is_stopped(End::Planned, false)]
#[case::the_leader_is_stopped(End::Planned, true)]
#[case::a_follower_dies(End::Sudden, false)]
fn two_lost_disks_after_a_replacement_are_survived(#[case] end: End, #[case] ends_leader: bool) {
    let mut system = System::start_as(Shape { keepers: 5, entries: 1, ..Shape::default() });
    wait_for("five voters", || system.keepers.iter().all(votes));
    let newcomer = system.add_keeper();
    wait_for("a sixth keeper that votes", || votes(&system.keepers[newcomer]));
    let former = match ends_leader {
        true => leader(&system),
        false => (leader(&system) + 1) % newcomer,
    };
    match end {
        End::Planned => {
            system.keepers[former].terminate();
            wait_for("the end of the former keeper", || system.keepers[former].has_ended());
        }
        End::Sudden => {
            system.keepers[former].kill();
            std::thread::sleep(CATCH_UP);
        }
    }
    system.keepers.remove(former);
    let answer = publish(&system.keepers[0], &plan(2));
    assert_eq!(answer.status, 200, "{}", answer.text());

    lose_two_disks(&mut system, [1, 4]);

    wait_for("the plan that was acknowledged", || {
        system.keepers.iter().any(|keeper| held_version(keeper) == Some(2))
    });
    assert_eq!(publish(&system.keepers[0], &plan(3)).status, 200);
}

/// Tolerating two lost disks takes three copies. A plan stored by two keepers only would be lost
/// with these two.
#[test]
fn a_plan_is_acknowledged_only_once_it_survives_the_losses_that_are_tolerated() {
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
        assert_eq!(answer.status, 503, "two disks hold it: {}", answer.text());
    }
    system.keepers[paused].signal("-CONT");
    system.wait_for_plan(&plan(3));
}

/// Sets entry hosts as the only bootstrap addresses of a keeper. A host has at most three bootstrap
/// addresses, which need not be keepers, and may be entry hosts without a disk.
fn tell_of_entry_hosts_alone(system: &System, keeper: &Host) {
    let doors: Vec<_> = system.entries.iter().map(Host::control).collect();
    keeper.tell_of(&doors);
}

fn with_doors() -> System {
    let has_doors = Shape { keepers: 3, entries: 3, all_serve: true, ..Shape::default() };
    System::start_as(has_doors)
}

/// Guards against a keeper that never joins: after a replacement or a lost disk, a keeper logged
/// `Started` and nothing more, because its bootstrap addresses were entry hosts, which did not
/// answer peers at all.
#[test]
fn a_keeper_that_is_told_of_entry_hosts_alone_finds_the_others() {
    let mut system = with_doors();
    wait_for("three voters", || system.keepers.iter().all(votes));
    system.keepers[2].kill();
    std::fs::remove_dir_all(&system.keepers[2].data).unwrap();
    std::fs::remove_file(system.keepers[2].settings.with_extension("log")).unwrap();
    tell_of_entry_hosts_alone(&system, &system.keepers[2]);
    system.keepers[2].start();
    wait_for("a keeper with an empty disk that votes", || votes(&system.keepers[2]));
}

/// All bootstrap addresses belong to hosts that have just started and do not know the keepers yet.
#[test]
fn hosts_that_are_told_of_entry_hosts_alone_find_the_keepers() {
    let mut system = with_doors();
    for host in system.entries.iter().chain(&system.keepers) {
        tell_of_entry_hosts_alone(&system, host);
    }
    let all = system.entries.iter_mut().chain(&mut system.keepers);
    all.for_each(|host| {
        host.kill();
        host.start();
    });
    system.beat_until_served();
    // Now only the entry hosts restart.
    system.entries.iter_mut().for_each(|host| {
        host.kill();
        host.start();
    });
    system.beat_until_served();
}

/// Restarts all hosts, each with only the entry hosts that `seeds_of` returns as bootstrap
/// addresses, and waits until all entry hosts are ready.
fn restart_told_of_entry_hosts(system: &mut System, seeds_of: impl Fn(usize) -> Vec<usize>) {
    let all = system.keepers.iter().chain(&system.entries);
    for (number, host) in all.enumerate() {
        let seeds = seeds_of(number).into_iter().map(|entry| system.entries[entry].control());
        host.tell_of(&seeds.collect::<Vec<_>>());
    }
    system.restart_all();
    wait_for("a confirmed plan at all hosts", || system.entries.iter().all(Host::is_ready));
}

/// Hosts that no keeper contacts have to query their peers for the keepers.
#[rstest]
#[case::all_of_the_same_three(|_| vec![0, 1, 2])]
#[case::keepers_of_others_than_hosts(|host| if host < 3 { vec![0, 1, 2] } else { vec![3, 4, 5] })]
#[case::each_of_the_next_three(|host| if host < 3 { vec![0] } else { vec![host % 7, (host + 1) % 7] })]
fn hosts_to_which_no_keeper_makes_itself_known_find_the_keepers(
    #[case] seeds_of: fn(usize) -> Vec<usize>,
) {
    let shape = Shape { keepers: 3, entries: 7, all_serve: true, ..Shape::default() };
    let mut system = System::start_as(shape);
    restart_told_of_entry_hosts(&mut system, seeds_of);
}

/// One bootstrap address accepts connections without answering, and nothing listens at another.
#[test]
fn hosts_told_of_one_that_is_silent_and_one_that_is_gone_find_the_keepers() {
    let shape = Shape { keepers: 3, entries: 3, all_serve: true, ..Shape::default() };
    let mut system = System::start_as(shape);
    let silent = SocketAddr::new(IpAddr::V4(system.upstream_ip(91)), INNER);
    let _listener = TcpListener::bind(silent).unwrap();
    let of = |last| SocketAddr::new(IpAddr::V4(system.upstream_ip(last)), CONTROL);
    let seeds = [of(91), of(92), system.entries[0].control()];
    system.keepers.iter().chain(&system.entries).for_each(|host| host.tell_of(&seeds));
    system.restart_all();
    wait_for("a confirmed plan at all hosts", || system.entries.iter().all(Host::is_ready));
}

/// The addresses of replaced keepers stay unresponsive, or may belong to other machines later, so
/// hosts must forget them.
#[test]
fn hosts_count_on_keepers_that_were_replaced_no_more() {
    let mut system = System::start_as(Shape { keepers: 3, entries: 2, ..Shape::default() });
    wait_for("three voters", || system.keepers.iter().all(votes));
    let newcomer = system.add_keeper();
    wait_for("a newcomer that votes", || votes(&system.keepers[newcomer]));
    system.keepers[0].terminate();
    wait_for("the end of the replaced keeper", || system.keepers[0].has_ended());
    wait_for("three keepers that are known", || {
        let knows_three = |host: &Host| host.figures().contains("clayplank_follow_keepers 3\n");
        system.entries.iter().all(knows_three)
    });
}

/// Only one bootstrap address is still in use, and its host is not a keeper.
#[test]
fn hosts_find_the_keepers_after_all_that_they_were_told_of_were_replaced() {
    let shape = Shape { keepers: 3, entries: 2, all_serve: true, ..Shape::default() };
    let mut system = System::start_as(shape);
    wait_for("three voters", || system.keepers.iter().all(votes));
    let gone = [system.keepers[0].control(), system.keepers[1].control()];
    for _ in 0..shape.keepers {
        let newcomer = system.add_keeper();
        wait_for("a newcomer that votes", || votes(&system.keepers[newcomer]));
        system.keepers[0].terminate();
        wait_for("the end of the replaced keeper", || system.keepers[0].has_ended());
        system.keepers.remove(0);
    }
    let seeds = [gone[0], gone[1], system.entries[0].control()];
    system.keepers.iter().chain(&system.entries).for_each(|host| host.tell_of(&seeds));
    system.entries[1].kill();
    system.entries[1].start();
    wait_for("a confirmed plan at one host", || system.entries[1].is_ready());
    system.restart_all();
    wait_for("a confirmed plan at all hosts", || system.entries.iter().all(Host::is_ready));
}

/// Only one of the bootstrap addresses at the first start belongs to a keeper.
#[test]
fn a_first_start_with_entry_hosts_among_the_seeds_begins() {
    let shape =
        Shape { keepers: 3, entries: 2, all_serve: true, names_entries: true, ..Shape::default() };
    let system = System::start_as(shape);
    wait_for("three voters", || system.keepers.iter().all(votes));
}
