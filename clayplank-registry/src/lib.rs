//! Upstreams that register by heartbeat, drain and leave.
//!
//! The registry is soft state: each keeper holds what it heard and passes it
//! on, and nothing of it is written down. Of two records of one life of an upstream, the
//! one with the higher sequence number holds; leaving is final, so that a late
//! heartbeat does not revive what left. A later life of the same name ends the former ones,
//! and nothing that comes of those counts any more.
//!
//! ```
//! use clayplank_registry::{Heartbeat, Registry, Standing};
//!
//! let mut registry = Registry::new(1);
//! let beat = Heartbeat { sequence: 1, born_ms: 7, ..Heartbeat::default() }.named("engine-1");
//! registry.apply(0, &beat);
//! registry.leave(10, &Heartbeat::gone("engine-1"));
//! registry.apply(20, &Heartbeat { sequence: 2, ..beat.clone() });
//! assert_eq!(registry.record(&beat.id).unwrap().heartbeat.standing, Standing::Gone);
//!
//! // It starts again under its name.
//! let again = Heartbeat { sequence: 1, born_ms: 9, ..beat }.named("engine-1");
//! registry.apply(30, &again);
//! assert_eq!(registry.record(&again.id).unwrap().heartbeat.standing, Standing::Ready);
//! ```

mod digest;
mod heartbeat;
mod limits;
mod registry;

pub use digest::{Buckets, Digest};
pub use heartbeat::{Heartbeat, Standing, life_ids};
pub use limits::{AgedLimit, LimitChanges, Limits, Noted, ObservedLimit};
pub use registry::{Changes, Cursor, Record, Registry};
