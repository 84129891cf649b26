//! Lines of the hosts' logs.

use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::commands::{Done, read};

/// One line that a host wrote.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct LogLine {
    pub(crate) time: String,
    #[serde(default)]
    pub(crate) host: String,
    pub(crate) message: String,
    /// When it was written by the host's own clock, in ms; hosts' clocks differ a little.
    #[serde(skip)]
    pub(crate) at_ms: u64,
    /// What decided, and the outcome.
    #[serde(flatten)]
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Whether a field has this value.
    pub(crate) fn says(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).is_some_and(|held| match held {
            Value::String(text) => text == value,
            other => serde_json::from_str::<Value>(value).is_ok_and(|value| value == *other),
        })
    }
}

/// All lines of several files in the order of their times.
pub(crate) fn read_logs(files: &[PathBuf]) -> Done<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        let name = file_host(file);
        let text = read(file)?;
        lines.extend(text.lines().filter_map(|line| scan_line(line, &name)));
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

/// The host of a file whose lines do not name one.
fn file_host(file: &Path) -> String {
    file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// A line, whatever a collector has put before it; `None` if it is none of the daemon's.
fn scan_line(text: &str, file_host: &str) -> Option<LogLine> {
    let mut line: LogLine = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    if line.host.is_empty() {
        line.host = file_host.to_owned();
    }
    line.at_ms = scan_time_ms(&line.time);
    Some(line)
}

/// A line's time in ms since 1970; 0 if it is none, so that the line comes first.
fn scan_time_ms(text: &str) -> u64 {
    let time = humantime::parse_rfc3339(text).unwrap_or(UNIX_EPOCH);
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
