//! Checks at the end of a run: availability, the plan, and interrupted requests.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::operators::read_back;
use super::record::{Seen, is_cut_off};
use super::run::Shared;
use super::schedule::{ENTRIES, Step};
use crate::client::call;
use crate::host::Host;
use crate::system::{KEY, wait_for};

/// Time after the end of an unplanned fault in which requests may still fail, because hosts have to
/// find each other again.
const FELT: Duration = Duration::from_secs(6);

/// Maximum number of consecutive plans that a host may miss because a newer one arrived before it
/// was notified. A host that hears from no keeper for two seconds misses ten.
const MAX_MISSED: usize = 5;

/// Consecutive requests that each entry host must serve once all faults are over.
const SERVED_IN_A_ROW: u64 = 20;

/// Waits until every entry host serves again and all idle entry hosts are ready.
pub fn wait_until_served(shared: &Shared, seed: u64) {
    for entry in 0..ENTRIES {
        let mut row = 0;
        let mut number = 0;
        let key = format!("Bearer {KEY}");
        wait_for("service after all faults", || {
            number += 1;
            let address = shared.system.lock().unwrap().entries[entry].callers();
            let attempt = format!("calm-{seed}-{entry}-{number}");
            let headers =
                [("authorization", key.as_str()), ("x-clayplank-attempt-id", attempt.as_str())];
            let answer = call(address, "POST", "/repeatable/x", &headers, "calm");
            row = if answer.status == 200 { row + 1 } else { 0 };
            row >= SERVED_IN_A_ROW
        });
    }
    wait_for("readiness of all hosts", || {
        shared.system.lock().unwrap().bystanders.iter().all(Host::is_ready)
    });
}

/// Hosts that missed too many consecutive plans of those after version `calm_from`, in the period
/// without faults.
pub fn check_missed(shared: &Shared, calm_from: u64) -> Vec<String> {
    let plans = shared.acknowledged_plans.lock().unwrap().clone();
    let plans: Vec<_> = plans.into_iter().filter(|version| *version > calm_from).collect();
    let system = shared.system.lock().unwrap();
    let missed = system.entries.iter().chain(&system.bystanders).map(|host| {
        let in_force: BTreeSet<_> = host
            .lines("A plan is in force")
            .iter()
            .filter_map(|line| line["version"].as_u64())
            .collect();
        let rows = plans.split(|version| in_force.contains(version));
        (host.ip, rows.map(<[u64]>::len).max().unwrap_or_default())
    });
    missed
        .filter(|(_, missed)| *missed > MAX_MISSED)
        .map(|(ip, missed)| format!("{ip} missed {missed} changes in a row, of {}", plans.len()))
        .collect()
}

/// Checks that all keepers return a plan that is at least as new as the newest acknowledged one.
pub fn check_plan(shared: &Shared) {
    for control in shared.controls() {
        wait_for("a read of the plan", || {
            let answer = call(control, "GET", "/v1/plan", &[], "");
            answer.status == 200 && answer.is_whole
        });
        read_back(shared, control);
    }
}

/// Requests that planned operations interrupted: those that ran and got no complete answer, outside
/// the periods affected by unplanned faults and by the final kill of all hosts.
pub fn check_cut_off(
    seen: &[Seen],
    schedule: &[Step],
    began: Instant,
    all_ended_at: Option<Instant>,
    count: impl Fn(&str) -> usize,
) -> Vec<String> {
    let closing = all_ended_at.map(|at| (at, at + FELT));
    let spans: Vec<_> = schedule
        .iter()
        .filter(|step| !step.is_planned())
        .map(|step| {
            let from = began + Duration::from_millis(step.at_ms);
            (from, from + Duration::from_millis(step.for_ms) + FELT)
        })
        .chain(closing)
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
