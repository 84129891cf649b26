//! Checks at the end of a run: availability, the plan, and interrupted requests.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use super::operators::read_back;
use super::record::{ObservedRequest, is_interrupted, is_unanswered};
use super::run::Shared;
use super::schedule::{ENTRIES, Step};
use crate::client::call;
use crate::host::Host;
use crate::system::{KEY, wait_for};

/// Time after the end of an unplanned fault in which requests may still fail, because hosts have to
/// find each other again.
const FAULT_AFTERMATH: Duration = Duration::from_secs(6);

/// Maximum number of consecutive plans that a host may miss because a newer one arrived before it
/// was notified. A host that hears from no keeper for two seconds misses ten.
const MAX_MISSED: usize = 5;

/// Consecutive requests that each entry host must serve once all faults are over.
const CONSECUTIVE_SERVED: u64 = 20;

/// Waits until every entry host serves again and all idle entry hosts are ready.
pub fn wait_until_served(shared: &Shared, seed: u64) {
    for entry in 0..ENTRIES {
        let mut streak = 0;
        let mut number = 0;
        let key = format!("Bearer {KEY}");
        wait_for("service after all faults", || {
            number += 1;
            let address = shared.system.lock().unwrap().entries[entry].callers();
            let attempt = format!("calm-{seed}-{entry}-{number}");
            let headers =
                [("authorization", key.as_str()), ("x-clayplank-attempt-id", attempt.as_str())];
            let answer = call(address, "POST", "/repeatable/x", &headers, "calm");
            streak = if answer.status == 200 { streak + 1 } else { 0 };
            streak >= CONSECUTIVE_SERVED
        });
    }
    wait_for("readiness of all hosts", || {
        shared.system.lock().unwrap().idle_entries.iter().all(Host::is_ready)
    });
}

/// Hosts that missed too many consecutive plans of those after version `calm_from`, in the period
/// without faults.
pub fn check_missed_plans(shared: &Shared, calm_from: u64) -> Vec<String> {
    let plans = shared.acknowledged_plans.lock().unwrap().clone();
    let plans: Vec<_> = plans.into_iter().filter(|version| *version > calm_from).collect();
    let system = shared.system.lock().unwrap();
    let missed = system.entries.iter().chain(&system.idle_entries).map(|host| {
        let in_force: BTreeSet<_> = host
            .lines("A plan is in force")
            .iter()
            .filter_map(|line| line["version"].as_u64())
            .collect();
        let streaks = plans.split(|version| in_force.contains(version));
        (host.ip, streaks.map(<[u64]>::len).max().unwrap_or_default())
    });
    missed
        .filter(|(_, missed)| *missed > MAX_MISSED)
        .map(|(ip, missed)| format!("{ip} missed {missed} consecutive plans of {}", plans.len()))
        .collect()
}

/// Checks that all keepers return a plan that is at least as new as the newest acknowledged one.
pub fn check_plan(shared: &Shared) {
    for control in shared.controls() {
        wait_for("a read of the plan", || {
            let answer = call(control, "GET", "/v1/plan", &[], "");
            answer.status == 200 && answer.is_complete
        });
        read_back(shared, control);
    }
}

/// Start and end of a period.
pub type Span = (Instant, Instant);

/// Periods affected by these steps and by the final kill.
pub fn affected_spans(
    schedule: &[Step],
    started_at: Instant,
    killed_at: Option<Instant>,
    affects: impl Fn(&Step) -> bool,
) -> Vec<Span> {
    let steps = schedule.iter().filter(|step| affects(step)).map(|step| {
        let from = started_at + Duration::from_millis(step.start_ms);
        (from, from + Duration::from_millis(step.duration_ms) + FAULT_AFTERMATH)
    });
    steps.chain(killed_at.map(|at| (at, at + FAULT_AFTERMATH))).collect()
}

/// Whether a request was sent and ended outside the affected periods.
pub fn is_calm(spans: &[Span], sent_at: Instant, ended_at: Instant) -> bool {
    spans.iter().all(|(from, until)| ended_at < *from || sent_at > *until)
}

/// Requests that planned operations interrupted: those that ran and got no complete answer, and those
/// that waited and got none, outside the periods affected by unplanned faults and by the final kill of
/// all hosts.
pub fn check_interrupted(
    observed: &[ObservedRequest],
    schedule: &[Step],
    started_at: Instant,
    all_killed_at: Option<Instant>,
    count: impl Fn(&str) -> usize,
) -> Vec<String> {
    let spans = affected_spans(schedule, started_at, all_killed_at, |step| !step.is_planned());
    let cut = observed
        .iter()
        .filter(|one| is_calm(&spans, one.sent_at, one.ended_at))
        .filter(|one| is_interrupted(one, count(&one.attempt)) || is_unanswered(one));
    cut.map(|observed| {
        let sent_ms = observed.sent_at.duration_since(started_at).as_millis();
        let status = observed.answer.as_ref().map(|answer| answer.status);
        format!(
            "{} at entry {} was interrupted, sent at {sent_ms} ms: {status:?}",
            observed.attempt, observed.entry
        )
    })
    .collect()
}
