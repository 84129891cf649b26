//! Requests that may run once run at most once, and commands to engines carry a fencing token.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use clayplank_standin::FaultKind;
use rstest::rstest;
use serde_json::json;

use crate::common::fast_engines;
use crate::harness::{ACCOUNT_KEY, DALA_KEY, Engine, HOSTS, System, bearer, wait_for};

/// Outcomes that callers received for each post, by idempotency key.
#[derive(Default)]
pub struct ReportedOutcomes {
    outcomes: Mutex<BTreeMap<String, Vec<String>>>,
}

impl ReportedOutcomes {
    /// Sends the same post to two hosts in turn, as a caller does whose first answer was lost.
    pub fn post_twice(
        &self,
        addresses: &[SocketAddr],
        first: usize,
        key: &str,
        more: &[(String, String)],
    ) {
        let mut headers = vec![bearer(ACCOUNT_KEY), ("idempotency-key".to_owned(), key.to_owned())];
        headers.extend_from_slice(more);
        for attempt in 0..2 {
            let address = addresses[(first + attempt) % HOSTS];
            let answer = crate::harness::call(address, "POST", "/results/times", &headers, b"{}")
                .unwrap_or_default();
            let mut outcomes = self.outcomes.lock().unwrap();
            outcomes.entry(key.to_owned()).or_default().push(answer.outcome().to_owned());
        }
    }

    /// Number of posts answered so far.
    fn answered(&self) -> usize {
        let outcomes = self.outcomes.lock().unwrap();
        outcomes.values().flatten().filter(|outcome| *outcome == "answered").count()
    }

    /// Compares the reported outcomes with what the service ran, and returns how many posts were
    /// answered.
    pub fn check(self, runs: &BTreeMap<String, u64>) -> usize {
        assert!(runs.values().all(|&count| count == 1), "{runs:?}");
        let reported = self.outcomes.into_inner().unwrap();
        for (key, outcomes) in &reported {
            let ran = runs.contains_key(key);
            if outcomes.iter().all(|outcome| outcome == "not-run") {
                assert!(!ran, "{key} was reported as `not-run`, but ran");
            }
            if outcomes.iter().any(|outcome| outcome == "answered") {
                assert!(ran, "{key} was answered, but did not run");
            }
        }
        reported.values().flatten().filter(|outcome| *outcome == "answered").count()
    }
}

/// Posts that must be answered before the next host is killed. Each lost answer blocks a caller for
/// more than a second, so the number that completes in a fixed time depends on the load of the
/// machine.
const ANSWERED_PER_ROUND: usize = 3;

#[test]
fn posts_run_at_most_once_and_not_run_is_accurate_under_kills() {
    let mut system = System::start(fast_engines());
    let reported = ReportedOutcomes::default();
    let is_finished = AtomicBool::new(false);
    let next = AtomicUsize::new(0);
    let addresses: Vec<_> = system.hosts.iter().map(|host| host.callers).collect();
    std::thread::scope(|scope| {
        for caller in 0..6 {
            let (addresses, reported, is_finished, next) =
                (&addresses, &reported, &is_finished, &next);
            scope.spawn(move || {
                while !is_finished.load(Ordering::SeqCst) {
                    let key = format!("k{}", next.fetch_add(1, Ordering::SeqCst));
                    reported.post_twice(addresses, caller, &key, &[]);
                }
            });
        }
        for round in 0..4 {
            system.service.inject_faults(FaultKind::LoseAnswer, 5);
            let host = round % HOSTS;
            system.kill(host);
            std::thread::sleep(Duration::from_millis(700));
            system.spawn(host);
            system.wait_healthy(host);
            let wanted = reported.answered() + ANSWERED_PER_ROUND;
            wait_for("answers between two kills", || reported.answered() >= wanted);
        }
        is_finished.store(true, Ordering::SeqCst);
    });
    let answered = reported.check(&system.service.runs());
    assert!(answered > 10, "only {answered} were answered");
}

#[test]
fn a_repeated_post_gets_its_first_answer_and_another_body_is_refused() {
    let system = System::start(fast_engines());
    let first = system.post(0, "finish-41");
    assert_eq!((first.status, first.outcome()), (200, "answered"));
    let second = system.post(1, "finish-41");
    assert_eq!((second.status, &second.body), (200, &first.body));
    assert_eq!(second.header("x-clayplank-repeated"), Some("true"));
    let headers = [bearer(ACCOUNT_KEY), ("idempotency-key".to_owned(), "finish-41".to_owned())];
    let other =
        crate::harness::call(system.hosts[2].callers, "POST", "/results/times", &headers, b"other")
            .unwrap();
    assert_eq!(other.status, 409);
    assert_eq!(system.service.runs()["finish-41"], 1);
    system.service.inject_faults(FaultKind::LoseAnswer, 1);
    assert_eq!(system.post(0, "finish-42").outcome(), "unknown");
    assert_eq!(system.post(1, "finish-42").outcome(), "unknown", "and is not run again");
    assert_eq!(system.service.runs()["finish-42"], 1);
}

#[test]
fn an_adapter_is_loaded_under_a_fencing_token_and_an_old_token_is_rejected() {
    let system = System::start(vec![Engine::start(8, 2.0)]);
    let adapted = json!({ "deadline_ms": 10_000, "model": "base", "adapter": "rota-7" });
    let version = system.get_operator_view(0, "/settings/templates/short").unwrap()["version"]
        .as_u64()
        .unwrap();
    assert_eq!(
        system.put_setting(0, DALA_KEY, "templates/short", "adapt", version, &adapted).status,
        200
    );
    for host in 0..HOSTS {
        wait_for("an answer with the adapter", || system.complete(host, "q", 1).status == 200);
        wait_for("the new template", || {
            system
                .get_operator_view(host, "/settings/templates/short")
                .is_some_and(|shown| shown["value"]["adapter"] == "rota-7")
        });
    }
    wait_for("the adapter", || {
        system.complete(0, "q", 1).status == 200 && system.engines[0].adapters() == ["rota-7"]
    });
    let old = json!({ "fence": 0, "order": "load-adapter", "adapter": "other" }).to_string();
    let refused =
        crate::harness::call(system.engines[0].address, "POST", "/orders", &[], old.as_bytes())
            .unwrap();
    assert_eq!(refused.status, 409);
}

#[rstest]
#[case::that_is_late(FaultKind::Late)]
#[case::that_is_frozen(FaultKind::Freeze)]
fn an_admitted_request_ends_within_its_deadline_at_an_engine(#[case] kind: FaultKind) {
    let system = System::start(fast_engines());
    system.engines.iter().for_each(|engine| engine.inject_faults(kind, 100));
    let body = json!({ "prompt": "q", "max_tokens": 2 }).to_string();
    // The late engine would answer after 700 ms, the frozen one never.
    let headers = [bearer(ACCOUNT_KEY), ("x-clayplank-deadline-ms".to_owned(), "500".to_owned())];
    let answer = crate::harness::call(
        system.hosts[0].callers,
        "POST",
        "/v1/completions",
        &headers,
        body.as_bytes(),
    )
    .unwrap();
    assert_eq!(answer.outcome(), "failed", "{}", answer.text());
}
