//! Membership view of one host after probes, gossip and notices of the platform.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_members::{FailureDetectorTiming, MemberUpdate, Members, ProbeAction, Status};
use clayplank_types::{DataCentre, HostId, Incarnation, PoolId};
use rstest::rstest;

fn host(name: &str) -> HostId {
    HostId::new(name)
}

fn view(local: &str, incarnation: u64) -> Members {
    let centres = [("a", "hall-1"), ("b", "hall-1"), ("c", "hall-2"), ("d", "hall-2")];
    let hosts = centres.map(|(name, centre)| (host(name), DataCentre::new(centre)));
    Members::new(host(local), Incarnation(incarnation), hosts, FailureDetectorTiming::default(), 0)
}

/// Makes a view record that a host missed a direct probe and all indirect ones.
fn miss_all_probes(view: &mut Members, now_ms: u64, target: &HostId) {
    for effect in view.record_missed_probe(now_ms, target) {
        assert!(matches!(effect, ProbeAction::ProbeVia { .. }));
        view.record_missed_indirect_probe(now_ms, target);
    }
}

#[test]
fn an_unresponsive_host_is_suspected_and_then_declared_dead() {
    let mut a = view("a", 1);
    miss_all_probes(&mut a, 100, &host("b"));
    assert_eq!(a.status(&host("b")), Some(Status::Suspect));
    a.tick(2_099);
    assert_eq!(a.status(&host("b")), Some(Status::Suspect));
    a.tick(2_100);
    assert_eq!(a.status(&host("b")), Some(Status::Gone));
}

#[test]
fn a_host_that_answers_an_indirect_probe_is_not_suspected() {
    let mut a = view("a", 1);
    let effects = a.record_missed_probe(100, &host("b"));
    assert_eq!(effects.len(), 2);
    a.record_ack(&host("b"));
    a.record_missed_indirect_probe(101, &host("b"));
    assert_eq!(a.status(&host("b")), Some(Status::Live));
}

#[test]
fn a_host_refutes_its_own_death() {
    let (mut a, mut b) = (view("a", 1), view("b", 5));
    a.apply_updates(0, &b.take_updates());
    miss_all_probes(&mut a, 100, &host("b"));
    a.tick(5_000);
    assert_eq!(a.status(&host("b")), Some(Status::Gone));
    b.apply_updates(5_000, &[a.refutable_update_for(&host("b")).unwrap()]);
    a.apply_updates(5_000, &b.take_updates());
    assert_eq!(a.status(&host("b")), Some(Status::Live));
}

#[test]
fn departure_holds_until_a_new_incarnation() {
    let (mut a, mut b) = (view("a", 1), view("b", 5));
    b.announce_departure();
    a.apply_updates(0, &b.take_updates());
    a.record_ack(&host("b"));
    assert_eq!(a.status(&host("b")), Some(Status::Leaving));
    let stale = MemberUpdate { host: host("b"), version: 5, status: Status::Live };
    a.apply_updates(1, &[stale]);
    assert_eq!(a.status(&host("b")), Some(Status::Leaving));
    a.apply_updates(2, &view("b", 9).take_updates());
    assert_eq!(a.status(&host("b")), Some(Status::Live));
}

#[test]
fn a_departure_notice_of_the_platform_applies_before_the_host_s_own() {
    let mut a = view("a", 1);
    a.apply_platform_departure(&host("c"));
    assert_eq!(a.status(&host("c")), Some(Status::Leaving));
    assert!(a.live().all(|name| *name != host("c")));
}

#[rstest]
#[case::near("hall-1", &["a", "b"])]
#[case::other("hall-2", &["c", "d"])]
fn a_pool_is_owned_in_its_data_centre_while_a_host_lives_there(
    #[case] centre: &str,
    #[case] near: &[&str],
) {
    let mut a = view("a", 1);
    let centre = DataCentre::new(centre);
    for number in 0..50 {
        let owner = a.owner_of(&PoolId::new(format!("p{number}")), &centre).unwrap();
        assert!(near.contains(&owner.as_str()));
    }
    near.iter().for_each(|name| a.apply_platform_departure(&host(name)));
    let owner = a.owner_of(&PoolId::new("p"), &centre).unwrap();
    assert!(!near.contains(&owner.as_str()), "another data centre takes over");
}

#[test]
fn the_departure_of_a_host_moves_only_its_own_pools() {
    let mut a = view("a", 1);
    let centre = DataCentre::new("elsewhere");
    let pools: Vec<_> = (0..200).map(|number| PoolId::new(format!("p{number}"))).collect();
    let before: Vec<_> =
        pools.iter().map(|pool| a.owner_of(pool, &centre).unwrap().clone()).collect();
    a.apply_platform_departure(&host("d"));
    for (pool, owner) in pools.iter().zip(&before).filter(|(_, owner)| **owner != host("d")) {
        assert_eq!(a.owner_of(pool, &centre), Some(owner));
    }
    assert!(
        before.iter().filter(|owner| **owner == host("d")).count() > 20,
        "the pools are spread"
    );
}
