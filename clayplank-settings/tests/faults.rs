//! Tests that all faults of a document are reported at once, each with its path.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_settings::{ClientAccount, HostSettings, KeyDigest, Template, parse};
use rstest::rstest;
use serde_json::{Value, json};

fn host_settings() -> Value {
    json!({
        "host": "h1",
        "roles": ["entry", "keeper"],
        "data_dir": "/var/lib/clayplank",
        "listen": { "callers": "127.0.0.1:1", "inner": "127.0.0.1:2", "operators": "127.0.0.1:3" },
        "hosts": [{ "host": "h1", "data_centre": "hall-1", "inner": "127.0.0.1:2", "keeper": true }],
        "upstreams": [{
            "kind": "engine", "id": "e1", "address": "127.0.0.1:4", "data_centre": "hall-1", "pool": "p",
            "memory_tokens": 400_000, "models": ["base"],
        }],
        "operators": [{ "partner": "dala", "name": "ops", "key_sha256": String::from(KeyDigest::of("k")) }],
    })
}

#[test]
fn valid_settings_are_accepted() {
    assert!(parse::<HostSettings>(&host_settings().to_string()).is_ok());
}

#[test]
fn all_faults_are_reported_at_once() {
    let mut settings = host_settings();
    settings["roles"] = json!(["entry", "cook"]);
    settings["upstreams"][0]["memory_tokens"] = json!(0);
    settings["operators"][0]["key_sha256"] = json!("plain text");
    settings["timing"] = json!({ "settings_lease_ms": 60_000, "colour": "red" });
    let faults = parse::<HostSettings>(&settings.to_string()).unwrap_err();
    insta::assert_json_snapshot!(faults);
}

#[test]
fn rules_between_fields_are_checked_too() {
    let mut settings = host_settings();
    settings["host"] = json!("h9");
    settings["data_dir"] = Value::Null;
    settings["hosts"][0]["keeper"] = json!(false);
    settings["timing"] = json!({ "heartbeat_ms": 500, "election_ms": 600 });
    let duplicate = settings["upstreams"][0].clone();
    settings["upstreams"].as_array_mut().unwrap().push(duplicate);
    let faults = parse::<HostSettings>(&settings.to_string()).unwrap_err();
    insta::assert_json_snapshot!(faults);
}

#[rstest]
#[case::no_deadline("{}")]
#[case::unknown_field(r#"{ "deadline_ms": 1, "color": 1 }"#)]
#[case::bad_priority(r#"{ "deadline_ms": 1, "priority": "urgent" }"#)]
#[case::too_long(r#"{ "deadline_ms": 86400001 }"#)]
fn invalid_templates_are_rejected(#[case] text: &str) {
    assert!(parse::<Template>(text).is_err());
}

#[test]
fn account_values_override_template_values() {
    let template: Template =
        parse(r#"{ "deadline_ms": 9, "priority": "low", "model": "a" }"#).unwrap();
    let account = json!({ "key_sha256": String::from(KeyDigest::of("k")), "template": "t", "deadline_ms": 5 });
    let account: ClientAccount = parse(&account.to_string()).unwrap();
    let effective = clayplank_settings::EffectiveSettings::of(&account, &template);
    assert_eq!((effective.deadline_ms, effective.model.as_deref()), (5, Some("a")));
}

#[test]
fn keys_are_compared_by_digest_and_not_printed() {
    let digest = KeyDigest::of("secret");
    assert!(digest.matches(&KeyDigest::of("secret")) && !digest.matches(&KeyDigest::of("Secret")));
    assert_eq!(format!("{digest:?}"), "KeyDigest(..)", "the digest must not appear in logs");
}
