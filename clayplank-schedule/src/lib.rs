//! Scheduling of requests onto model engines: queueing, admission control,
//! engine selection, capacity grants and rate limits.
//!
//! The crate does no I/O and reads no clock. Time-dependent calls take `now_ms`, a
//! monotonic time in milliseconds. The resulting [`Decision`]s are collected with
//! [`Scheduler::take_decisions`].
//!
//! ```
//! use clayplank_schedule::{ReservationRequest, Decision, EngineSpec, GrantHolder, Policy, Scheduler};
//! use clayplank_types::{AccountId, AttemptId, Partner, RequestId, UpstreamId};
//!
//! let mut scheduler = Scheduler::new(Policy::default());
//! scheduler.add_engine(EngineSpec::new(UpstreamId::new("e1"), 400_000, ["base"]));
//! let account = AccountId::new(Partner::new("dala"), "times");
//! let request = ReservationRequest::new(RequestId(1), AttemptId::from_bits(1), account, "base", 1_000, 5_000);
//! scheduler.submit(0, GrantHolder::default(), request);
//! assert!(matches!(scheduler.take_decisions().as_slice(), [Decision::Granted(_)]));
//! ```

mod admission;
mod choose;
mod dispatch;
mod engine;
mod fair_queue;
mod fleet;
mod grants;
mod lanes;
mod lifecycle;
mod limits;
mod policy;
mod pools;
mod prefix;
mod rates;
mod reservation;
mod scheduler;

pub use admission::Forecast;
pub use engine::{EngineReport, EngineSpec};
pub use grants::RenewedGrant;
pub use limits::{RequestRateLimit, RetryBudget};
pub use policy::{Discipline, Lane, Mechanisms, Policy, PolicyBuilder};
pub use pools::{PoolLoad, choose_pool};
pub use reservation::{
    Decision, Grant, GrantHolder, GrantId, GrantPart, ReservationRequest, Usage,
};
pub use scheduler::{Scheduler, Totals};
