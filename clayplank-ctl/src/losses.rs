//! Summarizes from the logs of entry hosts which requests were not served well, and why.
//!
//! Requests count from the caller's first try: calls with the same fingerprint are joined, and an
//! answer is late if the time since the first of them exceeds the goal. A request has a weight. One
//! that was not served loses all of it, one that was late or paused for too long loses three quarters,
//! and one that was refused twice loses a further part.
//!
//! Lines without a fingerprint, as older hosts write them, are counted per call. Among them, a retry
//! that is refused again is recognized by its shorter remaining time, and a retry that is served counts
//! as another request.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::caller_requests::{CallerRequest, RouteLimits, join_calls};
use crate::calls::{Call, CallEnd, collect_calls};
use crate::log_line::LogLine;

/// Share of the weight that a late answer loses; the same as in the choice of engines.
const LATE_LOSS_SHARE: f64 = 0.75;

/// Share of the weight that a second refusal loses in addition, as the users rate it.
const REPEATED_REFUSAL_LOSS_SHARE: f64 = 0.3;

/// A call counts as a retry if its time limit is at least this much below the longest one of its route;
/// the same as in the choice of engines.
const MIN_RETRY_GAP_MS: u64 = 400;

/// Number of prompt tokens that add as much weight as one more request; the same as in the choice of
/// engines.
const TOKENS_PER_WEIGHT: f64 = 10_000.0;

/// Maximum waiting time for which a refusal counts as immediate.
const MAX_IMMEDIATE_MS: u64 = 20;

/// Reason for which a request lost all or part of its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Cause {
    /// It was refused immediately, and its caller did not come back.
    RefusedAtOnce,
    /// It was refused after a wait, and its caller did not come back.
    RefusedLate,
    /// It was refused after it had been in the admission queue, and its caller did not come back.
    RefusedFromQueue,
    /// Its caller came back after a refusal, and was refused as well.
    RefusedAgain,
    /// No serving plan was in force, or none was confirmed.
    NoPlan,
    /// Its upstream failed, and no other one could run it.
    Failed,
    /// Its time limit expired.
    TimedOut,
    /// Its answer stream broke off.
    BrokenOff,
    /// Its caller left when the answer, or its next event, was late already.
    LeftWhenLate,
    /// Its host logged no end of it, as when the host stopped.
    Unlogged,
    /// It was answered late from the first try, after a refusal.
    LateAfterRefusal,
    /// It was answered late from the first try, after an earlier call or an attempt at another upstream
    /// had failed.
    LateAfterFailure,
    /// It was answered late, after it had been in the admission queue.
    LateAfterQueue,
    /// It was answered late, as predicted when its engine was chosen.
    LateAsExpected,
    /// It was answered late, though predicted to be in time.
    LateUnexpected,
    /// Its answer stream paused for longer than its goal allows.
    Paused,
}

impl Cause {
    fn as_str(self) -> &'static str {
        match self {
            Self::RefusedAtOnce => "refused at once",
            Self::RefusedLate => "refused after a wait",
            Self::RefusedFromQueue => "refused from the queue",
            Self::RefusedAgain => "refused again",
            Self::NoPlan => "no plan",
            Self::Failed => "failed",
            Self::TimedOut => "timed out",
            Self::BrokenOff => "broken off",
            Self::LeftWhenLate => "caller left when late",
            Self::Unlogged => "no end logged",
            Self::LateAfterRefusal => "late after a refusal",
            Self::LateAfterFailure => "late after a failure",
            Self::LateAfterQueue => "late after the queue",
            Self::LateAsExpected => "late as expected",
            Self::LateUnexpected => "late, expected in time",
            Self::Paused => "paused too long",
        }
    }

    /// Share of the weight that is lost, apart from that of a second refusal.
    fn lost_share(self) -> f64 {
        match self {
            Self::RefusedAtOnce
            | Self::RefusedLate
            | Self::RefusedFromQueue
            | Self::RefusedAgain
            | Self::NoPlan
            | Self::Failed
            | Self::TimedOut
            | Self::BrokenOff
            | Self::LeftWhenLate
            | Self::Unlogged => 1.0,
            Self::LateAfterRefusal
            | Self::LateAfterFailure
            | Self::LateAfterQueue
            | Self::LateAsExpected
            | Self::LateUnexpected
            | Self::Paused => LATE_LOSS_SHARE,
        }
    }
}

/// Losses of the requests of one route by one cause.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Loss {
    pub(crate) cause: Cause,
    pub(crate) route: String,
    pub(crate) requests: u64,
    /// Lost weight, as a share of the weight of all requests.
    pub(crate) share: f64,
    pub(crate) first_time: String,
    /// Id of the last call of the first such request, for `explain`.
    pub(crate) first_request: String,
}

/// All losses, in descending order.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct LossReport {
    pub(crate) requests: u64,
    pub(crate) calls: u64,
    /// Calls whose lines have no fingerprint, so that they are counted per call.
    pub(crate) calls_without_fingerprint: u64,
    /// Calls that were refused for lack of a plan before they were read. They have no fingerprint, and
    /// are counted per call.
    pub(crate) calls_without_plan: u64,
    pub(crate) lost_share: f64,
    pub(crate) losses: Vec<Loss>,
}

impl LossReport {
    fn count_call(&mut self, call: &Call<'_>) {
        self.calls += 1;
        match (call.end, call.fingerprint) {
            (CallEnd::NoPlan, _) => self.calls_without_plan += 1,
            (_, None) => self.calls_without_fingerprint += 1,
            (_, Some(_)) => {}
        }
    }
}

/// Adds up the losses of all requests that ended according to the log lines.
pub(crate) fn summarize_losses(lines: &[LogLine]) -> LossReport {
    let calls = collect_calls(lines);
    let routes = Routes::of(&calls);
    let mut report = LossReport::default();
    let mut total_weight = 0.0;
    let mut losses: BTreeMap<(Cause, &str), (Loss, f64)> = BTreeMap::new();
    for request in join_calls(calls) {
        let Some(outcome) = routes.outcome_of(&request) else {
            continue;
        };
        request.calls().for_each(|call| report.count_call(call));
        let max_tokens = request.calls().map(Call::prompt_tokens).max().unwrap_or(0);
        let weight = 1.0 + max_tokens as f64 / TOKENS_PER_WEIGHT;
        if !outcome.is_repeat {
            report.requests += 1;
            total_weight += weight;
        }
        let Some(cause) = outcome.cause else {
            continue;
        };
        let last = request.last();
        let (loss, lost) = losses.entry((cause, last.route())).or_insert_with(|| {
            let first = Loss {
                cause,
                route: last.route().to_owned(),
                requests: 0,
                share: 0.0,
                first_time: last.last.time.clone(),
                first_request: last.id.to_owned(),
            };
            (first, 0.0)
        });
        loss.requests += 1;
        *lost += weight * outcome.lost_share;
    }
    report.losses = losses
        .into_values()
        .map(|(loss, lost)| Loss { share: lost / total_weight, ..loss })
        .collect();
    report.losses.sort_by(|left, right| right.share.total_cmp(&left.share));
    report.lost_share = report.losses.iter().fold(0.0, |sum, loss| sum + loss.share);
    report
}

/// Result of a request.
struct Outcome {
    /// Reason of the loss; `None` if the request was served in time.
    cause: Option<Cause>,
    lost_share: f64,
    /// Whether this is a further call of a request that was counted already.
    is_repeat: bool,
}

/// What the calls tell of their routes.
struct Routes<'a> {
    limits: RouteLimits<'a>,
    /// Goal of each route, in ms; it is not in the lines of callers that left before an answer.
    goals_ms: BTreeMap<&'a str, u64>,
}

impl<'a> Routes<'a> {
    fn of(calls: &[Call<'a>]) -> Self {
        let mut goals_ms = BTreeMap::new();
        for call in calls {
            let goal_ms = call.last.number("goal_ms");
            if goal_ms > 0 {
                goals_ms.insert(call.route(), goal_ms);
            }
        }
        Self { limits: RouteLimits::of(calls), goals_ms }
    }

    /// Returns the result of a request. Returns `None` if the system did not cause its end, as when the
    /// caller left early, and if it goes on after the logs.
    fn outcome_of(&self, request: &CallerRequest<'_>) -> Option<Outcome> {
        let last = request.last();
        let refusals = request.calls().filter(|call| call.end == CallEnd::Refused).count();
        let is_repeat = last.fingerprint.is_none()
            && last.end == CallEnd::Refused
            && self.limits.gap_ms(last) >= MIN_RETRY_GAP_MS;
        if is_repeat {
            let lost_share = REPEATED_REFUSAL_LOSS_SHARE;
            return Some(Outcome { cause: Some(Cause::RefusedAgain), lost_share, is_repeat });
        }
        let cause = match last.end {
            CallEnd::Answered => classify_answer(request),
            CallEnd::Refused if refusals > 1 => Some(Cause::RefusedAgain),
            CallEnd::Refused if last.was_queued() => Some(Cause::RefusedFromQueue),
            CallEnd::Refused if last.last.number("waited_ms") <= MAX_IMMEDIATE_MS => {
                Some(Cause::RefusedAtOnce)
            }
            CallEnd::Refused => Some(Cause::RefusedLate),
            CallEnd::NoPlan => Some(Cause::NoPlan),
            CallEnd::Failed => Some(Cause::Failed),
            CallEnd::TimedOut => Some(Cause::TimedOut),
            CallEnd::BrokenOff => Some(Cause::BrokenOff),
            CallEnd::CallerLeft if self.is_overdue(request) => Some(Cause::LeftWhenLate),
            CallEnd::Unlogged => Some(Cause::Unlogged),
            CallEnd::CallerLeft | CallEnd::Invalid | CallEnd::InProgress => return None,
        };
        let repeated_share = if refusals > 1 { REPEATED_REFUSAL_LOSS_SHARE } else { 0.0 };
        let lost_share = cause.map_or(0.0, Cause::lost_share) + repeated_share;
        let cause = cause.or((refusals > 1).then_some(Cause::RefusedAgain));
        Some(Outcome { cause, lost_share, is_repeat })
    }

    /// Whether the first event of an answer, or a later one, was late when the caller left.
    fn is_overdue(&self, request: &CallerRequest<'_>) -> bool {
        let last = request.last();
        let goal_ms = self.goals_ms.get(last.route()).copied().unwrap_or(0);
        let pause_goal_ms = last.last.number("pause_goal_ms");
        let until_ms = last.first_event_ms().unwrap_or(last.last.number("waited_ms"));
        let since_first_try_ms = last.arrived_ms - request.first.arrived_ms + until_ms;
        let longest_pause_ms = last.last.number("longest_pause_ms");
        (goal_ms > 0 && since_first_try_ms > goal_ms)
            || (pause_goal_ms > 0 && longest_pause_ms > pause_goal_ms)
    }
}

/// Classifies an answer by its latency from the first try and its longest pause.
fn classify_answer(request: &CallerRequest<'_>) -> Option<Cause> {
    let last = request.last();
    let goal_ms = last.last.number("goal_ms");
    let pause_goal_ms = last.last.number("pause_goal_ms");
    let latency_ms = last.first_event_ms().unwrap_or(0);
    let since_first_try_ms = last.arrived_ms - request.first.arrived_ms + latency_ms;
    let was_refused = request.calls().any(|call| call.end == CallEnd::Refused);
    let has_retried = request.calls().count() > 1 || last.last.number("sent") > 1;
    if goal_ms > 0 && since_first_try_ms > goal_ms {
        return Some(if was_refused {
            Cause::LateAfterRefusal
        } else if has_retried {
            Cause::LateAfterFailure
        } else if last.was_queued() {
            Cause::LateAfterQueue
        } else if last.last.number("expected_ms") > goal_ms {
            Cause::LateAsExpected
        } else {
            Cause::LateUnexpected
        });
    }
    let is_paused = pause_goal_ms > 0 && last.last.number("longest_pause_ms") > pause_goal_ms;
    is_paused.then_some(Cause::Paused)
}

/// Formats the report as a table with at most `max_rows` losses, followed by what it could not count from
/// the first try.
pub(crate) fn to_table(report: &LossReport, max_rows: usize) -> String {
    let head = format!(
        "{} requests in {} calls, {:.1}% of what they weigh was lost",
        report.requests,
        report.calls,
        100.0 * report.lost_share
    );
    let rows = report.losses.iter().take(max_rows).map(|loss| {
        format!(
            "{:5.2}%  {:6}  {:24} {:24} {} {}",
            100.0 * loss.share,
            loss.requests,
            loss.cause.as_str(),
            loss.route,
            loss.first_time,
            loss.first_request
        )
    });
    let per_call = [
        (report.calls_without_fingerprint, "whose lines have no fingerprint"),
        (report.calls_without_plan, "refused for lack of a plan before they were read"),
    ];
    let per_call = per_call.into_iter().filter(|(calls, _)| *calls > 0).map(|(calls, reason)| {
        format!("counted per call, not from the caller's first try: {calls} {reason}")
    });
    std::iter::once(head).chain(rows).chain(per_call).collect::<Vec<_>>().join("\n")
}
