//! Simulated model engines, plain services and host list of the platform, for tests and benchmarks.
//!
//! [`EngineCore`] is an engine without network or clock: it plans the steps of a continuous batch and
//! computes the duration of each from the work in it. [`serve_engine`] serves it over HTTP with the
//! interface of `docs/ENGINES.md`. [`PassEngine`] follows the cost model of serving plans; the
//! server around it, [`serve_pass_engine`], registers with keepers by heartbeat.
//!
//! ```
//! use clayplank_standin::{EngineCore, EngineModel, Job};
//! use clayplank_types::AttemptId;
//!
//! let mut engine = EngineCore::new(EngineModel::default());
//! engine.start(Job::completion(AttemptId::from_bits(1), 1_000, 2)).unwrap();
//! let step_ms = engine.plan_step_ms().unwrap();
//! assert!(step_ms > EngineModel::default().step_base_ms);
//! ```

mod core;
mod engine;
mod fault;
mod heartbeats;
mod http_client;
mod http_server;
mod pass;
mod pass_memory;
mod pass_response;
mod pass_runner;
mod pass_server;
mod platform;
mod service;
mod signals;
mod upstream;

pub use crate::core::{
    CacheEvent, EngineCore, EngineModel, Job, JobKind, RunningJob, StartError, StepEvent,
};
pub use crate::engine::{EngineServer, serve_engine};
pub use crate::fault::{Fault, FaultKind};
pub use crate::heartbeats::{Registration, send_heartbeats};
pub use crate::http_server::{Body, ServeError, bind};
pub use crate::pass::{DecodeWork, PassEngine, PassResult, PrefillWork};
pub use crate::pass_server::serve_pass_engine;
pub use crate::platform::serve_platform;
pub use crate::service::{ServiceRecord, serve_service};
pub use crate::signals::{Received, SharedSignals};
pub use crate::upstream::{CrashTrigger, CrashingRequest, Runs, SharedRuns, serve_upstream};
