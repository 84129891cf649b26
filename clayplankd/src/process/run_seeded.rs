//! Main loop of a seeded host: reads and reloads its settings, handles signals, and stops it.

use std::path::Path;
use std::time::Duration;

use clayplank_settings::SeededSettings;
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::doors::contract::SharedContract;
use crate::process::daemon::StartError;
use crate::process::logging::{LogFormat, log_target, start_logging};
use crate::process::seeded::SeededDaemon;

/// Interval of the check of the settings file, which may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a host until it is stopped.
///
/// # Errors
/// The settings are wrong, the host could not start, or its disk failed.
pub async fn run_seeded(path: &Path, contract: SharedContract) -> Result<(), Report<StartError>> {
    let (settings, mut text) = read_settings(path)?;
    let _logging = start_logging(&settings.name, &settings.log, LogFormat::Json, std::io::stdout())
        .map_err(StartError::Logging)?;
    let mut stop = listen_for(SignalKind::terminate())?;
    let mut interrupt = listen_for(SignalKind::interrupt())?;
    let mut reload = listen_for(SignalKind::hangup())?;
    let mut daemon = SeededDaemon::start(settings, contract).await?;
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => {}
            () = clayplank_clock::sleep(SETTINGS_POLL_INTERVAL) => {}
            error = daemon.failed() => return Err(Report::new(error)),
        }
        match read_changed(path, &text) {
            Ok(Some((settings, new_text))) => {
                daemon.reload(settings);
                text = new_text;
            }
            Ok(None) => {}
            // The host keeps the former settings: serving matters more than a reload.
            Err(error) => {
                log::error!(target: log_target::DAEMON, "Changed settings were not taken: {error:?}");
            }
        }
    }
    daemon.leave_and_drain().await;
    Ok(())
}

fn listen_for(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signal)
}

fn read_settings(path: &Path) -> Result<(SeededSettings, String), Report<StartError>> {
    let text = read_text(path)?;
    let settings = parse_settings(path, &text)?;
    Ok((settings, text))
}

/// Reads the settings file. Returns `None` if its text is still `current`: it need not be
/// validated again then, which is the case at most checks.
fn read_changed(
    path: &Path,
    current: &str,
) -> Result<Option<(SeededSettings, String)>, Report<StartError>> {
    let text = read_text(path)?;
    if text == current {
        return Ok(None);
    }
    let settings = parse_settings(path, &text)?;
    Ok(Some((settings, text)))
}

fn read_text(path: &Path) -> Result<String, Report<StartError>> {
    std::fs::read_to_string(path)
        .map_err(StartError::Read)
        .attach_with(|| path.display().to_string())
}

fn parse_settings(path: &Path, text: &str) -> Result<SeededSettings, Report<StartError>> {
    clayplank_settings::parse(text)
        .map_err(StartError::Settings)
        .attach_with(|| path.display().to_string())
}
