//! Cluster membership: failure detection, departure, ownership of pools, and discovery and
//! selection of keepers.
//!
//! The failure detector follows SWIM (Das, Gupta and Motivala, DSN 2002). Each host probes one peer
//! at a time, requests indirect probes through a few others before it suspects that peer, and
//! piggybacks membership updates on probes and their replies. The load per host is therefore
//! independent of the number of hosts. This package does no network I/O.
//!
//! ```
//! use clayplank_members::{Members, Status, FailureDetectorTiming};
//! use clayplank_types::{DataCentre, HostId, Incarnation, PoolId};
//!
//! let hosts = ["a", "b"].map(|name| (HostId::new(name), DataCentre::new("hall-1")));
//! let members = Members::new(HostId::new("a"), Incarnation(1), hosts, FailureDetectorTiming::default(), 0);
//! assert_eq!(members.status(&HostId::new("b")), Some(Status::Live));
//! assert!(members.owner_of(&PoolId::new("p"), &DataCentre::new("hall-1")).is_some());
//! ```

mod follow_timeouts;
mod keeper_ranking;
mod keeper_search;
mod members;
mod rendezvous;
mod update;

pub use follow_timeouts::FollowTimeouts;
pub use keeper_ranking::KeeperRanking;
pub use keeper_search::KnownKeepers;
pub use members::{FailureDetectorTiming, Members, ProbeAction};
pub use update::{MemberUpdate, Status};
