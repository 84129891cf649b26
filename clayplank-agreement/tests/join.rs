//! How keepers without a log begin one or join one.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_agreement::{BlankKeeper, Configuration, Introduction, Join, ReplicaId, plan_join};

fn id(host: &str) -> ReplicaId {
    ReplicaId::new(host, 1)
}

fn blank(host: &str) -> BlankKeeper {
    BlankKeeper { id: id(host), may_begin: true }
}

/// One that is not told that this is the first start.
fn later(host: &str) -> BlankKeeper {
    BlankKeeper { may_begin: false, ..blank(host) }
}

fn answers(list: &[(&str, Introduction)]) -> BTreeMap<String, Introduction> {
    list.iter().map(|(host, answer)| ((*host).to_owned(), answer.clone())).collect()
}

fn member(genesis: Configuration) -> Introduction {
    Introduction::Member { members: genesis.clone(), genesis }
}

fn others() -> Vec<String> {
    vec!["b".to_owned(), "c".to_owned()]
}

#[test]
fn the_first_by_name_begins_once_all_are_blank() {
    let told =
        answers(&[("b", Introduction::Blank(blank("b"))), ("c", Introduction::Blank(blank("c")))]);
    let all = Configuration::of_voters([id("a"), id("b"), id("c")]);
    assert_eq!(plan_join(&blank("a"), &others(), &told), Join::Begin(all));
}

#[test]
fn nobody_begins_while_one_cannot_be_asked() {
    let partial = answers(&[("b", Introduction::Blank(blank("b")))]);
    assert_eq!(plan_join(&blank("a"), &others(), &partial), Join::Wait);
}

#[test]
fn a_later_one_waits_for_the_first() {
    let told =
        answers(&[("a", Introduction::Blank(blank("a"))), ("c", Introduction::Blank(blank("c")))]);
    assert_eq!(plan_join(&blank("b"), &["a".to_owned(), "c".to_owned()], &told), Join::Wait);
}

#[test]
fn a_first_member_takes_the_genesis() {
    let genesis = Configuration::of_voters([id("a"), id("b")]);
    let told = answers(&[("b", member(genesis.clone()))]);
    assert_eq!(plan_join(&blank("a"), &others(), &told), Join::Begin(genesis));
}

#[test]
fn a_lost_disk_never_begins_again() {
    let genesis = Configuration::of_voters([id("a"), id("b"), id("c")]);
    let told = answers(&[("b", member(genesis))]);
    let lost = BlankKeeper { id: ReplicaId::new("a", 2), may_begin: false };
    assert_eq!(plan_join(&lost, &others(), &told), Join::Learn);
}

#[test]
fn a_first_member_that_came_back_takes_the_genesis() {
    let genesis = Configuration::of_voters([id("a"), id("b"), id("c")]);
    let told = answers(&[("b", member(genesis.clone()))]);
    assert_eq!(plan_join(&later("a"), &others(), &told), Join::Begin(genesis));
}

#[test]
fn the_next_one_begins_if_the_first_by_name_came_back() {
    let told =
        answers(&[("a", Introduction::Blank(later("a"))), ("c", Introduction::Blank(blank("c")))]);
    let all = Configuration::of_voters([id("a"), id("b"), id("c")]);
    assert_eq!(plan_join(&blank("b"), &["a".to_owned(), "c".to_owned()], &told), Join::Begin(all));
}

#[test]
fn nobody_begins_beside_two_that_may_have_lost_a_log() {
    let told =
        answers(&[("b", Introduction::Blank(later("b"))), ("c", Introduction::Blank(later("c")))]);
    assert_eq!(plan_join(&blank("a"), &others(), &told), Join::Wait);
}
