//! Tests of the calls by which a host awaits decisions.

use std::sync::atomic::Ordering;

use clayplank_placement::{PlacementOutcome, RunningPlacement};
use clayplank_turns::{AWAIT_HOLD_MS, HostCall};
use clayplank_types::UpstreamId;
use tokio::sync::oneshot::error::TryRecvError;
use tokio::time::Instant;

use crate::common::{
    DEADLINE_MS, HOST, LIMIT_MS, Link, System, TICK, assignment, decided, id, now_ms, request,
    sleep_ms,
};

/// Guards against a request that waits until the call that was made before it has ended.
#[tokio::test(start_paused = true)]
async fn a_held_call_brings_the_decision_on_a_request_that_was_queued_after_it() {
    let system = System::start(2);
    system.start_calls();
    let _first = system.queue(1);
    sleep_ms(50).await;
    let calls = system.keepers.calls();
    let second = system.queue(2);
    let queued = Instant::now();
    system.keepers.end(1_000);
    system.keepers.end(1_001);
    let outcome = decided(second).await;
    assert_eq!(outcome, PlacementOutcome::At(assignment()));
    assert!(queued.elapsed() <= 2 * TICK, "{:?}", queued.elapsed());
    assert_eq!(system.keepers.calls(), calls, "the decision came by the held call");
}

/// Guards against a request that a deputy has queued, and that waits while a call to the leader
/// times out.
#[tokio::test(start_paused = true)]
async fn a_request_that_the_deputy_queued_ends_a_call_to_a_silent_leader() {
    let system = System::start(1);
    system.start_calls();
    let _first = system.queue(1);
    sleep_ms(50).await;
    system.keepers.all[0].link.send_replace(Link::Frozen);
    let calls = system.keepers.calls();
    let _second = system.queue_at(1, 2);
    sleep_ms(1).await;
    assert_eq!(system.keepers.calls(), calls + 1);
}

/// Guards against more than one call at a time, and against calls of hosts with nothing queued.
#[tokio::test(start_paused = true)]
async fn a_host_makes_one_call_at_a_time_and_none_without_queued_requests() {
    let system = System::start(1);
    system.start_calls();
    sleep_ms(1_000).await;
    assert_eq!(system.keepers.calls(), 0, "nothing was queued yet");
    let waiting = system.queue(1);
    let later = system.queue(2);
    sleep_ms(1_000).await;
    let calls = system.keepers.calls();
    assert!(calls <= 1_000 / AWAIT_HOLD_MS as usize + 1, "{calls} calls in a second");
    system.keepers.end(1_000);
    decided(waiting).await;
    sleep_ms(50).await;
    assert_eq!(system.keepers.open_calls.load(Ordering::SeqCst), 1);
    later.abort();
    sleep_ms(10).await;
    assert_eq!(system.keepers.open_calls.load(Ordering::SeqCst), 0);
    let calls = system.keepers.calls();
    sleep_ms(1_000).await;
    assert_eq!(system.keepers.calls(), calls, "nothing is queued any more");
    assert_eq!(system.keepers.max_open_calls.load(Ordering::SeqCst), 1);
}

/// Guards against a queue that starts anew at the next keeper, as if nobody had waited yet.
#[tokio::test(start_paused = true)]
async fn listed_requests_name_the_times_that_have_passed() {
    const WAITED_MS: u64 = 400;
    let system = System::start(1);
    system.start_calls();
    let _waiting = system.queue(1);
    sleep_ms(WAITED_MS + 5).await;
    let sent = {
        let mut queue = system.keepers.all[0].queue.lock().unwrap();
        queue.apply_event(now_ms(), id(1_000), clayplank_placement::Event::Ended);
        queue.advance(now_ms())
    };
    let sent = &sent[0].request;
    let waited_ms = sent.waited_ms;
    assert!((waited_ms - WAITED_MS as f64).abs() <= 1.0, "listed after {waited_ms} ms");
    assert_eq!(sent.goal_ms, clayplank_placement::MIN_GOAL_MS, "a goal of 300 ms has passed");
    assert!((sent.limit_ms - (LIMIT_MS - waited_ms)).abs() < 1e-6);
    let deadline_ms = sent.queue_terms.as_ref().unwrap().deadline_ms;
    assert!((deadline_ms - (DEADLINE_MS - waited_ms)).abs() < 1e-6);
}

/// Guards against requests that wait beside an idle engine, since their host could not use it when they
/// were queued.
#[tokio::test(start_paused = true)]
async fn listed_requests_no_longer_avoid_engines_that_their_host_may_use_again() {
    const AVOIDED_MS: f64 = 300.0;
    let (failed, refusing) = (UpstreamId::new("failed"), UpstreamId::new("refusing"));
    let mut request = request(1);
    request.avoid = vec![failed.clone()];
    request.avoid_for(refusing, AVOIDED_MS);
    let system = System::start(1);
    system.start_calls();
    let _waiting = system.queue_request_at(0, request);
    sleep_ms(2 * AVOIDED_MS as u64).await;
    let sent = {
        let mut queue = system.keepers.all[0].queue.lock().unwrap();
        queue.apply_event(now_ms(), id(1_000), clayplank_placement::Event::Ended);
        queue.advance(now_ms())
    };
    assert_eq!(sent[0].request.avoid, [failed]);
}

fn call(system: &System, listed: &[u64]) -> HostCall {
    let queued: Vec<_> = listed.iter().map(|number| request(*number)).collect();
    let mut queue = system.keepers.all[0].queue.lock().unwrap();
    queue.start_call(now_ms(), HOST, &queued, |_| None)
}

/// Guards against decisions that an abandoned call takes away from the call that follows it.
#[tokio::test(start_paused = true)]
async fn a_newer_call_replaces_the_one_before() {
    let system = System::start(1);
    let mut first = call(&system, &[1]);
    let mut second = call(&system, &[1]);
    system.keepers.end(1_000);
    sleep_ms(50).await;
    assert_eq!(first.decisions.try_recv(), Err(TryRecvError::Closed));
    let answer = second.decisions.try_recv().unwrap();
    assert_eq!(answer, [(id(1), PlacementOutcome::At(assignment()))]);
    // The reply was lost: the host lists the request again.
    let again = call(&system, &[1]).decisions.try_recv().unwrap();
    assert_eq!(again, answer);
    // The reply has arrived: nothing is left to answer.
    let next = call(&system, &[2]).decisions.try_recv();
    assert_eq!(next, Err(TryRecvError::Empty));
}

/// Guards against hosts that wait for a keeper which no longer places.
#[tokio::test(start_paused = true)]
async fn a_keeper_that_stops_placing_ends_its_calls() {
    let system = System::start(1);
    let mut held = call(&system, &[1]);
    system.keepers.all[0].queue.lock().unwrap().forget();
    assert_eq!(held.decisions.try_recv(), Err(TryRecvError::Closed));
    assert!(!system.keepers.all[0].queue.lock().unwrap().has_waiting());
}

/// Guards against a second placement of a request that the former leader placed, whose reply was
/// lost with it.
#[tokio::test(start_paused = true)]
async fn a_placement_of_another_keeper_answers_the_queued_request() {
    let system = System::start(1);
    let mut held = call(&system, &[1]);
    let placed = RunningPlacement { ask: request(1), assignment: assignment(), is_started: false };
    system.keepers.all[0].queue.lock().unwrap().take_over(now_ms(), &[placed]);
    let answer = held.decisions.try_recv().unwrap();
    assert_eq!(answer, [(id(1), PlacementOutcome::At(assignment()))]);
    assert!(!system.keepers.all[0].queue.lock().unwrap().has_waiting());
}
