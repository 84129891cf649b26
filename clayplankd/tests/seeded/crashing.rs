//! Requests that end whatever runs them.
//!
//! What users saw: a caller sent one request again and again, at any host. Each upstream that began
//! to run it ended, with all else that ran there, and was back after some seconds; the caller got
//! 502 and came again. 43 upstreams ended under one request, 19 times after it had ended three, and
//! of everybody else's short prompts a third to half were refused, late or broken off.
//!
//! The cause: what a host knew of a request ended with its call. The next call of the same request,
//! there or elsewhere, began with all of its tries; only upstreams were blamed, so that each try took
//! one that had not failed yet.
//!
//! The evidence: with the fingerprints of requests in the log, one of them stood at each of the ends,
//! at all hosts in turn, and was never served; the requests that stood beside it changed.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rstest::rstest;
use serde_json::{Value, json};

use crate::answer::Answer;
use crate::client::call;
use crate::crashing_upstreams::{CRASHING_BODY, FLEET, Fleet, Story};
use crate::failover::leader;
use crate::host::Host;
use crate::system::{Shape, System, call_with_key, plan, wait_for};

/// Upstreams of the service.
const UPSTREAMS: u8 = 18;

/// Entry hosts.
const ENTRIES: usize = 4;

/// How long the caller goes on.
const RUN: Duration = Duration::from_secs(12);

/// Hosts have this time to know that a request has ended three upstreams.
const CONTACT: Duration = Duration::from_secs(3);

/// Upstreams that the request may end after that time.
const MAX_LATE: usize = 3;

/// Between two requests of the caller: 12 a second.
const CRASHING_EVERY: Duration = Duration::from_millis(83);

/// Callers beside it, and between two requests of each: 80 a second in all.
const OTHERS: usize = 8;
const OTHER_EVERY: Duration = Duration::from_millis(100);

/// One request of another caller.
#[derive(Clone, Copy, Debug)]
struct Seen {
    sent_at: Instant,
    is_served: bool,
    /// Whether it was refused as one that ends upstreams.
    is_held_back: bool,
}

/// The plan, with all routes to the upstreams that end.
fn fleet_plan(version: u64) -> Value {
    let mut plan = plan(version);
    plan["services"] = json!([{ "name": FLEET }]);
    for route in plan["routes"].as_array_mut().unwrap() {
        route["targets"] = json!([{ "service": FLEET, "weight": 1 }]);
    }
    plan
}

fn start() -> (System, Fleet) {
    let system = System::start_as(Shape { entries: ENTRIES, ..Shape::default() });
    let fleet = Fleet::start(&system, UPSTREAMS);
    system.wait_for_plan(&fleet_plan(2));
    wait_until_served(&system, "service by the fleet");
    // All of them have told of themselves by then.
    std::thread::sleep(Duration::from_millis(700));
    (system, fleet)
}

/// The answer; its status is 0 if it was not whole.
fn send(system: &System, entry: usize, attempt: &str, path: &str, body: &str) -> Answer {
    let answer = call_with_key(system.entries[entry].callers(), attempt, 5_000, path, body);
    if answer.is_whole { answer } else { Answer::default() }
}

/// Waits until each entry host has an answer of the fleet.
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

/// Plays others' requests beside `main`, and returns what became of them.
fn beside_others(
    system: &System,
    path: &str,
    body: Option<&str>,
    main: impl FnOnce(),
) -> Vec<Seen> {
    let is_over = AtomicBool::new(false);
    let number = AtomicU64::new(0);
    let seen = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for caller in 0..OTHERS {
            let (is_over, number, seen) = (&is_over, &number, &seen);
            scope.spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let attempt = format!("other-{}", number.fetch_add(1, Ordering::SeqCst));
                    let sent_at = Instant::now();
                    let entry = caller % ENTRIES;
                    let answer = send(system, entry, &attempt, path, body.unwrap_or(&attempt));
                    seen.lock().unwrap().push(Seen {
                        sent_at,
                        is_served: answer.status == 200,
                        is_held_back: answer.text().contains("held_back"),
                    });
                    std::thread::sleep(OTHER_EVERY.saturating_sub(sent_at.elapsed()));
                }
            });
        }
        main();
        is_over.store(true, Ordering::SeqCst);
    });
    seen.into_inner().unwrap()
}

/// Sends the crashing request at all hosts in turn, each time on a thread of its own.
fn press(system: &System, path: &str, run: Duration) -> Vec<u16> {
    let statuses = Arc::new(Mutex::new(Vec::new()));
    let began = Instant::now();
    std::thread::scope(|scope| {
        let mut number = 0;
        while began.elapsed() < run {
            number += 1;
            let statuses = Arc::clone(&statuses);
            scope.spawn(move || {
                let attempt = format!("crashing-{number}");
                let answer = send(system, number % ENTRIES, &attempt, path, CRASHING_BODY);
                statuses.lock().unwrap().push(answer.status);
            });
            std::thread::sleep(CRASHING_EVERY);
        }
    });
    Arc::into_inner(statuses).unwrap().into_inner().unwrap()
}

/// From when on all hosts can know that the request has ended three upstreams.
fn known_at(story: &Story) -> Instant {
    story.ended.get(2).copied().unwrap_or_else(Instant::now) + CONTACT
}

/// How often the request reached an upstream after that.
fn late_sends(story: &Story) -> usize {
    let known_at = known_at(story);
    story.begun.iter().filter(|begun| **begun > known_at).count()
}

fn served(seen: &[Seen]) -> (usize, usize) {
    (seen.iter().filter(|one| one.is_served).count(), seen.len())
}

/// Before requests were remembered, three runs: 119 and 120 upstreams ended in 12 s, 99 to 102 sends
/// came too late, and of the others' requests 69 to 85% were served.
#[rstest]
#[case::repeatable("/repeatable/x", "/repeatable/y")]
#[case::stream("/stream/events/3", "/stream/events/4")]
fn a_request_that_ends_upstreams_is_held_back(#[case] crashing_path: &str, #[case] path: &str) {
    let (system, fleet) = start();
    let mut statuses = Vec::new();
    let seen = beside_others(&system, path, None, || statuses = press(&system, crashing_path, RUN));
    let story = fleet.story();
    let known_at = known_at(&story);
    let late = late_sends(&story);
    let after: Vec<_> = seen.iter().filter(|one| one.sent_at > known_at).copied().collect();
    println!(
        "{} upstreams ended, {late} sends late; others served {:?}, after that time {:?}; the caller got {:?}",
        story.ended.len(),
        served(&seen),
        served(&after),
        statuses.iter().fold(std::collections::BTreeMap::new(), |mut counts, status| {
            *counts.entry(status).or_insert(0) += 1;
            counts
        }),
    );
    assert!(late <= MAX_LATE, "{late} sends later than {CONTACT:?} after the third end");
    let (good, all) = served(&after);
    assert!(good * 100 >= all * 99, "of {all} other requests after that time {good} were served");
}

/// A request of which many are under way when upstreams are killed did not end them.
#[test]
fn a_request_that_ran_where_upstreams_were_killed_is_served_on() {
    let (system, fleet) = start();
    let seen = beside_others(&system, "/repeatable/x", Some("what all ask"), || {
        for round in 0..4 {
            std::thread::sleep(Duration::from_secs(2));
            fleet.kill((0..6).map(|number| (round * 6 + number) % usize::from(UPSTREAMS)));
        }
        std::thread::sleep(Duration::from_secs(2));
    });
    let (good, all) = served(&seen);
    let held_back = seen.iter().filter(|one| one.is_held_back).count();
    println!("{good} of {all} served, {held_back} held back");
    assert_eq!(held_back, 0, "requests that were held back for what they did not do");
    // Some have both of their tries at upstreams that are killed: 795 of 800 were served before any
    // request was held back.
    assert!(good * 100 >= all * 98, "{good} of {all} requests were served");
}

/// How many upstreams the crashing request reached so far.
fn reached(fleet: &Fleet) -> usize {
    fleet.story().begun.len()
}

/// The leader is killed while the request is pressed: what is known of it goes on with the next one.
#[test]
fn a_request_is_held_back_also_when_the_leader_changes() {
    let (mut system, fleet) = start();
    let leader = leader(&system);
    let path = "/repeatable/x";
    // Some upstreams have ended, not enough for a verdict perhaps.
    press(&system, path, Duration::from_millis(200));
    system.keepers[leader].kill();
    press(&system, path, Duration::from_secs(6));
    system.keepers[leader].start();
    let story = fleet.story();
    let late = late_sends(&story);
    println!("{} upstreams ended, {late} sends late", story.ended.len());
    assert!(late <= MAX_LATE, "{late} sends later than {CONTACT:?} after the third end");
}

/// All processes are killed and start again with nothing but the keepers' disks.
#[test]
fn a_request_is_held_back_also_after_all_hosts_started_again() {
    let (mut system, fleet) = start();
    let path = "/repeatable/x";
    press(&system, path, Duration::from_secs(3));
    let before = reached(&fleet);
    system.keepers.iter_mut().chain(&mut system.entries).for_each(Host::kill);
    system.keepers.iter_mut().chain(&mut system.entries).for_each(Host::start);
    wait_until_served(&system, "service after the restart");
    let statuses = press(&system, path, Duration::from_secs(3));
    assert_eq!(reached(&fleet), before, "sends after the restart");
    assert!(statuses.iter().all(|status| *status == 503), "{statuses:?}");
}

/// What the keepers hold back, as an operator reads it.
fn held_back(system: &System) -> Vec<Value> {
    let answer = call(system.keepers[0].control(), "GET", "/v1/held-back", &[], "");
    assert_eq!(answer.status, 200, "{}", answer.text());
    serde_json::from_str(&answer.text()).unwrap()
}

/// An operator reads what is held back and why, and lifts it: the request is sent again at once.
#[test]
fn an_operator_sees_what_is_held_back_and_lifts_it() {
    let (system, fleet) = start();
    assert_eq!(held_back(&system), Vec::<Value>::new());
    press(&system, "/repeatable/x", Duration::from_secs(2));
    let before = reached(&fleet);
    let held = held_back(&system);
    let [one] = held.as_slice() else { panic!("{held:?}") };
    assert_eq!(one["caller"], "timekeepers");
    assert!(one["ended"].as_array().unwrap().len() >= 3, "{one}");
    let figures = system.entries[0].figures();
    assert!(figures.contains("clayplank_entry_held_back 1"), "{figures}");
    let path = format!("/v1/held-back/{}", one["fingerprint"].as_str().unwrap());
    let control = system.keepers[1].control();
    assert_eq!(call(control, "DELETE", &path, &[], "").status, 200);
    assert_eq!(call(control, "DELETE", &path, &[], "").status, 404, "it is lifted already");
    assert_eq!(call(control, "DELETE", "/v1/held-back/7", &[], "").status, 400);
    wait_for("hosts that send the request again", || {
        press(&system, "/repeatable/x", Duration::from_millis(200));
        reached(&fleet) > before
    });
}
