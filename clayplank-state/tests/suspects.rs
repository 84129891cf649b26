//! Requests under which upstreams ended: who is held back, for how long, and who is not.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_state::{Body, Command, Machine, Reply, Trial, Verdicts};
use clayplank_types::{HostMoment, RequestFingerprint, SeenOutcome, Sighting, UpstreamId};
use proptest::prelude::*;

const SECOND_MS: u64 = 1_000;
const CRASHING: u128 = 1;

fn ended(request: u128, caller: &str, upstream: &str) -> Sighting {
    Sighting {
        fingerprint: RequestFingerprint::new(request),
        caller: caller.to_owned(),
        outcome: SeenOutcome::Ended(UpstreamId::new(upstream)),
        ago_ms: 0,
        seen: None,
    }
}

/// One host sees three ends, 70 ms apart; the word of each is on its way for another time, so that the keepers
/// learn of them at nearly the same moment.
#[test]
fn ends_that_one_host_saw_apart_count_however_long_the_word_is_on_its_way() {
    let mut machine = Machine::default();
    let mut held_back = 0;
    for (number, told_ms) in [(0, 1_090), (1, 1_095), (2, 1_145)] {
        let seen = Some(HostMoment { life: 7, at_ms: 500 + 70 * number });
        let sighting = Sighting { seen, ..ended(CRASHING, "clubs", &format!("u{number}")) };
        held_back += note(&mut machine, told_ms, &[sighting]).held_back.len();
    }
    assert_eq!(held_back, 1);
}

fn survived(request: u128) -> Sighting {
    Sighting { outcome: SeenOutcome::Survived, ..ended(request, "clubs", "") }
}

fn apply(machine: &mut Machine, at_ms: u64, body: Body) -> Reply {
    machine.apply(&Command { at_ms, body })
}

fn note(machine: &mut Machine, at_ms: u64, sightings: &[Sighting]) -> Verdicts {
    match apply(machine, at_ms, Body::NoteSightings(sightings.to_vec())) {
        Reply::Noted(verdicts) => verdicts,
        reply => panic!("{reply:?}"),
    }
}

fn claim(machine: &mut Machine, at_ms: u64, request: u128) -> Trial {
    match apply(machine, at_ms, Body::ClaimTrial(RequestFingerprint::new(request))) {
        Reply::Trial(trial) => trial,
        reply => panic!("{reply:?}"),
    }
}

fn held(machine: &Machine) -> Vec<RequestFingerprint> {
    machine.held_back().iter().map(|one| one.fingerprint).collect()
}

/// Three upstreams end under one request, a second apart.
fn with_one_held() -> Machine {
    let mut machine = Machine::default();
    for number in 1..=3 {
        note(&mut machine, number * SECOND_MS, &[ended(CRASHING, "clubs", &format!("u{number}"))]);
    }
    machine
}

#[test]
fn a_request_is_held_back_once_three_upstreams_ended_under_it() {
    let mut machine = Machine::default();
    assert!(note(&mut machine, 1_000, &[ended(CRASHING, "clubs", "u1")]).is_empty());
    assert!(note(&mut machine, 2_000, &[ended(CRASHING, "clubs", "u2")]).is_empty());
    assert!(note(&mut machine, 2_100, &[ended(CRASHING, "clubs", "u2")]).is_empty(), "told again");
    let verdicts = note(&mut machine, 3_000, &[ended(CRASHING, "clubs", "u3")]);
    let [one] = verdicts.held_back.as_slice() else { panic!("{verdicts:?}") };
    assert_eq!(one.fingerprint, RequestFingerprint::new(CRASHING));
    assert_eq!(one.ended, ["u1", "u2", "u3"].map(UpstreamId::new));
}

#[test]
fn hosts_learn_what_is_held_back_also_from_a_snapshot() {
    let machine = with_one_held();
    let delta = machine.delta_after(0);
    assert_eq!(delta.held_back.unwrap().len(), 1);
    assert_eq!(machine.delta_after(delta.revision).held_back, None, "it has not changed");
    let restored = Machine::from_snapshot(&machine.to_snapshot().unwrap()).unwrap();
    assert_eq!(restored.delta_after(0), machine.delta_after(0));
}

#[test]
fn what_an_upstream_answers_has_not_ended_the_others() {
    let mut machine = Machine::default();
    for number in 1..30 {
        note(&mut machine, number * SECOND_MS, &[ended(7, "clubs", &format!("u{number}"))]);
        note(&mut machine, number * SECOND_MS + 200, &[survived(7)]);
    }
    assert_eq!(held(&machine), []);
}

#[test]
fn upstreams_that_are_killed_at_once_count_as_one() {
    let mut machine = Machine::default();
    let all: Vec<_> = (0..6).map(|number| ended(7, "clubs", &format!("u{number}"))).collect();
    assert!(note(&mut machine, 1_000, &all).is_empty());
    // Another host tells a little later of the same moment.
    let late = Sighting { ago_ms: 15, ..ended(7, "clubs", "u9") };
    assert!(note(&mut machine, 1_020, &[late]).is_empty());
}

#[test]
fn those_that_ran_beside_it_are_cleared_by_the_verdict() {
    let mut machine = Machine::default();
    for number in 1..=3 {
        let upstream = format!("u{number}");
        // One was there by chance at two of the ends, the other at all but the first.
        let beside: &[Sighting] = if number == 1 { &[] } else { &[ended(8, "halls", &upstream)] };
        note(&mut machine, number * SECOND_MS, &[ended(CRASHING, "clubs", &upstream)]);
        note(&mut machine, number * SECOND_MS + 10, beside);
    }
    assert_eq!(held(&machine), [RequestFingerprint::new(CRASHING)]);
    // A third end, for another reason: it counts as the first.
    assert!(note(&mut machine, 9_000, &[ended(8, "halls", "v1")]).is_empty());
    assert!(note(&mut machine, 9_500, &[ended(8, "halls", "v2")]).is_empty());
}

#[test]
fn a_request_that_was_held_back_by_mistake_is_cleared_by_its_first_answer() {
    let mut machine = with_one_held();
    assert!(
        note(&mut machine, 4_000, &[Sighting { ago_ms: 3_500, ..survived(CRASHING) }]).is_empty()
    );
    let verdicts = note(&mut machine, 4_000, &[survived(CRASHING)]);
    assert_eq!(verdicts.lifted, [RequestFingerprint::new(CRASHING)]);
    assert_eq!(machine.delta_after(0).held_back, Some(Vec::new()));
}

/// An hour of claims, ten a second: three trials, no more.
#[test]
fn one_host_at_a_time_tries_and_seldom() {
    let mut machine = with_one_held();
    assert_eq!(claim(&mut machine, 4_000, CRASHING), Trial::TooEarly { next_in_ms: 59_000 });
    let mut granted = Vec::new();
    for tenth in 0..36_000 {
        let at_ms = 4_000 + tenth * 100;
        if claim(&mut machine, at_ms, CRASHING) == Trial::Granted {
            granted.push(at_ms / SECOND_MS);
            note(&mut machine, at_ms + 50, &[ended(CRASHING, "clubs", &format!("t{tenth}"))]);
        }
    }
    assert_eq!(granted, [63, 663]);
    assert_eq!(claim(&mut machine, 4_000, 99), Trial::NotNeeded, "another request");
}

#[test]
fn an_operator_lifts_it_and_it_is_found_out_anew() {
    let mut machine = with_one_held();
    let lift = Body::Lift(RequestFingerprint::new(CRASHING));
    assert_eq!(apply(&mut machine, 4_000, lift.clone()), Reply::Lifted { was_held_back: true });
    assert_eq!(apply(&mut machine, 4_100, lift), Reply::Lifted { was_held_back: false });
    assert_eq!(held(&machine), []);
    for number in 4..=6 {
        note(&mut machine, number * SECOND_MS, &[ended(CRASHING, "clubs", &format!("u{number}"))]);
    }
    assert_eq!(held(&machine).len(), 1);
}

#[test]
fn one_caller_does_not_fill_what_protects_all() {
    let mut machine = with_one_held();
    for request in 0..500 {
        for number in 0..3 {
            let upstream = format!("f{request}-{number}");
            let at_ms = (10 + request * 3 + number) * SECOND_MS;
            note(&mut machine, at_ms, &[ended(1_000 + u128::from(request), "flood", &upstream)]);
        }
    }
    let held = machine.held_back();
    assert_eq!(held.iter().filter(|one| one.caller == "flood").count(), 64);
    assert!(held.iter().any(|one| one.caller == "clubs"), "another caller's is still held back");
    let bytes = machine.to_snapshot().unwrap().len();
    assert!(bytes < 64 << 10, "{bytes} bytes of snapshot");
}

#[test]
fn suspects_are_bounded_and_forgotten() {
    let mut machine = Machine::default();
    for request in 0..20_000_u32 {
        let caller = format!("c{}", request % 40);
        let one = ended(u128::from(request), &caller, &format!("u{request}"));
        note(&mut machine, u64::from(request), &[one]);
    }
    let bytes = machine.to_snapshot().unwrap().len();
    assert!(bytes < 300 << 10, "{bytes} bytes of snapshot");
    note(&mut machine, 2_000_000, &[ended(1, "c1", "u1")]);
    let bytes = machine.to_snapshot().unwrap().len();
    assert!(bytes < 300, "{bytes} bytes of snapshot after all but one were forgotten");
}

proptest! {
    /// Whatever else ends, runs and is answered: a request that ends each upstream that runs it is
    /// held back after at most three ends of its own that no other explains, and nobody who was
    /// answered after the last end under it is.
    #[test]
    fn who_ends_all_is_held_back_and_who_was_answered_is_not(
        steps in prop::collection::vec((0_u128..6, prop::bool::ANY, 0_u64..400), 1..200),
    ) {
        let mut machine = Machine::default();
        let mut at_ms = 0;
        let mut crashing_ends = 0;
        for (number, (request, is_answered, pause_ms)) in steps.into_iter().enumerate() {
            at_ms += pause_ms + 30;
            let upstream = format!("u{number}");
            if request == CRASHING {
                crashing_ends += 1;
                note(&mut machine, at_ms, &[ended(CRASHING, "clubs", &upstream)]);
            } else if is_answered {
                note(&mut machine, at_ms, &[survived(request)]);
                prop_assert!(!held(&machine).contains(&RequestFingerprint::new(request)));
            } else {
                note(&mut machine, at_ms, &[ended(request, "halls", &upstream)]);
            }
            let is_held = held(&machine).contains(&RequestFingerprint::new(CRASHING));
            prop_assert_eq!(is_held, crashing_ends >= 3);
            let bytes = machine.to_snapshot().unwrap();
            prop_assert_eq!(&Machine::from_snapshot(&bytes).unwrap(), &machine);
        }
    }
}
