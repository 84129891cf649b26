//! Events, the retry budget and the directory, without a socket.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use clayplank_forward::{BudgetLimits, Directory, EventSplitter, Gate, RetryBudget};
use clayplank_registry::{Heartbeat, Record, Standing};
use clayplank_types::{DataCentre, UpstreamId};
use rstest::rstest;
use tokio::time::Instant;

#[rstest]
#[case::byte_by_byte(1)]
#[case::in_odd_pieces(7)]
#[case::at_once(1_000)]
fn events_are_whole_however_they_come(#[case] piece: usize) {
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
fn retries_are_shared_and_come_back_with_the_window() {
    let limits = BudgetLimits { ratio: 0.2, extra: 20.0, window_ms: 1_000 };
    let mut budget = RetryBudget::new(limits);
    budget.set_hosts(4);
    for now_ms in 0..50 {
        budget.note_first_try(now_ms, "app");
    }
    let taken = (0..100).filter(|_| budget.take_retry(50, "app")).count();
    assert_eq!(taken, 12, "four fifths of a quarter of 20, and of a fifth of 50");
    assert!(!budget.take_retry(60, "app"));
    assert!(budget.take_retry(1_200, "app"), "the window has passed");
}

fn record(name: &str, data_centre: &str, standing: Standing, sequence: u64) -> Record {
    let heartbeat = Heartbeat {
        sequence,
        service: "app".to_owned(),
        data_centre: DataCentre::new(data_centre),
        slots: 2,
        standing,
        ..Heartbeat::default()
    };
    Record { heartbeat: heartbeat.named(name), is_silent: false }
}

#[tokio::test(start_paused = true)]
async fn a_service_is_chosen_near_and_where_few_requests_are() {
    let directory = Directory::default();
    directory.apply(vec![
        record("near", "a", Standing::Ready, 1),
        record("far", "b", Standing::Ready, 1),
    ]);
    let own = DataCentre::new("a");
    let mut chosen = Vec::new();
    for _ in 0..6 {
        chosen.push(directory.choose("app", &own, &[]).unwrap().record().heartbeat.id.to_string());
    }
    assert_eq!(chosen[0], "near");
    assert!(chosen.contains(&"far".to_owned()), "{chosen:?}");
}

#[tokio::test(start_paused = true)]
async fn one_that_failed_is_avoided_for_a_while_only() {
    let directory = Directory::default();
    directory.apply(vec![
        record("near", "a", Standing::Ready, 1),
        record("far", "b", Standing::Ready, 1),
    ]);
    let own = DataCentre::new("a");
    directory.choose("app", &own, &[]).unwrap();
    directory.note_end(&UpstreamId::new("near"), 10, false);
    assert_eq!(directory.choose("app", &own, &[]).unwrap().record().heartbeat.id.as_str(), "far");
    directory.note_end(&UpstreamId::new("far"), 10, true);
    tokio::time::advance(std::time::Duration::from_secs(2)).await;
    assert_eq!(directory.choose("app", &own, &[]).unwrap().record().heartbeat.id.as_str(), "near");
}

#[test]
fn leaving_is_final_and_old_words_are_passed_over() {
    let directory = Directory::default();
    let own = DataCentre::new("a");
    directory.apply(vec![record("u", "a", Standing::Draining, 5)]);
    directory.apply(vec![record("u", "a", Standing::Ready, 4)]);
    assert!(directory.choose("app", &own, &[]).is_none());
    directory.apply(vec![record("u", "a", Standing::Gone, 0)]);
    directory.apply(vec![record("u", "a", Standing::Ready, 9)]);
    assert!(directory.choose("app", &own, &[]).is_none());
}

#[tokio::test(start_paused = true)]
async fn a_service_whose_heartbeats_are_missing_is_asked_last() {
    let directory = Directory::default();
    let own = DataCentre::new("a");
    let silent = Record { is_silent: true, ..record("silent", "a", Standing::Ready, 2) };
    directory.apply(vec![silent, record("heard", "b", Standing::Ready, 1)]);
    let choose = |avoid: &[UpstreamId]| {
        directory.choose("app", &own, avoid).unwrap().record().heartbeat.id.clone()
    };
    for _ in 0..20 {
        assert_eq!(choose(&[]).as_str(), "heard");
    }
    assert_eq!(choose(&[UpstreamId::new("heard")]).as_str(), "silent");
}

#[tokio::test(start_paused = true)]
async fn upstreams_that_left_are_forgotten_in_the_end() {
    let directory = Directory::default();
    directory.apply(vec![record("old", "a", Standing::Gone, 1)]);
    directory.apply(vec![record("old", "a", Standing::Ready, 2)]);
    assert_eq!(
        directory.records()[0].heartbeat.standing,
        Standing::Gone,
        "late news changes nothing"
    );
    tokio::time::advance(Duration::from_secs(180)).await;
    directory.apply(vec![record("new", "a", Standing::Ready, 1)]);
    let ids: Vec<_> = directory.records().into_iter().map(|one| one.heartbeat.id).collect();
    assert_eq!(ids, [UpstreamId::new("new")]);
}

#[tokio::test(start_paused = true)]
async fn callers_of_a_new_host_wait_for_its_first_plan_and_no_longer() {
    let gate = Arc::new(Gate::new(1_000));
    let patience = Duration::from_millis(800);
    let started = Instant::now();
    gate.wait_for_first_plan(patience).await;
    assert_eq!(started.elapsed(), patience, "no plan came");
    let waiting = tokio::spawn({
        let gate = Arc::clone(&gate);
        async move { gate.wait_for_first_plan(patience).await }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    gate.confirm(1);
    waiting.await.unwrap();
    assert_eq!(started.elapsed(), patience + Duration::from_millis(300));
    tokio::time::sleep(Duration::from_secs(10)).await;
    let later = Instant::now();
    gate.wait_for_first_plan(patience).await;
    assert_eq!(later.elapsed(), Duration::ZERO, "a host that has lost its plan refuses at once");
}

/// A record of a life of `u` that began at `born_ms`.
fn life(born_ms: u64, standing: Standing) -> Record {
    let record = record("u", "a", standing, 1);
    Record { heartbeat: Heartbeat { born_ms, ..record.heartbeat }.named("u"), ..record }
}

/// A keeper that has just begun to lead may know the later life alone.
#[test]
fn a_later_life_ends_the_former_ones_also_if_nobody_says_so() {
    let directory = Directory::default();
    let own = DataCentre::new("a");
    directory.apply(vec![life(100, Standing::Ready)]);
    directory.apply(vec![life(200, Standing::Ready)]);
    directory.apply(vec![life(100, Standing::Draining), life(100, Standing::Ready)]);
    let chosen = directory.choose("app", &own, &[]).unwrap().record().heartbeat.clone();
    assert_eq!(chosen.born_ms, 200);
    assert_eq!(directory.find("u"), Some(chosen.id.clone()));
    assert!(directory.choose("app", &own, &[chosen.id]).is_none(), "the former one has ended");
}

#[test]
fn a_life_that_left_leaves_room_for_one_whose_clock_was_set_back() {
    let directory = Directory::default();
    directory.apply(vec![life(200, Standing::Ready)]);
    directory.apply(vec![life(200, Standing::Gone), life(100, Standing::Ready)]);
    let chosen =
        directory.choose("app", &DataCentre::new("a"), &[]).unwrap().record().heartbeat.clone();
    assert_eq!(chosen.born_ms, 100);
}
