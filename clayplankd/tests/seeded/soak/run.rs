//! One run of the soak: plays a seed's schedule, and checks what came of it.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::callers::run_caller;
use super::record::{Record, Seen, check_seen, is_cut_off};
use super::schedule::{Act, Blow, ENTRIES, KEEPERS, Step, Target, draw_schedule};
use crate::client::call;
use crate::host::Host;
use crate::proxy::Fault;
use crate::system::{Shape, System, plan, wait_for};

/// Callers of each entry host.
const CALLERS: u64 = 3;

/// Between two heartbeats of the upstreams.
const BEAT_EVERY: Duration = Duration::from_millis(300);

/// Between two plans of an operator.
const PLAN_EVERY: Duration = Duration::from_millis(400);

/// An unplanned fault may be felt for so long after its end: hosts have to find each other.
const FELT: Duration = Duration::from_secs(6);

/// Requests in a row that each entry host must serve once all faults are over.
const SERVED_IN_A_ROW: u64 = 20;

/// What all threads of a run share.
struct Shared {
    system: Mutex<System>,
    record: Record,
    is_over: AtomicBool,
    /// The highest version that was acknowledged.
    acknowledged: AtomicU64,
}

/// A process that is down or paused, or a proxy with a fault, and until when.
struct Pending {
    until: Instant,
    step: Step,
    /// The process that was struck; another may run in its place by now.
    process: Option<u32>,
}

/// Ends all threads of a run, also if a check panics.
struct EndsRun<'a>(&'a AtomicBool);

impl Drop for EndsRun<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Plays a seed; `Err` tells the schedule and all broken promises.
pub fn run_seed(seed: u64) -> Result<String, String> {
    let schedule = draw_schedule(seed);
    let shape = Shape { keepers: KEEPERS, entries: ENTRIES, has_proxies: true };
    let system = System::start_as(shape);
    // A keeper with an empty disk joins the others from now on.
    system.write_settings(false);
    let runs = system.runs.clone();
    let callers: Vec<_> = system.entries.iter().map(Host::callers).collect();
    let shared = Arc::new(Shared {
        system: Mutex::new(system),
        record: Record::default(),
        is_over: AtomicBool::new(false),
        acknowledged: AtomicU64::new(1),
    });
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
        scope.spawn(|| run_heartbeats(&shared));
        scope.spawn(|| run_operator(&shared, 0));
        scope.spawn(|| run_operator(&shared, 1));
        let _ends = EndsRun(&shared.is_over);
        play(&shared, &schedule, began);
        wait_until_served(&shared, seed);
    });
    let shared = Arc::into_inner(shared).unwrap();
    check_plan(&shared);
    let (seen, mut broken) = shared.record.take();
    let count = |attempt: &str| runs.count(attempt);
    broken.extend(seen.iter().filter_map(|seen| check_seen(seen, count(&seen.attempt))));
    broken.extend(cut_off(&seen, &schedule, began, count));
    let served = seen.iter().filter(|seen| seen.answer.as_ref().is_some_and(|a| a.status == 200));
    let summary = format!(
        "{} of {} requests served, plan {}, {} steps",
        served.count(),
        seen.len(),
        shared.acknowledged.load(Ordering::SeqCst),
        schedule.len()
    );
    if broken.is_empty() { Ok(summary) } else { Err(report(&schedule, &broken, &shared.system)) }
}

/// Plays the schedule, and puts everything right again in time.
fn play(shared: &Shared, schedule: &[Step], began: Instant) {
    let mut steps = schedule.iter().peekable();
    let mut pending: Vec<Pending> = Vec::new();
    while steps.peek().is_some() || !pending.is_empty() {
        while let Some(step) =
            steps.next_if(|step| began.elapsed().as_millis() as u64 >= step.at_ms)
        {
            let until = Instant::now() + Duration::from_millis(step.for_ms);
            let process = begin(&mut shared.system.lock().unwrap(), step);
            pending.push(Pending { until, step: *step, process });
        }
        let mut system = shared.system.lock().unwrap();
        pending.retain(|one| Instant::now() < one.until || !end(&mut system, one));
        drop(system);
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Begins a fault; returns the process that it is done to, if it is one.
fn begin(system: &mut System, step: &Step) -> Option<u32> {
    match (step.target, step.act) {
        (Target::Link(last), Act::Network(fault)) => system.proxy(last).set(fault),
        (Target::AllKeepers, _) => system.keepers.iter_mut().for_each(Host::kill),
        (Target::Keeper(number), Act::Blow(blow)) => {
            return strike(&mut system.keepers[number], blow);
        }
        (Target::Entry(number), Act::Blow(blow)) => {
            return strike(&mut system.entries[number], blow);
        }
        (Target::Link(_), Act::Blow(_))
        | (Target::Keeper(_) | Target::Entry(_), Act::Network(_)) => {
            unreachable!("schedules draw blows for processes and faults for links")
        }
    }
    None
}

fn strike(host: &mut Host, blow: Blow) -> Option<u32> {
    let process = host.process();
    if process.is_none() || host.has_ended() {
        return None;
    }
    match blow {
        Blow::Kill => host.kill(),
        Blow::Stop => host.terminate(),
        Blow::Pause => host.signal("-STOP"),
        Blow::Reload => host.change_settings(|settings| {
            let ratio = settings["bounds"]["retry_ratio"].as_f64().unwrap_or(0.2);
            settings["bounds"]["retry_ratio"] = json!(ratio + 0.001);
        }),
        Blow::LoseDisk => {
            host.kill();
            // A keeper that has not begun yet has nothing to lose.
            std::fs::remove_dir_all(&host.data).ok();
        }
        Blow::FillDisk => limit_files(host),
    }
    process
}

/// No file of the process may grow any more: the next write fails part of the way.
fn limit_files(host: &Host) {
    let id = host.process().unwrap().to_string();
    Command::new("prlimit").args(["--pid", &id, "--fsize=1"]).status().unwrap();
}

/// Ends a fault; `false` while a process that stops is not down yet.
fn end(system: &mut System, pending: &Pending) -> bool {
    match pending.step.target {
        Target::Link(last) => system.proxy(last).set(Fault::None),
        Target::AllKeepers => system.keepers.iter_mut().for_each(restart),
        Target::Keeper(number) => return end_blow(&mut system.keepers[number], pending),
        Target::Entry(number) => return end_blow(&mut system.entries[number], pending),
    }
    true
}

fn end_blow(host: &mut Host, pending: &Pending) -> bool {
    let is_struck = pending.process.is_some() && host.process() == pending.process;
    match pending.step.act {
        Act::Blow(Blow::Pause) if is_struck => host.signal("-CONT"),
        Act::Blow(Blow::Stop) if is_struck && !host.has_ended() => return false,
        Act::Blow(Blow::FillDisk) if is_struck => {
            host.kill();
            restart(host);
        }
        _ => restart(host),
    }
    true
}

/// Starts a process that is down.
fn restart(host: &mut Host) {
    if host.has_ended() {
        host.start();
    }
}

fn run_heartbeats(shared: &Shared) {
    let mut sequence = 1_000_000;
    while !shared.is_over.load(Ordering::SeqCst) {
        sequence += 1;
        let calls = shared.system.lock().unwrap().heartbeat_calls(sequence);
        for (address, path, body) in calls {
            std::thread::spawn(move || call(address, "PUT", &path, &[], &body));
        }
        std::thread::sleep(BEAT_EVERY);
    }
}

/// Publishes plans, two operators in turn with versions of their own, and reads them back.
fn run_operator(shared: &Shared, number: u64) {
    for round in 1_u64.. {
        if shared.is_over.load(Ordering::SeqCst) {
            return;
        }
        let version = 2 * round + number;
        let controls: Vec<_> =
            shared.system.lock().unwrap().keepers.iter().map(Host::control).collect();
        let control = controls[(version % controls.len() as u64) as usize];
        let text = plan(version).to_string();
        if call(control, "PUT", "/v1/plan", &[], &text).status == 200 {
            shared.acknowledged.fetch_max(version, Ordering::SeqCst);
        }
        read_back(shared, control);
        std::thread::sleep(PLAN_EVERY);
    }
}

/// A read never shows less than what was acknowledged before it was sent.
fn read_back(shared: &Shared, control: std::net::SocketAddr) {
    let acknowledged = shared.acknowledged.load(Ordering::SeqCst);
    let answer = call(control, "GET", "/v1/plan", &[], "");
    if answer.status != 200 || !answer.is_whole {
        return;
    }
    let read: Value = serde_json::from_str(&answer.text()).unwrap();
    let version = read["version"].as_u64().unwrap();
    if version < acknowledged {
        shared.record.note_broken(format!(
            "{control} showed plan {version} after {acknowledged} was acknowledged"
        ));
    }
}

/// After all faults every entry host serves again.
fn wait_until_served(shared: &Shared, seed: u64) {
    for entry in 0..ENTRIES {
        let mut row = 0;
        let mut number = 0;
        wait_for("service after all faults", || {
            number += 1;
            let address = shared.system.lock().unwrap().entries[entry].callers();
            let attempt = format!("calm-{seed}-{entry}-{number}");
            let headers = [
                ("authorization", "Bearer timekeeper-key"),
                ("x-clayplank-attempt-id", attempt.as_str()),
            ];
            let answer = call(address, "POST", "/repeatable/x", &headers, "calm");
            row = if answer.status == 200 { row + 1 } else { 0 };
            row >= SERVED_IN_A_ROW
        });
    }
}

/// The keepers agree on a plan that is no older than the newest that was acknowledged.
fn check_plan(shared: &Shared) {
    let controls: Vec<_> =
        shared.system.lock().unwrap().keepers.iter().map(Host::control).collect();
    for control in controls {
        wait_for("a read of the plan", || {
            let answer = call(control, "GET", "/v1/plan", &[], "");
            answer.status == 200 && answer.is_whole
        });
        read_back(shared, control);
    }
}

/// Requests that planned work cut off: all that ran and got no whole answer, far from any
/// unplanned fault.
fn cut_off(
    seen: &[Seen],
    schedule: &[Step],
    began: Instant,
    count: impl Fn(&str) -> usize,
) -> Vec<String> {
    let spans: Vec<_> = schedule
        .iter()
        .filter(|step| !step.is_planned())
        .map(|step| {
            let from = began + Duration::from_millis(step.at_ms);
            (from, from + Duration::from_millis(step.for_ms) + FELT)
        })
        .collect();
    let is_calm = |seen: &&Seen| {
        spans.iter().all(|(from, until)| seen.ended_at < *from || seen.sent_at > *until)
    };
    let cut = seen.iter().filter(is_calm).filter(|seen| is_cut_off(seen, count(&seen.attempt)));
    cut.map(|seen| {
        let at_ms = seen.sent_at.duration_since(began).as_millis();
        let status = seen.answer.as_ref().map(|answer| answer.status);
        format!(
            "{} at entry {} was cut off, sent at {at_ms} ms: {status:?}",
            seen.attempt, seen.entry
        )
    })
    .collect()
}

fn report(schedule: &[Step], broken: &[String], system: &Mutex<System>) -> String {
    let mut text = String::new();
    for step in schedule {
        writeln!(text, "  {step:?}").unwrap();
    }
    for promise in broken.iter().take(20) {
        writeln!(text, "broken: {promise}").unwrap();
    }
    let words: BTreeMap<_, _> = broken
        .iter()
        .filter_map(|promise| Some((promise.split(' ').next()?.to_owned(), ())))
        .take(5)
        .collect();
    let system = system.lock().unwrap();
    for host in system.keepers.iter().chain(&system.entries) {
        let log = host.log();
        let lines =
            log.lines().filter(|line| words.keys().any(|word| line.contains(word.as_str())));
        lines.take(20).for_each(|line| writeln!(text, "{line}").unwrap());
    }
    text
}
