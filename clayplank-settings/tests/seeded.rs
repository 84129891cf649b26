//! Tests of the settings of hosts with bootstrap addresses: fractional, missing and out-of-range
//! numbers, as a platform may write them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_settings::{SeededSettings, parse};
use rstest::rstest;
use serde_json::{Value, json};

fn settings() -> Value {
    json!({
        "name": "h1",
        "role": "entry",
        "ip": "127.0.0.1",
        "data_centre": "hall-1",
        "listen": {
            "callers": "127.0.0.1:1", "readiness": "127.0.0.1:2", "inner": "127.0.0.1:3",
            "metrics": "127.0.0.1:4",
        },
        "seeds": ["127.0.0.1:5"],
        "tolerated_losses": 2,
        "bounds": {
            "heartbeat_ms": 1_200, "revoke_ms": 5_000, "grace_s": 8, "retry_ratio": 0.2,
            "retry_extra": 660, "retry_window_s": 10,
        },
    })
}

/// Parses the settings with `field` set to `value`, and describes the resulting value or the
/// faults.
fn outcome(field: &str, value: &Value) -> String {
    let mut settings = settings();
    let path = if field == "tolerated_losses" { "/tolerated_losses" } else { "/bounds" };
    match path {
        "/bounds" => settings["bounds"][field] = value.clone(),
        _ => settings[field] = value.clone(),
    }
    match parse::<SeededSettings>(&settings.to_string()) {
        Ok(parsed) => {
            let parsed = serde_json::to_value(&parsed).unwrap();
            let result = if path == "/bounds" { &parsed["bounds"][field] } else { &parsed[field] };
            format!("{value} is read as {result}")
        }
        Err(faults) => format!("{value} is refused: {faults}"),
    }
}

/// Each number is tried with fractions, zero, a large value, `null`, a value out of range and a
/// string.
#[rstest]
#[case::heartbeat_ms("heartbeat_ms")]
#[case::apply_ms("apply_ms")]
#[case::drain_ms("drain_ms")]
#[case::revoke_ms("revoke_ms")]
#[case::grace_s("grace_s")]
#[case::retry_ratio("retry_ratio")]
#[case::retry_extra("retry_extra")]
#[case::retry_window_s("retry_window_s")]
#[case::tolerated_losses("tolerated_losses")]
fn each_number_is_accepted_or_rejected_with_its_path(#[case] field: &str) {
    let values = [
        json!(34.736_842_105_263_16),
        json!(1_200.5),
        json!(0),
        json!(1_000_000),
        json!(1e300),
        Value::Null,
        json!(-1),
        json!("soon"),
    ];
    let outcomes: Vec<_> = values.iter().map(|value| outcome(field, value)).collect();
    insta::assert_snapshot!(field, outcomes.join("\n"));
}

#[rstest]
#[case::whole(json!({ "memory_mb": 380, "max_files": 1_024 }), Ok((380, Some(1_024))))]
#[case::fractions_round_down(json!({ "memory_mb": 379.9, "max_files": 256.9 }), Ok((379, Some(256))))]
#[case::no_files(json!({ "memory_mb": 380 }), Ok((380, None)))]
#[case::null_files(json!({ "memory_mb": 380, "max_files": null }), Ok((380, None)))]
#[case::no_memory(json!({ "memory_mb": 0 }), Err("/resources/memory_mb: must be at least 1 MB"))]
#[case::negative_memory(
    json!({ "memory_mb": -5 }),
    Err("/resources/memory_mb: must be at least 1 MB")
)]
#[case::few_files(
    json!({ "memory_mb": 380, "max_files": 255 }),
    Err("/resources/max_files: must be at least 256 files")
)]
#[case::memory_missing(
    json!({ "max_files": 1_024 }),
    Err("/resources: \"memory_mb\" is a required property")
)]
#[case::unknown_field(
    json!({ "memory_mb": 380, "cores": 2 }),
    Err("/resources: Additional properties are not allowed ('cores' was unexpected)")
)]
fn resources_are_accepted_or_rejected_with_path_and_reason(
    #[case] resources: Value,
    #[case] expected: Result<(u64, Option<u64>), &str>,
) {
    let mut settings = settings();
    settings["resources"] = resources;
    let parsed = parse::<SeededSettings>(&settings.to_string());
    let read = parsed.map(|settings| settings.resources.unwrap());
    let read = read.map(|resources| (resources.memory_mb, resources.max_files));
    assert_eq!(read.map_err(|faults| faults.to_string()), expected.map_err(str::to_owned));
}

#[rstest]
#[case::missing(None)]
#[case::null(Some(Value::Null))]
fn resources_are_optional(#[case] written: Option<Value>) {
    let mut settings = settings();
    if let Some(written) = written {
        settings["resources"] = written;
    }
    assert_eq!(parse::<SeededSettings>(&settings.to_string()).unwrap().resources, None);
}

#[test]
fn missing_bounds_have_their_default_values() {
    let mut settings = settings();
    settings["bounds"] = json!({});
    settings.as_object_mut().unwrap().remove("tolerated_losses");
    let read = parse::<SeededSettings>(&settings.to_string()).unwrap();
    insta::assert_json_snapshot!((read.tolerated_losses, read.bounds));
}

#[test]
fn many_seeds_are_accepted_and_an_empty_list_is_rejected() {
    let mut settings = settings();
    let many: Vec<_> = (1..1_000).map(|port| format!("127.0.0.1:{port}")).collect();
    settings["seeds"] = json!(many);
    assert_eq!(parse::<SeededSettings>(&settings.to_string()).unwrap().seeds.len(), 999);
    settings["seeds"] = json!([]);
    let faults = parse::<SeededSettings>(&settings.to_string()).unwrap_err();
    assert_eq!(faults.to_string(), "/seeds: must not be empty");
}
