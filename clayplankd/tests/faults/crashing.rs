//! A prompt that terminates every engine that runs it.
//!
//! Each call of the prompt used to start with a full retry budget, so that repeated calls
//! terminated one engine after the other. The test sends such a prompt through hosts with a fixed
//! configuration.

use std::collections::BTreeSet;
use std::time::Duration;

use serde_json::json;

use crate::common::slow_engines;
use crate::harness::{ACCOUNT_KEY, Engine, HOSTS, System, bearer, call, wait_for};

/// Longer than hosts need to learn that a prompt is quarantined, which takes milliseconds.
const QUARANTINE_WAIT: Duration = Duration::from_millis(1_500);

/// Logged by a host once it has checked whether a failed engine still listens, and found that it
/// does not.
const LOGGED_FAILURE: &str = "An upstream ended under requests";

fn body(prompt: &str) -> String {
    json!({ "prompt": prompt, "max_tokens": 60 }).to_string()
}

/// Sends a prompt and terminates each engine that starts it until the call ends; returns the number
/// of terminated engines.
fn terminate_its_engines(system: &mut System, host: usize) -> usize {
    let known: BTreeSet<_> = system.engines.iter().flat_map(Engine::started_attempts).collect();
    let address = system.hosts[host].callers;
    let caller = std::thread::spawn(move || {
        call(
            address,
            "POST",
            "/v1/completions",
            &[bearer(ACCOUNT_KEY)],
            body("crashing").as_bytes(),
        )
    });
    let mut terminated = 0;
    wait_for("the end of the call", || {
        // Reports of engines lag, and may still name attempts of earlier calls.
        let is_new = |engine: &Engine| !engine.started_attempts().is_subset(&known);
        let busy = system.engines.iter().position(is_new);
        if let Some(busy) = busy {
            let logged = system.count_logged(LOGGED_FAILURE);
            system.engines[busy].terminate();
            wait_for("the log line about the terminated engine", || {
                system.count_logged(LOGGED_FAILURE) > logged
            });
            system.engines[busy].restart();
            terminated += 1;
        }
        caller.is_finished()
    });
    caller.join().unwrap();
    terminated
}

fn started_attempts(system: &System) -> usize {
    system.engines.iter().map(|engine| engine.started_attempts().len()).sum()
}

#[test]
fn a_prompt_that_terminates_engines_is_quarantined() {
    let mut system = System::start(slow_engines());
    let mut terminated = 0;
    for host in 0.. {
        terminated += terminate_its_engines(&mut system, host % HOSTS);
        // By then the restarted engines are in use again.
        std::thread::sleep(QUARANTINE_WAIT);
        if terminated >= 3 {
            break;
        }
    }
    let before = started_attempts(&system);
    for host in 0..HOSTS {
        let answer = system.complete(host, "crashing", 60);
        assert_eq!(answer.status, 503, "{}", answer.text());
        assert!(answer.text().contains("held-back"), "{}", answer.text());
    }
    assert_eq!(started_attempts(&system), before, "no engine started it again");
    assert_eq!(system.complete(0, "another prompt", 8).status, 200);
}
