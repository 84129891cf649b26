//! Tests of the event splitter, the retry budget, the gate and the directory, without sockets.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{BudgetLimits, Directory, EventSplitter, Gate, RetryBudget};
use clayplank_registry::{Heartbeat, Record, UpstreamStatus};
use clayplank_types::{DataCentre, UpstreamId};
use rstest::rstest;
use tokio::time::Instant;

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_odd_pieces(7)]
#[case::at_once(1_000)]
fn events_are_complete_however_their_bytes_arrive(#[case] piece: usize) {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nversions: 3\nid:4\ndata: c\n\nid: 5\nda";
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for bytes in text.chunks(piece) {
        splitter.push(bytes);
        events.extend(std::iter::from_fn(|| splitter.next_event()));
    }
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [Some(1), Some(2), Some(4)]);
    let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
    assert_eq!(joined, text[..joined.len()], "bytes are unchanged");
    assert!(splitter.is_mid_event());
}

#[test]
fn the_retry_budget_is_shared_by_hosts_and_refills_with_the_window() {
    let limits = BudgetLimits { ratio: 0.2, extra: 20.0, window_ms: 1_000 };
    let mut budget = RetryBudget::new(limits);
    budget.set_hosts(4);
    for now_ms in 0..50 {
        budget.record_first_attempt(now_ms, "app");
    }
    let taken = (0..100).filter(|_| budget.take_retry(50, "app")).count();
    assert_eq!(taken, 12, "four fifths of a quarter of 20, and of a fifth of 50");
    assert!(!budget.take_retry(60, "app"));
    assert!(budget.take_retry(1_200, "app"), "the window has passed");
}

fn record(name: &str, data_centre: &str, standing: UpstreamStatus, sequence: u64) -> Record {
    let heartbeat = Heartbeat {
        sequence,
        service: "app".to_owned(),
        data_centre: DataCentre::new(data_centre),
        slots: 2,
        standing,
        ..Heartbeat::default()
    };
    Record { heartbeat: heartbeat.with_name(name), is_silent: false }
}

#[tokio::test(start_paused = true)]
async fn near_services_with_few_requests_are_preferred() {
    let directory = Directory::default();
    directory.apply(vec![
        record("near", "a", UpstreamStatus::Ready, 1),
        record("far", "b", UpstreamStatus::Ready, 1),
    ]);
    let local = DataCentre::new("a");
    let mut chosen = Vec::new();
    for _ in 0..6 {
        chosen
            .push(directory.choose("app", &local, &[]).unwrap().record().heartbeat.id.to_string());
    }
    assert_eq!(chosen[0], "near");
    assert!(chosen.contains(&"far".to_owned()), "{chosen:?}");
}

#[tokio::test(start_paused = true)]
async fn a_service_that_failed_is_avoided_for_a_limited_time() {
    let directory = Directory::default();
    directory.apply(vec![
        record("near", "a", UpstreamStatus::Ready, 1),
        record("far", "b", UpstreamStatus::Ready, 1),
    ]);
    let local = DataCentre::new("a");
    directory.choose("app", &local, &[]).unwrap();
    directory.record_end(&UpstreamId::new("near"), 10, false);
    assert_eq!(directory.choose("app", &local, &[]).unwrap().record().heartbeat.id.as_str(), "far");
    directory.record_end(&UpstreamId::new("far"), 10, true);
    tokio::time::advance(std::time::Duration::from_secs(2)).await;
    assert_eq!(
        directory.choose("app", &local, &[]).unwrap().record().heartbeat.id.as_str(),
        "near"
    );
}

#[test]
fn departure_is_final_and_outdated_heartbeats_are_ignored() {
    let directory = Directory::default();
    let local = DataCentre::new("a");
    directory.apply(vec![record("u", "a", UpstreamStatus::Draining, 5)]);
    directory.apply(vec![record("u", "a", UpstreamStatus::Ready, 4)]);
    assert!(directory.choose("app", &local, &[]).is_none());
    directory.apply(vec![record("u", "a", UpstreamStatus::Gone, 0)]);
    directory.apply(vec![record("u", "a", UpstreamStatus::Ready, 9)]);
    assert!(directory.choose("app", &local, &[]).is_none());
}

#[tokio::test(start_paused = true)]
async fn a_service_without_recent_heartbeats_is_chosen_last() {
    let directory = Directory::default();
    let local = DataCentre::new("a");
    let silent = Record { is_silent: true, ..record("silent", "a", UpstreamStatus::Ready, 2) };
    directory.apply(vec![silent, record("heard", "b", UpstreamStatus::Ready, 1)]);
    let choose = |avoid: &[UpstreamId]| {
        directory.choose("app", &local, avoid).unwrap().record().heartbeat.id.clone()
    };
    for _ in 0..20 {
        assert_eq!(choose(&[]).as_str(), "heard");
    }
    assert_eq!(choose(&[UpstreamId::new("heard")]).as_str(), "silent");
}

#[tokio::test(start_paused = true)]
async fn departed_upstreams_are_removed_eventually() {
    let directory = Directory::default();
    directory.apply(vec![record("old", "a", UpstreamStatus::Gone, 1)]);
    directory.apply(vec![record("old", "a", UpstreamStatus::Ready, 2)]);
    assert_eq!(
        directory.records()[0].heartbeat.standing,
        UpstreamStatus::Gone,
        "late updates change nothing"
    );
    tokio::time::advance(Duration::from_secs(180)).await;
    directory.apply(vec![record("new", "a", UpstreamStatus::Ready, 1)]);
    let ids: Vec<_> = directory.records().into_iter().map(|one| one.heartbeat.id).collect();
    assert_eq!(ids, [UpstreamId::new("new")]);
}

#[tokio::test(start_paused = true)]
async fn callers_of_a_new_host_wait_for_its_first_plan_only() {
    let gate = Arc::new(Gate::new(1_000));
    let timeout = Duration::from_millis(800);
    let started = Instant::now();
    gate.wait_for_first_plan(timeout).await;
    assert_eq!(started.elapsed(), timeout, "no plan came");
    let waiting = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.wait_for_first_plan(timeout).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    gate.confirm(1);
    waiting.await.unwrap();
    assert_eq!(started.elapsed(), timeout + Duration::from_millis(300));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let later = Instant::now();
    gate.wait_for_first_plan(timeout).await;
    assert_eq!(later.elapsed(), Duration::ZERO, "a host that has lost its plan refuses at once");
}

/// The record of an incarnation of `u` that started at `born_ms`.
fn incarnation(born_ms: u64, standing: UpstreamStatus) -> Record {
    let record = record("u", "a", standing, 1);
    Record { heartbeat: Heartbeat { born_ms, ..record.heartbeat }.with_name("u"), ..record }
}

/// A keeper that has just become leader may know only the later incarnation, and then nobody reports the
/// end of the former one.
#[test]
fn a_later_incarnation_replaces_former_ones_without_notice() {
    let directory = Directory::default();
    let local = DataCentre::new("a");
    directory.apply(vec![incarnation(100, UpstreamStatus::Ready)]);
    directory.apply(vec![incarnation(200, UpstreamStatus::Ready)]);
    directory.apply(vec![
        incarnation(100, UpstreamStatus::Draining),
        incarnation(100, UpstreamStatus::Ready),
    ]);
    let chosen = directory.choose("app", &local, &[]).unwrap().record().heartbeat.clone();
    assert_eq!(chosen.born_ms, 200);
    assert_eq!(directory.find("u"), Some(chosen.id.clone()));
    assert!(directory.choose("app", &local, &[chosen.id]).is_none(), "the former one has ended");
}

#[test]
fn a_departed_incarnation_is_followed_by_one_whose_clock_was_set_back() {
    let directory = Directory::default();
    directory.apply(vec![incarnation(200, UpstreamStatus::Ready)]);
    directory.apply(vec![
        incarnation(200, UpstreamStatus::Gone),
        incarnation(100, UpstreamStatus::Ready),
    ]);
    let chosen =
        directory.choose("app", &DataCentre::new("a"), &[]).unwrap().record().heartbeat.clone();
    assert_eq!(chosen.born_ms, 100);
}
