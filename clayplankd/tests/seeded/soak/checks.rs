//! Checks at the end of a run: service, the plan, and requests that were cut off.

use std::time::{Duration, Instant};

use super::operators::read_back;
use super::record::{Seen, is_cut_off};
use super::run::Shared;
use super::schedule::{ENTRIES, Step};
use crate::client::call;
use crate::system::{KEY, wait_for};

/// An unplanned fault may be felt for so long after its end: hosts have to find each other.
const FELT: Duration = Duration::from_secs(6);

/// Requests in a row that each entry host must serve once all faults are over.
const SERVED_IN_A_ROW: u64 = 20;

/// After all faults every entry host serves again.
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
}

/// The keepers agree on a plan that is no older than the newest that was acknowledged.
pub fn check_plan(shared: &Shared) {
    for control in shared.controls() {
        wait_for("a read of the plan", || {
            let answer = call(control, "GET", "/v1/plan", &[], "");
            answer.status == 200 && answer.is_whole
        });
        read_back(shared, control);
    }
}

/// Requests that planned work cut off: all that ran and got no whole answer, far from any
/// unplanned fault.
pub fn check_cut_off(
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
