//! The process itself: start and shutdown, connections to peers, clock, logs and metrics.

pub(crate) mod clock;
pub(crate) mod daemon;
pub(crate) mod host_state;
pub(crate) mod line_limit;
pub(crate) mod lock;
pub(crate) mod logging;
pub(crate) mod membership;
pub(crate) mod metrics;
pub(crate) mod peer_service;
pub(crate) mod peers;
pub(crate) mod run_seeded;
pub(crate) mod seeded;
pub(crate) mod seeded_entry;
pub(crate) mod seeded_keeper;
pub(crate) mod supervision;
pub(crate) mod suspension;
