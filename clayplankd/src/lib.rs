//! The clayplank daemon.
//!
//! One process per host; its settings give it the roles of an entry host, a
//! keeper, or both. The parts are actors around the pure packages; only
//! this package knows sockets and the clock.
//!
//! ```no_run
//! # async fn start(text: &str) -> Result<(), clayplankd::StartError> {
//! let settings = clayplank_settings::parse(text).map_err(clayplankd::StartError::Settings)?;
//! let daemon = clayplankd::Daemon::start(settings).await?;
//! daemon.leave_and_drain().await;
//! # Ok(())
//! # }
//! ```

#![warn(clippy::disallowed_methods, reason = "what decides by time goes by clayplank_clock")]

mod doors;
mod fleet;
mod follow;
mod keepers;
mod owners;
mod process;

pub use doors::contract::{Contract, ControlCall, ControlFault, EngineReport};
pub use doors::native::NativeContract;
pub use process::daemon::{Daemon, StartError};
pub use process::logging::{LogFormat, Logging, start_logging};
pub use process::run_seeded::run_seeded;
pub use process::seeded::SeededDaemon;
