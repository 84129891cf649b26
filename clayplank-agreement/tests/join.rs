//! How keepers without a log begin one or join one.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_agreement::{Configuration, Introduction, Join, ReplicaId, plan_join};

fn id(host: &str) -> ReplicaId {
    ReplicaId::new(host, 1)
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
    let blank =
        answers(&[("b", Introduction::Blank(id("b"))), ("c", Introduction::Blank(id("c")))]);
    let all = Configuration::of_voters([id("a"), id("b"), id("c")]);
    assert_eq!(plan_join(&id("a"), &others(), &blank), Join::Begin(all));
}

#[test]
fn nobody_begins_while_one_cannot_be_asked() {
    let partial = answers(&[("b", Introduction::Blank(id("b")))]);
    assert_eq!(plan_join(&id("a"), &others(), &partial), Join::Wait);
}

#[test]
fn a_later_one_waits_for_the_first() {
    let blank =
        answers(&[("a", Introduction::Blank(id("a"))), ("c", Introduction::Blank(id("c")))]);
    assert_eq!(plan_join(&id("b"), &["a".to_owned(), "c".to_owned()], &blank), Join::Wait);
}

#[test]
fn a_first_member_takes_the_genesis() {
    let genesis = Configuration::of_voters([id("a"), id("b")]);
    let told = answers(&[("b", member(genesis.clone()))]);
    assert_eq!(plan_join(&id("a"), &others(), &told), Join::Begin(genesis));
}

#[test]
fn a_lost_disk_never_begins_again() {
    let genesis = Configuration::of_voters([id("a"), id("b"), id("c")]);
    let told = answers(&[("b", member(genesis))]);
    assert_eq!(plan_join(&ReplicaId::new("a", 2), &others(), &told), Join::Learn);
}
