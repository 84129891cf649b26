//! Membership updates, which hosts exchange by gossip.

use clayplank_types::HostId;
use serde::{Deserialize, Serialize};

/// Status of a host in the view of another one. Of two updates with the same version, the one with
/// the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// It answers probes.
    Live,
    /// It missed a direct probe and all indirect ones.
    Suspect,
    /// It announced its departure, or the platform did.
    Leaving,
    /// It was declared dead: its suspicion timed out without a refutation.
    Gone,
}

/// A membership update: the status of one host, as it spreads by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The host that the update is about.
    pub host: HostId,
    /// Version of the host's state, incremented by that host alone: it starts at its incarnation
    /// and rises with each refutation.
    pub version: u64,
    /// Status of the host.
    pub status: Status,
}

impl MemberUpdate {
    /// Whether this update supersedes a known state with this version and status.
    pub(crate) fn beats(&self, version: u64, status: Status) -> bool {
        (self.version, self.status) > (version, status)
    }
}
