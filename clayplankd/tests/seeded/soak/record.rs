//! Observations of callers and operators, and the violations found in them.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::answer::Answer;

/// Retry semantics of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Repeatable,
    Once,
    Stream { events: u64 },
}

/// One request and its result; `answer` is `None` if the connection gave no answer.
#[derive(Clone, Debug)]
pub struct ObservedRequest {
    pub attempt: String,
    pub kind: Kind,
    pub entry: usize,
    pub sent_at: Instant,
    pub ended_at: Instant,
    /// End of the time for which the caller wanted an answer.
    pub deadline: Instant,
    /// Fault that the request asked its upstream to show.
    pub requested_fault: Option<&'static str>,
    pub answer: Option<Answer>,
}

/// Recorded requests and violated guarantees.
#[derive(Debug, Default)]
pub struct Record {
    observed: Mutex<Vec<ObservedRequest>>,
    violations: Mutex<Vec<String>>,
}

impl Record {
    pub fn push(&self, observed: ObservedRequest) {
        self.observed.lock().unwrap().push(observed);
    }

    pub fn record_violation(&self, violation: String) {
        self.violations.lock().unwrap().push(violation);
    }

    pub fn take(self) -> (Vec<ObservedRequest>, Vec<String>) {
        (self.observed.into_inner().unwrap(), self.violations.into_inner().unwrap())
    }
}

/// Guarantee violated by this request alone; `runs` is the number of times upstreams ran it.
pub fn check_observed(observed: &ObservedRequest, runs: usize) -> Option<String> {
    let ObservedRequest { attempt, kind, .. } = observed;
    if *kind == Kind::Once && runs > 1 {
        return Some(format!("{attempt} ran {runs} times, but may run only once"));
    }
    let answer = observed.answer.as_ref()?;
    match answer.status {
        200 if !answer.is_complete => None,
        200 if is_expected(observed, answer) => None,
        200 => {
            Some(format!("{attempt} got a complete answer to another request: {}", answer.text()))
        }
        503 if runs > 0 && (*kind == Kind::Once || attempt.starts_with("prompt-")) => {
            Some(format!("{attempt} was reported as not run, and ran {runs} times"))
        }
        401 | 404 => Some(format!("{attempt} was rejected with {}", answer.status)),
        _ => None,
    }
}

fn is_expected(observed: &ObservedRequest, answer: &Answer) -> bool {
    match observed.kind {
        Kind::Repeatable | Kind::Once => answer.text() == observed.attempt,
        Kind::Stream { events } => {
            let text = answer.text();
            let ids =
                text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
            ids.eq(1..=events)
        }
    }
}

/// Whether a request that ran got no complete answer before its deadline although it asked for no
/// fault. Outside the periods of unplanned faults, only planned work on the host of the caller can
/// cause this.
pub fn is_interrupted(observed: &ObservedRequest, runs: usize) -> bool {
    let is_complete = observed.answer.as_ref().is_some_and(|answer| answer.is_complete);
    let is_in_time = observed.ended_at < observed.deadline;
    runs > 0 && observed.requested_fault.is_none() && !is_complete && is_in_time
}

/// Time after which a host without an unplanned fault has read a request; an overloaded one closes
/// connections unread.
const READ_TIME: Duration = Duration::from_secs(1);

/// Whether a request that a host had time to read got no answer at all before its deadline, even if no
/// upstream has run it.
pub fn is_unanswered(observed: &ObservedRequest) -> bool {
    let has_been_read = observed.ended_at - observed.sent_at > READ_TIME;
    let is_in_time = observed.ended_at < observed.deadline;
    has_been_read && is_in_time && observed.requested_fault.is_none() && observed.answer.is_none()
}
