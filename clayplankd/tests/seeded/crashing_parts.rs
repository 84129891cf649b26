//! Parts of prompts under which every upstream terminates that begins to write an answer.
//!
//! The requests with such a part have nothing else in common: no two are alike, they arrive at all
//! hosts, and other requests share their caller and their other parts.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rstest::rstest;

use crate::crashing::{ENTRIES, MAX_LATE, ObservedRequest, PROPAGATION_TIME, UPSTREAMS, start};
use crate::crashing_upstreams::{CRASHING_PART, Fleet, FleetEvents};
use crate::failover::leader;
use crate::system::{System, call_with_headers};

/// Header with the parts of a prompt.
const PARTS_HEADER: &str = "x-clayplank-prompt-parts";

/// Streams of about half a second.
const STREAM_PATH: &str = "/stream/events/100";

/// Held by the running test: each has hundreds of streams, and several at once would be slowed by each
/// other.
static RUNNING: Mutex<()> = Mutex::new(());

/// Time during which requests with the crashing part arrive.
const RUN: Duration = Duration::from_secs(16);

/// Time without them before, in which the share of served requests is measured.
const CALM: Duration = Duration::from_secs(3);

/// Terminations after which the part has to be known.
const KNOWN_AFTER: usize = 5;

/// Interval between two other requests (60 per second).
const OTHER_INTERVAL: Duration = Duration::from_millis(17);

/// Position of the crashing part in the prompts that contain it, each of which also has parts that
/// other requests share, and ends with a part of its own.
#[derive(Clone, Copy, Debug)]
enum Position {
    First,
    Middle,
    ThirdOfFour,
}

impl Position {
    fn parts(self, number: u64) -> String {
        let shared = number % 3;
        match self {
            Self::First => format!("{CRASHING_PART}:40,b{shared}:200,c{number}:900"),
            Self::Middle => format!("a1:40,{CRASHING_PART}:200,c{number}:900"),
            Self::ThirdOfFour => format!("a1:40,b{shared}:200,{CRASHING_PART}:90,c{number}:900"),
        }
    }
}

/// Requests without the crashing part, by the time at which they were sent.
#[derive(Debug, Default)]
struct Others {
    number: AtomicU64,
    observed: Mutex<Vec<ObservedRequest>>,
}

impl Others {
    fn send(&self, system: &System) {
        let number = self.number.fetch_add(1, Ordering::SeqCst);
        let parts = format!("a1:40,b{}:200,d{number}:900", number % 3);
        let attempt = format!("other-{number}");
        let sent_at = Instant::now();
        let (status, text) = send(system, number as usize % ENTRIES, &attempt, &parts);
        let is_quarantined = text.contains("held_back");
        self.observed.lock().unwrap().push(ObservedRequest {
            sent_at,
            is_served: status == 200,
            is_quarantined,
        });
    }

    /// Numbers of served and of all requests sent in a period.
    fn served(&self, from: Instant, to: Instant) -> (usize, usize) {
        let observed = self.observed.lock().unwrap();
        let period = observed.iter().filter(|one| one.sent_at >= from && one.sent_at < to);
        (period.clone().filter(|one| one.is_served).count(), period.count())
    }

    fn quarantined(&self) -> usize {
        self.observed.lock().unwrap().iter().filter(|one| one.is_quarantined).count()
    }
}

/// Sends one request; an incomplete answer is returned with status 0.
fn send(system: &System, entry: usize, attempt: &str, parts: &str) -> (u16, String) {
    let headers = [(PARTS_HEADER, parts), ("x-clayplank-tokens", "1140,100")];
    let address = system.entries[entry].callers();
    let answer = call_with_headers(address, attempt, 5_000, STREAM_PATH, &headers, attempt);
    (if answer.is_complete { answer.status } else { 0 }, answer.text())
}

/// Calls `send` at an interval, each time on a new thread, until `is_finished`.
fn send_at<'scope>(
    scope: &'scope std::thread::Scope<'scope, '_>,
    interval: Duration,
    is_finished: &AtomicBool,
    send: impl Fn() + Copy + Send + 'scope,
) {
    let started_at = Instant::now();
    for number in 1.. {
        if is_finished.load(Ordering::SeqCst) {
            return;
        }
        scope.spawn(send);
        std::thread::sleep((interval * number).saturating_sub(started_at.elapsed()));
    }
}

/// Sends other requests all the time, those with the crashing part once the calm period is over,
/// and calls `main` meanwhile; returns the start of the run and of its requests with the part.
fn run_with_part(
    system: &System,
    others: &Others,
    position: Position,
    interval: Duration,
    main: impl FnOnce(),
) -> (Instant, Instant) {
    let (is_finished, number) = (AtomicBool::new(false), AtomicU64::new(0));
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        let (is_finished, number) = (&is_finished, &number);
        scope.spawn(move || {
            send_at(scope, OTHER_INTERVAL, is_finished, move || others.send(system));
        });
        std::thread::sleep(CALM);
        scope.spawn(move || {
            send_at(scope, interval, is_finished, move || {
                let number = number.fetch_add(1, Ordering::SeqCst);
                let attempt = format!("part-{number}");
                send(system, number as usize % ENTRIES, &attempt, &position.parts(number));
            });
        });
        main();
        std::thread::sleep(RUN.saturating_sub(started_at.elapsed().saturating_sub(CALM)));
        is_finished.store(true, Ordering::SeqCst);
    });
    (started_at, started_at + CALM)
}

/// Instant of the termination after which the part has to be known.
fn fifth_termination(events: &FleetEvents) -> Instant {
    let index = KNOWN_AFTER.min(events.terminations.len());
    assert!(index > 0, "no upstream terminated");
    events.terminations[index - 1]
}

/// Number of requests with the part that reached upstreams when all hosts had to know of it.
fn late_requests(events: &FleetEvents) -> usize {
    let known_at = fifth_termination(events) + PROPAGATION_TIME;
    events.part_starts.iter().filter(|started| **started > known_at).count()
}

/// Checks that the part was quarantined in time and that other requests are served afterwards.
fn check_part_quarantined(fleet: &Fleet, others: &Others, calm: (Instant, Instant)) {
    let events = fleet.events();
    let late = late_requests(&events);
    let recovered_at = fifth_termination(&events) + 2 * PROPAGATION_TIME;
    let (before, all_before) = others.served(calm.0, calm.1);
    let (after, all_after) = others.served(recovered_at, recovered_at + RUN);
    println!(
        "{} sent, {} terminated, {late} late; others served {before} of {all_before} before, \
         {after} of {all_after} afterwards",
        events.part_starts.len(),
        events.terminations.len(),
    );
    assert!(late <= MAX_LATE, "{late} requests with the part were sent too late");
    assert!(all_before >= 20 && all_after >= 20);
    assert!(
        after * all_before * 2 >= before * all_after,
        "{after} of {all_after} other requests served, {before} of {all_before} before"
    );
}

#[rstest]
#[case::middle(Position::Middle, 100)]
#[case::first(Position::First, 100)]
#[case::third_of_four(Position::ThirdOfFour, 100)]
#[case::often(Position::Middle, 25)]
#[case::rarely(Position::Middle, 250)]
fn a_part_of_prompts_that_terminates_upstreams_is_quarantined(
    #[case] position: Position,
    #[case] interval_ms: u64,
) {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (system, fleet) = start();
    let others = Others::default();
    let interval = Duration::from_millis(interval_ms);
    let calm = run_with_part(&system, &others, position, interval, || {});
    check_part_quarantined(&fleet, &others, calm);
}

#[test]
fn a_part_is_quarantined_although_the_leading_keeper_is_killed() {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (mut system, fleet) = start();
    let leader = leader(&system);
    let mut killed = system.keepers.remove(leader);
    let others = Others::default();
    let calm =
        run_with_part(&system, &others, Position::Middle, Duration::from_millis(100), || {
            std::thread::sleep(Duration::from_millis(200));
            killed.kill();
        });
    system.keepers.insert(leader, killed);
    check_part_quarantined(&fleet, &others, calm);
}

/// Guards against quarantine of parts that many requests share, as one of them is at each upstream
/// that is killed for another reason.
#[test]
fn parts_at_upstreams_killed_for_another_reason_are_not_quarantined() {
    let _running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let (system, fleet) = start();
    let others = Arc::new(Others::default());
    let is_finished = AtomicBool::new(false);
    let killed = AtomicUsize::new(0);
    let started_at = Instant::now();
    std::thread::scope(|scope| {
        let (others, is_finished, system) = (&others, &is_finished, &system);
        scope.spawn(move || {
            send_at(scope, OTHER_INTERVAL, is_finished, move || others.send(system));
        });
        while started_at.elapsed() < Duration::from_secs(10) {
            std::thread::sleep(Duration::from_millis(500));
            let number = killed.fetch_add(1, Ordering::SeqCst);
            fleet.kill([number * 5 % usize::from(UPSTREAMS)]);
        }
        is_finished.store(true, Ordering::SeqCst);
    });
    let (served, all) = others.served(started_at, Instant::now());
    println!("{served} of {all} served, {} quarantined", others.quarantined());
    assert_eq!(others.quarantined(), 0, "requests with parts that terminated no upstream");
}
