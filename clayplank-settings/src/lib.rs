//! Settings of hosts, templates and client accounts.
//!
//! A document is validated completely: [`parse`] returns all faults at once, each with its path
//! in the document and what is expected there.
//!
//! ```
//! use clayplank_settings::{Template, parse};
//!
//! let faults = parse::<Template>(r#"{"deadline_ms": 0, "priority": "urgent"}"#).unwrap_err();
//! let paths: Vec<_> = faults.iter().map(|fault| fault.path.as_str()).collect();
//! assert!(paths.contains(&"/priority") && paths.contains(&"/deadline_ms"));
//! ```

mod account;
mod bounds;
mod check;
mod host;
mod key;
mod optional;
mod resources;
mod seeded;

pub use account::{ClientAccount, EffectiveSettings, Template};
pub use bounds::Bounds;
pub use check::{Check, Fault, Faults, parse, parse_value};
pub use host::{
    CallerEndpointLimits, EngineSettings, FenceCheck, HostEntry, HostSettings, Listen, LogLevel,
    LogSettings, Operator, PlatformSource, Role, ServiceSettings, Timing, Upstream,
};
pub use key::{KeyDigest, MalformedDigest};
pub use optional::deserialize_present;
pub use resources::Resources;
pub use seeded::{SeededListen, SeededSettings};
