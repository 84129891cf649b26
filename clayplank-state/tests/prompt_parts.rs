//! Parts of prompts to which upstreams had begun to write an answer when they terminated: which of
//! them are quarantined, for how long, and which are not.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_state::{Command, CommandBody, Machine, QuarantineChanges, Reply, TrialReply};
use clayplank_types::{Fingerprint, ObservedOutcome, SuspectKind, SuspectObservation, UpstreamId};
use proptest::prelude::*;

/// The part that terminates each upstream that begins to answer a prompt with it.
const CRASHING: u128 = 1;

/// Another part.
const OTHER: u128 = 2;

/// A request, and the parts of its prompt, at an upstream that terminated.
fn terminated(request: u128, parts: &[u128], upstream: &str) -> Vec<SuspectObservation> {
    let request = Fingerprint::new(request);
    let parts = parts.iter().map(|part| (SuspectKind::PromptPart, Fingerprint::new(*part)));
    let observations =
        [(SuspectKind::Request, request)].into_iter().chain(parts).map(|(kind, fingerprint)| {
            SuspectObservation {
                kind,
                fingerprint,
                request,
                caller: "clubs".to_owned(),
                has_survived: false,
                outcome: ObservedOutcome::Ended(UpstreamId::new(upstream)),
                ago_ms: 0,
                seen: None,
            }
        });
    observations.collect()
}

fn survived(part: u128) -> SuspectObservation {
    let fingerprint = Fingerprint::new(part);
    SuspectObservation {
        kind: SuspectKind::PromptPart,
        fingerprint,
        request: fingerprint,
        caller: String::new(),
        has_survived: true,
        outcome: ObservedOutcome::Survived,
        ago_ms: 0,
        seen: None,
    }
}

fn apply(machine: &mut Machine, at_ms: u64, body: CommandBody) -> Reply {
    machine.apply(&Command { at_ms, body })
}

fn report(
    machine: &mut Machine,
    at_ms: u64,
    observations: Vec<SuspectObservation>,
) -> QuarantineChanges {
    match apply(machine, at_ms, CommandBody::NoteSightings(observations)) {
        Reply::Noted(changes) => changes,
        reply => panic!("{reply:?}"),
    }
}

fn quarantined(machine: &Machine) -> Vec<(SuspectKind, u128)> {
    let entries = machine.quarantined().into_iter();
    let entries = entries.map(|entry| (entry.kind, entry.fingerprint));
    let numbers = (0..=2_000).map(|number| (Fingerprint::new(number), number));
    let numbers: std::collections::BTreeMap<_, _> = numbers.collect();
    entries.map(|(kind, fingerprint)| (kind, numbers[&fingerprint])).collect()
}

/// A machine in which three upstreams terminated under different requests with the crashing part.
fn with_part_quarantined() -> Machine {
    let mut machine = Machine::default();
    for number in 0..3 {
        let observations = terminated(100 + number, &[CRASHING], &format!("u{number}"));
        report(&mut machine, 1_000 + 100 * number as u64, observations);
    }
    machine
}

#[test]
fn a_part_is_quarantined_once_three_upstreams_terminated_under_different_requests() {
    let machine = with_part_quarantined();
    assert_eq!(quarantined(&machine), [(SuspectKind::PromptPart, CRASHING)]);
    let entry = machine.quarantined().remove(0);
    assert_eq!(entry.ended, ["u0", "u1", "u2"].map(UpstreamId::new));
    let restored = Machine::from_snapshot(&machine.to_snapshot().unwrap()).unwrap();
    assert_eq!(restored.quarantined(), machine.quarantined());
}

#[test]
fn a_part_that_an_upstream_survives_is_not_quarantined() {
    let mut machine = Machine::default();
    for number in 0..20 {
        let at_ms = 1_000 * (number + 1);
        let observations = terminated(100 + u128::from(number), &[OTHER], &format!("u{number}"));
        report(&mut machine, at_ms, observations);
        report(&mut machine, at_ms + 200, vec![survived(OTHER)]);
    }
    assert_eq!(quarantined(&machine), []);
}

/// Guards against blaming all prompts with a part for one request that is repeated.
#[test]
fn a_part_of_one_repeated_request_is_not_quarantined_with_it() {
    let mut machine = Machine::default();
    for number in 0..6 {
        report(
            &mut machine,
            1_000 + 100 * number,
            terminated(100, &[OTHER], &format!("u{number}")),
        );
    }
    assert_eq!(quarantined(&machine), [(SuspectKind::Request, 100)]);
}

/// Guards against forgetting a part each time that one of its requests is retried and quarantined.
#[test]
fn a_part_is_quarantined_although_each_of_its_requests_is() {
    let mut machine = Machine::default();
    for number in 0..4_u64 {
        let request = 100 + u128::from(number / 3);
        let observations = terminated(request, &[CRASHING], &format!("u{number}"));
        report(&mut machine, 1_000 + 100 * number, observations);
    }
    assert!(quarantined(&machine).contains(&(SuspectKind::PromptPart, CRASHING)));
}

#[test]
fn parts_and_requests_beside_a_quarantined_part_are_cleared() {
    let mut machine = Machine::default();
    for number in 0..3_u64 {
        let mut observations =
            terminated(100 + u128::from(number), &[CRASHING], &format!("u{number}"));
        // Another prompt ran at two of the three upstreams.
        if number > 0 {
            observations.extend(terminated(200, &[OTHER], &format!("u{number}")));
        }
        report(&mut machine, 1_000 + 100 * number, observations);
    }
    assert_eq!(quarantined(&machine), [(SuspectKind::PromptPart, CRASHING)]);
    for number in 3..5_u64 {
        let observations = terminated(200 + u128::from(number), &[OTHER], &format!("v{number}"));
        report(&mut machine, 1_000 + 100 * number, observations);
    }
    assert_eq!(quarantined(&machine), [(SuspectKind::PromptPart, CRASHING)]);
}

/// Guards against refusing most prompts for a minute: while upstreams terminated faster than hosts saw
/// others survive, a popular part was quarantined with the one that terminated them.
#[test]
fn a_part_that_was_survived_before_is_not_quarantined_with_the_one_that_was_not() {
    let mut machine = Machine::default();
    for number in 0..5 {
        let mut observations = terminated(100 + number, &[CRASHING, OTHER], &format!("u{number}"));
        let other = observations.iter_mut().find(|one| one.fingerprint == Fingerprint::new(OTHER));
        other.unwrap().has_survived = true;
        report(&mut machine, 1_000 + 100 * number as u64, observations);
    }
    assert_eq!(quarantined(&machine), [(SuspectKind::PromptPart, CRASHING)]);
}

#[test]
fn a_part_that_was_survived_before_is_quarantined_after_six_terminations() {
    let mut machine = Machine::default();
    for number in 0..6 {
        assert_eq!(quarantined(&machine), []);
        let mut observations = terminated(100 + number, &[OTHER], &format!("u{number}"));
        observations[1].has_survived = true;
        report(&mut machine, 1_000 + 100 * number as u64, observations);
    }
    assert_eq!(quarantined(&machine), [(SuspectKind::PromptPart, OTHER)]);
}

/// Parts that were in the same prompts cannot be told apart until an upstream survives one of them.
#[test]
fn of_parts_that_were_always_together_those_that_are_survived_are_lifted() {
    let mut machine = Machine::default();
    for number in 0..3 {
        let observations = terminated(100 + number, &[CRASHING, OTHER], &format!("u{number}"));
        report(&mut machine, 1_000 + 100 * number as u64, observations);
    }
    let both = [(SuspectKind::PromptPart, CRASHING), (SuspectKind::PromptPart, OTHER)];
    assert_eq!(quarantined(&machine), both);
    assert!(machine.quarantined().iter().all(|entry| entry.next_trial_in_ms == Some(5_000)));
    let changes = report(&mut machine, 1_400, vec![survived(OTHER)]);
    assert_eq!(changes.lifted, [Fingerprint::new(OTHER)]);
    assert_eq!(quarantined(&machine), both[..1]);
}

/// Guards against more than three requests with the part after its quarantine, however long it lasts.
#[test]
fn a_quarantined_part_is_tried_at_most_twice() {
    let mut machine = with_part_quarantined();
    let mut granted = Vec::new();
    for second in 0..1_000_000 {
        let at_ms = 1_200 + 1_000 * second;
        let claim = CommandBody::ClaimTrial(Fingerprint::new(CRASHING));
        match apply(&mut machine, at_ms, claim) {
            Reply::Trial(TrialReply::Granted) => granted.push(second),
            Reply::Trial(TrialReply::TooEarly { .. }) => {}
            reply => panic!("{reply:?}"),
        }
    }
    assert_eq!(granted, [60, 660]);
    assert_eq!(machine.quarantined()[0].next_trial_in_ms, None);
}

#[test]
fn a_caller_with_ever_new_parts_does_not_displace_the_evidence_on_another() {
    let mut machine = Machine::default();
    for number in 0..2 {
        report(
            &mut machine,
            1_000 + 100 * number,
            terminated(100 + u128::from(number), &[CRASHING], &format!("u{number}")),
        );
    }
    for number in 0..5_000_u64 {
        let observations = terminated(
            10_000 + u128::from(number),
            &[50_000 + u128::from(number)],
            &format!("f{number}"),
        );
        report(&mut machine, 2_000 + number, observations);
    }
    let changes = report(&mut machine, 8_000, terminated(102, &[CRASHING], "u2"));
    assert_eq!(changes.held_back.len(), 1);
}

proptest! {
    /// Requests with the crashing part arrive among others, of which each has a part that upstreams
    /// survive now and then. Each request may be repeated. The crashing part is quarantined once three
    /// upstreams terminated under two requests with it, and parts that are survived are lifted.
    #[test]
    fn the_part_that_terminates_all_upstreams_is_quarantined(
        steps in prop::collection::vec((0_u128..6, 0_u8..4, 30_u64..400, prop::bool::ANY), 1..80),
    ) {
        let mut machine = Machine::default();
        let (mut at_ms, mut requests) = (1_000, Vec::new());
        for (number, (other, repeats, pause_ms, is_crashing)) in steps.into_iter().enumerate() {
            at_ms += pause_ms;
            let part = 10 + other;
            if !is_crashing {
                report(&mut machine, at_ms, vec![survived(part)]);
                prop_assert!(!quarantined(&machine).contains(&(SuspectKind::PromptPart, part)));
                continue;
            }
            let request = 100 + number as u128;
            for repeat in 0..=repeats {
                if quarantined(&machine).contains(&(SuspectKind::PromptPart, CRASHING)) {
                    break;
                }
                at_ms += 40;
                requests.push(request);
                let upstream = format!("u{number}-{repeat}");
                report(&mut machine, at_ms, terminated(request, &[CRASHING, part], &upstream));
            }
            let distinct = requests.iter().collect::<std::collections::BTreeSet<_>>().len();
            if requests.len() >= 3 && distinct >= 2 {
                prop_assert!(quarantined(&machine).contains(&(SuspectKind::PromptPart, CRASHING)));
            }
        }
    }
}
