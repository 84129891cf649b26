//! Liveness among hosts, leaving, ownership of pools, and how a host finds and chooses a keeper.
//!
//! The failure detector is SWIM's (Das, Gupta and Motivala, DSN 2002): each
//! host probes one other at a time, asks a few others to try before it
//! suspects, and passes rumours along with the probes, so that the cost for a
//! host does not grow with the number of hosts. Nothing here knows a socket.
//!
//! ```
//! use clayplank_members::{Members, Status, Timing};
//! use clayplank_types::{DataCentre, HostId, Incarnation, PoolId};
//!
//! let hosts = ["a", "b"].map(|name| (HostId::new(name), DataCentre::new("hall-1")));
//! let members = Members::new(HostId::new("a"), Incarnation(1), hosts, Timing::default(), 0);
//! assert_eq!(members.status(&HostId::new("b")), Some(Status::Live));
//! assert!(members.owner_of(&PoolId::new("p"), &DataCentre::new("hall-1")).is_some());
//! ```

mod follow_times;
mod keeper_choice;
mod keeper_search;
mod members;
mod owner;
mod rumour;

pub use follow_times::FollowTimes;
pub use keeper_choice::KeeperChoice;
pub use keeper_search::KnownKeepers;
pub use members::{Effect, Members, Timing};
pub use rumour::{Rumour, Status};
