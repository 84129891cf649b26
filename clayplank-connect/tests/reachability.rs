//! When a host counts as cut off from its upstreams.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;

use clayplank_connect::Reachability;

fn upstream(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

#[test]
fn two_unreached_upstreams_do_not_cut_a_host_off() {
    let mut reachability = Reachability::default();
    for now_ms in [0, 400, 800] {
        reachability.record_failed(now_ms, upstream(1));
        reachability.record_failed(now_ms, upstream(2));
    }
    assert!(!reachability.is_cut_off(900));
    assert!(reachability.has_failed(900, upstream(1)));
    assert!(!reachability.has_failed(900, upstream(3)));
}

#[test]
fn a_host_that_reaches_some_upstreams_is_not_cut_off() {
    let mut reachability = Reachability::default();
    for round in 0..10 {
        let now_ms = round * 100;
        reachability.record_failed(now_ms, upstream(1));
        reachability.record_failed(now_ms + 1, upstream(2));
        reachability.record_connected(now_ms + 2, upstream(3));
        reachability.record_failed(now_ms + 3, upstream(4));
        assert!(!reachability.is_cut_off(now_ms + 4));
    }
    assert_eq!(reachability.count_failed(1_000), 3);
}

/// Guards against rejecting requests at a host with few callers because several upstreams ended.
#[test]
fn refused_connections_do_not_cut_off_a_host_that_has_just_reached_an_upstream() {
    let mut reachability = Reachability::default();
    reachability.record_connected(100, upstream(1));
    for number in 2..=5 {
        reachability.record_refused(1_099, upstream(number));
    }
    assert!(!reachability.is_cut_off(1_099));
    for number in 2..=4 {
        reachability.record_refused(1_100, upstream(number));
    }
    assert!(reachability.is_cut_off(1_100), "a second after the latest connection");
}

/// Guards against taking engines out of use for all hosts because the links of one broke.
#[test]
fn connections_that_break_at_once_are_attributed_to_the_links_of_the_host() {
    let mut reachability = Reachability::default();
    for number in 1..=2 {
        reachability.record_broken(100, upstream(number));
        reachability.record_broken(110, upstream(number));
    }
    assert!(!reachability.may_have_broken_links(120));
    reachability.record_broken(120, upstream(3));
    assert!(reachability.may_have_broken_links(120));
    assert!(!reachability.may_have_broken_links(1_120), "a second later");
    reachability.record_failed(1_200, upstream(4));
    reachability.record_failed(1_200, upstream(5));
    reachability.record_broken(1_300, upstream(1));
    assert!(reachability.may_have_broken_links(1_300));
}

#[test]
fn old_failures_do_not_count() {
    let mut reachability = Reachability::default();
    reachability.record_failed(0, upstream(1));
    reachability.record_failed(1, upstream(2));
    reachability.record_failed(2, upstream(3));
    assert!(reachability.is_cut_off(9_000));
    assert!(!reachability.is_cut_off(11_000));
    assert!(!reachability.has_failed(11_000, upstream(1)));
}
