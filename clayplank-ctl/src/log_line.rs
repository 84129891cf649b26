//! Parser of the hosts' log files.

use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use serde::Deserialize;
use serde_json::{Map, Value};

use crate::commands::{CommandResult, read_file};

/// One line of a host's log.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub(crate) struct LogLine {
    pub(crate) time: String,
    #[serde(default)]
    pub(crate) host: String,
    pub(crate) message: String,
    /// Time of the line in ms since 1970, by the clock of the host; the clocks of hosts differ
    /// slightly.
    #[serde(skip)]
    pub(crate) at_ms: u64,
    /// All other fields, such as the values behind a decision and its outcome.
    #[serde(flatten)]
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Returns the value of a field that is a whole number, and 0 if there is none.
    pub(crate) fn number(&self, field: &str) -> u64 {
        self.fields.get(field).and_then(Value::as_u64).unwrap_or_default()
    }

    /// Returns the value of a field that is a text, and an empty one if there is none.
    pub(crate) fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    /// Whether a field has this value; a value that is not a string is compared as JSON.
    pub(crate) fn has_value(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).is_some_and(|actual| match actual {
            Value::String(text) => text == value,
            other => serde_json::from_str::<Value>(value).is_ok_and(|value| value == *other),
        })
    }
}

/// Reads the lines of several files, ordered by their time.
pub(crate) fn read_logs(files: &[PathBuf]) -> CommandResult<Vec<LogLine>> {
    let mut lines = Vec::new();
    for file in files {
        let name = host_of_file(file);
        let text = read_file(file)?;
        lines.extend(text.lines().filter_map(|line| parse_line(line, &name)));
    }
    lines.sort_by_key(|line| line.at_ms);
    Ok(lines)
}

/// Host name for lines of a file that do not name one: the file name without its extension.
fn host_of_file(file: &Path) -> String {
    file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// Parses a line, ignoring any prefix added by a log collector. Returns `None` if it is not a log
/// line of the daemon.
fn parse_line(text: &str, host_of_file: &str) -> Option<LogLine> {
    let mut line: LogLine = serde_json::from_str(&text[text.find('{')?..]).ok()?;
    if line.host.is_empty() {
        line.host = host_of_file.to_owned();
    }
    line.at_ms = parse_time_ms(&line.time);
    Some(line)
}

/// Parses a line's time into ms since 1970. An invalid time gives 0, so that the line is sorted
/// first.
fn parse_time_ms(text: &str) -> u64 {
    let time = humantime::parse_rfc3339(text).unwrap_or(UNIX_EPOCH);
    time.duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
