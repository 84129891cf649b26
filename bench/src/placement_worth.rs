//! What the requests of the placement bench are worth, and why they earned less.

use crate::placement_requests::{EVENT_TOKENS, KINDS, Request};

/// Worth earned and owed, of a kind or of all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Account {
    pub(crate) earned: f64,
    pub(crate) owed: f64,
}

impl Account {
    pub(crate) fn share(self) -> f64 {
        self.earned / self.owed.max(1e-9)
    }
}

/// What a request earned, and what it would have earned in time.
pub(crate) fn settle(request: &Request) -> (f64, f64) {
    let kind = &KINDS[request.kind];
    let size = request.tokens + 10.0 * f64::from(request.events) * EVENT_TOKENS;
    let mean = kind.mean_tokens + 10.0 * kind.mean_events * EVENT_TOKENS;
    let factor = (0.3 + 0.7 * size / mean).min(4.0);
    let is_in_time = request.first_ms.is_some_and(|first_ms| first_ms <= kind.goal_ms)
        && request.longest_pause_ms <= kind.pause_goal_ms;
    let is_waited_for = request.first_ms.is_some_and(|first_ms| first_ms <= kind.limit_ms);
    let earned = match (request.is_done && is_waited_for, is_in_time) {
        // One that came back in time earns the mean.
        (true, true) if request.retries > 0 => (kind.worth + kind.late_worth) / 2.0,
        (true, true) => kind.worth,
        (true, false) => kind.late_worth,
        (false, _) => 0.0,
    };
    (earned * factor, kind.worth * factor)
}

/// Prompts above this many tokens are told apart: the engines' memory holds no longer ones.
pub(crate) const LONGEST_TOKENS: f64 = 430_000.0;

/// Why a request earned less than its worth, if it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    InTime,
    FirstEventLate,
    PauseTooLong,
    NotServed,
}

/// Names of the causes, in their order.
pub(crate) const CAUSES: [&str; 4] =
    ["in time", "first event late", "pause too long", "not served"];

/// The cause that a request counts under.
pub(crate) fn late_cause(request: &Request) -> Cause {
    let kind = &KINDS[request.kind];
    match request.first_ms.filter(|_| request.is_done) {
        None => Cause::NotServed,
        Some(first_ms) if first_ms > kind.limit_ms => Cause::NotServed,
        Some(first_ms) if first_ms > kind.goal_ms => Cause::FirstEventLate,
        Some(_) if request.longest_pause_ms > kind.pause_goal_ms => Cause::PauseTooLong,
        Some(_) => Cause::InTime,
    }
}
