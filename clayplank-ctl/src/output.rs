//! Prints results, as text or as JSON.

#![allow(clippy::print_stdout, reason = "this module writes the tool's standard output")]

use serde_json::Value;

use crate::explain::Event;
use crate::latency::Row;
use crate::losses::{self, LossReport};

/// Prints a value: as JSON in one line, or as text with one line per item or field.
pub(crate) fn print(value: &Value, as_json: bool) {
    if as_json {
        println!("{value}");
        return;
    }
    match value {
        Value::Array(items) => items.iter().for_each(|item| println!("{}", to_line(item))),
        Value::Object(fields) => {
            fields.iter().for_each(|(name, field)| println!("{name}: {}", to_line(field)))
        }
        other => println!("{}", to_line(other)),
    }
}

/// Formats a value as text in one line.
pub(crate) fn to_line(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Object(fields) => {
            let parts: Vec<_> =
                fields.iter().map(|(name, field)| format!("{name}={}", to_line(field))).collect();
            parts.join(" ")
        }
        Value::Array(items) => {
            let parts: Vec<_> = items.iter().map(to_line).collect();
            format!("[{}]", parts.join(", "))
        }
        other => other.to_string(),
    }
}

/// Prints events in order. The age of an event tells how long a host had known it.
pub(crate) fn print_timeline(events: &[Event], as_json: bool) {
    if as_json {
        println!("{}", serde_json::json!(events));
        return;
    }
    for event in events {
        let age = event.age_ms.map(|age_ms| format!(" (known for {age_ms} ms)"));
        let fields = to_line(&Value::Object(event.fields.clone()));
        let age = age.unwrap_or_default();
        let others = event.others.map(|others| {
            format!(" (and {} more hosts within {} ms)", others.hosts, others.within_ms)
        });
        let others = others.unwrap_or_default();
        println!("{} {} {}{age}{others} {fields}", event.time, event.host, event.message);
    }
}

/// Prints up to `rows` losses of callers, the largest first.
pub(crate) fn print_losses(report: &LossReport, rows: usize, as_json: bool) {
    if as_json {
        println!("{}", serde_json::json!(report));
        return;
    }
    println!("{}", losses::to_table(report, rows));
}

/// Prints latency percentiles, as a table or as JSON.
pub(crate) fn print_latency(rows: &[Row], as_json: bool) {
    if as_json {
        println!("{}", serde_json::json!(rows));
        return;
    }
    println!("{}", to_table(rows));
}

fn to_table(rows: &[Row]) -> String {
    let head = ["account", "band", "span", "count", "p50 ms", "p95 ms", "p99 ms", "max ms"]
        .map(str::to_owned);
    let cells = |row: &Row| {
        let numbers = [row.count, row.p50_ms, row.p95_ms, row.p99_ms, row.max_ms]
            .map(|number| number.to_string());
        let [count, p50, p95, p99, max] = numbers;
        [row.account.clone(), row.band.clone(), row.span.clone(), count, p50, p95, p99, max]
    };
    let lines: Vec<_> = std::iter::once(head).chain(rows.iter().map(cells)).collect();
    let width = |column: usize| lines.iter().map(|line| line[column].len()).max().unwrap_or(0);
    let widths: Vec<_> = (0..lines[0].len()).map(width).collect();
    let print = |line: &[String; 8]| {
        let padded: Vec<_> =
            line.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        padded.join("  ").trim_end().to_owned()
    };
    lines.iter().map(print).collect::<Vec<_>>().join("\n")
}
