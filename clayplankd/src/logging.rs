//! Log lines: time, level, the part that speaks, a short sentence.

use clayplank_settings::LogLevel;

/// Parts of the daemon, as log lines name them.
pub(crate) mod part {
    pub(crate) const CALLERS: &str = "callers";
    pub(crate) const DAEMON: &str = "daemon";
    pub(crate) const INNER: &str = "inner";
    pub(crate) const KEEPER: &str = "keeper";
    pub(crate) const MEMBERS: &str = "members";
    pub(crate) const OPERATORS: &str = "operators";
    pub(crate) const OWNER: &str = "owner";
    pub(crate) const SETTINGS: &str = "settings";
}

/// Writes log lines as JSON objects, one a line, to standard output from now on.
///
/// # Errors
/// Logging was started before.
pub fn start_json_logging(level: LogLevel) -> Result<(), log::SetLoggerError> {
    let format = |out: fern::FormatCallback<'_>,
                  message: &std::fmt::Arguments<'_>,
                  record: &log::Record<'_>| {
        out.finish(format_args!("{}", json_line(message, record)));
    };
    fern::Dispatch::new()
        .format(format)
        .level(log::LevelFilter::Debug)
        .filter(is_own)
        .chain(std::io::stdout())
        .apply()?;
    set_log_level(level);
    Ok(())
}

/// Changes the level of logs that run already.
pub(crate) fn set_log_level(level: LogLevel) {
    log::set_max_level(filter_of(level));
}

/// Collects the fields of a log line.
#[derive(Default)]
struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => serde_json::Value::from(number),
            None => serde_json::Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let mut fields = Fields::default();
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("lost_fields".to_owned(), serde_json::Value::from(true));
    }
    let time = humantime::format_rfc3339_millis(std::time::SystemTime::now()).to_string();
    let level = record.level().as_str();
    fields.0.insert("time".to_owned(), time.into());
    fields.0.insert("level".to_owned(), level.into());
    fields.0.insert("part".to_owned(), record.target().into());
    fields.0.insert("message".to_owned(), message.to_string().into());
    serde_json::Value::Object(fields.0).to_string()
}

/// Only the daemon's own parts speak, and libraries from warnings on.
fn is_own(metadata: &log::Metadata<'_>) -> bool {
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

/// Writes log lines to standard error from now on.
///
/// # Errors
/// Logging was started before.
pub fn start_logging(level: LogLevel) -> Result<(), log::SetLoggerError> {
    let format = |out: fern::FormatCallback<'_>,
                  message: &std::fmt::Arguments<'_>,
                  record: &log::Record<'_>| {
        let time = humantime::format_rfc3339_millis(std::time::SystemTime::now());
        out.finish(format_args!("{time} {:<5} {}: {message}", record.level(), record.target()));
    };
    fern::Dispatch::new()
        .format(format)
        .level(filter_of(level))
        .filter(is_own)
        .chain(std::io::stderr())
        .apply()
}
