//! Observations of requests during which upstreams terminated, and the resulting quarantine, as
//! exchanged between hosts.

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::id::UpstreamId;

/// Outcome of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedOutcome {
    /// This upstream terminated while it ran the request.
    Ended(UpstreamId),
    /// The upstream answered the request completely and did not terminate.
    Survived,
}

/// Timestamp by the clock of one incarnation of a host. The difference of two such timestamps does
/// not depend on the transmission time of the messages that carry them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostTimestamp {
    /// Incarnation of the host, drawn when it starts.
    pub life: u64,
    /// Time since the start of that incarnation, in ms.
    pub at_ms: u64,
}

/// Observation of a request by a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectObservation {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Caller of the request. The number of remembered observations is limited per caller.
    pub caller: String,
    /// Outcome of the request.
    pub outcome: ObservedOutcome,
    /// Age of the observation when it was sent, in ms.
    pub ago_ms: u64,
    /// Time of the observation by the clock of the host that made it; `None` if it was not sent.
    pub seen: Option<HostTimestamp>,
}

/// A quarantined request, as it is reported to hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Caller of the request.
    pub caller: String,
    /// Upstreams that terminated while they ran the request.
    pub ended: Vec<UpstreamId>,
    /// Time from now until the request may be tried again, in ms.
    pub next_trial_in_ms: u64,
}
