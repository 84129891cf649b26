//! A replicated log: Raft as a state machine without I/O, and its store on disk.
//!
//! The input of a [`Replica`] is messages, ticks and completed writes. Its output is a
//! [`Ready`], which the caller processes in this order: write and sync, send, apply.
//!
//! The protocol is Raft as described in Ongaro, "Consensus: Bridging Theory and Practice"
//! (2014), with pre-vote (section 9.6), leader step-down without a quorum (6.2), read index
//! (6.4), single-server membership changes (4.1) and snapshots (5).
//!
//! A [`ReplicaId`] is a host and the incarnation of its disk. A host that has lost its disk
//! gets a new incarnation, so it cannot vote twice in one term under the same id.
//!
//! ```
//! use clayplank_agreement::{Configuration, Options, Replica, ReplicaId, StoredState};
//!
//! let id = ReplicaId::new("a", 1);
//! let genesis = StoredState::genesis(Configuration::from_voters([id.clone()]), Vec::new());
//! let mut replica = Replica::new(id, genesis, Options::default(), 0);
//! replica.tick(10_000);
//! let ready = replica.take_ready(10_000);
//! replica.record_persisted(ready.written());
//! assert!(replica.is_leader());
//! replica.propose(b"hello".to_vec()).unwrap();
//! let ready = replica.take_ready(10_001);
//! replica.record_persisted(ready.written());
//! assert_eq!(replica.take_ready(10_002).committed.len(), 1);
//! ```

mod bootstrap;
mod configuration;
mod election;
mod follower;
mod leader;
mod log;
mod membership;
mod message;
mod options;
mod ready;
mod record;
mod replica;
mod store;
mod stored;

pub use bootstrap::{BlankKeeper, Introduction, Join, plan_join};
pub use configuration::{Change, Configuration, ReplicaId};
pub use log::{Entry, EntryId, Payload, Snapshot};
pub use message::{AppendResult, Envelope, Message};
pub use options::Options;
pub use ready::{ReadId, Ready, Written};
pub use record::UnencodableRecord;
pub use replica::{NotLeader, ProposeError, Replica};
pub use store::{Identity, SideFiles, Store, StoreError};
pub use stored::{HardState, StoredState};
