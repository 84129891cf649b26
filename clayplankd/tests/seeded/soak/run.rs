//! One run of the soak: applies the schedule of a seed and checks the results.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::callers::run_caller;
use super::checks::{check_cut_off, check_missed, check_plan, wait_until_served};
use super::crashing::{Refused, UPSTREAMS, check_held_back, run_crashing};
use super::limited::{check_limits, run_limited, start_limited};
use super::operators::{run_heartbeats, run_operator};
use super::play::{play, play_closing};
use super::record::{Record, check_seen};
use super::schedule::{ENTRIES, Step, draw_closing, draw_schedule};
use super::told::draw_setup;
use crate::crashing_upstreams::Fleet;
use crate::host::Host;
use crate::replacement::CATCH_UP;
use crate::system::System;

/// Period without faults in which plans continue to change.
const CALM: Duration = Duration::from_secs(4);

/// Callers per entry host.
const CALLERS: u64 = 3;

/// State shared by all threads of a run.
pub struct Shared {
    pub system: Mutex<System>,
    pub record: Record,
    pub is_over: AtomicBool,
    /// Highest acknowledged plan version.
    pub acknowledged: AtomicU64,
    /// Versions that were the highest ones when they were acknowledged, in that order.
    pub acknowledged_plans: Mutex<Vec<u64>>,
}

impl Shared {
    /// Control addresses of the keepers.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.system.lock().unwrap().keepers.iter().map(Host::control).collect()
    }
}

/// Stops all threads of a run when dropped, also if a check panics.
struct EndsRun<'a>(&'a AtomicBool);

impl Drop for EndsRun<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs a seed; `Err` contains the schedule and all violations.
pub fn run_seed(seed: u64) -> Result<String, String> {
    let schedule = draw_schedule(seed);
    let setup = draw_setup(seed);
    let mut system = System::start_as(setup.shape());
    // From now on a keeper with an empty disk joins the existing ones.
    setup.tell(&mut system, seed);
    let fleet = Fleet::start(&system, UPSTREAMS);
    let limits = start_limited(&system);
    let refused = Refused::default();
    let runs = system.runs.clone();
    let callers: Vec<_> = system.entries.iter().map(Host::callers).collect();
    let shared = Arc::new(Shared {
        system: Mutex::new(system),
        record: Record::default(),
        is_over: AtomicBool::new(false),
        acknowledged: AtomicU64::new(1),
        acknowledged_plans: Mutex::default(),
    });
    let mut missed = Vec::new();
    let mut all_ended_at = None;
    let began = Instant::now();
    std::thread::scope(|scope| {
        for (entry, &address) in callers.iter().enumerate() {
            for caller in 0..CALLERS {
                let id = seed * 1_000 + entry as u64 * 10 + caller;
                let shared = &shared;
                scope.spawn(move || {
                    run_caller(id, (entry, address), &shared.record, &shared.is_over);
                });
            }
        }
        for entry in 0..ENTRIES {
            let shared = &shared;
            scope.spawn(move || run_limited(shared, entry, seed));
        }
        scope.spawn(|| run_heartbeats(&shared));
        scope.spawn(|| run_operator(&shared, 0));
        scope.spawn(|| run_operator(&shared, 1));
        scope.spawn(|| run_crashing(&shared, &refused, seed));
        let _ends = EndsRun(&shared.is_over);
        play(&shared, &schedule, began);
        wait_until_served(&shared, seed);
        std::thread::sleep(CATCH_UP);
        let calm_from = shared.acknowledged.load(Ordering::SeqCst);
        std::thread::sleep(CALM);
        missed = check_missed(&shared, calm_from);
        all_ended_at = setup.ends_all.then(Instant::now);
        play_closing(&mut shared.system.lock().unwrap(), draw_closing(seed), setup.ends_all);
        wait_until_served(&shared, seed);
    });
    let shared = Arc::into_inner(shared).unwrap();
    check_plan(&shared);
    let not_held_back = check_held_back(&shared, &fleet, &refused);
    let (seen, mut broken) = shared.record.take();
    let count = |attempt: &str| runs.count(attempt);
    broken.extend(seen.iter().filter_map(|seen| check_seen(seen, count(&seen.attempt))));
    broken.extend(check_cut_off(&seen, &schedule, began, all_ended_at, count));
    broken.extend(not_held_back);
    broken.extend(missed);
    broken.extend(check_limits(&limits));
    let served = seen.iter().filter(|seen| seen.answer.as_ref().is_some_and(|a| a.status == 200));
    let summary = format!(
        "{} of {} requests served, plan {}, {} upstreams ended under one, {:?} requests where a limit is named, {} steps, {setup:?}",
        served.count(),
        seen.len(),
        shared.acknowledged.load(Ordering::SeqCst),
        fleet.story().ended.len(),
        limits.each_ref().map(|limit| limit.arrivals().len()),
        schedule.len()
    );
    if broken.is_empty() { Ok(summary) } else { Err(report(&schedule, &broken, &shared.system)) }
}

/// The schedule, the violations, and the log lines that mention their requests.
fn report(schedule: &[Step], broken: &[String], system: &Mutex<System>) -> String {
    let mut text = String::new();
    for step in schedule {
        writeln!(text, "  {step:?}").unwrap();
    }
    for promise in broken.iter().take(20) {
        writeln!(text, "broken: {promise}").unwrap();
    }
    let words: BTreeSet<_> =
        broken.iter().filter_map(|promise| promise.split(' ').next()).take(5).collect();
    let system = system.lock().unwrap();
    for host in system.keepers.iter().chain(&system.entries).chain(&system.bystanders) {
        let log = host.log();
        let lines = log.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.take(20).for_each(|line| writeln!(text, "{line}").unwrap());
    }
    text
}
