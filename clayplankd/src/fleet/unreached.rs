//! Engines that this host could not reach lately.

use std::collections::HashMap;

use clayplank_types::UpstreamId;

/// An engine that this host could not reach gets nothing more from it for this long, in ms,
/// whatever the leader chooses: the way from here may be cut while the leader reaches it. Two
/// heartbeats of an engine fit, after which the leader knows whether it lives.
const AVOID_MS: u64 = 2_500;

/// Engines that this host could not reach, and until when it sends them nothing.
#[derive(Debug, Default)]
pub(crate) struct Unreached(HashMap<UpstreamId, u64>);

impl Unreached {
    pub(crate) fn note(&mut self, now_ms: u64, id: UpstreamId) {
        self.0.insert(id, now_ms + AVOID_MS);
    }

    /// Those that get nothing now.
    pub(crate) fn ids(&mut self, now_ms: u64) -> impl Iterator<Item = &UpstreamId> {
        self.0.retain(|_, until_ms| now_ms < *until_ms);
        self.0.keys()
    }
}
