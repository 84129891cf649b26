//! One run of the soak: applies the schedule of a seed and checks the results.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use clayplank_standin::SharedSignals;

use super::callers::run_caller;
use super::checks::{
    affected_spans, check_interrupted, check_missed_plans, check_plan, wait_until_served,
};
use super::crashing::{Crashing, Refused, UPSTREAMS, check_quarantine, run_crashing};
use super::departing::{UPSTREAMS as DEPARTING, check_departed, run_departing, start_departing};
use super::limited::{check_signals, run_limited, run_signals, start_limited};
use super::operators::{run_heartbeats, run_operator};
use super::queue::{Queue, check_drained, check_prompts};
use super::record::{Record, check_observed};
use super::run_schedule::{run_final_restart, run_schedule};
use super::schedule::{ENTRIES, Step, draw_final_disk_losses, draw_schedule};
use super::setup::draw_setup;
use crate::crashing_upstreams::Fleet;
use crate::host::Host;
use crate::replacement::REPAIR_TIME;
use crate::system::System;

/// Period without faults in which plans continue to change.
const CALM: Duration = Duration::from_secs(4);

/// Callers per entry host.
const CALLERS: u64 = 3;

/// State shared by all threads of a run.
pub struct Shared {
    pub system: Mutex<System>,
    pub record: Record,
    pub is_finished: AtomicBool,
    /// Highest acknowledged plan version.
    pub acknowledged: AtomicU64,
    /// Versions that were the highest ones when they were acknowledged, in that order.
    pub acknowledged_plans: Mutex<Vec<u64>>,
    /// Engines for prompts, in runs whose hosts have an admission queue.
    pub queue: Option<Queue>,
}

impl Shared {
    /// Control addresses of the keepers.
    pub fn controls(&self) -> Vec<SocketAddr> {
        self.system.lock().unwrap().keepers.iter().map(Host::control).collect()
    }
}

/// Stops all threads of a run when dropped, also if a check panics.
struct StopRunOnDrop<'a>(&'a AtomicBool);

impl Drop for StopRunOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs a seed; `Err` contains the schedule and all violations.
pub fn run_seed(seed: u64) -> Result<String, String> {
    let schedule = draw_schedule(seed);
    let setup = draw_setup(seed);
    let mut system = System::start_with(setup.topology());
    // From now on a keeper with an empty disk joins the existing ones.
    setup.write_restart_settings(&mut system, seed);
    let fleet = Fleet::start(&system, UPSTREAMS);
    let signals = start_limited(&system);
    let departing = start_departing(&system);
    let queue = Queue::draw(&mut system, seed);
    let refused = Refused::default();
    let runs = system.runs.clone();
    let callers: Vec<_> = system.entries.iter().map(Host::callers).collect();
    let shared = Arc::new(Shared {
        system: Mutex::new(system),
        record: Record::default(),
        is_finished: AtomicBool::new(false),
        acknowledged: AtomicU64::new(1),
        acknowledged_plans: Mutex::default(),
        queue,
    });
    let started_at = Instant::now();
    let mut missed = Vec::new();
    let mut all_killed_at = None;
    let mut final_restart_at = started_at;
    let mut leaving_since = None;
    let (mut departed, mut faults_over_at) = (Vec::new(), started_at);
    std::thread::scope(|scope| {
        for (entry, &address) in callers.iter().enumerate() {
            for caller in 0..CALLERS {
                let id = seed * 1_000 + entry as u64 * 10 + caller;
                let shared = &shared;
                scope.spawn(move || {
                    run_caller(id, (entry, address), &shared.record, &shared.is_finished);
                });
            }
        }
        for entry in 0..ENTRIES {
            let shared = &shared;
            scope.spawn(move || run_limited(shared, entry, seed));
        }
        let signals_thread = scope.spawn(|| run_signals(&shared, &signals, seed));
        let departures: Vec<_> = (0..DEPARTING.len())
            .zip(&departing)
            .map(|(number, signals)| {
                let shared = &shared;
                scope.spawn(move || run_departing(shared, number, signals.clone(), seed))
            })
            .collect();
        scope.spawn(|| run_heartbeats(&shared));
        scope.spawn(|| run_operator(&shared, 0));
        scope.spawn(|| run_operator(&shared, 1));
        scope.spawn(|| run_crashing(&shared, &refused, Crashing::Request, seed));
        scope.spawn(|| run_crashing(&shared, &refused, Crashing::PromptPart, seed));
        if let Some(queue) = &shared.queue {
            scope.spawn(|| Queue::run_bursts(&shared, seed));
            scope.spawn(|| queue.run_watch(&shared));
        }
        let ends = StopRunOnDrop(&shared.is_finished);
        run_schedule(&shared, &schedule, started_at);
        wait_until_served(&shared, seed);
        std::thread::sleep(REPAIR_TIME);
        faults_over_at = Instant::now();
        let calm_from = shared.acknowledged.load(Ordering::SeqCst);
        std::thread::sleep(CALM);
        missed = check_missed_plans(&shared, calm_from);
        final_restart_at = Instant::now();
        all_killed_at = setup.restarts_all_hosts.then(Instant::now);
        run_final_restart(
            &mut shared.system.lock().unwrap(),
            draw_final_disk_losses(seed),
            setup.restarts_all_hosts,
        );
        wait_until_served(&shared, seed);
        drop(ends);
        leaving_since = signals_thread.join().ok();
        departed = departures.into_iter().filter_map(|one| one.join().ok()).collect();
    });
    let shared = Arc::into_inner(shared).unwrap();
    let not_drained = shared.queue.as_ref().map(|_| check_drained(&shared.system));
    check_plan(&shared);
    let not_quarantined = check_quarantine(&shared, &fleet, &refused);
    let (observed, mut violations) = shared.record.take();
    violations.extend(not_drained.into_iter().flatten());
    let queue = shared.queue.as_ref();
    let count = |attempt: &str| runs.count(attempt) + queue.map_or(0, |queue| queue.count(attempt));
    let statuses = queue.map(|queue| {
        let spans = affected_spans(&schedule, started_at, Some(final_restart_at), |_| true);
        violations.extend(queue.check_slots(&shared.system.lock().unwrap().entries, &spans));
        let (silent, statuses) = check_prompts(&observed, |entry| {
            affected_spans(&schedule, started_at, all_killed_at, |step| step.disturbs_entry(entry))
        });
        violations.extend(silent);
        statuses
    });
    violations.extend(
        observed.iter().filter_map(|observed| check_observed(observed, count(&observed.attempt))),
    );
    violations.extend(check_interrupted(&observed, &schedule, started_at, all_killed_at, count));
    violations.extend(not_quarantined);
    violations.extend(missed);
    violations.extend(check_departed(&departed, faults_over_at));
    violations.extend(check_signals(&signals, leaving_since.unwrap()));
    let served = observed
        .iter()
        .filter(|observed| observed.answer.as_ref().is_some_and(|a| a.status == 200));
    let summary = format!(
        "{} of {} requests served, plan {}, {} upstreams terminated by the crashing request, {:?} requests at upstreams with a limit ({:?} of them refused with a backoff), {:?} at upstreams that departed, {} steps, {setup:?}, prompts by status: {statuses:?}",
        served.count(),
        observed.len(),
        shared.acknowledged.load(Ordering::SeqCst),
        fleet.events().terminations.len(),
        signals.iter().map(|one| one.arrivals().len()).collect::<Vec<_>>(),
        signals.iter().map(count_refused).collect::<Vec<_>>(),
        departing.iter().map(|one| one.arrivals().len()).collect::<Vec<_>>(),
        schedule.len()
    );
    if violations.is_empty() {
        Ok(summary)
    } else {
        Err(report(&schedule, &violations, &shared.system))
    }
}

fn count_refused(signals: &SharedSignals) -> usize {
    signals.received().iter().filter(|one| one.backoff.is_some()).count()
}

/// The schedule, the violations, and the log lines that mention their requests.
fn report(schedule: &[Step], violations: &[String], system: &Mutex<System>) -> String {
    let mut text = String::new();
    for step in schedule {
        writeln!(text, "  {step:?}").unwrap();
    }
    for violation in violations.iter().take(20) {
        writeln!(text, "violated: {violation}").unwrap();
    }
    let words: BTreeSet<_> =
        violations.iter().filter_map(|violation| violation.split(' ').next()).take(5).collect();
    let system = system.lock().unwrap();
    for host in system.keepers.iter().chain(&system.entries).chain(&system.idle_entries) {
        let log = host.log();
        let lines = log.lines().filter(|line| words.iter().any(|word| line.contains(word)));
        lines.take(20).for_each(|line| writeln!(text, "{line}").unwrap());
    }
    text
}
