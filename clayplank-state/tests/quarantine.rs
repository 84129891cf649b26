//! Requests that were running at upstreams when they terminated: which of them are quarantined, for
//! how long, and which are not.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_state::{Command, CommandBody, Machine, QuarantineChanges, Reply, TrialReply};
use clayplank_types::{
    Fingerprint, HostTimestamp, ObservedOutcome, SuspectKind, SuspectObservation, UpstreamId,
};
use proptest::prelude::*;

const SECOND_MS: u64 = 1_000;
/// Fingerprint of the request that terminates each upstream that runs it.
const CRASHING: u128 = 1;

fn terminated(request: u128, caller: &str, upstream: &str) -> SuspectObservation {
    SuspectObservation {
        kind: SuspectKind::Request,
        fingerprint: Fingerprint::new(request),
        request: Fingerprint::new(request),
        caller: caller.to_owned(),
        has_survived: false,
        outcome: ObservedOutcome::Ended(UpstreamId::new(upstream)),
        ago_ms: 0,
        seen: None,
    }
}

/// Guards against counting two terminations as one because of report delays: one host observes
/// three terminations 70 ms apart, but the first two reports reach the keepers within 5 ms.
#[test]
fn terminations_that_one_host_observed_apart_count_separately_despite_report_delays() {
    let mut machine = Machine::default();
    let mut quarantined = 0;
    for (number, reported_ms) in [(0, 1_090), (1, 1_095), (2, 1_145)] {
        let seen = Some(HostTimestamp { life: 7, at_ms: 500 + 70 * number });
        let observation =
            SuspectObservation { seen, ..terminated(CRASHING, "clubs", &format!("u{number}")) };
        quarantined += report(&mut machine, reported_ms, &[observation]).held_back.len();
    }
    assert_eq!(quarantined, 1);
}

fn survived(request: u128) -> SuspectObservation {
    SuspectObservation { outcome: ObservedOutcome::Survived, ..terminated(request, "clubs", "") }
}

fn apply(machine: &mut Machine, at_ms: u64, body: CommandBody) -> Reply {
    machine.apply(&Command { at_ms, body })
}

fn report(
    machine: &mut Machine,
    at_ms: u64,
    observations: &[SuspectObservation],
) -> QuarantineChanges {
    match apply(machine, at_ms, CommandBody::NoteSightings(observations.to_vec())) {
        Reply::Noted(changes) => changes,
        reply => panic!("{reply:?}"),
    }
}

fn claim_trial(machine: &mut Machine, at_ms: u64, request: u128) -> TrialReply {
    match apply(machine, at_ms, CommandBody::ClaimTrial(Fingerprint::new(request))) {
        Reply::Trial(trial) => trial,
        reply => panic!("{reply:?}"),
    }
}

fn quarantined(machine: &Machine) -> Vec<Fingerprint> {
    machine.quarantined().iter().map(|one| one.fingerprint).collect()
}

/// A machine in which three upstreams have terminated under one request, a second apart.
fn with_one_quarantined() -> Machine {
    let mut machine = Machine::default();
    for number in 1..=3 {
        report(
            &mut machine,
            number * SECOND_MS,
            &[terminated(CRASHING, "clubs", &format!("u{number}"))],
        );
    }
    machine
}

#[test]
fn a_request_is_quarantined_once_three_upstreams_terminated_under_it() {
    let mut machine = Machine::default();
    assert!(report(&mut machine, 1_000, &[terminated(CRASHING, "clubs", "u1")]).is_empty());
    assert!(report(&mut machine, 2_000, &[terminated(CRASHING, "clubs", "u2")]).is_empty());
    assert!(
        report(&mut machine, 2_100, &[terminated(CRASHING, "clubs", "u2")]).is_empty(),
        "reported again"
    );
    let changes = report(&mut machine, 3_000, &[terminated(CRASHING, "clubs", "u3")]);
    let [one] = changes.held_back.as_slice() else { panic!("{changes:?}") };
    assert_eq!(one.fingerprint, Fingerprint::new(CRASHING));
    assert_eq!(one.ended, ["u1", "u2", "u3"].map(UpstreamId::new));
}

#[test]
fn hosts_receive_quarantined_requests_also_after_a_restore_from_a_snapshot() {
    let machine = with_one_quarantined();
    let delta = machine.delta_after(0);
    assert_eq!(delta.held_back.unwrap().len(), 1);
    assert_eq!(machine.delta_after(delta.revision).held_back, None, "it has not changed");
    let restored = Machine::from_snapshot(&machine.to_snapshot().unwrap()).unwrap();
    assert_eq!(restored.delta_after(0), machine.delta_after(0));
}

#[test]
fn a_request_that_is_answered_in_between_is_not_quarantined() {
    let mut machine = Machine::default();
    for number in 1..30 {
        report(&mut machine, number * SECOND_MS, &[terminated(7, "clubs", &format!("u{number}"))]);
        report(&mut machine, number * SECOND_MS + 200, &[survived(7)]);
    }
    assert_eq!(quarantined(&machine), []);
}

#[test]
fn upstreams_that_terminate_at_once_count_as_one() {
    let mut machine = Machine::default();
    let all: Vec<_> = (0..6).map(|number| terminated(7, "clubs", &format!("u{number}"))).collect();
    assert!(report(&mut machine, 1_000, &all).is_empty());
    // Another host reports a termination of about the same time 20 ms later.
    let late = SuspectObservation { ago_ms: 15, ..terminated(7, "clubs", "u9") };
    assert!(report(&mut machine, 1_020, &[late]).is_empty());
}

#[test]
fn requests_that_ran_beside_a_quarantined_one_are_cleared() {
    let mut machine = Machine::default();
    for number in 1..=3 {
        let upstream = format!("u{number}");
        // The other request was running by chance at the second and third upstream.
        let others: &[SuspectObservation] =
            if number == 1 { &[] } else { &[terminated(8, "halls", &upstream)] };
        report(&mut machine, number * SECOND_MS, &[terminated(CRASHING, "clubs", &upstream)]);
        report(&mut machine, number * SECOND_MS + 10, others);
    }
    assert_eq!(quarantined(&machine), [Fingerprint::new(CRASHING)]);
    // A third termination, for another reason, counts as the first of the other request.
    assert!(report(&mut machine, 9_000, &[terminated(8, "halls", "v1")]).is_empty());
    assert!(report(&mut machine, 9_500, &[terminated(8, "halls", "v2")]).is_empty());
}

#[test]
fn a_request_quarantined_by_mistake_is_cleared_by_its_first_answer() {
    let mut machine = with_one_quarantined();
    assert!(
        report(&mut machine, 4_000, &[SuspectObservation { ago_ms: 3_500, ..survived(CRASHING) }])
            .is_empty()
    );
    let changes = report(&mut machine, 4_000, &[survived(CRASHING)]);
    assert_eq!(changes.lifted, [Fingerprint::new(CRASHING)]);
    assert_eq!(machine.delta_after(0).held_back, Some(Vec::new()));
}

/// Claims trials ten times a second for an hour: two are granted, after 60 s and after 600 s more.
#[test]
fn trials_are_granted_to_one_host_at_a_time_and_rarely() {
    let mut machine = with_one_quarantined();
    assert_eq!(
        claim_trial(&mut machine, 4_000, CRASHING),
        TrialReply::TooEarly { next_in_ms: Some(59_000) }
    );
    let mut granted = Vec::new();
    for tenth in 0..36_000 {
        let at_ms = 4_000 + tenth * 100;
        if claim_trial(&mut machine, at_ms, CRASHING) == TrialReply::Granted {
            granted.push(at_ms / SECOND_MS);
            report(
                &mut machine,
                at_ms + 50,
                &[terminated(CRASHING, "clubs", &format!("t{tenth}"))],
            );
        }
    }
    assert_eq!(granted, [63, 663]);
    assert_eq!(claim_trial(&mut machine, 4_000, 99), TrialReply::NotNeeded, "another request");
}

#[test]
fn a_request_lifted_by_an_operator_can_be_quarantined_again() {
    let mut machine = with_one_quarantined();
    let lift = CommandBody::Lift(Fingerprint::new(CRASHING));
    assert_eq!(apply(&mut machine, 4_000, lift.clone()), Reply::Lifted { was_held_back: true });
    assert_eq!(apply(&mut machine, 4_100, lift), Reply::Lifted { was_held_back: false });
    assert_eq!(quarantined(&machine), []);
    for number in 4..=6 {
        report(
            &mut machine,
            number * SECOND_MS,
            &[terminated(CRASHING, "clubs", &format!("u{number}"))],
        );
    }
    assert_eq!(quarantined(&machine).len(), 1);
}

#[test]
fn one_caller_cannot_use_up_the_quarantine() {
    let mut machine = with_one_quarantined();
    for request in 0..500 {
        for number in 0..3 {
            let upstream = format!("f{request}-{number}");
            let at_ms = (10 + request * 3 + number) * SECOND_MS;
            report(
                &mut machine,
                at_ms,
                &[terminated(1_000 + u128::from(request), "flood", &upstream)],
            );
        }
    }
    let quarantined = machine.quarantined();
    assert_eq!(quarantined.iter().filter(|one| one.caller == "flood").count(), 64);
    assert!(
        quarantined.iter().any(|one| one.caller == "clubs"),
        "another caller's request is still quarantined"
    );
    let bytes = machine.to_snapshot().unwrap().len();
    assert!(bytes < 64 << 10, "{bytes} bytes of snapshot");
}

#[test]
fn suspects_are_bounded_and_expire() {
    let mut machine = Machine::default();
    for request in 0..20_000_u32 {
        let caller = format!("c{}", request % 40);
        let one = terminated(u128::from(request), &caller, &format!("u{request}"));
        report(&mut machine, u64::from(request), &[one]);
    }
    let bytes = machine.to_snapshot().unwrap().len();
    assert!(bytes < 300 << 10, "{bytes} bytes of snapshot");
    report(&mut machine, 2_000_000, &[terminated(1, "c1", "u1")]);
    let bytes = machine.to_snapshot().unwrap().len();
    assert!(bytes < 300, "{bytes} bytes of snapshot after all but one expired");
}

proptest! {
    /// Among random terminations and answers of other requests, a request that terminates each
    /// upstream that runs it is quarantined from its third termination on. Any other request is not
    /// quarantined right after an upstream has answered it.
    #[test]
    fn a_crashing_request_is_quarantined_and_an_answered_one_is_not(
        steps in prop::collection::vec((0_u128..6, prop::bool::ANY, 0_u64..400), 1..200),
    ) {
        let mut machine = Machine::default();
        let mut at_ms = 0;
        let mut crashing_terminations = 0;
        for (number, (request, is_answered, pause_ms)) in steps.into_iter().enumerate() {
            at_ms += pause_ms + 30;
            let upstream = format!("u{number}");
            if request == CRASHING {
                crashing_terminations += 1;
                report(&mut machine, at_ms, &[terminated(CRASHING, "clubs", &upstream)]);
            } else if is_answered {
                report(&mut machine, at_ms, &[survived(request)]);
                prop_assert!(!quarantined(&machine).contains(&Fingerprint::new(request)));
            } else {
                report(&mut machine, at_ms, &[terminated(request, "halls", &upstream)]);
            }
            let is_quarantined = quarantined(&machine).contains(&Fingerprint::new(CRASHING));
            prop_assert_eq!(is_quarantined, crashing_terminations >= 3);
            let bytes = machine.to_snapshot().unwrap();
            prop_assert_eq!(&Machine::from_snapshot(&bytes).unwrap(), &machine);
        }
    }
}
