//! Summarizes from the logs of entry hosts which requests were not served well, and why.
//!
//! A request has a weight. One that was not served loses all of it, one that was late or paused for
//! too long loses three quarters. Log lines do not link a caller's retries to each other, so a retry
//! that is rejected again is recognized by its shorter remaining time. It loses a further part of the
//! weight. A retry that is served is counted as another request.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::Value;

use crate::log_line::LogLine;

/// Share of the weight that a late answer loses; the same as in the choice of engines.
const LATE_LOSS_SHARE: f64 = 0.75;

/// Share of the weight that a second rejection loses in addition to the first, as the users rate it.
const REPEATED_REJECTION_LOSS_SHARE: f64 = 0.3;

/// A rejected request counts as a retry if its time limit is at least this much below the longest
/// one of its route; the same as in the choice of engines.
const MIN_RETRY_GAP_MS: u64 = 400;

/// Number of prompt tokens that add as much weight as one more request; the same as in the choice of
/// engines.
const TOKENS_PER_WEIGHT: f64 = 10_000.0;

/// Maximum waiting time for which a rejection counts as immediate.
const MAX_IMMEDIATE_MS: u64 = 20;

/// Reason for which a request lost all or part of its weight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Cause {
    /// It was rejected immediately; the caller was told to retry later.
    RefusedAtOnce,
    /// It was rejected after a wait; the caller was told to retry later.
    RefusedLate,
    /// It was a retry of a rejected request, and was rejected as well.
    RefusedAgain,
    /// No serving plan was in force, or none was confirmed.
    NoPlan,
    /// Its upstream failed, and no other one could run it.
    Failed,
    /// Its time limit expired.
    TimedOut,
    /// Its answer stream broke off.
    BrokenOff,
    /// It was answered late, after an attempt at another upstream had failed.
    LateAfterFailure,
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
            Self::RefusedAgain => "refused again",
            Self::NoPlan => "no plan",
            Self::Failed => "failed",
            Self::TimedOut => "timed out",
            Self::BrokenOff => "broken off",
            Self::LateAfterFailure => "late after a failure",
            Self::LateAsExpected => "late as expected",
            Self::LateUnexpected => "late, expected in time",
            Self::Paused => "paused too long",
        }
    }

    fn lost_share(self) -> f64 {
        match self {
            Self::RefusedAtOnce
            | Self::RefusedLate
            | Self::NoPlan
            | Self::Failed
            | Self::TimedOut
            | Self::BrokenOff => 1.0,
            Self::RefusedAgain => REPEATED_REJECTION_LOSS_SHARE,
            Self::LateAfterFailure | Self::LateAsExpected | Self::LateUnexpected | Self::Paused => {
                LATE_LOSS_SHARE
            }
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
    /// Id of the first such request, for `explain`.
    pub(crate) first_request: String,
}

/// All losses, in descending order.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct LossReport {
    pub(crate) requests: u64,
    pub(crate) lost_share: f64,
    pub(crate) losses: Vec<Loss>,
}

/// Adds up the losses of all requests that ended according to the log lines.
pub(crate) fn summarize_losses(lines: &[LogLine]) -> LossReport {
    let mut report = LossReport::default();
    let mut total_weight = 0.0;
    let limits = max_limits(lines);
    let mut losses: BTreeMap<(Cause, String), (Loss, f64)> = BTreeMap::new();
    for line in lines {
        let Some(outcome) = outcome_of(line, &limits) else {
            continue;
        };
        let weight = 1.0 + number(line, "prompt_tokens") as f64 / TOKENS_PER_WEIGHT;
        if !matches!(outcome, Outcome::Lost(Cause::RefusedAgain)) {
            report.requests += 1;
            total_weight += weight;
        }
        let Outcome::Lost(cause) = outcome else {
            continue;
        };
        let route = text(line, "route").to_owned();
        let (loss, lost) = losses.entry((cause, route.clone())).or_insert_with(|| {
            let first = Loss {
                cause,
                route,
                requests: 0,
                share: 0.0,
                first_time: line.time.clone(),
                first_request: text(line, "request").to_owned(),
            };
            (first, 0.0)
        });
        loss.requests += 1;
        *lost += weight * cause.lost_share();
    }
    report.losses = losses
        .into_values()
        .map(|(loss, lost)| Loss { share: lost / total_weight, ..loss })
        .collect();
    report.losses.sort_by(|left, right| right.share.total_cmp(&left.share));
    report.lost_share = report.losses.iter().map(|loss| loss.share).sum();
    report
}

/// Returns the longest time limit of the rejected requests of each route, in ms.
fn max_limits(lines: &[LogLine]) -> BTreeMap<&str, u64> {
    let mut limits = BTreeMap::new();
    for line in lines.iter().filter(|line| line.message == "Gave a request up") {
        let max_ms = limits.entry(text(line, "route")).or_default();
        *max_ms = limit_ms(line).max(*max_ms);
    }
    limits
}

/// Returns the time limit of a rejected request, in ms.
fn limit_ms(line: &LogLine) -> u64 {
    number(line, "left_ms") + number(line, "waited_ms")
}

/// Result of a request.
enum Outcome {
    Served,
    Lost(Cause),
}

/// Returns the result of the request that a line is about. Returns `None` if the line is not about
/// the end of a request, or if the system did not cause that end, as when the caller left.
fn outcome_of(line: &LogLine, limits: &BTreeMap<&str, u64>) -> Option<Outcome> {
    match line.message.as_str() {
        "A stream ended" => match text(line, "outcome") {
            "answered" => Some(classify_answer(line, number(line, "first_event_ms"))),
            "broken_off" => Some(Outcome::Lost(Cause::BrokenOff)),
            "timed_out" => Some(Outcome::Lost(Cause::TimedOut)),
            _ => None,
        },
        "Answered" if number(line, "status") < 500 => {
            Some(classify_answer(line, number(line, "waited_ms")))
        }
        "Answered" => Some(Outcome::Lost(Cause::Failed)),
        "Gave a request up" => Some(Outcome::Lost(match text(line, "outcome") {
            "not_run" if is_retry(line, limits) => Cause::RefusedAgain,
            "not_run" if number(line, "waited_ms") <= MAX_IMMEDIATE_MS => Cause::RefusedAtOnce,
            "not_run" => Cause::RefusedLate,
            "timed_out" => Cause::TimedOut,
            _ => Cause::Failed,
        })),
        "Refused at the door" if text(line, "outcome") == "no_plan" => {
            Some(Outcome::Lost(Cause::NoPlan))
        }
        _ => None,
    }
}

/// Whether a rejected request is a retry of one that was rejected before.
fn is_retry(line: &LogLine, limits: &BTreeMap<&str, u64>) -> bool {
    let max_ms = limits.get(text(line, "route")).copied().unwrap_or_default();
    limit_ms(line) + MIN_RETRY_GAP_MS <= max_ms
}

/// Classifies an answer as served or lost, by its latency and its longest pause.
fn classify_answer(line: &LogLine, latency_ms: u64) -> Outcome {
    let goal_ms = number(line, "goal_ms");
    let pause_goal_ms = number(line, "pause_goal_ms");
    if goal_ms > 0 && latency_ms > goal_ms {
        return Outcome::Lost(match number(line, "sent") {
            2.. => Cause::LateAfterFailure,
            _ if number(line, "expected_ms") > goal_ms => Cause::LateAsExpected,
            _ => Cause::LateUnexpected,
        });
    }
    if pause_goal_ms > 0 && number(line, "longest_pause_ms") > pause_goal_ms {
        return Outcome::Lost(Cause::Paused);
    }
    Outcome::Served
}

fn number(line: &LogLine, field: &str) -> u64 {
    line.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
}

fn text<'a>(line: &'a LogLine, field: &str) -> &'a str {
    line.fields.get(field).and_then(Value::as_str).unwrap_or_default()
}

/// Formats the report as a table with at most `max_rows` losses.
pub(crate) fn to_table(report: &LossReport, max_rows: usize) -> String {
    let head = format!(
        "{} requests, {:.1}% of what they weigh was lost",
        report.requests,
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
    std::iter::once(head).chain(rows).collect::<Vec<_>>().join("\n")
}
