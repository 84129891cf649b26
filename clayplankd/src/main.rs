//! Command line of the daemon: reads the options and settings, and runs until a signal.

#![warn(clippy::disallowed_methods, reason = "decisions that depend on time use clayplank_clock")]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use clayplank_settings::HostSettings;
use clayplankd::{Daemon, LogFormat, NativeContract, StartError, start_logging};
use error_stack::{Report, ResultExt};
use tokio::signal::unix::{SignalKind, signal};

/// Exit code for unusable settings (`EX_CONFIG` of sysexits.h).
const EXIT_BAD_SETTINGS: u8 = 78;

/// Exit code when the daemon could not start, or failed while it ran.
const EXIT_FAILED: u8 = 1;

#[derive(Bpaf, Clone, Debug)]
#[bpaf(options, version)]
/// Serves prompts of very different lengths: an entry host, a keeper, or both
struct Options {
    /// The settings are those of a host that finds the others from bootstrap addresses (`seeds`)
    seeded: bool,
    /// The host's settings, in JSON; `clayplank check FILE` checks them
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("clayplankd: {report:?}");
            match report.current_context() {
                StartError::Settings(_) | StartError::Read(_) => ExitCode::from(EXIT_BAD_SETTINGS),
                _ => ExitCode::from(EXIT_FAILED),
            }
        }
    }
}

#[tokio::main]
async fn run(options: &Options) -> Result<(), Report<StartError>> {
    if options.seeded {
        return clayplankd::run_seeded(&options.settings, Arc::new(NativeContract)).await;
    }
    let text = std::fs::read_to_string(&options.settings)
        .map_err(StartError::Read)
        .attach_with(|| options.settings.display().to_string())?;
    let settings: HostSettings = clayplank_settings::parse(&text)
        .map_err(StartError::Settings)
        .attach_with(|| options.settings.display().to_string())?;
    let _logging =
        start_logging(settings.host.as_str(), &settings.log, LogFormat::Plain, std::io::stderr())
            .map_err(StartError::Logging)?;
    let mut stop = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Signal)?;
    let mut daemon = Daemon::start(settings).await?;
    tokio::select! {
        _ = stop.recv() => daemon.leave_and_drain().await,
        _ = interrupt.recv() => daemon.leave_and_drain().await,
        error = daemon.failed() => return Err(Report::new(error)),
    }
    Ok(())
}
