//! Log output. A line has a time, a level, the component that wrote it, and a message.

use std::io::Write;
use std::time::Duration;

use clayplank_settings::{LogLevel, LogSettings};
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

/// Components of the daemon, used as log targets.
pub(crate) mod log_target {
    pub(crate) const CALLERS: &str = "callers";
    pub(crate) const DAEMON: &str = "daemon";
    pub(crate) const INNER: &str = "inner";
    pub(crate) const KEEPER: &str = "keeper";
    pub(crate) const MEMBERS: &str = "members";
    pub(crate) const OPERATORS: &str = "operators";
    pub(crate) const OWNER: &str = "owner";
    pub(crate) const SETTINGS: &str = "settings";
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Plain text, for people.
    Plain,
    /// One JSON object per line.
    Json,
}

/// Interval of the check for dropped log lines.
const DROPPED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Guard of the log writer; buffered lines are written when it is dropped.
#[must_use = "logging ends when this is dropped"]
#[derive(Debug)]
pub struct Logging {
    _writer: WorkerGuard,
}

/// Starts logging. A separate thread writes the lines, so that the code that logs never waits for
/// a slow reader of the output. Lines that exceed the buffer are dropped, and a task logs their
/// number.
///
/// # Errors
/// Logging was already started.
pub fn start_logging<W>(
    host: &str,
    settings: &LogSettings,
    format: LogFormat,
    output: W,
) -> Result<Logging, log::SetLoggerError>
where
    W: Write + Send + 'static,
{
    let (writer, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(settings.buffered_lines).finish(output);
    let host = host.to_owned();
    let dropped = writer.error_counter();
    fern::Dispatch::new()
        .format(move |out, message, record| match format {
            LogFormat::Plain => out.finish(format_args!("{}", plain_line(message, record))),
            LogFormat::Json => out.finish(format_args!("{}", json_line(&host, message, record))),
        })
        .level(log::LevelFilter::Debug)
        .filter(is_logged)
        .chain(fern::Output::call(move |record| write_line(&writer, record)))
        .apply()?;
    set_log_level(settings.level);
    tokio::spawn(report_dropped(dropped));
    Ok(Logging { _writer: guard })
}

/// Queues a line in a single write, so that it is either complete or dropped.
fn write_line(writer: &NonBlocking, record: &log::Record<'_>) {
    let line = format!("{}\n", record.args());
    // The writer drops and counts lines that do not fit into its buffer.
    writer.clone().write_all(line.as_bytes()).ok();
}

/// Logs the number of newly dropped lines at every check.
async fn report_dropped(counter: ErrorCounter) {
    let mut reported = 0;
    loop {
        clayplank_clock::sleep(DROPPED_CHECK_INTERVAL).await;
        let dropped = counter.dropped_lines();
        if dropped > reported {
            log::warn!(target: log_target::DAEMON, lines = dropped - reported; "Log lines were dropped");
        }
        reported = dropped;
    }
}

/// Changes the log level while logging runs.
pub(crate) fn set_log_level(level: LogLevel) {
    log::set_max_level(filter_of(level));
}

/// Collects the structured fields of a log record as JSON values.
#[derive(Default)]
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => serde_json::Value::from(number),
            (None, Some(number), _) => serde_json::Value::from(number),
            (None, None, Some(flag)) => serde_json::Value::from(flag),
            (None, None, None) => serde_json::Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn json_line(host: &str, message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut fields = Fields::default();
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("lost_fields".to_owned(), serde_json::Value::from(true));
    }
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string();
    let level = record.level().as_str();
    fields.0.insert("time".to_owned(), time.into());
    fields.0.insert("host".to_owned(), host.into());
    fields.0.insert("level".to_owned(), level.into());
    fields.0.insert("part".to_owned(), record.target().into());
    fields.0.insert("message".to_owned(), message.to_string().into());
    serde_json::Value::Object(fields.0).to_string()
}

/// Whether a record is logged: all of the daemon, and warnings and errors of libraries.
fn is_logged(metadata: &log::Metadata<'_>) -> bool {
    metadata.level() <= log::Level::Warn || !metadata.target().contains("::")
}

fn filter_of(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
    }
}

fn plain_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
    format!("{time} {:<5} {}: {message}", record.level(), record.target())
}
