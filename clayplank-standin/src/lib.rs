//! Small stand-ins for model engines, plain services and the platform's list.
//!
//! [`EngineCore`] is the engine without a network: steps of a batch whose
//! lengths follow from what they hold. The servers put it behind HTTP, as
//! `docs/ENGINES.md` states the interface. [`PassEngine`] is an engine of the cost
//! model that serving plans publish; it registers with keepers by heartbeat.
//!
//! ```
//! use clayplank_standin::{EngineCore, EngineModel, Job};
//! use clayplank_types::AttemptId;
//!
//! let mut engine = EngineCore::new(EngineModel::default());
//! engine.begin(Job::completion(AttemptId::from_bits(1), 1_000, 2)).unwrap();
//! let step_ms = engine.plan_step_ms().unwrap();
//! assert!(step_ms > EngineModel::default().step_base_ms);
//! ```

mod call;
mod core;
mod engine;
mod fault;
mod heartbeats;
mod http_util;
mod limit;
mod pass;
mod pass_answer;
mod pass_memory;
mod pass_run;
mod pass_server;
mod platform;
mod service;
mod upstream;

pub use crate::core::{
    BeginError, CacheEvent, EngineCore, EngineModel, Job, JobKind, RunningJob, StepEvent,
};
pub use crate::engine::{EngineServer, serve_engine};
pub use crate::fault::{Fault, FaultKind};
pub use crate::heartbeats::{Registration, send_heartbeats};
pub use crate::http_util::{Body, ServeError, bind};
pub use crate::limit::SharedLimit;
pub use crate::pass::{PassEnd, PassEngine, Reading, Writing};
pub use crate::pass_server::serve_pass_engine;
pub use crate::platform::serve_platform;
pub use crate::service::{ServiceRecord, serve_service};
pub use crate::upstream::{CrashingRequest, Runs, SharedRuns, serve_upstream};
