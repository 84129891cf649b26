//! Engines that this host failed to connect to recently.

use std::collections::HashMap;

use clayplank_types::UpstreamId;

/// Time for which this host sends nothing to an engine that it failed to connect to, in ms, even if
/// the leader can reach it: only the network path from this host may be broken. The time covers two
/// heartbeats of the engine, after which the leader knows whether it is alive.
const AVOID_MS: u64 = 2_500;

/// Engines that this host avoids, each with the end of that period in ms.
#[derive(Debug, Default)]
pub(crate) struct Unreachable(HashMap<UpstreamId, u64>);

impl Unreachable {
    pub(crate) fn insert(&mut self, now_ms: u64, id: UpstreamId) {
        self.0.insert(id, now_ms + AVOID_MS);
    }

    /// Engines that this host avoids at `now_ms`, and the times for which it does so, in ms.
    pub(crate) fn engines(&mut self, now_ms: u64) -> impl Iterator<Item = (&UpstreamId, u64)> {
        self.0.retain(|_, until_ms| now_ms < *until_ms);
        self.0.iter().map(move |(id, until_ms)| (id, until_ms - now_ms))
    }
}
