//! Turns, leases and appointments, on one engine with few slots.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_admission::{Admission, DecisionKind};
use clayplank_placement::{
    EngineModel, EngineSpec, Event, Fleet, PlacementId, PlacementOutcome, PlacementRequest,
    QueueTerms, RunningPlacement,
};
use clayplank_types::{DataCentre, Fingerprint, UpstreamId};

const SLOTS: u64 = 2;
const GOAL_MS: f64 = 300.0;
const LIMIT_MS: f64 = 2_000.0;
const DEADLINE_MS: f64 = 10_000.0;

/// Host of the requests that occupy all slots, and of those that wait.
const RUNNING: u64 = 1;
const WAITING: u64 = 2;

fn id(host: u64, number: u64) -> PlacementId {
    PlacementId { host, number }
}

/// A short prompt of a new caller.
fn short(id: PlacementId) -> PlacementRequest {
    let mut request = PlacementRequest::new(id, "main", 5_000, GOAL_MS);
    request.output_tokens = 1_750;
    request.limit_ms = LIMIT_MS;
    request.data_centre = DataCentre::new("a");
    request.route = "short".to_owned();
    request.route_limit_ms = DEADLINE_MS;
    request.sent_limit_ms = DEADLINE_MS;
    request.queue_terms = Some(QueueTerms {
        fingerprint: Fingerprint::new(u128::from(id.host * 1_000 + id.number)),
        account: "account".to_owned(),
        rank: 0,
        deadline_ms: DEADLINE_MS,
    });
    request
}

/// The short prompt of a caller that returns after its first try, which had another id.
fn returning(first: PlacementId, id: PlacementId, since_ms: f64) -> PlacementRequest {
    let mut request = short(first);
    request.id = id;
    request.sent_limit_ms = DEADLINE_MS - since_ms;
    request.queue_terms.as_mut().unwrap().deadline_ms = DEADLINE_MS - since_ms;
    request
}

/// The same request after it has waited in a queue.
fn waited(request: &PlacementRequest, waited_ms: f64) -> PlacementRequest {
    let mut request = request.clone();
    request.waited_ms += waited_ms;
    request.goal_ms = (request.goal_ms - waited_ms).max(1.0);
    request.limit_ms -= waited_ms;
    request.queue_terms.as_mut().unwrap().deadline_ms -= waited_ms;
    request
}

/// A keeper with idle engines.
fn empty(engines: usize, slots: u64) -> Admission {
    let mut admission = Admission::default();
    let model = EngineModel { slots: slots as u32, ..EngineModel::default() };
    let spec = EngineSpec { pool: "main".to_owned(), data_centre: DataCentre::new("a"), model };
    for number in 0..engines {
        let id = UpstreamId::new(format!("engine-{number}"));
        admission.fleet_mut().set_engine(id, spec.clone(), true);
    }
    admission
}

/// A keeper whose slots are all occupied.
fn full() -> Admission {
    let mut admission = empty(1, SLOTS);
    for number in 0..SLOTS {
        let outcome = admission.place(0.0, &short(id(RUNNING, number)));
        assert!(matches!(outcome, PlacementOutcome::At(_)));
    }
    admission
}

fn queue(admission: &mut Admission, now_ms: f64, request: &PlacementRequest) {
    let outcome = admission.place(now_ms, request);
    assert!(matches!(outcome, PlacementOutcome::Queued { .. }), "{outcome:?}");
}

fn free_one(admission: &mut Admission, now_ms: f64, number: u64) {
    admission.apply_event(now_ms, id(RUNNING, number), Event::Ended);
    admission.advance(now_ms);
}

fn is_placed(admission: &mut Admission, of: PlacementId) -> bool {
    let decisions = admission.take_decisions(of.host, &[of]);
    matches!(decisions.as_slice(), [(_, PlacementOutcome::At(_))])
}

/// Advances to a time by ticks, with the lists of the waiting host.
fn run(admission: &mut Admission, from_ms: f64, until_ms: f64, queued: &[PlacementRequest]) {
    let mut now_ms = from_ms;
    while now_ms < until_ms {
        now_ms += 20.0;
        let queued: Vec<_> = queued.iter().map(|one| waited(one, now_ms - from_ms)).collect();
        admission.renew(now_ms, WAITING, &queued);
        admission.advance(now_ms);
    }
}

/// Guards against requests that wait beside idle engines: their hosts could not use these for a short
/// time when they were queued.
#[test]
fn a_queued_request_is_placed_on_an_engine_that_its_host_avoids_no_longer() {
    let mut admission = empty(1, SLOTS);
    let mut request = short(id(WAITING, 1));
    request.avoid = vec![UpstreamId::new("engine-0")];
    queue(&mut admission, 0.0, &request);
    admission.renew(50.0, WAITING, &[waited(&request, 50.0)]);
    admission.advance(50.0);
    assert!(!is_placed(&mut admission, request.id));
    request.avoid.clear();
    admission.renew(150.0, WAITING, &[waited(&request, 150.0)]);
    admission.advance(150.0);
    assert!(is_placed(&mut admission, request.id));
}

/// Guards against requests that wait beside an idle engine for others of the same length, which must not
/// use that engine.
#[test]
fn a_request_that_avoids_the_idle_engines_does_not_hold_up_others() {
    let mut admission = empty(1, SLOTS);
    let mut avoiding = short(id(WAITING, 1));
    avoiding.avoid = vec![UpstreamId::new("engine-0")];
    queue(&mut admission, 0.0, &avoiding);
    let other = short(id(WAITING, 2));
    let outcome = admission.place(10.0, &other);
    admission.advance(20.0);
    let is_placed_at_once = matches!(outcome, PlacementOutcome::At(_));
    assert!(is_placed_at_once || is_placed(&mut admission, other.id), "{outcome:?}");
}

/// A host asks again when a reply was lost; a second placement would occupy a second slot.
#[test]
fn a_placement_is_answered_again_when_the_reply_was_lost() {
    let mut admission = full();
    let request = short(id(WAITING, 1));
    queue(&mut admission, 10.0, &request);
    free_one(&mut admission, 50.0, 0);
    let first = admission.take_decisions(WAITING, &[request.id]);
    admission.renew(450.0, WAITING, &[waited(&request, 440.0)]);
    admission.advance(450.0);
    let second = admission.take_decisions(WAITING, &[request.id]);
    assert!(is_placed(&mut admission, request.id));
    assert_eq!(first, second);
    assert_eq!(admission.fleet().placed_count(), SLOTS as usize);
}

/// The lost reply of `place` itself must not queue a request twice either.
#[test]
fn a_request_that_is_asked_for_twice_is_queued_once() {
    let mut admission = full();
    let request = short(id(WAITING, 1));
    queue(&mut admission, 10.0, &request);
    queue(&mut admission, 60.0, &waited(&request, 50.0));
    assert_eq!((admission.stats().queued, admission.stats().queued_total), (1, 1));
}

/// A host that froze never fetches its placement; the slot must not stay occupied.
#[test]
fn a_placement_that_is_not_fetched_is_freed_by_its_lease() {
    let mut admission = full();
    queue(&mut admission, 10.0, &short(id(WAITING, 1)));
    free_one(&mut admission, 50.0, 0);
    assert_eq!(admission.fleet().free_slots("main"), 0);
    admission.advance(1_100.0);
    assert_eq!(admission.fleet().free_slots("main"), 1);
    assert!(!is_placed(&mut admission, id(WAITING, 1)));
}

/// The turns of a frozen host must not keep others waiting.
#[test]
fn turns_of_a_host_that_does_not_renew_them_are_dropped() {
    let mut admission = full();
    queue(&mut admission, 10.0, &short(id(WAITING, 1)));
    queue(&mut admission, 20.0, &short(id(WAITING + 1, 1)));
    admission.renew(900.0, WAITING + 1, &[waited(&short(id(WAITING + 1, 1)), 880.0)]);
    free_one(&mut admission, 1_050.0, 0);
    assert!(is_placed(&mut admission, id(WAITING + 1, 1)));
    assert_eq!((admission.stats().queued, admission.stats().abandoned_total), (0, 1));
}

#[test]
fn a_caller_that_leaves_frees_its_turn_at_once() {
    let mut admission = full();
    queue(&mut admission, 10.0, &short(id(WAITING, 1)));
    queue(&mut admission, 20.0, &short(id(WAITING, 2)));
    admission.apply_event(30.0, id(WAITING, 1), Event::Ended);
    // A list that its host sent before.
    admission.renew(40.0, WAITING, &[short(id(WAITING, 1)), short(id(WAITING, 2))]);
    assert_eq!(admission.stats().queued, 1);
    free_one(&mut admission, 50.0, 0);
    assert!(is_placed(&mut admission, id(WAITING, 2)));
}

/// If the keeper has placed a request when its caller leaves, the same event frees the slot.
#[test]
fn a_caller_that_leaves_frees_a_slot_that_it_was_granted() {
    let mut admission = full();
    queue(&mut admission, 10.0, &short(id(WAITING, 1)));
    free_one(&mut admission, 50.0, 0);
    admission.apply_event(60.0, id(WAITING, 1), Event::Ended);
    assert_eq!(admission.fleet().free_slots("main"), 1);
    assert!(!is_placed(&mut admission, id(WAITING, 1)));
}

/// A new keeper only knows the hosts' lists; requests must not lose the time that they waited.
#[test]
fn a_new_keeper_serves_queued_requests_in_the_same_order() {
    let requests: Vec<_> = (1..=3).map(|number| short(id(WAITING, number))).collect();
    let asked_ms = [10.0, 30.0, 20.0];
    let list = |now_ms: f64| {
        let with_times = requests.iter().zip(asked_ms).rev();
        with_times.map(|(one, asked_ms)| waited(one, now_ms - asked_ms)).collect::<Vec<_>>()
    };
    let mut admission = full();
    admission.renew(700.0, WAITING, &list(700.0));
    free_one(&mut admission, 710.0, 0);
    assert!(is_placed(&mut admission, id(WAITING, 1)));
    free_one(&mut admission, 710.0, 1);
    assert!(is_placed(&mut admission, id(WAITING, 3)));
    assert_eq!(admission.stats().queued, 1);
}

/// Keepers may know different engines. A request that the one before queued, and that several engines
/// prefill here, was neither queued nor decided until its limit.
#[test]
fn a_new_keeper_decides_a_queued_request_that_it_does_not_queue() {
    let mut admission = empty(8, SLOTS);
    let mut request = short(id(WAITING, 1));
    request.prompt_tokens = 220_000;
    request.goal_ms = 4_000.0;
    request.limit_ms = 8_000.0;
    admission.renew(10.0, WAITING, std::slice::from_ref(&request));
    assert_eq!(admission.stats().queued, 0);
    assert!(is_placed(&mut admission, request.id));
}

/// The deputy knows placements of the lost leader of which the hosts never learned. If it placed
/// their requests anew, each would occupy two slots.
#[test]
fn a_new_keeper_frees_a_placement_that_its_host_still_waits_for() {
    let mut admission = full();
    let request = short(id(WAITING, 1));
    queue(&mut admission, 10.0, &request);
    free_one(&mut admission, 50.0, 0);
    let decisions = admission.take_decisions(WAITING, &[request.id]);
    let [(_, PlacementOutcome::At(assignment))] = decisions.as_slice() else {
        panic!("{decisions:?}");
    };
    let granted = RunningPlacement {
        ask: request.clone(),
        assignment: assignment.clone(),
        is_started: false,
    };
    let mut deputy = empty(2, 1);
    deputy.fleet_mut().take_over(60.0, &[granted]);
    deputy.renew(70.0, WAITING, &[waited(&request, 60.0)]);
    let first = deputy.take_decisions(WAITING, &[request.id]);
    let second = deputy.place(80.0, &short(id(WAITING, 2)));
    match (first.as_slice(), second) {
        ([(_, PlacementOutcome::At(first))], PlacementOutcome::At(second)) => {
            assert_ne!(first.engine, second.engine);
        }
        other => panic!("{other:?}"),
    }
}

/// A prompt that can be in time must not wait behind one that is late anyway.
#[test]
fn a_prompt_in_time_goes_before_a_late_one() {
    let mut admission = full();
    let late = short(id(WAITING, 1));
    queue(&mut admission, 0.0, &late);
    run(&mut admission, 0.0, 500.0, std::slice::from_ref(&late));
    queue(&mut admission, 510.0, &short(id(WAITING, 2)));
    free_one(&mut admission, 520.0, 0);
    assert!(is_placed(&mut admission, id(WAITING, 2)));
    assert!(!is_placed(&mut admission, late.id));
}

/// A late caller that comes now must not overtake a late one whose limit is nearer.
#[test]
fn a_late_prompt_does_not_overtake_one_with_an_earlier_limit() {
    let mut admission = full();
    let late = short(id(WAITING, 1));
    queue(&mut admission, 0.0, &late);
    run(&mut admission, 0.0, 500.0, std::slice::from_ref(&late));
    admission.apply_event(500.0, id(RUNNING, 0), Event::Ended);
    queue(&mut admission, 500.0, &returning(id(WAITING, 8), id(WAITING, 9), 3_000.0));
    admission.advance(500.0);
    assert!(is_placed(&mut admission, late.id));
    assert!(!is_placed(&mut admission, id(WAITING, 9)));
}

/// Nobody is held until its limit and refused after it.
#[test]
fn a_prompt_that_finds_no_slot_is_refused_before_its_limit() {
    let mut admission = full();
    let request = short(id(WAITING, 1));
    queue(&mut admission, 0.0, &request);
    let (now_ms, outcome) = decided(&mut admission, &request);
    assert!((LIMIT_MS - 500.0..=LIMIT_MS - 100.0).contains(&now_ms), "{now_ms}");
    let PlacementOutcome::Full { retry_after_ms } = outcome else { panic!("{outcome:?}") };
    let reach_ms = (DEADLINE_MS - now_ms) / 3.0;
    assert!((100.0..=reach_ms).contains(&(retry_after_ms as f64)), "{retry_after_ms}");
}

/// Time for which a request is expected to occupy its slot, in ms.
fn slot_ms(admission: &Admission, request: &PlacementRequest) -> f64 {
    admission.fleet().demand(request).slot_ms
}

/// Streams were started that their callers left at their deadlines, before the end of the answer.
#[test]
fn a_request_whose_answer_ends_after_the_deadline_is_refused_at_once() {
    let mut admission = full();
    let mut request = short(id(WAITING, 1));
    request.output_tokens = 10_000;
    // Its caller could return after its limit, and would be queued but for the length of its answer.
    let deadline_ms = 1.1 * slot_ms(&admission, &request);
    request.limit_ms = 0.3 * deadline_ms;
    request.queue_terms.as_mut().unwrap().deadline_ms = deadline_ms;
    let outcome = admission.place(10.0, &request);
    assert!(matches!(outcome, PlacementOutcome::Full { .. }), "{outcome:?}");
    assert_eq!(admission.stats().queued_total, 0);
}

/// Callers that returned at a third of the time that they had left could not receive their answers.
#[test]
fn an_appointment_leaves_time_for_the_answer() {
    let mut admission = full();
    let mut request = short(id(WAITING, 1));
    let needed_ms = slot_ms(&admission, &request);
    // A third of this time is more than what the answer leaves, with the factor on its time.
    let deadline_ms = 1.4 * needed_ms;
    request.limit_ms = 100.0;
    request.queue_terms.as_mut().unwrap().deadline_ms = deadline_ms;
    match admission.place(10.0, &request) {
        PlacementOutcome::Full { retry_after_ms } => {
            let left_ms = deadline_ms - retry_after_ms as f64;
            assert!(left_ms >= needed_ms, "{left_ms} ms are left for {needed_ms} ms");
            assert!(retry_after_ms as f64 <= deadline_ms / 3.0);
        }
        other => panic!("{other:?}"),
    }
}

/// An expected slot that did not come must not hold a caller whose limit is near its deadline until
/// it has no time left to return.
#[test]
fn a_late_request_with_a_long_limit_is_refused_while_it_can_return() {
    let mut admission = full();
    let mut request = short(id(WAITING, 1));
    request.limit_ms = 9_000.0;
    // The streams of all slots are overdue by then.
    let asked_ms = 10_000.0;
    queue(&mut admission, asked_ms, &request);
    let mut held_ms = 0.0;
    while admission.stats().queued > 0 {
        assert!(held_ms < 4_000.0, "held for {held_ms} ms");
        let now_ms = asked_ms + held_ms;
        run(&mut admission, now_ms, now_ms + 20.0, &[waited(&request, held_ms)]);
        held_ms += 20.0;
    }
    assert_eq!((admission.stats().refused_total, admission.stats().open_appointments), (1, 1));
}

/// Waits until a request that was queued at 0 is decided; returns the time and the outcome.
fn decided(admission: &mut Admission, request: &PlacementRequest) -> (f64, PlacementOutcome) {
    let mut now_ms = 0.0;
    while now_ms < LIMIT_MS {
        run(admission, now_ms, now_ms + 20.0, &[waited(request, now_ms)]);
        now_ms += 20.0;
        if let [(_, outcome)] = admission.take_decisions(WAITING, &[request.id]).as_slice() {
            return (now_ms, outcome.clone());
        }
    }
    panic!("not decided");
}

/// Queues a request until it is refused; returns the time of its appointment.
fn refused_at(admission: &mut Admission, request: &PlacementRequest) -> f64 {
    queue(admission, 0.0, request);
    match decided(admission, request) {
        (now_ms, PlacementOutcome::Full { retry_after_ms }) => now_ms + retry_after_ms as f64,
        other => panic!("{other:?}"),
    }
}

#[test]
fn an_appointment_is_kept_when_its_caller_returns() {
    let mut admission = full();
    let first = id(WAITING, 1);
    let due_ms = refused_at(&mut admission, &short(first));
    assert_eq!(admission.stats().open_appointments, 1);
    free_one(&mut admission, due_ms - 50.0, 0);
    let outcome = admission.place(due_ms, &returning(first, id(WAITING, 2), due_ms));
    assert!(matches!(outcome, PlacementOutcome::At(_)), "{outcome:?}");
    let stats = admission.stats();
    assert_eq!((stats.promised_total, stats.kept_total, stats.open_appointments), (1, 1, 0));
}

#[test]
fn an_appointment_lapses_when_its_caller_does_not_return() {
    let mut admission = full();
    let due_ms = refused_at(&mut admission, &short(id(WAITING, 1)));
    admission.advance(due_ms + 990.0);
    assert_eq!(admission.stats().open_appointments, 1);
    admission.advance(due_ms + 1_020.0);
    let stats = admission.stats();
    assert_eq!((stats.open_appointments, stats.lapsed_total), (0, 1));
}

#[test]
fn an_appointment_is_broken_when_its_caller_is_refused_again() {
    let mut admission = full();
    let first = id(WAITING, 1);
    let due_ms = refused_at(&mut admission, &short(first));
    let again = returning(first, id(WAITING, 2), due_ms);
    queue(&mut admission, due_ms, &again);
    run(&mut admission, due_ms, due_ms + LIMIT_MS, std::slice::from_ref(&again));
    let stats = admission.stats();
    assert_eq!((stats.broken_total, stats.refused_again_total, stats.queued), (1, 1, 0));
    let kinds: Vec<_> = admission.take_log().into_iter().map(|one| one.kind).collect();
    assert!(matches!(kinds.last(), Some(DecisionKind::RefusedAgain { .. })), "{kinds:?}");
}

/// An identical request of the same account is no returning caller before the appointment.
#[test]
fn an_identical_request_does_not_use_up_an_appointment() {
    let mut admission = full();
    let first = id(WAITING, 1);
    let due_ms = refused_at(&mut admission, &short(first));
    admission.place(due_ms - 500.0, &returning(first, id(WAITING, 2), 0.0));
    assert_eq!(admission.stats().open_appointments, 1);
}

/// Callers that were refused together came back together, and were refused again.
#[test]
fn appointments_of_callers_that_are_refused_together_are_spread() {
    let mut admission = full();
    let requests: Vec<_> = (0..10).map(|number| short(id(WAITING, number))).collect();
    requests.iter().for_each(|request| queue(&mut admission, 0.0, request));
    run(&mut admission, 0.0, LIMIT_MS, &requests);
    let ids: Vec<_> = requests.iter().map(|one| one.id).collect();
    let mut due: Vec<_> =
        admission.take_decisions(WAITING, &ids).into_iter().map(|(_, one)| one).collect();
    due.sort_by_key(|outcome| match outcome {
        PlacementOutcome::Full { retry_after_ms } => *retry_after_ms,
        other => panic!("{other:?}"),
    });
    due.dedup();
    assert!(due.len() >= 6, "{due:?}");
}

/// The keeper's memory and the time of an update must stay bounded.
#[test]
fn a_request_beyond_the_bound_of_the_queue_is_refused_with_an_appointment() {
    const MAX_QUEUED: u64 = 4_096;
    let mut admission = full();
    for number in 0..MAX_QUEUED {
        queue(&mut admission, 10.0, &short(id(WAITING, number)));
    }
    let outcome = admission.place(10.0, &short(id(WAITING, MAX_QUEUED)));
    assert!(matches!(outcome, PlacementOutcome::Full { retry_after_ms: 100.. }), "{outcome:?}");
    admission.renew(20.0, WAITING + 1, &[short(id(WAITING + 1, 0))]);
    let decisions = admission.take_decisions(WAITING + 1, &[id(WAITING + 1, 0)]);
    let is_refused = matches!(decisions.as_slice(), [(_, PlacementOutcome::Full { .. })]);
    assert!(is_refused, "{decisions:?}");
    assert_eq!(admission.stats().open_appointments, 2);
}

/// With the queue off, every decision is as before.
#[test]
fn requests_without_queue_terms_are_decided_as_by_the_fleet() {
    let mut admission = empty(1, SLOTS);
    let mut fleet: Fleet = admission.fleet().clone();
    for number in 0..20 {
        let now_ms = number as f64 * 90.0;
        let mut request = short(id(WAITING, number));
        request.queue_terms = None;
        assert_eq!(admission.place(now_ms, &request), fleet.place(now_ms, &request));
        if number % 3 == 0 {
            let ended = id(WAITING, number / 2);
            admission.apply_event(now_ms, ended, Event::Ended);
            fleet.apply_event(now_ms, ended, Event::Ended);
            admission.advance(now_ms);
        }
    }
}

/// A stream that has begun is resumed at once: its caller sees the pause.
#[test]
fn a_stream_that_has_begun_is_never_queued() {
    let mut admission = full();
    let mut request = short(id(WAITING, 1));
    request.has_begun = true;
    let outcome = admission.place(10.0, &request);
    assert!(!matches!(outcome, PlacementOutcome::Queued { .. }), "{outcome:?}");
}

#[test]
fn a_keeper_that_no_longer_places_forgets_everything() {
    let mut admission = full();
    refused_at(&mut admission, &short(id(WAITING, 1)));
    queue(&mut admission, LIMIT_MS, &short(id(WAITING, 2)));
    admission.forget();
    let stats = admission.stats();
    assert_eq!((stats.queued, stats.open_appointments), (0, 0));
    assert_eq!(admission.fleet().placed_count(), 0);
}
