//! Callers get complete answers, and only their own, when engines fail.

use clayplank_standin::FaultKind;
use rstest::rstest;
use serde_json::json;

use crate::common::{assert_complete, completion_text, fast_engines, slow_engines, start_stream};
use crate::harness::{ACCOUNT_KEY, Engine, HOSTS, System, bearer, wait_for};

#[rstest]
#[case::cut_off(FaultKind::DropStream)]
#[case::twice(FaultKind::AnswerTwice)]
#[case::late(FaultKind::Late)]
#[case::out_of_order(FaultKind::OutOfOrder)]
#[case::lost(FaultKind::LoseAnswer)]
fn callers_get_their_own_complete_answers(#[case] kind: FaultKind) {
    let system = System::start(fast_engines());
    system.engines.iter().for_each(|engine| engine.inject_faults(kind, 100));
    let texts: Vec<_> = std::thread::scope(|scope| {
        let callers = (0..12).map(|caller| {
            let system = &system;
            scope.spawn(move || {
                let answer = system.complete(caller % HOSTS, &format!("question {caller}"), 8);
                assert_eq!(answer.status, 200, "{}", answer.text());
                completion_text(&answer)
            })
        });
        callers.collect::<Vec<_>>().into_iter().map(|caller| caller.join().unwrap()).collect()
    });
    texts.iter().for_each(|text| assert_complete(text, 8));
    let fingerprints: std::collections::BTreeSet<_> =
        texts.iter().map(|text| text.split('-').next().unwrap()).collect();
    assert_eq!(fingerprints.len(), texts.len(), "each has its own answer");
}

#[test]
fn a_stream_of_a_terminated_engine_never_looks_complete() {
    let mut system = System::start(slow_engines());
    let stream = start_stream(&system, 0, 60);
    system.engines.iter_mut().for_each(Engine::terminate);
    let answer = stream.join().unwrap();
    assert!(!answer.text().contains("[DONE]"), "{}", answer.text());
    assert!(!answer.is_complete);
    assert!(answer.text().contains("event: error"), "{}", answer.text());
}

#[test]
fn a_completion_survives_the_termination_of_its_engine() {
    let mut system = System::start(slow_engines());
    let answer = std::thread::scope(|scope| {
        let caller = scope.spawn({
            let (address, body) =
                (system.hosts[0].callers, json!({ "prompt": "q", "max_tokens": 60 }).to_string());
            move || {
                crate::harness::call(
                    address,
                    "POST",
                    "/v1/completions",
                    &[bearer(ACCOUNT_KEY)],
                    body.as_bytes(),
                )
                .unwrap()
            }
        });
        let busy = || system.engines.iter().position(|engine| engine.reserved_tokens() > 0);
        let mut engine = None;
        wait_for("the dispatch", || {
            engine = busy();
            engine.is_some()
        });
        system.engines[engine.unwrap()].terminate();
        caller.join().unwrap()
    });
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_complete(&completion_text(&answer), 60);
}

#[test]
fn invalid_requests_are_rejected_with_status_and_outcome() {
    let system = System::start(fast_engines());
    let cases = [
        ("/v1/completions", "", "{}", 401),
        ("/v1/completions", "other", "{}", 401),
        ("/v1/completions", ACCOUNT_KEY, "{}", 400),
        ("/v1/completions", ACCOUNT_KEY, "{", 400),
        ("/nowhere", ACCOUNT_KEY, "{}", 404),
    ];
    for (path, key, body, status) in cases {
        let answer = crate::harness::call(
            system.hosts[0].callers,
            "POST",
            path,
            &[bearer(key)],
            body.as_bytes(),
        )
        .unwrap();
        assert_eq!((answer.status, answer.outcome()), (status, "not-run"), "{}", answer.text());
    }
}
