//! The two ends of the admission queue's long poll: the list of queued prompts of an entry host
//! ([`WaitingTurns`]), and the queue of the placing keeper with what it owes each host
//! ([`KeeperQueue`]).
//!
//! The crate opens no sockets: an entry host reaches the keepers through [`TurnKeepers`].

#![warn(clippy::disallowed_methods, reason = "time-dependent code uses clayplank_clock")]

mod admission_control;
mod await_loop;
mod host_turns;
mod keeper_queue;
mod waiting;

pub use admission_control::AdmissionControl;
pub use await_loop::{TurnKeepers, await_turn, run_await_loop};
pub use keeper_queue::{Decision, HostCall, KeeperQueue};
pub use waiting::{AskedTurn, WaitingTurns};

use clayplank_placement::{PlacementId, PlacementOutcome};

/// Decided requests with their outcomes, as a keeper sends them to a host.
pub type Decisions = Vec<(PlacementId, PlacementOutcome)>;

/// Time for which a keeper holds a call of a host without a decision, in ms.
pub const AWAIT_HOLD_MS: u64 = 200;

/// Time-out of such a call at the host, in ms: the hold and 200 ms for the network.
pub const AWAIT_TIMEOUT_MS: u64 = 400;
