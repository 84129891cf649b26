//! What hosts tell of requests under which upstreams ended, and what they are told.

use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;
use crate::id::UpstreamId;

/// What became of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum SeenOutcome {
    /// The upstream ended while it had the request.
    Ended(UpstreamId),
    /// The upstream answered it whole, and lived.
    Survived,
}

/// A time by the clock of one life of a host: two of them are as far apart as they say, however long what
/// tells of them is on its way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostMoment {
    /// Drawn when the host started.
    pub life: u64,
    /// Elapsed time of that life, in ms.
    pub at_ms: u64,
}

/// What a host saw of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is: what is remembered is limited for each caller.
    pub caller: String,
    /// What became of it.
    pub outcome: SeenOutcome,
    /// How long ago that was, in ms, when it was told.
    pub ago_ms: u64,
    /// When that was by the host's own clock.
    pub seen: Option<HostMoment>,
}

/// A request that is held back, as a host has to know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBack {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub caller: String,
    /// Upstreams that ended under it.
    pub ended: Vec<UpstreamId>,
    /// When it may be tried, in ms from now.
    pub next_trial_in_ms: u64,
}
