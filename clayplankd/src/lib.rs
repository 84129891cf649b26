//! The clayplank daemon.
//!
//! One process runs on each host. Its settings make it an entry host, which serves callers, a
//! keeper, which holds a replica of the replicated state, or both. The parts are actors around
//! packages without I/O; only this package opens sockets and reads the clock.
//!
//! ```no_run
//! # async fn start(text: &str) -> Result<(), clayplankd::StartError> {
//! let settings = clayplank_settings::parse(text).map_err(clayplankd::StartError::Settings)?;
//! let daemon = clayplankd::Daemon::start(settings).await?;
//! daemon.leave_and_drain().await;
//! # Ok(())
//! # }
//! ```

#![warn(clippy::disallowed_methods, reason = "decisions that depend on time use clayplank_clock")]

mod doors;
mod fleet;
mod follow;
mod keepers;
mod owners;
mod process;

pub use doors::contract::{Contract, ControlCall, ControlError, EngineLoadReport};
pub use doors::native::NativeContract;
pub use keepers::keeper_disk::DiskError;
pub use process::daemon::{Daemon, StartError};
pub use process::logging::{LogFormat, Logging, start_logging};
pub use process::run_seeded::run_seeded;
pub use process::seeded::SeededDaemon;
