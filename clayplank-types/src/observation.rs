//! Observations of requests and parts of prompts under which upstreams terminated, and the resulting
//! quarantine, as exchanged between hosts.

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::id::UpstreamId;

/// Kind of a suspect: something under which an upstream terminated.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum SuspectKind {
    /// A request, which its caller may repeat.
    #[default]
    Request,
    /// A part of prompts, which many requests may contain.
    PromptPart,
}

impl SuspectKind {
    /// Name in logs, metrics and the control interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::PromptPart => "prompt_part",
        }
    }
}

/// Outcome of a request at an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ObservedOutcome {
    /// This upstream terminated while it ran the request.
    Ended(UpstreamId),
    /// The upstream answered the request and did not terminate.
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

/// Observation of a suspect by a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectObservation {
    /// What was observed.
    pub kind: SuspectKind,
    /// Fingerprint of the suspect.
    pub fingerprint: Fingerprint,
    /// Fingerprint of the request that was running; that of the suspect, unless this is a part.
    pub request: Fingerprint,
    /// Caller of the request. The number of remembered observations is limited per caller.
    pub caller: String,
    /// Whether the host has seen an upstream survive this part before; false for requests.
    pub has_survived: bool,
    /// Outcome of the request.
    pub outcome: ObservedOutcome,
    /// Age of the observation when it was sent, in ms.
    pub ago_ms: u64,
    /// Time of the observation by the clock of the host that made it; `None` if it was not sent.
    pub seen: Option<HostTimestamp>,
}

/// A quarantined request or part of prompts, as it is reported to hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// What is quarantined.
    pub kind: SuspectKind,
    /// Fingerprint of the request or the part.
    pub fingerprint: Fingerprint,
    /// Caller of the request; for a part, of the first observed request with it.
    pub caller: String,
    /// Upstreams that terminated under it.
    pub ended: Vec<UpstreamId>,
    /// Time from now until one request may be sent as a trial, in ms; `None` if there are no more
    /// trials.
    pub next_trial_in_ms: Option<u64>,
}
