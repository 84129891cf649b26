//! The operators' tool.
//!
//! Exit codes: 0 done, 1 failed or not known whether done, 2 wrong arguments,
//! 3 somebody else changed the setting before, 4 not found, 5 not allowed,
//! 78 wrong settings.

mod client;
mod commands;
mod explain;
mod latency;
mod log_line;
mod losses;
mod options;
mod output;
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
