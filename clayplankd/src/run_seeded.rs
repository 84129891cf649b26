//! The program of a seeded host: settings, signals, and the end.

use std::path::Path;
use std::time::Duration;

use clayplank_settings::SeededSettings;
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::contract::SharedContract;
use crate::daemon::StartError;
use crate::logging::{LogFormat, part, start_logging};
use crate::seeded::SeededDaemon;

/// Between two looks at the settings file, which may change without a signal.
const SETTINGS_POLL: Duration = Duration::from_secs(2);

/// Runs a host until it is stopped.
///
/// # Errors
/// The settings are wrong, the host could not start, or its disk failed.
pub async fn run_seeded(path: &Path, contract: SharedContract) -> Result<(), Report<StartError>> {
    let (settings, mut text) = read_settings(path)?;
    let logging = start_logging(&settings.name, &settings.log, LogFormat::Json, std::io::stdout())
        .map_err(StartError::Logging)?;
    let mut stop = catch(SignalKind::terminate())?;
    let mut interrupt = catch(SignalKind::interrupt())?;
    let mut reload = catch(SignalKind::hangup())?;
    let mut daemon = SeededDaemon::start(settings, contract).await?;
    let mut dropped = std::pin::pin!(logging.tell_dropped());
    loop {
        tokio::select! {
            () = &mut dropped => {}
            _ = stop.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => {}
            () = tokio::time::sleep(SETTINGS_POLL) => {}
            error = daemon.failed() => return Err(Report::new(error)),
        }
        match read_settings(path) {
            Ok((settings, new_text)) if new_text != text => {
                daemon.reload(settings);
                text = new_text;
            }
            Ok(_) => {}
            // The former settings stay in force: a host that serves is worth more.
            Err(error) => {
                log::error!(target: part::DAEMON, "Changed settings were not taken: {error:?}");
            }
        }
    }
    tokio::select! {
        () = &mut dropped => {}
        () = daemon.leave_and_drain() => {}
    }
    Ok(())
}

fn catch(kind: SignalKind) -> Result<Signal, StartError> {
    signal(kind).map_err(StartError::Signal)
}

fn read_settings(path: &Path) -> Result<(SeededSettings, String), Report<StartError>> {
    let text = std::fs::read_to_string(path)
        .map_err(StartError::Read)
        .attach_with(|| path.display().to_string())?;
    let settings = clayplank_settings::parse(&text)
        .map_err(StartError::Settings)
        .attach_with(|| path.display().to_string())?;
    Ok((settings, text))
}
