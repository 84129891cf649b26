//! A replicated log as a pure state machine, and its disk store.
//!
//! [`Replica`] takes messages, ticks and the completion of writes; what it
//! wants done it leaves in a [`Ready`], which the caller carries out in this
//! order: write and sync, send, apply. The rules are Raft's (Ongaro, "Consensus:
//! Bridging Theory and Practice", 2014): elections with pre-vote (section 9.6),
//! quorum check by the leader (6.2), read index (6.4), one change of membership
//! at a time (4.1), snapshots (5). A replica is named by its host and by the
//! incarnation of its disk, so that a lost disk never votes as the former one.
//!
//! ```
//! use clayplank_agreement::{Configuration, Options, Replica, ReplicaId, StoredState};
//!
//! let id = ReplicaId::new("a", 1);
//! let genesis = StoredState::genesis(Configuration::of_voters([id.clone()]), Vec::new());
//! let mut replica = Replica::new(id, genesis, Options::default(), 0);
//! replica.tick(10_000);
//! let ready = replica.take_ready(10_000);
//! replica.note_persisted(ready.last_written());
//! assert!(replica.is_leader());
//! replica.propose(b"hello".to_vec()).unwrap();
//! let ready = replica.take_ready(10_001);
//! replica.note_persisted(ready.last_written());
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
pub use record::UnfitRecord;
pub use replica::{NotLeader, ProposeError, Replica};
pub use store::{Identity, Notes, Store, StoreError};
pub use stored::{HardState, StoredState};
