//! Requests that terminate every upstream that runs them.
//!
//! The failure: a caller repeated one request at any host. Each upstream that started it terminated
//! together with all other requests there, and returned seconds later; the caller got 502 and
//! repeated the request. 43 upstreams terminated under one request, 19 of them after it had already
//! terminated three, and a third to half of all other short prompts were refused, late or
//! interrupted.
//!
//! The cause: a host forgot a request when its call ended. The next call of the same
//! request, at this or another host, started with a full retry budget, and only upstreams were
//! blamed, so that each attempt went to an upstream that had not failed yet.
//!
//! The evidence: the same request fingerprint was logged at each termination, at all hosts
//! in turn, and was never served; the fingerprints of the requests beside it varied.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};

use crate::answer::Answer;
use crate::client::call;
use crate::crashing_upstreams::{CRASHING_BODY, FLEET_SERVICE, Fleet, FleetEvents};
use crate::failover::leader;
use crate::host::Host;
use crate::system::{System, Topology, call_with_key, plan, wait_for};

/// Upstreams of the service.
pub const UPSTREAMS: u8 = 18;

/// Entry hosts.
pub const ENTRIES: usize = 4;

/// Time during which the caller repeats its request.
const RUN: Duration = Duration::from_secs(12);

/// Maximum time from the decisive termination until all hosts know what causes them.
pub const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Maximum number of times that the cause may reach an upstream after that time.
pub const MAX_LATE: usize = 3;

/// Interval between two requests of the caller (12 per second).
const CRASHING_INTERVAL: Duration = Duration::from_millis(83);

/// Other callers, and the request interval of each (80 requests per second in total).
const OTHER_CALLERS: usize = 8;
const OTHER_INTERVAL: Duration = Duration::from_millis(100);

/// Result of one request of another caller.
#[derive(Clone, Copy, Debug)]
pub struct ObservedRequest {
    pub sent_at: Instant,
    pub is_served: bool,
    /// Whether the request was refused as one that terminates upstreams.
    pub is_quarantined: bool,
}

/// The plan with all routes pointing to the upstreams that can terminate.
fn fleet_plan(version: u64) -> Value {
    let mut plan = plan(version);
    plan["services"] = json!([{ "name": FLEET_SERVICE }]);
    for route in plan["routes"].as_array_mut().unwrap() {
        route["targets"] = json!([{ "service": FLEET_SERVICE, "weight": 1 }]);
    }
    plan
}

pub fn start() -> (System, Fleet) {
    let system = System::start_with(Topology { entries: ENTRIES, ..Topology::default() });
    let fleet = Fleet::start(&system, UPSTREAMS);
    system.wait_for_plan(&fleet_plan(2));
    wait_until_served(&system, "service by the fleet");
    // By then all upstreams have registered.
    std::thread::sleep(Duration::from_millis(700));
    (system, fleet)
}

/// Sends a request; an incomplete answer is returned with status 0.
fn send(system: &System, entry: usize, attempt: &str, path: &str, body: &str) -> Answer {
    let answer = call_with_key(system.entries[entry].callers(), attempt, 5_000, path, body);
    if answer.is_complete { answer } else { Answer::default() }
}

/// Waits until each entry host has received an answer from the fleet.
fn wait_until_served(system: &System, what: &str) {
    for entry in 0..ENTRIES {
        let mut number = 0;
        wait_for(what, || {
            number += 1;
            let attempt = format!("{what} {entry}-{number}").replace(' ', "-");
            send(system, entry, &attempt, "/repeatable/x", "hello").status == 200
        });
    }
}

/// Runs other callers' requests concurrently with `main`, and returns their results.
fn run_with_other_callers(
    system: &System,
    path: &str,
    body: Option<&str>,
    main: impl FnOnce(),
) -> Vec<ObservedRequest> {
    let is_finished = AtomicBool::new(false);
    let number = AtomicU64::new(0);
    let observed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for caller in 0..OTHER_CALLERS {
            let (is_finished, number, observed) = (&is_finished, &number, &observed);
            scope.spawn(move || {
                while !is_finished.load(Ordering::SeqCst) {
                    let attempt = format!("other-{}", number.fetch_add(1, Ordering::SeqCst));
                    let sent_at = Instant::now();
                    let entry = caller % ENTRIES;
                    let answer = send(system, entry, &attempt, path, body.unwrap_or(&attempt));
                    observed.lock().unwrap().push(ObservedRequest {
                        sent_at,
                        is_served: answer.status == 200,
                        is_quarantined: answer.text().contains("held_back"),
                    });
                    std::thread::sleep(OTHER_INTERVAL.saturating_sub(sent_at.elapsed()));
                }
            });
        }
        main();
        is_finished.store(true, Ordering::SeqCst);
    });
    observed.into_inner().unwrap()
}

/// Sends the crashing request to all hosts in turn, each time on a new thread.
fn send_repeatedly(system: &System, path: &str, run: Duration) -> Vec<u16> {
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        let mut number = 0;
        while started_at.elapsed() < run {
            number += 1;
            let statuses = Arc::clone(&statuses);
            scope.spawn(move || {
                let attempt = format!("crashing-{number}");
                let answer = send(system, number % ENTRIES, &attempt, path, CRASHING_BODY);
                statuses.lock().unwrap().push(answer.status);
            });
            std::thread::sleep(CRASHING_INTERVAL);
        }
    });
    Arc::into_inner(statuses).unwrap().into_inner().unwrap()
}

/// Instant from which all hosts must know that the request has terminated three upstreams.
fn known_at(events: &FleetEvents) -> Instant {
    events.terminations.get(2).copied().unwrap_or_else(Instant::now) + PROPAGATION_TIME
}

/// Number of times that the request reached an upstream after that instant.
fn late_sends(events: &FleetEvents) -> usize {
    let known_at = known_at(events);
    events.request_starts.iter().filter(|started| **started > known_at).count()
}

fn served(observed: &[ObservedRequest]) -> (usize, usize) {
    (observed.iter().filter(|one| one.is_served).count(), observed.len())
}

/// Without a record of requests across calls, three runs had 119 and 120 terminated upstreams in 12
/// s, 99 to 102 late sends, and 69 to 85% of the other requests served.
#[rstest]
#[case::repeatable("/repeatable/x", "/repeatable/y")]
#[case::stream("/stream/events/3", "/stream/events/4")]
fn a_request_that_terminates_upstreams_is_quarantined(
    #[case] crashing_path: &str,
    #[case] path: &str,
) {
    let (system, fleet) = start();
    let mut statuses = Vec::new();
    let observed = run_with_other_callers(&system, path, None, || {
        statuses = send_repeatedly(&system, crashing_path, RUN)
    });
    let events = fleet.events();
    let known_at = known_at(&events);
    let late = late_sends(&events);
    let after: Vec<_> = observed.iter().filter(|one| one.sent_at > known_at).copied().collect();
    println!(
        "{} upstreams terminated, {late} late sends; others served {:?}, after that time {:?}; statuses for the caller {:?}",
        events.terminations.len(),
        served(&observed),
        served(&after),
        statuses.iter().fold(std::collections::BTreeMap::new(), |mut counts, status| {
            *counts.entry(status).or_insert(0) += 1;
            counts
        }),
    );
    assert!(
        late <= MAX_LATE,
        "{late} sends later than {PROPAGATION_TIME:?} after the third termination"
    );
    let (good, all) = served(&after);
    assert!(good * 100 >= all * 99, "of {all} other requests after that time {good} were served");
}

/// A request with many concurrent copies must not be quarantined because upstreams that ran it were
/// killed for another reason.
#[test]
fn a_request_at_upstreams_killed_for_another_reason_is_not_quarantined() {
    let (system, fleet) = start();
    let observed = run_with_other_callers(&system, "/repeatable/x", Some("what all ask"), || {
        for round in 0..4 {
            std::thread::sleep(Duration::from_secs(2));
            fleet.kill((0..6).map(|number| (round * 6 + number) % usize::from(UPSTREAMS)));
        }
        std::thread::sleep(Duration::from_secs(2));
    });
    let (good, all) = served(&observed);
    let quarantined = observed.iter().filter(|one| one.is_quarantined).count();
    println!("{good} of {all} served, {quarantined} quarantined");
    assert_eq!(quarantined, 0, "quarantined requests that terminated no upstream");
    // Some requests have both attempts at upstreams that are killed: 795 of 800 were served without
    // quarantine.
    assert!(good * 100 >= all * 98, "{good} of {all} requests were served");
}

/// Number of times that the crashing request has reached an upstream.
fn crashing_starts(fleet: &Fleet) -> usize {
    fleet.events().request_starts.len()
}

/// The leader is killed while the request is repeated. The next leader must retain what is known of
/// the request.
#[test]
fn a_quarantine_survives_a_change_of_leader() {
    let (mut system, fleet) = start();
    let leader = leader(&system);
    let path = "/repeatable/x";
    // Some upstreams have terminated, though perhaps too few to quarantine the request.
    send_repeatedly(&system, path, Duration::from_millis(200));
    system.keepers[leader].kill();
    send_repeatedly(&system, path, Duration::from_secs(6));
    system.keepers[leader].start();
    let events = fleet.events();
    let late = late_sends(&events);
    println!("{} upstreams terminated, {late} late sends", events.terminations.len());
    assert!(
        late <= MAX_LATE,
        "{late} sends later than {PROPAGATION_TIME:?} after the third termination"
    );
}

/// All processes are killed and restarted with nothing but the keepers' disks, from which the
/// quarantine must be restored.
#[test]
fn a_quarantine_survives_a_restart_of_all_hosts() {
    let (mut system, fleet) = start();
    let path = "/repeatable/x";
    send_repeatedly(&system, path, Duration::from_secs(3));
    let before = crashing_starts(&fleet);
    system.keepers.iter_mut().chain(&mut system.entries).for_each(Host::kill);
    system.keepers.iter_mut().chain(&mut system.entries).for_each(Host::start);
    wait_until_served(&system, "service after the restart");
    let statuses = send_repeatedly(&system, path, Duration::from_secs(3));
    assert_eq!(crashing_starts(&fleet), before, "sends after the restart");
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
}

/// Quarantined requests as shown to an operator.
fn list_quarantined(system: &System) -> Vec<Value> {
    let answer = call(system.keepers[0].control(), "GET", "/v1/held-back", &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text());
    serde_json::from_str(&answer.text()).unwrap()
}

/// An operator reads which requests are quarantined and why, and lifts a quarantine, after which
/// the request is sent again.
#[test]
fn an_operator_reads_and_lifts_a_quarantine() {
    let (system, fleet) = start();
    assert_eq!(list_quarantined(&system), Vec::<Value>::new());
    send_repeatedly(&system, "/repeatable/x", Duration::from_secs(2));
    let before = crashing_starts(&fleet);
    let requests = list_quarantined(&system);
    let [one] = requests.as_slice() else { panic!("{requests:?}") };
    assert_eq!(one["caller"], "timekeepers");
    assert!(one["ended"].as_array().unwrap().len() >= 3, "{one}");
    let metrics = system.entries[0].metrics();
    assert!(metrics.contains("clayplank_entry_held_back 1"), "{metrics}");
    let path = format!("/v1/held-back/{}", one["fingerprint"].as_str().unwrap());
    let control = system.keepers[1].control();
    assert_eq!(call(control, "DELETE", &path, &[], "").status, 200);
    assert_eq!(call(control, "DELETE", &path, &[], "").status, 404, "already lifted");
    assert_eq!(call(control, "DELETE", "/v1/held-back/7", &[], "").status, 400);
    wait_for("hosts that send the request again", || {
        send_repeatedly(&system, "/repeatable/x", Duration::from_millis(200));
        crashing_starts(&fleet) > before
    });
}
