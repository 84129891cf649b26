//! Applies a schedule of faults to the processes and proxies of a system.

use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;

use super::run::Shared;
use super::schedule::{Act, Blow, Step, Target};
use crate::host::Host;
use crate::proxy::Fault;
use crate::system::System;

/// A fault in effect on a process or proxy, and the time at which it is to be undone.
struct Pending {
    until: Instant,
    step: Step,
    /// Process id of the affected process; another process may run in its place by now.
    process: Option<u32>,
}

/// Injects the faults of the schedule on time, and undoes each after its duration.
pub fn play(shared: &Shared, schedule: &[Step], began: Instant) {
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

/// Injects a fault; returns the id of the affected process, if it is a single one.
fn begin(system: &mut System, step: &Step) -> Option<u32> {
    match (step.target, step.act) {
        (Target::Link(last), Act::Network(fault)) => system.proxy(last).set(fault),
        (Target::AllKeepers, _) => system.keepers.iter_mut().for_each(Host::kill),
        (Target::Keeper(number), Act::Blow(Blow::ReplaceAsPlanned)) => {
            system.start_newcomer(number);
            return system.keepers[number].process();
        }
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
        Blow::Kill | Blow::ReplaceSuddenly => host.kill(),
        Blow::Stop => host.terminate(),
        Blow::Pause => host.signal("-STOP"),
        Blow::Reload => host.change_settings(|settings| {
            let ratio = settings["bounds"]["retry_ratio"].as_f64().unwrap_or(0.2);
            settings["bounds"]["retry_ratio"] = json!(ratio + 0.001);
        }),
        Blow::LoseDisk => {
            host.kill();
            // A keeper that has never started has no data directory.
            std::fs::remove_dir_all(&host.data).ok();
        }
        Blow::FillDisk => limit_files(host),
        Blow::ReplaceAsPlanned => unreachable!("the newcomer starts first"),
    }
    process
}

/// Prevents all files of the process from growing, so that its next write fails part of the way.
fn limit_files(host: &Host) {
    let id = host.process().unwrap().to_string();
    Command::new("prlimit").args(["--pid", &id, "--fsize=1"]).status().unwrap();
}

/// Undoes a fault; `false` while a process that is stopping has not exited yet.
fn end(system: &mut System, pending: &Pending) -> bool {
    match pending.step.target {
        Target::Link(last) => system.proxy(last).set(Fault::None),
        Target::AllKeepers => system.keepers.iter_mut().for_each(restart),
        Target::Keeper(number) => match pending.step.act {
            Act::Blow(Blow::ReplaceAsPlanned) => return end_replaced(system, number),
            Act::Blow(Blow::ReplaceSuddenly) => {
                system.keepers[number].kill();
                system.start_newcomer(number);
                system.take_newcomer(number);
            }
            Act::Blow(_) | Act::Network(_) => {
                return end_blow(&mut system.keepers[number], pending);
            }
        },
        Target::Entry(number) => return end_blow(&mut system.entries[number], pending),
    }
    true
}

/// Stops a replaced keeper for good; `false` while it has not exited yet.
fn end_replaced(system: &mut System, number: usize) -> bool {
    let former = &mut system.keepers[number];
    if !former.has_ended() {
        former.signal("-CONT");
        former.terminate();
        return false;
    }
    system.take_newcomer(number);
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
        Act::Blow(
            Blow::Kill
            | Blow::Stop
            | Blow::Pause
            | Blow::Reload
            | Blow::LoseDisk
            | Blow::FillDisk
            | Blow::ReplaceAsPlanned
            | Blow::ReplaceSuddenly,
        )
        | Act::Network(_) => restart(host),
    }
    true
}

/// Kills all keepers at once, or all hosts, and restarts them; two keepers lose their disks.
pub fn play_closing(system: &mut System, lost: [usize; 2], ends_all: bool) {
    system.keepers.iter_mut().for_each(Host::kill);
    if ends_all {
        system.entries.iter_mut().chain(&mut system.bystanders).for_each(Host::kill);
    }
    for number in lost {
        std::fs::remove_dir_all(&system.keepers[number].data).unwrap();
    }
    system.keepers.iter_mut().for_each(Host::start);
    system.entries.iter_mut().chain(&mut system.bystanders).for_each(restart);
}

/// Starts a process that is down.
fn restart(host: &mut Host) {
    if host.has_ended() {
        host.start();
    }
}
