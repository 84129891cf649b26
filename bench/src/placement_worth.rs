//! What the requests of the placement bench are worth, and why they earned less.

use crate::placement_requests::{Mix, Request};

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

/// What a request that came back after a refusal and is refused again costs, as a share of its
/// worth: its caller waited for nothing.
const SECOND_REFUSAL_COST: f64 = 0.3;

/// What a request earned, and what it would have earned in time.
///
/// By the users' measure: time counts from a caller's first try, a refusal that is followed by
/// success earns nothing extra, a second refusal costs, and so does holding what is then refused,
/// by its share of the caller's time.
pub(crate) fn settle(mix: &Mix, request: &Request) -> (f64, f64) {
    let kind = &mix.kinds[request.kind];
    let factor = size_factor(mix, request);
    let earned = match late_cause(mix, request) {
        Cause::InTime => kind.worth,
        Cause::FirstEventLate | Cause::PauseTooLong => kind.late_worth,
        Cause::NotServed => {
            let again = if request.refusals > 1 { SECOND_REFUSAL_COST } else { 0.0 };
            -kind.worth * (again + request.held_ms / kind.time_ms)
        }
    };
    (earned * factor, kind.worth * factor)
}

/// What a request counts beside others of its kind, by its size, as the users' sheet has it.
pub(crate) fn size_factor(mix: &Mix, request: &Request) -> f64 {
    let kind = &mix.kinds[request.kind];
    let size = request.tokens + 10.0 * f64::from(request.events) * mix.event_tokens();
    let mean = kind.mean_tokens + 10.0 * kind.mean_events * mix.event_tokens();
    (0.3 + 0.7 * size / mean).min(4.0)
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
pub(crate) fn late_cause(mix: &Mix, request: &Request) -> Cause {
    let kind = &mix.kinds[request.kind];
    match request.first_ms.filter(|_| request.is_done) {
        None => Cause::NotServed,
        Some(first_ms) if first_ms > kind.limit_ms => Cause::NotServed,
        Some(first_ms) if first_ms > kind.goal_ms => Cause::FirstEventLate,
        Some(_) if request.longest_pause_ms > kind.pause_goal_ms => Cause::PauseTooLong,
        Some(_) => Cause::InTime,
    }
}
