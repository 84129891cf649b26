//! The program of a seeded host: settings, signals, and the end.

use std::path::Path;
use std::time::Duration;

use clayplank_settings::SeededSettings;
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::doors::contract::SharedContract;
use crate::process::daemon::StartError;
use crate::process::logging::{LogFormat, part, start_logging};
use crate::process::seeded::SeededDaemon;

/// Between two looks at the settings file, which may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Runs a host until it is stopped.
///
/// # Errors
/// The settings are wrong, the host could not start, or its disk failed.
pub async fn run_seeded(path: &Path, contract: SharedContract) -> Result<(), Report<StartError>> {
    let (settings, mut text) = read_settings(path)?;
    let _logging = start_logging(&settings.name, &settings.log, LogFormat::Json, std::io::stdout())
        .map_err(StartError::Logging)?;
    let mut stop = catch(SignalKind::terminate())?;
    let mut interrupt = catch(SignalKind::interrupt())?;
    let mut reload = catch(SignalKind::hangup())?;
    let mut daemon = SeededDaemon::start(settings, contract).await?;
    loop {
        tokio::select! {
            _ = stop.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => {}
            () = clayplank_clock::sleep(SETTINGS_POLL) => {}
            error = daemon.failed() => return Err(Report::new(error)),
        }
        match read_changed(path, &text) {
            Ok(Some((settings, new_text))) => {
                daemon.reload(settings);
                text = new_text;
            }
            Ok(None) => {}
            // The former settings stay in force: a host that serves is worth more.
            Err(error) => {
                log::error!(target: part::DAEMON, "Changed settings were not taken: {error:?}");
            }
        }
    }
    daemon.leave_and_drain().await;
    Ok(())
}

fn catch(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signal)
}

fn read_settings(path: &Path) -> Result<(SeededSettings, String), Report<StartError>> {
    let text = read_text(path)?;
    let settings = parse_settings(path, &text)?;
    Ok((settings, text))
}

/// The settings, if their text is not the one in force: the text of most looks is, and
/// need not be checked again.
fn read_changed(
    path: &Path,
    held: &str,
) -> Result<Option<(SeededSettings, String)>, Report<StartError>> {
    let text = read_text(path)?;
    if text == held {
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
