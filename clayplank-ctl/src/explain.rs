//! Reconstructs the events of a request, upstream, plan or data centre from the logs of hosts.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::caller_requests::{CallerRequest, join_calls};
use crate::calls::{Call, collect_calls};
use crate::log_line::LogLine;
use crate::options::Subject;
use crate::request_events::{arrival_event, request_events};

/// Messages about a host's view of the keepers, the plan and the settings.
const HOST_STATE_MESSAGES: [&str; 7] = [
    "A plan is in force",
    "The plan is not confirmed",
    "The plan is confirmed again",
    "A keeper does not choose engines",
    "Found the next leader",
    "Chooses engines by itself",
    "Took in changed settings",
];

/// Message of a host that has received the current list of cordoned data centres.
const CORDONS_MESSAGE: &str = "Cordons are in force";

/// Message about a changed status of an upstream: reported by it, or inferred from missing
/// heartbeats.
const STATUS_MESSAGE: &str = "An upstream's standing changed";

/// Fields that are left out of the events, as they do not help to explain them.
const OMITTED_FIELDS: [&str; 2] = ["level", "part"];

/// One logged event of a subject, or the last known state of a host or upstream it depended on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Event {
    pub(crate) time: String,
    pub(crate) host: String,
    pub(crate) message: String,
    /// For a last known state: its age in ms when the request arrived, 0 if it was logged later.
    pub(crate) age_ms: Option<u64>,
    pub(crate) fields: Map<String, Value>,
    /// Other hosts that logged the same event soon after.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) others: Option<OtherHosts>,
    #[serde(skip)]
    pub(crate) at_ms: u64,
}

/// Further hosts that logged the same event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct OtherHosts {
    pub(crate) hosts: u64,
    /// Time in ms from the first line to the last one, by the clocks of the hosts.
    pub(crate) within_ms: u64,
}

/// Identical lines of several hosts within this time are merged into one event; a plan reaches all
/// hosts within seconds.
const MERGE_WINDOW_MS: u64 = 5_000;

impl Event {
    pub(crate) fn of(line: &LogLine, age_ms: Option<u64>) -> Self {
        let mut fields = line.fields.clone();
        OMITTED_FIELDS.iter().for_each(|field| {
            fields.remove(*field);
        });
        let (time, host, message) = (line.time.clone(), line.host.clone(), line.message.clone());
        Self { time, host, message, age_ms, fields, others: None, at_ms: line.at_ms }
    }
}

/// Returns the events of a request over all calls of its caller, in order. The request is named by the
/// id of one of its calls, or by its fingerprint; several callers may have sent requests with the same
/// one.
pub(crate) fn explain(name: &str, lines: &[LogLine]) -> Vec<Event> {
    let requests = join_calls(collect_calls(lines));
    for request in &requests {
        if let Some(call) = request.calls().find(|call| call.id == name) {
            return explain_request(request, call, lines);
        }
    }
    let same: Vec<_> =
        requests.iter().filter(|request| request.first.fingerprint == Some(name)).collect();
    let has_several = same.len() > 1;
    let events = same.into_iter().flat_map(|request| {
        let arrival = has_several.then(|| arrival_event(request));
        arrival.into_iter().chain(explain_request(request, request.last(), lines))
    });
    events.collect()
}

/// Returns the events of a request in order. They are preceded by what was known meanwhile: the last
/// state of the host of one call when it arrived, the last status of the upstreams that the request
/// was sent to, and the upstreams that terminated while running it in other calls.
fn explain_request(request: &CallerRequest<'_>, call: &Call<'_>, lines: &[LogLine]) -> Vec<Event> {
    let hosts: BTreeSet<_> = call.lines.iter().map(|line| line.host.as_str()).collect();
    let upstreams: BTreeSet<_> = request
        .calls()
        .flat_map(|call| &call.lines)
        .filter_map(|line| line.fields.get("upstream").and_then(Value::as_str))
        .collect();
    // A call's line is logged at its end, but the state at its arrival is what explains it.
    let arrived_ms = call.arrived_ms;
    let until_ms = request.calls().flat_map(|call| &call.lines).map(|line| line.at_ms).max();
    let until_ms = until_ms.unwrap_or(arrived_ms);
    let host_states = hosts.into_iter().flat_map(|host| find_host_states(lines, host, arrived_ms));
    let upstream_states =
        upstreams.into_iter().filter_map(|id| find_upstream_status(lines, id, until_ms));
    let fingerprint_lines =
        call.fingerprint.into_iter().flat_map(|one| find_fingerprint_lines(lines, one, until_ms));
    let mut states: Vec<_> = host_states.chain(upstream_states).chain(fingerprint_lines).collect();
    states.sort_by_key(|line| line.at_ms);
    let state_events =
        states.into_iter().map(|line| Event::of(line, Some(arrived_ms.saturating_sub(line.at_ms))));
    merge_identical(state_events).into_iter().chain(request_events(request)).collect()
}

/// Finds the lines up to `until_ms` that name a request's fingerprint but no single call of it:
/// upstreams that terminated while running it, and its quarantine.
fn find_fingerprint_lines<'a>(
    lines: &'a [LogLine],
    fingerprint: &str,
    until_ms: u64,
) -> impl Iterator<Item = &'a LogLine> {
    lines.iter().filter(move |line| {
        line.at_ms <= until_ms
            && !line.fields.contains_key("request")
            && names_fingerprint(line, fingerprint)
    })
}

/// Whether a line names this fingerprint, alone or in a list.
fn names_fingerprint(line: &LogLine, fingerprint: &str) -> bool {
    let listed = line.fields.get("fingerprints").and_then(Value::as_str).unwrap_or_default();
    line.has_value("fingerprint", fingerprint) || listed.split(' ').any(|one| one == fingerprint)
}

/// Finds the newest line with each of [`HOST_STATE_MESSAGES`] that a host logged up to `until_ms`.
fn find_host_states<'a>(
    lines: &'a [LogLine],
    host: &str,
    until_ms: u64,
) -> impl Iterator<Item = &'a LogLine> {
    let of_host = move |line: &&LogLine| line.host == host && line.at_ms <= until_ms;
    HOST_STATE_MESSAGES.into_iter().filter_map(move |message| {
        lines.iter().filter(of_host).rfind(|line| line.message == message)
    })
}

/// Finds the newest line about an upstream's status that was logged up to `until_ms`.
fn find_upstream_status<'a>(
    lines: &'a [LogLine],
    upstream: &str,
    until_ms: u64,
) -> Option<&'a LogLine> {
    lines.iter().rfind(|line| {
        let is_of = line.message == STATUS_MESSAGE && line.has_value("upstream", upstream);
        is_of && line.at_ms <= until_ms
    })
}

/// Returns the events of a subject: of an upstream, without those of single requests; of a plan;
/// of a data centre; or of a request in all its calls.
pub(crate) fn timeline(subject: &Subject, lines: &[LogLine]) -> Vec<Event> {
    let last_requests = match subject {
        Subject::DataCentre { data_centre } => find_last_requests(lines, data_centre),
        Subject::Upstream { .. } | Subject::Plan { .. } | Subject::Fingerprint { .. } => Vec::new(),
    };
    let is_of = |line: &&LogLine| match subject {
        Subject::DataCentre { data_centre } => {
            let is_command =
                line.has_value("data_centre", data_centre) && line.message != STATUS_MESSAGE;
            let is_last = last_requests.iter().any(|one| std::ptr::eq(*one, *line));
            is_command || line.message == CORDONS_MESSAGE || is_last
        }
        Subject::Upstream { upstream } => {
            line.has_value("upstream", upstream) && !line.fields.contains_key("request")
        }
        Subject::Plan { plan } => line.has_value("version", &plan.to_string()),
        Subject::Fingerprint { fingerprint } => names_fingerprint(line, fingerprint),
    };
    let events = lines.iter().filter(is_of).map(|line| Event::of(line, None));
    merge_identical(events)
}

/// Finds the last requests that ended at the upstreams of a data centre: before each command about
/// the data centre, and at the end of the logs. They show whether requests were still sent there
/// after a command.
fn find_last_requests<'a>(lines: &'a [LogLine], data_centre: &str) -> Vec<&'a LogLine> {
    let is_status_of_data_centre = |line: &&LogLine| {
        line.message == STATUS_MESSAGE && line.has_value("data_centre", data_centre)
    };
    let upstreams: BTreeSet<_> = lines
        .iter()
        .filter(is_status_of_data_centre)
        .filter_map(|line| line.fields.get("upstream")?.as_str())
        .collect();
    let is_request = |line: &LogLine| {
        let upstream = line.fields.get("upstream").and_then(Value::as_str);
        line.fields.contains_key("request") && upstream.is_some_and(|id| upstreams.contains(id))
    };
    let is_command = |line: &LogLine| {
        line.has_value("data_centre", data_centre) && line.message != STATUS_MESSAGE
    };
    let mut last = None;
    let mut found = Vec::new();
    for line in lines {
        if is_request(line) {
            last = Some(line);
        } else if is_command(line) {
            found.extend(last.take());
        }
    }
    found.extend(last);
    found
}

/// Merges identical events of several hosts, so that 295 hosts that apply a plan give one line.
fn merge_identical(events: impl Iterator<Item = Event>) -> Vec<Event> {
    let mut merged: Vec<Event> = Vec::new();
    for event in events {
        let is_identical = |first: &&mut Event| {
            first.message == event.message
                && first.fields == event.fields
                && first.host != event.host
                && event.at_ms <= first.at_ms + MERGE_WINDOW_MS
        };
        match merged.iter_mut().rev().find(is_identical) {
            Some(first) => {
                let hosts = first.others.map_or(0, |others| others.hosts) + 1;
                first.others = Some(OtherHosts { hosts, within_ms: event.at_ms - first.at_ms });
            }
            None => merged.push(event),
        }
    }
    merged
}
