//! Edit scripts between serving plans: size, mismatched bases, damaged bytes, random texts.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_state::{EditError, PlanDocument, PlanEdit, encode};
use proptest::prelude::*;

/// A plan with routes numbered from 0 to `routes - 1`, except the route numbered `without`.
fn plan(version: u64, routes: u64, without: Option<u64>) -> PlanDocument {
    let numbers = (0..routes).filter(|number| Some(*number) != without);
    let routes: Vec<_> = numbers
        .map(|number| {
            let path = format!("/r{number}/");
            serde_json::json!({
                "name": format!("route-{number}"), "host": "dala.example", "path_prefix": path,
                "kind": "repeatable", "time_limit_ms": 4000, "goal_ms": 300,
                "targets": [{ "service": "app", "weight": 1 }],
            })
        })
        .collect();
    let plan = serde_json::json!({ "version": version, "services": [], "routes": routes });
    PlanDocument { version, text: plan.to_string().into() }
}

#[test]
fn a_change_of_a_large_plan_is_a_small_edit() {
    let (base, next) = (plan(7, 1_000, None), plan(9, 1_000, Some(500)));
    let edit = PlanEdit::between(&base, &next);
    assert_eq!(edit.apply(&base).unwrap(), next);
    let (edit_bytes, text_bytes) = (encode(&edit).unwrap().len(), next.text.len());
    assert!(edit_bytes * 500 < text_bytes, "{edit_bytes} bytes for {text_bytes}");
}

#[test]
fn an_edit_of_another_plan_is_rejected() {
    let (base, next) = (plan(1, 3, None), plan(2, 4, None));
    let edit = PlanEdit::between(&base, &next);
    assert_eq!(edit.apply(&next), Err(EditError::BaseMismatch { base: 1, current: 2 }));
    let other = PlanDocument { version: 1, ..plan(5, 2, None) };
    assert_eq!(edit.apply(&other), Err(EditError::ResultMismatch { version: 2 }));
}

#[test]
fn a_complete_plan_replaces_any_plan() {
    let next = plan(3, 5, None);
    let edit = PlanEdit::full(&next);
    for current in [PlanDocument::default(), plan(2, 4, None)] {
        assert_eq!(edit.apply(&current).unwrap(), next);
    }
}

#[test]
fn many_new_routes_are_compressed_to_a_fraction_of_their_text() {
    let (base, next) = (plan(3, 10, None), plan(6, 1_410, None));
    let edit = PlanEdit::between(&base, &next);
    let packed = edit.pack().unwrap();
    assert!(packed.len() * 10 < next.text.len(), "{} of {}", packed.len(), next.text.len());
    assert_eq!(PlanEdit::unpack(&packed).unwrap(), edit);
}

#[test]
fn damaged_edits_are_rejected() {
    let packed = PlanEdit::full(&plan(1, 20, None)).pack().unwrap();
    assert!(PlanEdit::unpack(&packed[..packed.len() / 2]).is_err());
    assert!(PlanEdit::unpack(b"no edit").is_err());
}

proptest! {
    #[test]
    fn an_edit_reproduces_any_text(old in "[ab{}]{0,40}", new in "[ab{}é]{0,40}") {
        let base = PlanDocument { version: 1, text: old.into() };
        let next = PlanDocument { version: 2, text: new.into() };
        prop_assert_eq!(PlanEdit::between(&base, &next).apply(&base).unwrap(), next);
    }
}
