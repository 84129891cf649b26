//! Collects from log lines the calls that entry hosts handled.

use std::collections::{BTreeMap, HashMap};

use crate::log_line::LogLine;

/// Message of an entry host that has put a request into the admission queue.
const QUEUED_MESSAGE: &str = "The request was queued";

/// Message of a host that starts: calls that it had not ended before have no end.
const HOST_START_MESSAGE: &str = "Host started";

/// Time after which a call without an end is not in progress any more, in ms: the longest time limit
/// that routes commonly have.
pub(crate) const MAX_TIME_LIMIT_MS: u64 = 15_000;

/// How a call ended, by the entry host that handled it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallEnd {
    /// The caller got an answer, maybe a late one.
    Answered,
    /// No upstream ran it, for lack of capacity or as none was reached.
    Refused,
    /// The host had no confirmed serving plan.
    NoPlan,
    Failed,
    TimedOut,
    /// Its answer stream broke off.
    BrokenOff,
    /// The caller disconnected before the end of the answer.
    CallerLeft,
    /// It was rejected for a cause of its caller, such as an unknown route, or is quarantined.
    Invalid,
    /// The logs have no end of it, and it is not in progress any more.
    Unlogged,
    /// The logs end before it.
    InProgress,
}

/// One call of a caller, as its entry host logged it.
#[derive(Clone, Debug)]
pub(crate) struct Call<'a> {
    /// The caller's id of this attempt.
    pub(crate) id: &'a str,
    pub(crate) fingerprint: Option<&'a str>,
    pub(crate) end: CallEnd,
    /// All lines that name the call, in order of time.
    pub(crate) lines: Vec<&'a LogLine>,
    /// The line of its end; the last one if its end is not logged.
    pub(crate) last: &'a LogLine,
    pub(crate) arrived_ms: u64,
    /// Moment of the caller's deadline, if a line tells it.
    pub(crate) deadline_ms: Option<u64>,
}

impl<'a> Call<'a> {
    fn of(id: &'a str, lines: Vec<&'a LogLine>) -> Option<Self> {
        let ended = lines.iter().find_map(|line| Some((*line, end_of(line)?)));
        let (last, end) = ended.or_else(|| Some((*lines.last()?, CallEnd::InProgress)))?;
        let arrivals = lines.iter().map(|line| line.at_ms.saturating_sub(line.number("waited_ms")));
        let arrived_ms = arrivals.min()?;
        let deadline_ms = lines
            .iter()
            .rev()
            .find_map(|line| Some(line.at_ms + line.fields.get("left_ms")?.as_u64()?));
        let fingerprint =
            lines.iter().map(|line| line.text("fingerprint")).find(|text| !text.is_empty());
        Some(Self { id, fingerprint, end, lines, last, arrived_ms, deadline_ms })
    }

    pub(crate) fn ended_ms(&self) -> u64 {
        self.last.at_ms
    }

    pub(crate) fn route(&self) -> &'a str {
        self.lines.iter().map(|line| line.text("route")).find(|text| !text.is_empty()).unwrap_or("")
    }

    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.lines.iter().map(|line| line.number("prompt_tokens")).max().unwrap_or(0)
    }

    /// Time from the arrival to the deadline in ms, if a line tells it.
    pub(crate) fn time_limit_ms(&self) -> Option<u64> {
        Some(self.deadline_ms?.saturating_sub(self.arrived_ms))
    }

    /// Whether the call was in the admission queue.
    pub(crate) fn was_queued(&self) -> bool {
        self.lines.iter().any(|line| line.message == QUEUED_MESSAGE)
    }

    /// Time from the arrival to the first event of the answer, in ms; of an answer in one piece, to its
    /// end. `None` if there was no answer.
    pub(crate) fn first_event_ms(&self) -> Option<u64> {
        match self.last.message.as_str() {
            "A stream ended" => self.last.fields.get("first_event_ms")?.as_u64(),
            "Answered" => Some(self.last.number("waited_ms")),
            _ => None,
        }
    }
}

/// Returns how a call ended, if the line says it.
fn end_of(line: &LogLine) -> Option<CallEnd> {
    match line.message.as_str() {
        "A stream ended" => Some(match line.text("outcome") {
            "answered" => CallEnd::Answered,
            "broken_off" => CallEnd::BrokenOff,
            "timed_out" => CallEnd::TimedOut,
            _ => CallEnd::CallerLeft,
        }),
        "Answered" if line.number("status") < 500 => Some(CallEnd::Answered),
        "Answered" => Some(CallEnd::Failed),
        "Gave a request up" => Some(match line.text("outcome") {
            "not_run" => CallEnd::Refused,
            "timed_out" => CallEnd::TimedOut,
            _ => CallEnd::Failed,
        }),
        "Refused at the door" if line.text("outcome") == "no_plan" => Some(CallEnd::NoPlan),
        "Refused at the door" => Some(CallEnd::Invalid),
        "The caller left before an answer" => Some(CallEnd::CallerLeft),
        _ => None,
    }
}

/// Collects all calls, in order of their arrival. `lines` are in order of time.
pub(crate) fn collect_calls(lines: &[LogLine]) -> Vec<Call<'_>> {
    let mut lines_by_id: BTreeMap<&str, Vec<&LogLine>> = BTreeMap::new();
    let mut host_starts: HashMap<&str, u64> = HashMap::new();
    for line in lines {
        let id = line.text("request");
        if !id.is_empty() {
            lines_by_id.entry(id).or_default().push(line);
        }
        if line.message == HOST_START_MESSAGE {
            host_starts.insert(&line.host, line.at_ms);
        }
    }
    let logs_end_ms = lines.last().map_or(0, |line| line.at_ms);
    let mut calls: Vec<_> =
        lines_by_id.into_iter().filter_map(|(id, lines)| Call::of(id, lines)).collect();
    for call in calls.iter_mut().filter(|call| call.end == CallEnd::InProgress) {
        let has_restarted = host_starts
            .get(call.last.host.as_str())
            .is_some_and(|started_ms| *started_ms > call.last.at_ms);
        let until_ms = call.deadline_ms.unwrap_or(call.arrived_ms + MAX_TIME_LIMIT_MS);
        if has_restarted || until_ms < logs_end_ms {
            call.end = CallEnd::Unlogged;
        }
    }
    calls.sort_by_key(|call| call.arrived_ms);
    calls
}
