//! Stories from logs: what happened to a request, and what hosts believed meanwhile.

use std::collections::BTreeSet;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::log_line::LogLine;
use crate::options::Subject;

/// Lines that say what a host believes of the keepers and of the plan.
const BELIEFS: [&str; 7] = [
    "A plan is in force",
    "The plan is not confirmed",
    "The plan is confirmed again",
    "A keeper does not choose engines",
    "Found the next leader",
    "Chooses engines by itself",
    "Took in changed settings",
];

/// What a host writes as it takes in which data centres are under a cordon.
const CORDONS: &str = "Cordons are in force";

/// Says what an upstream told, or what was concluded from its silence.
const STANDING: &str = "An upstream's standing changed";

/// Fields that are printed by themselves, or say nothing to a reader.
const OWN_FIELDS: [&str; 2] = ["level", "part"];

/// One thing that happened, or that a host believed when it did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(crate) struct Event {
    pub(crate) time: String,
    pub(crate) host: String,
    pub(crate) message: String,
    /// For what a host believed: how old that was when the request came.
    pub(crate) age_ms: Option<u64>,
    pub(crate) fields: Map<String, Value>,
    /// Other hosts that told the same soon after.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) others: Option<Others>,
    #[serde(skip)]
    at_ms: u64,
}

/// Hosts that told the same as another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Others {
    pub(crate) hosts: u64,
    /// From the first to the last of them, by their own clocks.
    pub(crate) within_ms: u64,
}

/// Lines that hosts write alike within this time, in ms, tell of one event: a plan reaches all hosts
/// within seconds.
const ALIKE_MS: u64 = 5_000;

impl Event {
    fn of(line: &LogLine, age_ms: Option<u64>) -> Self {
        let mut fields = line.fields.clone();
        OWN_FIELDS.iter().for_each(|field| {
            fields.remove(*field);
        });
        let (time, host, message) = (line.time.clone(), line.host.clone(), line.message.clone());
        Self { time, host, message, age_ms, fields, others: None, at_ms: line.at_ms }
    }
}

/// A request's lines in order, before them what its host believed, and what was known of
/// the upstreams that it was sent to.
pub(crate) fn explain(request: &str, lines: &[LogLine]) -> Vec<Event> {
    let own: Vec<_> = lines.iter().filter(|line| line.says("request", request)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let hosts: BTreeSet<_> = own.iter().map(|line| line.host.as_str()).collect();
    let upstreams: BTreeSet<_> =
        own.iter().filter_map(|line| line.fields.get("upstream").and_then(Value::as_str)).collect();
    // A request's line is written at its end: what was believed counts when it came.
    let waited_ms = first.fields.get("waited_ms").and_then(Value::as_u64).unwrap_or(0);
    let came_ms = first.at_ms.saturating_sub(waited_ms);
    let believed = hosts.into_iter().flat_map(|host| find_beliefs(lines, host, came_ms));
    let told = upstreams.into_iter().filter_map(|id| find_standing(lines, id, last.at_ms));
    let fingerprint = own.iter().find_map(|line| line.fields.get("fingerprint")?.as_str());
    let evidence = fingerprint.into_iter().flat_map(|one| find_evidence(lines, one, last.at_ms));
    let mut beliefs: Vec<_> = believed.chain(told).chain(evidence).collect();
    beliefs.sort_by_key(|line| line.at_ms);
    let aged =
        beliefs.into_iter().map(|line| Event::of(line, Some(came_ms.saturating_sub(line.at_ms))));
    let own = own.iter().map(|line| Event::of(line, None));
    merge_alike(aged).into_iter().chain(own).collect()
}

/// Lines on upstreams that ended under a request, in whichever of its calls, and on what hosts
/// concluded.
fn find_evidence<'a>(
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

/// Whether a line names a request by its fingerprint, alone or among others.
fn names_fingerprint(line: &LogLine, fingerprint: &str) -> bool {
    let among = line.fields.get("fingerprints").and_then(Value::as_str).unwrap_or_default();
    line.says("fingerprint", fingerprint) || among.split(' ').any(|one| one == fingerprint)
}

/// The newest line of each belief that a host had written by then.
fn find_beliefs<'a>(
    lines: &'a [LogLine],
    host: &str,
    until_ms: u64,
) -> impl Iterator<Item = &'a LogLine> {
    let of_host = move |line: &&LogLine| line.host == host && line.at_ms <= until_ms;
    BELIEFS.into_iter().filter_map(move |message| {
        lines.iter().filter(of_host).rfind(|line| line.message == message)
    })
}

/// The newest line on an upstream's standing that was written by then.
fn find_standing<'a>(lines: &'a [LogLine], upstream: &str, until_ms: u64) -> Option<&'a LogLine> {
    lines.iter().rfind(|line| {
        let is_of = line.message == STANDING && line.says("upstream", upstream);
        is_of && line.at_ms <= until_ms
    })
}

/// All lines of an upstream that belong to no request, of a plan, or of a request in all its calls.
pub(crate) fn timeline(subject: &Subject, lines: &[LogLine]) -> Vec<Event> {
    let last_requests = match subject {
        Subject::DataCentre { data_centre } => find_last_requests(lines, data_centre),
        Subject::Upstream { .. } | Subject::Plan { .. } | Subject::Fingerprint { .. } => Vec::new(),
    };
    let is_of = |line: &&LogLine| match subject {
        Subject::DataCentre { data_centre } => {
            let is_order = line.says("data_centre", data_centre) && line.message != STANDING;
            let is_last = last_requests.iter().any(|one| std::ptr::eq(*one, *line));
            is_order || line.message == CORDONS || is_last
        }
        Subject::Upstream { upstream } => {
            line.says("upstream", upstream) && !line.fields.contains_key("request")
        }
        Subject::Plan { plan } => line.says("version", &plan.to_string()),
        Subject::Fingerprint { fingerprint } => names_fingerprint(line, fingerprint),
    };
    let events = lines.iter().filter(is_of).map(|line| Event::of(line, None));
    merge_alike(events)
}

/// The requests that ended last at the upstreams of a data centre, before each order for it and at the end of the
/// logs: whether anything was sent there after an order shows at once.
fn find_last_requests<'a>(lines: &'a [LogLine], data_centre: &str) -> Vec<&'a LogLine> {
    let stands_there =
        |line: &&LogLine| line.message == STANDING && line.says("data_centre", data_centre);
    let upstreams: BTreeSet<_> = lines
        .iter()
        .filter(stands_there)
        .filter_map(|line| line.fields.get("upstream")?.as_str())
        .collect();
    let is_request = |line: &LogLine| {
        let upstream = line.fields.get("upstream").and_then(Value::as_str);
        line.fields.contains_key("request") && upstream.is_some_and(|id| upstreams.contains(id))
    };
    let is_order =
        |line: &LogLine| line.says("data_centre", data_centre) && line.message != STANDING;
    let mut last = None;
    let mut found = Vec::new();
    for line in lines {
        if is_request(line) {
            last = Some(line);
        } else if is_order(line) {
            found.extend(last.take());
        }
    }
    found.extend(last);
    found
}

/// One event for what several hosts tell alike: of 295 hosts that put a plan in force, one line.
fn merge_alike(events: impl Iterator<Item = Event>) -> Vec<Event> {
    let mut merged: Vec<Event> = Vec::new();
    for event in events {
        let is_alike = |first: &&mut Event| {
            first.message == event.message
                && first.fields == event.fields
                && first.host != event.host
                && event.at_ms <= first.at_ms + ALIKE_MS
        };
        match merged.iter_mut().rev().find(is_alike) {
            Some(first) => {
                let hosts = first.others.map_or(0, |others| others.hosts) + 1;
                first.others = Some(Others { hosts, within_ms: event.at_ms - first.at_ms });
            }
            None => merged.push(event),
        }
    }
    merged
}
