//! Guarantees of seeded hosts, tested with real processes.

use std::io::{BufRead, Write};
use std::net::SocketAddr;

use clayplank_placement::EngineModel;
use rstest::rstest;
use serde_json::{Value, json};

use crate::answer::Answer;
use crate::client::call;
use crate::system::{KEY, System, Topology, plan, publish, wait_for};

#[test]
fn answers_pass_unchanged_and_faults_are_reported_accurately() {
    let system = System::start();
    let plain = system.send(0, "a1", "/repeatable/x?y=1", &[]);
    assert_eq!((plain.status, plain.text().as_str()), (200, "body"));
    assert!(plain.header("x-clayplank-seal").is_some());
    assert!(system.runs.lock().accounts.contains("timekeepers"));
    assert!(system.runs.lock().leaked.is_empty(), "the key stays with the entry host");

    assert_eq!(system.send(0, "a2", "/nowhere/", &[]).status, 404);
    let no_key = [("x-clayplank-attempt-id", "a3")];
    let entry = system.entries[0].callers();
    assert_eq!(call(entry, "POST", "/once/x", &no_key, "").status, 401);
    let wrong_key = [("authorization", "Bearer wrong"), ("x-clayplank-attempt-id", "a4")];
    assert_eq!(call(entry, "POST", "/once/x", &wrong_key, "").status, 401);

    let refused = system.send(1, "a5", "/once/x", &[("x-standin-fault", "refuse")]);
    assert_eq!((refused.status, system.runs.count("a5")), (200, 1), "another upstream ran it");
    let lost = system.send(0, "a6", "/once/x", &[("x-standin-fault", "lose")]);
    assert_eq!((lost.status, system.runs.count("a6")), (502, 1), "it may have run");
    let again = system.send(0, "a7", "/repeatable/x", &[("x-standin-fault", "lose")]);
    assert_eq!((again.status, system.runs.count("a7")), (200, 2));
    let foreign = system.send(0, "a8", "/once/x", &[("x-standin-fault", "foreign")]);
    assert_eq!(foreign.status, 502, "an answer to another request is discarded");
    let unsealed = system.send(0, "a9", "/repeatable/x", &[("x-standin-fault", "unsealed")]);
    assert_eq!((unsealed.status, system.runs.count("a9")), (200, 2));
    assert!(system.entries[0].metrics().contains("clayplank_entry_requests_total"));
}

/// A plan without any account opened the system to requests with any key, and without one.
#[test]
fn no_request_runs_once_a_plan_has_removed_the_last_account() {
    let system = System::start();
    let mut without_accounts = plan(2);
    without_accounts["accounts"] = json!([]);
    assert_eq!(publish(&system.keepers[0], &without_accounts).status, 200);
    for entry in 0..system.entries.len() {
        let mut number = 0;
        wait_for("the plan at each host", || {
            number += 1;
            system.send(entry, &format!("removed-{entry}-{number}"), "/once/x", &[]).status == 401
        });
        let attempt = format!("without-{entry}");
        let no_key = [("x-clayplank-attempt-id", attempt.as_str())];
        let answer = call(system.entries[entry].callers(), "POST", "/once/x", &no_key, "");
        assert_eq!((answer.status, system.runs.count(&attempt)), (401, 0));
    }
    assert_eq!(publish(&system.keepers[0], &plan(3)).status, 200);
    wait_for("service under the next plan", || {
        system.send(0, "restored", "/repeatable/x", &[]).status == 200
    });
}

/// An edit of the plan with version 0 was sent to hosts that have no plan.
#[test]
fn a_host_that_starts_after_a_plan_with_version_0_gets_the_next_plan() {
    let topology = Topology { first_plan_version: 0, ..Topology::default() };
    let mut system = System::start_with(topology);
    assert_eq!(publish(&system.keepers[0], &plan(1)).status, 200);
    system.entries[0].kill();
    system.entries[0].start();
    wait_for("readiness", || system.entries[0].is_ready());
    assert_eq!(system.send(0, "a1", "/repeatable/x", &[]).status, 200);
}

#[test]
fn a_stream_that_breaks_inside_an_event_resumes_at_another_upstream() {
    let system = System::start();
    let answer = system.send(0, "s1", "/stream/events/12", &[("x-standin-fault", "break")]);
    assert!(answer.is_complete);
    let text = answer.text();
    let ids: Vec<u64> =
        text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    assert_eq!(ids, (1..=12).collect::<Vec<_>>());
    assert!(text.contains("data: u1") && text.contains("data: u2"), "both sent a part");
    assert_eq!(system.runs.count("s1"), 2);

    let later = system.send(0, "s2", "/stream/events/5", &[("last-event-id", "3")]);
    assert!(later.text().starts_with("id: 4\n"));
}

#[test]
fn a_stream_that_stalls_and_then_breaks_uses_no_more_attempts_than_its_route_allows() {
    let mut system = System::start();
    system.start_upstream("u3", 23);
    for keeper in 0..system.keepers.len() {
        system.send_heartbeat(keeper, "u3", "ready");
    }
    // While the first upstream is unresponsive, the request is also sent to a second one, which is
    // cancelled when the first continues. Both count as attempts.
    let answer = system.send(0, "f1", "/stream/events/12", &[("x-standin-fault", "falter")]);
    assert!(!answer.is_complete, "no third upstream may finish it");
    assert_eq!(system.runs.count("f1"), 2);
}

#[test]
fn a_caller_that_disconnects_before_an_answer_is_logged() {
    let system = System::start();
    let callers = system.entries[0].callers();
    let mut caller = std::net::TcpStream::connect(callers).unwrap();
    let request = format!(
        "POST /once/x HTTP/1.1\r\nhost: dala.example\r\nauthorization: Bearer {KEY}\r\n\
         x-clayplank-attempt-id: gone-1\r\nx-clayplank-deadline-ms: 9000\r\n\
         x-standin-fault: slow\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).unwrap();
    wait_for("the start of the request", || system.runs.count("gone-1") == 1);
    drop(caller);
    let line = "\"message\":\"The caller left before an answer\"";
    wait_for("the log line", || {
        let log = system.entries[0].log();
        log.lines().any(|one| one.contains(line) && one.contains("gone-1") && one.contains("\"u"))
    });
}

/// Time limit of the route in the test below, in ms. The answer would take as long.
const LONG_LIMIT_MS: u64 = 600_000;

/// Guards against work that continues after its caller has disconnected and takes the place of
/// other work.
#[rstest]
#[case::during_prefill("1500000,73")]
#[case::during_generation("2000,30000000")]
fn a_caller_that_disconnects_cancels_work_at_its_engine(#[case] tokens: &str) {
    let system = System::start();
    let model = EngineModel { memory_tokens: 100_000_000, ..EngineModel::default() };
    let engine = system.start_engine("e1", 31, model.clone());
    let mut plan = plan_with_engines(2, &model);
    let route = plan["routes"].as_array_mut().unwrap().last_mut().unwrap();
    route["time_limit_ms"] = json!(LONG_LIMIT_MS);
    route["goal_ms"] = json!(LONG_LIMIT_MS);
    system.wait_for_plan(&plan);
    let short = [("x-clayplank-tokens", "2000,90")];
    wait_for("an answer to a short prompt", || {
        system.send(0, "short", "/prompt/x", &short).status == 200
    });
    let mut caller = std::net::TcpStream::connect(system.entries[0].callers()).unwrap();
    let request = format!(
        "POST /prompt/x HTTP/1.1\r\nhost: dala.example\r\nauthorization: Bearer {KEY}\r\n\
         x-clayplank-attempt-id: gone-2\r\nx-clayplank-deadline-ms: {LONG_LIMIT_MS}\r\n\
         x-clayplank-tokens: {tokens}\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).unwrap();
    wait_for("work at the engine", || memory_in_use(engine) > 1_000_000);
    drop(caller);
    wait_for("the end of work at the engine", || memory_in_use(engine) == 0);
}

#[test]
fn plans_are_validated_and_the_highest_version_is_in_force() {
    let system = System::start();
    let mut second = plan(5);
    second["routes"][0]["path_prefix"] = json!("/renamed/");
    assert_eq!(publish(&system.keepers[1], &second).status, 200);
    wait_for("the new route", || system.send(0, "p1", "/renamed/x", &[]).status == 200);
    assert_eq!(publish(&system.keepers[2], &plan(3)).status, 200, "superseded by version 5");
    assert_eq!(publish(&system.keepers[2], &second).status, 200, "a resend");
    assert_eq!(publish(&system.keepers[2], &plan(5)).status, 409, "another plan of this version");
    let mut wrong = plan(6);
    wrong["routes"][0]["targets"][0]["service"] = json!("gone");
    wrong["accounts"][0]["keys"] = json!([]);
    let refused = publish(&system.keepers[0], &wrong);
    assert_eq!(refused.status, 400);
    assert!(refused.text().contains("/routes/0/targets/0/service"), "{}", refused.text());
    assert_eq!(publish(&system.keepers[0], &json!("no plan")).status, 400);
    for keeper in &system.keepers {
        let mut confirmed = String::new();
        wait_for("a confirmed read", || {
            let answer = call(keeper.control(), "GET", "/v1/plan", &[], "");
            confirmed = answer.text();
            answer.status == 200
        });
        assert_eq!(confirmed, second.to_string(), "the plan is stored as it was sent");
    }
}

#[test]
fn a_removed_key_is_rejected_at_all_hosts() {
    let system = System::start();
    let mut without = plan(2);
    without["accounts"][0]["keys"] = json!(["another"]);
    system.wait_for_plan(&without);
    for entry in 0..system.entries.len() {
        wait_for("the refusal", || system.send(entry, "k1", "/once/x", &[]).status == 401);
    }
    let other = [("authorization", "Bearer another"), ("x-clayplank-attempt-id", "k2")];
    let entry = system.entries[0].callers();
    wait_for("the other key", || call(entry, "POST", "/once/x", &other, "").status == 200);
}

#[test]
fn a_draining_upstream_gets_no_requests_after_the_acknowledgement() {
    let mut system = System::start();
    wait_for("the acknowledgement", || system.send_heartbeat(0, "u1", "draining").status == 200);
    // The update reaches each entry host with its next exchange with a keeper.
    wait_for("the update at the entry hosts", || {
        (0..40).all(|number| {
            let attempt = format!("d{number}-{}", rand_suffix());
            let answer = system.send(number % 2, &attempt, "/repeatable/x", &[]);
            answer.header("x-clayplank-seal") == Some("u2")
        })
    });
    wait_for("an acknowledged heartbeat", || system.send_heartbeat(1, "u1", "ready").status == 200);
    for number in 0..20 {
        let attempt = format!("e{number}");
        let answer = system.send(number % 2, &attempt, "/repeatable/x", &[]);
        assert_eq!(answer.status, 200);
    }
}

/// Unique suffix, since each attempt id may be used only once.
fn rand_suffix() -> u128 {
    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos()
}

#[test]
fn keepers_survive_kills_and_a_lost_disk() {
    let mut system = System::start();
    let second = plan(2);
    let second_text = second.to_string();
    system.wait_for_plan(&second);
    system.keepers[0].kill();
    std::fs::remove_dir_all(&system.keepers[0].data).unwrap();
    wait_for("the plan at the other two", || {
        let confirmed = call(system.keepers[1].control(), "GET", "/v1/plan", &[], "");
        confirmed.text() == second_text
    });
    system.keepers[0].start();
    wait_for("the repaired keeper", || {
        let confirmed = call(system.keepers[0].control(), "GET", "/v1/plan", &[], "");
        confirmed.text() == second_text
    });
    // Once the repaired keeper votes, the loss of another keeper is tolerated.
    let third = plan(3);
    wait_for("a change with all three", || publish(&system.keepers[0], &third).status == 200);
    system.keepers[1].kill();
    let fourth = plan(4);
    let fourth_text = fourth.to_string();
    system.wait_for_plan(&fourth);
    system.keepers[2].kill();
    system.keepers[0].kill();
    for keeper in 0..system.keepers.len() {
        system.keepers[keeper].start();
    }
    wait_for("the plan after a restart of all keepers", || {
        let confirmed = call(system.keepers[2].control(), "GET", "/v1/plan", &[], "");
        confirmed.text() == fourth_text
    });
    wait_for("readiness", || system.entries.iter().all(|entry| entry.is_ready()));
    system.send_heartbeats_until_served();
}

#[test]
fn a_planned_stop_interrupts_no_request() {
    let mut system = System::start();
    let callers = system.entries[0].callers();
    let slow = std::thread::spawn(move || {
        let key = format!("Bearer {KEY}");
        let headers = [
            ("authorization", key.as_str()),
            ("x-clayplank-attempt-id", "slow-1"),
            ("x-standin-fault", "slow"),
        ];
        call(callers, "POST", "/once/x", &headers, "body")
    });
    wait_for("the start of the request", || system.runs.count("slow-1") == 1);
    system.entries[0].terminate();
    wait_for("the end of readiness", || !system.entries[0].is_ready());
    let answer = slow.join().unwrap();
    assert_eq!((answer.status, answer.is_complete), (200, true));
    wait_for("the end of the process", || system.entries[0].has_ended());
    assert_eq!(system.send(1, "after", "/once/x", &[]).status, 200, "the other host still serves");
}

/// An engine too small for the long prompt below, which fits into three of them together.
fn small_engine() -> EngineModel {
    EngineModel { memory_tokens: 40_000, ..EngineModel::default() }
}

/// A plan with an additional route to a pool of engines.
pub fn plan_with_engines(version: u64, model: &EngineModel) -> Value {
    let mut plan = plan(version);
    plan["services"].as_array_mut().unwrap().push(json!({ "name": "pool", "engine": model }));
    plan["routes"].as_array_mut().unwrap().push(json!({
        "name": "prompt", "host": "dala.example", "path_prefix": "/prompt/",
        "kind": "resumable_stream", "time_limit_ms": 9000, "goal_ms": 3000,
        "pause_goal_ms": 800, "max_attempts": 2, "targets": [{ "service": "pool", "weight": 1 }],
    }));
    plan
}

/// Report of an engine about its load.
pub fn report(engine: SocketAddr) -> Value {
    let answer = call(engine, "GET", "/v1/report", &[], "");
    serde_json::from_str(&answer.text()).unwrap()
}

fn memory_in_use(engine: SocketAddr) -> u64 {
    let report = report(engine);
    report["used_tokens"].as_u64().unwrap() + report["reserved_tokens"].as_u64().unwrap()
}

#[test]
fn a_prompt_too_large_for_one_engine_is_prefilled_by_several_and_its_memory_is_released() {
    let system = System::start();
    let engines: Vec<_> = (1..=3_u8)
        .map(|number| system.start_engine(&format!("e{number}"), 30 + number, small_engine()))
        .collect();
    system.wait_for_plan(&plan_with_engines(2, &small_engine()));
    let short = [("x-clayplank-tokens", "2000,90")];
    wait_for("an answer to a short prompt", || {
        system.send(0, "short", "/prompt/x", &short).status == 200
    });
    let long = [("x-clayplank-tokens", "90000,138")];
    let mut answer = Answer::default();
    let mut number = 0;
    // The prompt needs all three engines, and is refused until all of them have registered.
    wait_for("an answer to the long prompt", || {
        number += 1;
        answer = system.send(1, &format!("long-{number}"), "/prompt/x", &long);
        answer.status == 200
    });
    assert!(answer.is_complete);
    assert_eq!(answer.text().matches("id: ").count(), 3, "{}", answer.text());
    wait_for("the release of all memory", || {
        engines.iter().all(|&engine| memory_in_use(engine) == 0)
    });
}

#[test]
fn changed_settings_are_applied_without_a_restart() {
    let system = System::start();
    let entry = &system.entries[0];
    entry.change_settings(|settings| {
        settings["bounds"]["retry_ratio"] = json!(0.0);
        settings["bounds"]["retry_extra"] = json!(0);
        settings["data_centre"] = json!("another");
        settings["resources"] = json!({ "memory_mb": 512 });
        settings["log"] = json!({ "level": "debug" });
    });
    let line = "\"message\":\"Took in changed settings\"";
    wait_for("the log line about changed settings", || entry.log().contains(line));
    assert!(entry.log().contains("\"for_next_start\":\"data_centre,resources\""));
    // One retry per window is always allowed; the second shows that the budget is empty.
    for (attempt, status) in [("h1", 200), ("h2", 502)] {
        let lost = system.send(0, attempt, "/repeatable/x", &[("x-standin-fault", "lose")]);
        assert_eq!(lost.status, status, "{attempt}");
    }
    entry.change_settings(|settings| settings["bounds"]["grace_s"] = json!("soon"));
    wait_for("the refusal of wrong settings", || {
        entry.log().contains("Changed settings were not taken")
    });
    assert!(entry.log().contains("/bounds/grace_s"));
    assert_eq!(
        system.send(0, "h3", "/once/x", &[]).status,
        200,
        "the former settings are in force"
    );
}

#[test]
fn an_unread_log_pipe_blocks_no_request() {
    let mut system = System::start();
    let entry = &mut system.entries[0];
    entry.kill();
    entry.change_settings_file(|settings| settings["log"] = json!({ "buffered_lines": 16 }));
    let pipe = entry.start_with_pipe();
    wait_for("readiness", || system.entries[0].is_ready());
    // A rejection at the listener is always logged. These lines exceed the capacity of a pipe.
    for number in 0..1_000 {
        let attempt = format!("full-{number}");
        assert_eq!(system.send(0, &attempt, "/nowhere/", &[]).status, 404);
    }
    system.entries[0].terminate();
    let lines: Vec<Value> = std::io::BufReader::new(pipe)
        .lines()
        .map(|line| serde_json::from_str(&line.unwrap()).unwrap())
        .collect();
    let logged = |message: &str| lines.iter().find(|line| line["message"] == message);
    let dropped = logged("Log lines were dropped").expect("the count of dropped lines");
    assert!(dropped["lines"].as_u64().unwrap() > 0);
    assert!(logged("Stopped").is_some(), "the last line is written before the end");
}

#[test]
fn a_missing_prefill_helper_is_reported_and_others_prefill_the_prompt() {
    let system = System::start();
    // A prompt of this length is prefilled by all three engines.
    for number in 1..=2_u8 {
        system.start_engine(&format!("e{number}"), 30 + number, EngineModel::default());
    }
    // This engine registers, but nothing listens at its address.
    system.register_engine("e4", 34);
    system.wait_for_plan(&plan_with_engines(2, &EngineModel::default()));
    wait_for("the route", || system.send(0, "route", "/prompt/x", &[]).status != 404);
    let long = [("x-clayplank-tokens", "240000,92")];
    let mut number = 0;
    wait_for("the log line about the missing helper", || {
        number += 1;
        let answer = system.send(0, &format!("named-{number}"), "/prompt/x", &long);
        assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
        system.entries[0].log().contains("A helper was at fault")
    });
    let log = system.entries[0].log();
    let line = log.lines().find(|line| line.contains("A helper was at fault")).unwrap();
    assert!(line.contains("\"upstream\":\"e4\""), "{line}");
}
