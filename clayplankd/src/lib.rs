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

mod accounts;
mod callers;
mod claims;
mod clock;
mod completions;
mod contract;
mod control_door;
mod cut_off;
mod daemon;
mod dispatch;
mod engine_watch;
mod first_start;
mod fleet_engines;
mod fleet_followers;
mod fleet_keeper;
mod fleet_link;
mod following;
mod full_disk;
mod host;
mod inner;
mod keeper;
mod keeper_client;
mod keeper_join;
mod keeper_log;
mod keeper_messages;
mod keeper_stop;
mod lock;
mod logging;
mod membership;
mod metrics;
mod mirror;
mod native;
mod news_pages;
mod operators;
mod orders;
mod owner;
mod peers;
mod plan_edits;
mod pools;
mod replies;
mod reserve;
mod run_seeded;
mod seeded;
mod seeded_entry;
mod seeded_keeper;
mod serve;
mod services;
mod settings_watch;
mod sightings;
mod spread;
mod suspects;
mod suspension;
mod unreached;
mod upstream_memory;
mod upstreams;

pub use contract::{Contract, ControlCall, ControlFault, EngineReport};
pub use daemon::{Daemon, StartError};
pub use logging::{LogFormat, Logging, start_logging};
pub use native::NativeContract;
pub use run_seeded::run_seeded;
pub use seeded::SeededDaemon;
