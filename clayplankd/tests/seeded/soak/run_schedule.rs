//! Applies a schedule of faults to the processes and proxies of a system.

use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::json;

use super::run::Shared;
use super::schedule::{Action, ProcessFault, Step, Target};
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
pub fn run_schedule(shared: &Shared, schedule: &[Step], started_at: Instant) {
    let mut steps = schedule.iter().peekable();
    let mut pending: Vec<Pending> = Vec::new();
    while steps.peek().is_some() || !pending.is_empty() {
        while let Some(step) =
            steps.next_if(|step| started_at.elapsed().as_millis() as u64 >= step.start_ms)
        {
            let until = Instant::now() + Duration::from_millis(step.duration_ms);
            let process = inject(&mut shared.system.lock().unwrap(), step);
            pending.push(Pending { until, step: *step, process });
        }
        let mut system = shared.system.lock().unwrap();
        pending.retain(|one| Instant::now() < one.until || !undo(&mut system, one));
        drop(system);
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Injects a fault; returns the id of the affected process, if it is a single one.
fn inject(system: &mut System, step: &Step) -> Option<u32> {
    match (step.target, step.action) {
        (Target::Link(last), Action::Network(fault)) => system.proxy(last).set(fault),
        (Target::AllKeepers, _) => system.keepers.iter_mut().for_each(Host::kill),
        (Target::Keeper(number), Action::ProcessFault(ProcessFault::ReplacePlanned)) => {
            system.start_replacement(number);
            return system.keepers[number].process();
        }
        (Target::Keeper(number), Action::ProcessFault(fault)) => {
            return inject_process_fault(&mut system.keepers[number], fault);
        }
        (Target::Entry(number), Action::CutOff(cut)) => system.cut_off(number, Some(cut)),
        (Target::Entry(number), Action::ProcessFault(fault)) => {
            return inject_process_fault(&mut system.entries[number], fault);
        }
        (Target::Link(_), Action::ProcessFault(_) | Action::CutOff(_))
        | (Target::Keeper(_), Action::CutOff(_))
        | (Target::Keeper(_) | Target::Entry(_), Action::Network(_)) => {
            unreachable!(
                "schedules contain process faults for processes and network faults for links"
            )
        }
    }
    None
}

fn inject_process_fault(host: &mut Host, fault: ProcessFault) -> Option<u32> {
    let process = host.process();
    if process.is_none() || host.has_ended() {
        return None;
    }
    match fault {
        ProcessFault::Kill | ProcessFault::ReplaceUnplanned => host.kill(),
        ProcessFault::Stop => host.terminate(),
        ProcessFault::Pause => host.signal("-STOP"),
        ProcessFault::Reload => host.change_settings(|settings| {
            let ratio = settings["bounds"]["retry_ratio"].as_f64().unwrap_or(0.2);
            settings["bounds"]["retry_ratio"] = json!(ratio + 0.001);
        }),
        ProcessFault::LoseDisk => {
            host.kill();
            // A keeper that has never started has no data directory.
            std::fs::remove_dir_all(&host.data).ok();
        }
        ProcessFault::FillDisk => limit_files(host),
        ProcessFault::ReplacePlanned => unreachable!("the new keeper starts first"),
    }
    process
}

/// Prevents all files of the process from growing, so that its next write fails part of the way.
fn limit_files(host: &Host) {
    let id = host.process().unwrap().to_string();
    Command::new("prlimit").args(["--pid", &id, "--fsize=1"]).status().unwrap();
}

/// Undoes a fault; `false` while a process that is stopping has not exited yet.
fn undo(system: &mut System, pending: &Pending) -> bool {
    match pending.step.target {
        Target::Link(last) => system.proxy(last).set(Fault::None),
        Target::AllKeepers => system.keepers.iter_mut().for_each(restart),
        Target::Keeper(number) => match pending.step.action {
            Action::ProcessFault(ProcessFault::ReplacePlanned) => {
                return finish_replacement(system, number);
            }
            Action::ProcessFault(ProcessFault::ReplaceUnplanned) => {
                system.keepers[number].kill();
                system.start_replacement(number);
                system.install_replacement(number);
            }
            Action::ProcessFault(_) | Action::Network(_) | Action::CutOff(_) => {
                return undo_process_fault(&mut system.keepers[number], pending);
            }
        },
        Target::Entry(number) if matches!(pending.step.action, Action::CutOff(_)) => {
            system.cut_off(number, None);
        }
        Target::Entry(number) => return undo_process_fault(&mut system.entries[number], pending),
    }
    true
}

/// Stops a replaced keeper for good; `false` while it has not exited yet.
fn finish_replacement(system: &mut System, number: usize) -> bool {
    let former = &mut system.keepers[number];
    if !former.has_ended() {
        former.signal("-CONT");
        former.terminate();
        return false;
    }
    system.install_replacement(number);
    true
}

fn undo_process_fault(host: &mut Host, pending: &Pending) -> bool {
    let is_affected = pending.process.is_some() && host.process() == pending.process;
    match pending.step.action {
        Action::ProcessFault(ProcessFault::Pause) if is_affected => host.signal("-CONT"),
        Action::ProcessFault(ProcessFault::Stop) if is_affected && !host.has_ended() => {
            return false;
        }
        Action::ProcessFault(ProcessFault::FillDisk) if is_affected => {
            host.kill();
            restart(host);
        }
        Action::ProcessFault(
            ProcessFault::Kill
            | ProcessFault::Stop
            | ProcessFault::Pause
            | ProcessFault::Reload
            | ProcessFault::LoseDisk
            | ProcessFault::FillDisk
            | ProcessFault::ReplacePlanned
            | ProcessFault::ReplaceUnplanned,
        )
        | Action::Network(_)
        | Action::CutOff(_) => restart(host),
    }
    true
}

/// Kills all keepers at once, or all hosts, and restarts them; two keepers lose their disks.
pub fn run_final_restart(system: &mut System, lost: [usize; 2], restarts_all_hosts: bool) {
    system.keepers.iter_mut().for_each(Host::kill);
    if restarts_all_hosts {
        system.entries.iter_mut().chain(&mut system.idle_entries).for_each(Host::kill);
    }
    for number in lost {
        std::fs::remove_dir_all(&system.keepers[number].data).unwrap();
    }
    system.keepers.iter_mut().for_each(Host::start);
    system.entries.iter_mut().chain(&mut system.idle_entries).for_each(restart);
}

/// Starts a process that is down.
fn restart(host: &mut Host) {
    if host.has_ended() {
        host.start();
    }
}
