//! Decisions of keepers without a log: create one, join an existing one, or wait.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_agreement::{BlankKeeper, Configuration, Introduction, Join, ReplicaId, plan_join};

fn id(host: &str) -> ReplicaId {
    ReplicaId::new(host, 1)
}

fn blank_keeper(host: &str) -> BlankKeeper {
    BlankKeeper { id: id(host), may_begin: true }
}

/// A keeper without a log that has restarted since the first start of the system.
fn restarted_keeper(host: &str) -> BlankKeeper {
    BlankKeeper { may_begin: false, ..blank_keeper(host) }
}

fn replies_from(list: &[(&str, Introduction)]) -> BTreeMap<String, Introduction> {
    list.iter().map(|(host, reply)| ((*host).to_owned(), reply.clone())).collect()
}

fn member(genesis: Configuration) -> Introduction {
    Introduction::Member { members: genesis.clone(), genesis }
}

fn peers() -> Vec<String> {
    vec!["b".to_owned(), "c".to_owned()]
}

#[test]
fn first_keeper_by_name_creates_the_log_once_all_are_without_one() {
    let replies = replies_from(&[
        ("b", Introduction::Blank(blank_keeper("b"))),
        ("c", Introduction::Blank(blank_keeper("c"))),
    ]);
    let all = Configuration::from_voters([id("a"), id("b"), id("c")]);
    assert_eq!(plan_join(&blank_keeper("a"), &peers(), &replies), Join::Bootstrap(all));
}

#[test]
fn no_log_is_created_while_a_keeper_is_unreachable() {
    let incomplete = replies_from(&[("b", Introduction::Blank(blank_keeper("b")))]);
    assert_eq!(plan_join(&blank_keeper("a"), &peers(), &incomplete), Join::Wait);
}

#[test]
fn later_keepers_by_name_wait_for_the_first() {
    let replies = replies_from(&[
        ("a", Introduction::Blank(blank_keeper("a"))),
        ("c", Introduction::Blank(blank_keeper("c"))),
    ]);
    assert_eq!(
        plan_join(&blank_keeper("b"), &["a".to_owned(), "c".to_owned()], &replies),
        Join::Wait
    );
}

#[test]
fn initial_member_starts_with_the_reported_configuration() {
    let genesis = Configuration::from_voters([id("a"), id("b")]);
    let replies = replies_from(&[("b", member(genesis.clone()))]);
    assert_eq!(plan_join(&blank_keeper("a"), &peers(), &replies), Join::Bootstrap(genesis));
}

#[test]
fn keeper_with_a_lost_disk_joins_as_a_learner() {
    let genesis = Configuration::from_voters([id("a"), id("b"), id("c")]);
    let replies = replies_from(&[("b", member(genesis))]);
    let with_lost_disk = BlankKeeper { id: ReplicaId::new("a", 2), may_begin: false };
    assert_eq!(plan_join(&with_lost_disk, &peers(), &replies), Join::AsLearner);
}

#[test]
fn restarted_initial_member_starts_with_the_reported_configuration() {
    let genesis = Configuration::from_voters([id("a"), id("b"), id("c")]);
    let replies = replies_from(&[("b", member(genesis.clone()))]);
    assert_eq!(plan_join(&restarted_keeper("a"), &peers(), &replies), Join::Bootstrap(genesis));
}

#[test]
fn next_keeper_by_name_creates_the_log_if_the_first_has_restarted() {
    let replies = replies_from(&[
        ("a", Introduction::Blank(restarted_keeper("a"))),
        ("c", Introduction::Blank(blank_keeper("c"))),
    ]);
    let all = Configuration::from_voters([id("a"), id("b"), id("c")]);
    assert_eq!(
        plan_join(&blank_keeper("b"), &["a".to_owned(), "c".to_owned()], &replies),
        Join::Bootstrap(all)
    );
}

#[test]
fn no_log_is_created_if_a_majority_may_have_lost_one() {
    let replies = replies_from(&[
        ("b", Introduction::Blank(restarted_keeper("b"))),
        ("c", Introduction::Blank(restarted_keeper("c"))),
    ]);
    assert_eq!(plan_join(&blank_keeper("a"), &peers(), &replies), Join::Wait);
}
