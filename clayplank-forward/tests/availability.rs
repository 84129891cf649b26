//! Upstreams that want no requests from this host for a time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use clayplank_forward::{Choice, Directory, NextOpening, now_ms};
use clayplank_placement::ColdStart;
use clayplank_registry::{Heartbeat, LimitObservation, Record, UpstreamStatus};
use clayplank_routes::{ServiceGroup, ServingPlan};
use clayplank_types::{DataCentre, UpstreamId};

const BACKOFF_MS: u64 = 3_000;

fn record(name: &str) -> Record {
    let heartbeat =
        Heartbeat { sequence: 1, service: "app".to_owned(), slots: 6, ..Heartbeat::default() };
    Record { heartbeat: heartbeat.with_name(name), is_silent: false }
}

fn directory(records: &[Record]) -> Directory {
    let directory = Directory::default();
    directory.apply(records.to_vec());
    directory
}

fn id(name: &str) -> UpstreamId {
    UpstreamId::new(name)
}

fn choose(directory: &Directory) -> Option<UpstreamId> {
    let choice = directory.choose("app", &DataCentre::default(), &[])?;
    Some(choice.record().heartbeat.id.clone())
}

#[tokio::test(start_paused = true)]
async fn an_upstream_is_chosen_again_after_its_backoff_only() {
    let directory = directory(&[record("a")]);
    directory.record_backoff(&id("a"), BACKOFF_MS);
    assert_eq!(choose(&directory), None);
    assert!(directory.usable_record(&id("a")).is_none());
    clayplank_clock::sleep(Duration::from_millis(BACKOFF_MS - 1)).await;
    assert_eq!(choose(&directory), None);
    clayplank_clock::sleep(Duration::from_millis(1)).await;
    assert_eq!(choose(&directory), Some(id("a")));
}

#[tokio::test(start_paused = true)]
async fn a_longer_backoff_extends_one_and_a_shorter_does_not_end_it() {
    let directory = directory(&[record("a")]);
    directory.record_backoff(&id("a"), BACKOFF_MS);
    directory.record_backoff(&id("a"), 100);
    assert_eq!(directory.backoff_left(&id("a")), Duration::from_millis(BACKOFF_MS));
    clayplank_clock::sleep(Duration::from_millis(1_000)).await;
    directory.record_backoff(&id("a"), BACKOFF_MS);
    assert_eq!(directory.backoff_left(&id("a")), Duration::from_millis(BACKOFF_MS));
}

#[tokio::test(start_paused = true)]
async fn a_suspension_counts_towards_a_backoff() {
    let directory = directory(&[record("a")]);
    directory.record_backoff(&id("a"), BACKOFF_MS);
    clayplank_clock::simulate_suspension(Duration::from_millis(BACKOFF_MS));
    assert_eq!(choose(&directory), Some(id("a")));
}

#[tokio::test(start_paused = true)]
async fn good_answers_do_not_end_a_backoff() {
    let directory = directory(&[record("a")]);
    directory.record_backoff(&id("a"), BACKOFF_MS);
    directory.record_end(&id("a"), 60, true);
    assert_eq!(choose(&directory), None);
}

#[tokio::test(start_paused = true)]
async fn a_backoff_does_not_apply_to_the_next_incarnation() {
    let mut first = record("a");
    first.heartbeat = Heartbeat { born_ms: 1, ..first.heartbeat }.with_name("a");
    let mut second = record("a");
    second.heartbeat = Heartbeat { born_ms: 2, ..second.heartbeat }.with_name("a");
    let directory = directory(std::slice::from_ref(&first));
    directory.record_backoff(&first.heartbeat.id, BACKOFF_MS);
    assert_eq!(choose(&directory), None);
    directory.apply(vec![second.clone()]);
    assert_eq!(choose(&directory), Some(second.heartbeat.id));
}

#[tokio::test(start_paused = true)]
async fn the_shortest_backoff_counts_once_all_upstreams_are_in_one() {
    let mut departed = record("c");
    departed.heartbeat.standing = UpstreamStatus::Gone;
    let directory = directory(&[record("a"), record("b"), departed]);
    directory.record_backoff(&id("a"), BACKOFF_MS);
    assert_eq!(directory.shortest_backoff("app"), Duration::ZERO);
    assert_eq!(directory.unavailable("app"), [(id("a"), Some(BACKOFF_MS))]);
    directory.record_backoff(&id("b"), 500);
    assert_eq!(directory.shortest_backoff("app"), Duration::from_millis(500));
    assert_eq!(directory.shortest_backoff("another"), Duration::ZERO);
    let opening = directory.next_opening("app", &[]);
    assert_eq!(opening, Some(NextOpening::BackoffEnd(Duration::from_millis(500))));
    let without_b = directory.next_opening("app", &[id("b")]);
    assert_eq!(without_b, Some(NextOpening::BackoffEnd(Duration::from_millis(BACKOFF_MS))));
}

/// A request may not wait for a permit of an upstream in a backoff.
#[tokio::test(start_paused = true)]
async fn an_upstream_with_a_limit_offers_no_permit_during_its_backoff() {
    let directory = directory(&[record("a"), record("b")]);
    for name in ["a", "b"] {
        directory.record_limit(&LimitObservation {
            upstream: id(name),
            requests_per_s: Some(1.0),
            at_ms: now_ms(),
        });
    }
    directory.record_backoff(&id("a"), BACKOFF_MS);
    assert!(matches!(
        directory.choose("app", &DataCentre::default(), &[]),
        Some(Choice::NeedsPermit(record)) if record.heartbeat.id == id("b")
    ));
    assert!(matches!(
        directory.next_opening("app", &[]),
        Some(NextOpening::Permit(record, _)) if record.heartbeat.id == id("b")
    ));
    directory.record_backoff(&id("b"), 200);
    let opening = directory.next_opening("app", &[]);
    assert_eq!(opening, Some(NextOpening::BackoffEnd(Duration::from_millis(200))));
}

/// Callers are not sent away for a long backoff while a cold upstream accepts requests sooner.
#[tokio::test(start_paused = true)]
async fn a_request_does_not_wait_for_a_backoff_beside_a_cold_upstream() {
    let mut cold = record("cold");
    cold.heartbeat.cold_left_ms = 2_000;
    let directory = Directory::default();
    let cold_start = Some(ColdStart { requests_per_s: 1.0, lasts_ms: 2_000 });
    let service = ServiceGroup { name: "app".to_owned(), engine: None, cold_start };
    directory.set_cold_starts(&ServingPlan { services: vec![service], ..ServingPlan::default() });
    directory.apply(vec![record("a"), cold]);
    directory.record_backoff(&id("a"), 60_000);
    while choose(&directory).is_some() {}
    assert_eq!(directory.next_opening("app", &[]), None);
    assert_eq!(directory.shortest_backoff("app"), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_is_leaving_is_not_chosen_whatever_its_heartbeats_say() {
    let directory = directory(&[record("a"), record("b")]);
    assert!(directory.record_leaving(&id("a")));
    assert!(!directory.record_leaving(&id("a")));
    let mut later = record("a");
    later.heartbeat.sequence = 2;
    directory.apply(vec![later]);
    let chosen: Vec<_> = (0..40).map(|_| choose(&directory).unwrap()).collect();
    assert!(chosen.iter().all(|chosen| *chosen == id("b")), "{chosen:?}");
    assert!(directory.usable_record(&id("a")).is_none());
    assert_eq!(directory.unavailable("app"), [(id("a"), None)]);
    assert_eq!(directory.count_leaving(), 1);
}

#[tokio::test(start_paused = true)]
async fn no_request_waits_for_the_backoff_of_an_upstream_that_is_leaving() {
    let directory = directory(&[record("a")]);
    directory.record_backoff(&id("a"), 200);
    directory.record_leaving(&id("a"));
    assert_eq!(directory.next_opening("app", &[]), None);
    assert_eq!(directory.shortest_backoff("app"), Duration::ZERO);
}
