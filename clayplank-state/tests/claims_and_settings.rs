//! Random sequences of setting changes by operators of two partners, with stale versions and
//! resends; random sequences of claims; fencing tokens.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_settings::{Template, parse};
use clayplank_state::{
    Claim, ClaimHolder, ClaimKey, Command, CommandBody, Machine, Reply, SettingChange, SettingKey,
    SettingValue, SettingsView, StoredAnswer,
};
use clayplank_types::{AccountId, AttemptId, HostId, Incarnation, Partner};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Step {
    /// Operator of `partner` changes a template of `owner`, with an outdated version if `is_stale`.
    Change { partner: u8, owner: u8, name: u8, deadline_ms: u64, is_stale: bool },
    /// Sends an earlier change again.
    Resend { index: prop::sample::Index },
    /// Restores the machine from its snapshot.
    Restart,
    /// Updates a host's view and compares it with the acknowledged versions.
    Watch,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..2_u8, 0..2_u8, 0..3_u8, 1..9_u64, any::<bool>()).prop_map(
            |(partner, owner, name, deadline_ms, is_stale)| Step::Change { partner, owner, name, deadline_ms, is_stale }
        ),
        3 => any::<prop::sample::Index>().prop_map(|index| Step::Resend { index }),
        1 => Just(Step::Restart),
        2 => Just(Step::Watch),
    ]
}

fn partner(number: u8) -> Partner {
    Partner::new(["dala", "rotafold"][number as usize])
}

fn template(deadline_ms: u64) -> SettingValue {
    SettingValue::Template(
        parse::<Template>(&format!("{{\"deadline_ms\": {deadline_ms}}}")).unwrap(),
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn settings_never_revert_and_resends_get_the_first_reply(steps in prop::collection::vec(step(), 1..400)) {
        let mut machine = Machine::default();
        let mut view = SettingsView::default();
        let mut sent: Vec<(Command, Reply)> = Vec::new();
        let mut versions: BTreeMap<SettingKey, u64> = BTreeMap::new();
        for (number, step) in steps.into_iter().enumerate() {
            match step {
                Step::Change { partner: sender, owner, name, deadline_ms, is_stale } => {
                    let key = SettingKey::template(&partner(owner), &format!("t{name}"));
                    let known = versions.get(&key).copied().unwrap_or(0);
                    let expected_version = if is_stale { known + 1_000 } else { known };
                    let change = SettingChange {
                        change_id: format!("c{number}"),
                        partner: partner(sender),
                        operator: "ops".to_owned(),
                        key: key.clone(),
                        expected_version,
                        value: Some(template(deadline_ms)),
                    };
                    let command = Command { at_ms: number as u64, body: CommandBody::Change(change) };
                    let reply = machine.apply(&command);
                    match (&reply, sender == owner, is_stale) {
                        (Reply::Forbidden, false, _) | (Reply::Conflict { .. }, true, true) => {}
                        (Reply::Changed { version }, true, false) => {
                            prop_assert!(*version > known);
                            versions.insert(key, *version);
                        }
                        other => prop_assert!(false, "{other:?}"),
                    }
                    sent.push((command, reply));
                }
                Step::Resend { index } if !sent.is_empty() => {
                    let revision = machine.revision();
                    let (command, first) = index.get(&sent);
                    prop_assert_eq!(&machine.apply(command), first);
                    prop_assert_eq!(machine.revision(), revision);
                }
                Step::Resend { .. } => {}
                Step::Restart => {
                    machine = Machine::from_snapshot(&machine.to_snapshot().unwrap()).unwrap();
                }
                Step::Watch => {
                    view.apply(machine.delta_after(view.revision())).unwrap();
                    for (key, version) in &versions {
                        let observed = view.iter().find(|(known, _)| *known == key).map(|(_, item)| item.version);
                        prop_assert_eq!(observed, Some(*version));
                    }
                }
            }
        }
    }

    #[test]
    fn one_claim_is_granted_until_it_is_released(actions in prop::collection::vec(0..4_u8, 1..60)) {
        let mut machine = Machine::default();
        let mut holder: Option<u128> = None;
        let mut is_settled = false;
        for (number, action) in actions.into_iter().enumerate() {
            let attempt = number as u128;
            match action {
                0 | 1 => {
                    let reply = machine.apply(&claim(attempt, 7));
                    match (holder, is_settled) {
                        (None, _) => { prop_assert_eq!(reply, Reply::Claimed); holder = Some(attempt); }
                        (Some(_), true) => prop_assert!(matches!(reply, Reply::Repeated(_)), "{:?}", reply),
                        (Some(_), false) => prop_assert!(matches!(reply, Reply::InProgress { .. }), "{:?}", reply),
                    }
                }
                2 => {
                    // Only a release by the holder is effective.
                    machine.apply(&release(attempt));
                    if let (Some(holder_attempt), false) = (holder, is_settled) {
                        machine.apply(&release(holder_attempt));
                        holder = None;
                    }
                }
                _ => if let Some(holder_attempt) = holder {
                    machine.apply(&settle(holder_attempt));
                    is_settled = true;
                }
            }
        }
        if holder.is_some() {
            prop_assert_eq!(machine.apply(&claim(u128::MAX, 8)), Reply::OtherRequest);
        }
    }
}

fn key() -> ClaimKey {
    ClaimKey { account: AccountId::new(partner(0), "times"), key: "finish-41".to_owned() }
}

fn claim(attempt: u128, fingerprint: u128) -> Command {
    let claim = Claim {
        key: key(),
        fingerprint,
        holder: ClaimHolder { host: HostId::new("h1"), incarnation: Incarnation(1) },
        attempt_id: AttemptId::from_bits(attempt),
        deadline_in_ms: 1_000,
        keep_ms: 10_000,
    };
    Command { at_ms: 5, body: CommandBody::Claim(claim) }
}

fn release(attempt: u128) -> Command {
    Command {
        at_ms: 5,
        body: CommandBody::Release { key: key(), attempt_id: AttemptId::from_bits(attempt) },
    }
}

fn settle(attempt: u128) -> Command {
    let answer = StoredAnswer { status: 200, content_type: None, body: Some(b"ok".to_vec()) };
    Command {
        at_ms: 5,
        body: CommandBody::Settle {
            key: key(),
            attempt_id: AttemptId::from_bits(attempt),
            answer: Some(answer),
        },
    }
}

#[test]
fn an_open_claim_is_unknown_after_its_deadline_and_not_granted_to_others() {
    let mut machine = Machine::default();
    assert_eq!(machine.apply(&claim(1, 7)), Reply::Claimed);
    let late = Command { at_ms: 9_000, ..claim(2, 7) };
    assert_eq!(machine.apply(&late), Reply::Unknown);
    assert_eq!(machine.apply(&claim(1, 7)), Reply::Claimed, "its holder may send the claim again");
}

fn fence(host: &str, at_ms: u64) -> Command {
    let upstream = clayplank_types::UpstreamId::new("e1");
    Command {
        at_ms,
        body: CommandBody::Fence { upstream, host: HostId::new(host), lease_ms: 1_000 },
    }
}

#[test]
fn fencing_tokens_increase_also_after_a_restart() {
    let mut machine = Machine::default();
    assert_eq!(machine.apply(&fence("h1", 1)), Reply::Fenced { token: 1, wait_ms: 0 });
    machine = Machine::from_snapshot(&machine.to_snapshot().unwrap()).unwrap();
    assert_eq!(machine.apply(&fence("h1", 2)), Reply::Fenced { token: 2, wait_ms: 0 });
}

#[test]
fn a_new_holder_waits_for_the_remaining_lease_of_the_previous_one() {
    let mut machine = Machine::default();
    machine.apply(&fence("h1", 100));
    assert_eq!(machine.apply(&fence("h2", 400)), Reply::Fenced { token: 2, wait_ms: 700 });
    assert_eq!(machine.apply(&fence("h2", 500)), Reply::Fenced { token: 3, wait_ms: 0 });
    assert_eq!(machine.apply(&fence("h1", 9_000)), Reply::Fenced { token: 4, wait_ms: 0 });
}
