//! Registry of upstreams, which register by heartbeat, drain and depart.
//!
//! The registry is soft state: each keeper stores the heartbeats it receives and forwards them;
//! nothing is persisted by this package. Of two records of one incarnation of an upstream, the one
//! with the higher sequence number applies. Departure is final, so that a late heartbeat does not
//! restore an upstream that departed. A later incarnation of the same name ends the earlier ones,
//! and messages of those are ignored from then on.
//!
//! ```
//! use clayplank_registry::{Heartbeat, Registry, UpstreamStatus};
//!
//! let mut registry = Registry::new(1);
//! let heartbeat = Heartbeat { sequence: 1, born_ms: 7, ..Heartbeat::default() }.with_name("engine-1");
//! registry.apply(0, &heartbeat);
//! registry.apply_departure(10, &Heartbeat::departure("engine-1"));
//! registry.apply(20, &Heartbeat { sequence: 2, ..heartbeat.clone() });
//! assert_eq!(registry.record(&heartbeat.id).unwrap().heartbeat.standing, UpstreamStatus::Gone);
//!
//! // The upstream restarts under the same name.
//! let restarted = Heartbeat { sequence: 1, born_ms: 9, ..heartbeat }.with_name("engine-1");
//! registry.apply(30, &restarted);
//! assert_eq!(registry.record(&restarted.id).unwrap().heartbeat.standing, UpstreamStatus::Ready);
//! ```

mod digest;
mod heartbeat;
mod limits;
mod registry;

pub use digest::{Buckets, Digest};
pub use heartbeat::{Heartbeat, UpstreamStatus, incarnation_ids};
pub use limits::{AgedLimit, LimitChanges, LimitObservation, LimitUpdateResult, Limits};
pub use registry::{Changes, Cursor, Record, Registry};
