//! Joins the calls of a caller's request: its first try, and those after a refusal or failure.
//!
//! The calls of a request have the same fingerprint. So have requests of different callers with the
//! same account and body. They are told apart by what a single caller can't do: call again before its
//! call has ended, after an answer, well before the moment that a refusal named, or with another
//! deadline.

use std::collections::{BTreeMap, HashMap};

use crate::calls::{Call, CallEnd, MAX_TIME_LIMIT_MS};

/// Maximum difference between the clocks of two hosts, in ms.
const CLOCK_TOLERANCE_MS: u64 = 100;

/// Time by which the deadline of a later call may be earlier than that of the request, in ms. Callers
/// state the time that is left, which is older by the way of the call when a host reads it.
const MAX_EARLIER_DEADLINE_MS: u64 = 150;

/// Time by which the deadline of a later call may be later than that of the request, in ms. The route's
/// time limit may have cut the deadline of the first call.
const MAX_LATER_DEADLINE_MS: u64 = 600;

/// A call whose time limit is at most this much below the longest one of its route, in ms, counts as cut
/// by the route's limit: its caller's own deadline may be later by any time.
const CUT_LIMIT_TOLERANCE_MS: u64 = 10;

/// Part of its remaining time for which a caller honours `Retry-After`: one in this many.
const RETRY_AFTER_DIVISOR: u64 = 3;

/// A request of a caller, with its calls in order of their arrival; there is at least one.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest<'a> {
    pub(crate) first: Call<'a>,
    later: Vec<Call<'a>>,
}

impl<'a> CallerRequest<'a> {
    fn new(first: Call<'a>) -> Self {
        Self { first, later: Vec::new() }
    }

    pub(crate) fn calls(&self) -> impl DoubleEndedIterator<Item = &Call<'a>> {
        std::iter::once(&self.first).chain(&self.later)
    }

    pub(crate) fn last(&self) -> &Call<'a> {
        self.later.last().unwrap_or(&self.first)
    }

    /// Whether the caller may call again at this moment or later.
    fn is_open_at(&self, at_ms: u64) -> bool {
        let last = self.last();
        let is_unanswered = match last.end {
            CallEnd::Answered | CallEnd::Invalid | CallEnd::InProgress => false,
            CallEnd::Refused
            | CallEnd::NoPlan
            | CallEnd::Failed
            | CallEnd::TimedOut
            | CallEnd::BrokenOff
            | CallEnd::CallerLeft
            | CallEnd::Unlogged => true,
        };
        let latest_ms = self.first.arrived_ms + MAX_TIME_LIMIT_MS;
        let deadlines_ms = self.calls().filter_map(|call| call.deadline_ms);
        let until_ms = deadlines_ms.fold(latest_ms, u64::max);
        is_unanswered && at_ms <= until_ms + CLOCK_TOLERANCE_MS
    }

    /// Whether a later call with the same fingerprint can be of this request.
    fn may_include(&self, call: &Call<'_>, limits: &RouteLimits<'_>) -> bool {
        self.is_open_at(call.arrived_ms)
            && call.arrived_ms + CLOCK_TOLERANCE_MS >= expected_return_ms(self.last())
            && self.may_have_deadline_of(call, limits)
    }

    /// Whether a later call is before this request's deadline, and has the same one, as far as the logs
    /// tell them.
    fn may_have_deadline_of(&self, call: &Call<'_>, limits: &RouteLimits<'_>) -> bool {
        let latest_ms = self.first.arrived_ms + MAX_TIME_LIMIT_MS;
        let known = self.calls().rev().find_map(|one| Some((one, one.deadline_ms?)));
        let Some((telling, deadline_ms)) = known else {
            return call.arrived_ms <= latest_ms;
        };
        let is_cut = limits.cuts(telling);
        let until_ms = if is_cut { latest_ms.max(deadline_ms) } else { deadline_ms };
        let is_same = call.deadline_ms.is_none_or(|theirs_ms| {
            theirs_ms + MAX_EARLIER_DEADLINE_MS >= deadline_ms
                && (is_cut || theirs_ms <= deadline_ms + MAX_LATER_DEADLINE_MS)
        });
        call.arrived_ms <= until_ms + CLOCK_TOLERANCE_MS && is_same
    }
}

/// Longest time limit of the calls of each route, in ms.
#[derive(Clone, Debug)]
pub(crate) struct RouteLimits<'a>(BTreeMap<&'a str, u64>);

impl<'a> RouteLimits<'a> {
    pub(crate) fn of(calls: &[Call<'a>]) -> Self {
        let mut limits_ms: BTreeMap<&str, u64> = BTreeMap::new();
        for call in calls {
            let max_ms = limits_ms.entry(call.route()).or_default();
            *max_ms = call.time_limit_ms().unwrap_or(0).max(*max_ms);
        }
        Self(limits_ms)
    }

    /// Time by which a call's limit is below the longest one of its route, in ms; 0 if it is not known.
    pub(crate) fn gap_ms(&self, call: &Call<'_>) -> u64 {
        let max_ms = self.0.get(call.route()).copied().unwrap_or(0);
        call.time_limit_ms().map_or(0, |limit_ms| max_ms.saturating_sub(limit_ms))
    }

    /// Whether the route's limit may have cut the call's time limit.
    fn cuts(&self, call: &Call<'_>) -> bool {
        self.gap_ms(call) <= CUT_LIMIT_TOLERANCE_MS
    }
}

/// Returns the moment that a refusal named for the caller's return.
pub(crate) fn appointment_ms(call: &Call<'_>) -> Option<u64> {
    let retry_after_ms = call.last.number("retry_after_ms");
    (call.end == CallEnd::Refused && retry_after_ms > 0).then(|| call.ended_ms() + retry_after_ms)
}

/// Returns the earliest moment at which a caller comes back after a call that had no answer.
fn expected_return_ms(call: &Call<'_>) -> u64 {
    let Some(appointment_ms) = appointment_ms(call) else {
        return call.ended_ms();
    };
    let longest_wait_ms = call.deadline_ms.map(|deadline_ms| {
        let left_ms = deadline_ms.saturating_sub(call.ended_ms());
        call.ended_ms() + left_ms / RETRY_AFTER_DIVISOR
    });
    longest_wait_ms.map_or(appointment_ms, |until_ms| until_ms.min(appointment_ms))
}

/// Joins calls, which are in order of their arrival, into callers' requests. A call without a
/// fingerprint is a request of its own.
pub(crate) fn join_calls(calls: Vec<Call<'_>>) -> Vec<CallerRequest<'_>> {
    let limits = RouteLimits::of(&calls);
    let mut requests: Vec<CallerRequest<'_>> = Vec::new();
    let mut by_fingerprint: HashMap<&str, Vec<usize>> = HashMap::new();
    for call in calls {
        let mut same = call.fingerprint.map(|one| by_fingerprint.entry(one).or_default());
        if let Some(same) = &mut same {
            // Probes may send the same body all day: closed requests are not compared again.
            same.retain(|index| requests[*index].is_open_at(call.arrived_ms));
        }
        let joined = same.as_ref().and_then(|same| {
            let open = same.iter().filter(|index| requests[**index].may_include(&call, &limits));
            open.min_by_key(|index| {
                expected_return_ms(requests[**index].last()).abs_diff(call.arrived_ms)
            })
        });
        match joined {
            Some(index) => requests[*index].later.push(call),
            None => {
                if let Some(same) = same {
                    same.push(requests.len());
                }
                requests.push(CallerRequest::new(call));
            }
        }
    }
    requests
}
