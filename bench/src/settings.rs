//! Memory and lookup time of a host's settings, for several numbers of client accounts.

use std::time::Instant;

use clayplank_settings::{ClientAccount, KeyDigest, Template, parse};
use clayplank_state::{
    Command, CommandBody, Machine, SettingChange, SettingKey, SettingValue, SettingsView,
};
use clayplank_types::Partner;

use crate::log::{LogError, resident_bytes};

/// Numbers of accounts; memory per account is the difference between the two.
const ACCOUNT_COUNTS: [u64; 2] = [3_000, 43_000];

/// Reason that the settings benchmark could not run.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsError {
    #[error(transparent)]
    Memory(#[from] LogError),
    #[error(transparent)]
    Faults(#[from] clayplank_settings::Faults),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error(transparent)]
    Stale(#[from] clayplank_state::StaleDelta),
}

/// Applies one setting to the state machine.
fn apply_setting(machine: &mut Machine, number: u64, key: SettingKey, value: SettingValue) {
    let change = SettingChange {
        change_id: format!("change-{number}"),
        partner: key.partner().clone(),
        operator: "ops".to_owned(),
        key,
        expected_version: 0,
        value: Some(value),
    };
    machine.apply(&Command { at_ms: number, body: CommandBody::Change(change) });
}

/// Measures a host's view of the settings while accounts are added, then a copy of it, lookups and
/// a snapshot.
pub(crate) fn run() -> Result<(), SettingsError> {
    let partner = Partner::new("dala");
    let mut machine = Machine::default();
    let template: Template = parse(r#"{"deadline_ms": 10000, "model": "base"}"#)?;
    apply_setting(
        &mut machine,
        0,
        SettingKey::template(&partner, "short"),
        SettingValue::Template(template),
    );
    let mut view = SettingsView::default();
    let mut number = 0;
    let mut sizes = Vec::new();
    for count in ACCOUNT_COUNTS {
        while number < count {
            number += 1;
            let text = format!(
                r#"{{"template": "short", "share": 50, "key_sha256": "{}"}}"#,
                String::from(KeyDigest::of(&number.to_string()))
            );
            let account: ClientAccount = serde_json::from_str(&text)?;
            let key = SettingKey::account(&partner, &format!("account-{number:06}"));
            apply_setting(&mut machine, number, key, SettingValue::Account(account));
        }
        let before = resident_bytes()?;
        view.apply(machine.delta_after(view.revision()))?;
        sizes.push(resident_bytes()? - before);
    }
    let accounts = ACCOUNT_COUNTS[1] - ACCOUNT_COUNTS[0];
    println!("memory for an account in a host's view: {} bytes", sizes[1] / accounts);
    let started = Instant::now();
    let copy = view.clone();
    println!(
        "a copy of {} accounts for one change: {} us",
        ACCOUNT_COUNTS[1],
        started.elapsed().as_micros()
    );
    let started = Instant::now();
    let found =
        (0..1_000).filter(|number| copy.find_account(&number.to_string()).is_some()).count();
    println!(
        "finding an account by its key: {} ns ({found} found)",
        started.elapsed().as_nanos() / 1_000
    );
    println!("a snapshot: {} bytes", machine.to_snapshot().map_or(0, |bytes| bytes.len()));
    Ok(())
}
