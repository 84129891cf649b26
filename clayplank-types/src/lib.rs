//! Ids, units, outcomes and length bands shared by every part of clayplank.
//!
//! ```
//! use clayplank_types::{LengthBands, Outcome};
//!
//! let bands = LengthBands::default();
//! assert_eq!(bands.name(bands.index_of(1_200)), "2k");
//! assert_eq!(Outcome::NotRun.as_str(), "not-run");
//! ```

mod band;
mod fingerprint;
mod id;
mod observation;
mod outcome;
mod prefix;
mod priority;
mod ratio;
mod status;

pub use band::{LengthBands, UnorderedBandsError};
pub use fingerprint::{Fingerprint, ParseFingerprintError, RequestIdentity};
pub use id::{
    AccountId, AttemptId, DataCentre, HostId, Incarnation, ParseIdError, Partner, PoolId,
    RequestId, UpstreamId,
};
pub use observation::{
    HostTimestamp, ObservedOutcome, QuarantineEntry, SuspectKind, SuspectObservation,
};
pub use outcome::{Outcome, Refusal, RefusalReason};
pub use prefix::{MAX_PREFIX_BLOCKS, PREFIX_BLOCK_TOKENS, prefix_hashes};
pub use priority::{EnginePriority, Priority};
pub use ratio::TokenRatio;
pub use status::is_final_status;
