//! The command-line tool for operators.
//!
//! Exit codes: 0 success, 1 failure or unknown outcome, 2 invalid arguments,
//! 3 conflict with another change of the setting, 4 not found, 5 not allowed,
//! 78 invalid settings.

mod caller_requests;
mod calls;
mod client;
mod commands;
mod explain;
mod latency;
mod log_line;
mod losses;
mod options;
mod output;
mod request_events;
mod seeded;

use std::process::ExitCode;

use crate::commands::{CommandError, run};
use crate::options::options;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let options = options().run();
    match run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            let error: &CommandError = report.current_context();
            eprintln!("clayplank: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
