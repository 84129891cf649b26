//! Forwards callers' requests to upstreams, unchanged, and resumes their streams.
//!
//! An entry host receives a complete request, finds its route in the serving plan, lets a
//! [`Placer`] choose the upstream, and forwards the answer. It tells a caller that a request has
//! not run only if nothing was sent, or if the upstream stated so. Serving plans come from
//! the keepers, the hosts with a replica of the replicated state.
//!
//! Header names are configurable ([`HeaderNames`]), so that the same code serves the default names
//! and those of a platform.
//!
//! ```
//! use clayplank_forward::HeaderNames;
//!
//! assert_eq!(HeaderNames::default().attempt_id.as_str(), "x-clayplank-attempt-id");
//! ```

#![warn(clippy::disallowed_methods, reason = "time-dependent code uses clayplank_clock")]

mod admit;
mod answer;
mod attempt;
mod availability;
mod budget;
mod buffer_quota;
mod call;
mod caller_queue;
mod caller_stream;
mod choice;
mod clock;
mod delivery;
mod directory;
mod entry;
mod events;
mod exchange;
mod gate;
mod head_limit;
mod headers;
mod leaving_times;
mod listener;
mod load;
mod loop_delay;
mod metrics;
mod names;
mod opening;
mod permits;
mod placer;
mod pump;
mod quarantine;
mod queue_limits;
mod queue_quota;
mod queueing;
mod refusal;
mod request_metadata;
mod reserve;
mod source;
mod stream;
mod survivals;
mod termination;
mod tunnel_access;
mod unary;
mod upstream_stats;
mod whole_body;

pub use availability::NextOpening;
pub use budget::{BudgetLimits, RetryBudget};
pub use clock::{millis, now_ms};
pub use directory::{Choice, Directory};
pub use entry::{Entry, EntryBuilder};
pub use events::{EventSplitter, StreamEvent};
pub use exchange::{CallError, ExchangeError, request_complete};
pub use gate::Gate;
pub use leaving_times::LeavingTimes;
pub use listener::{serve_callers, serve_small_requests};
pub use loop_delay::LoopDelay;
pub use names::HeaderNames;
pub use placer::{BoxFuture, PermitReply, Placer};
pub use quarantine::{
    Admission, Observation, QuarantineAuthority, QuarantineKeys, RequestQuarantine,
};
pub use queue_quota::QueueLimits;
pub use request_metadata::RequestMetadata;
pub use reserve::{CommandFormat, CommandSender, Reservation, Ticket};
pub use termination::{BrokenRequest, TerminationEvidence, has_stopped_listening};
