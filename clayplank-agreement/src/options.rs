//! Options of a replica: time-outs, batch size, log retention and the target number of voters.

/// Options of a [`Replica`](crate::Replica).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Minimum election time-out, in ms. A follower without contact to a leader starts an
    /// election after a random time between this and twice this.
    pub election_timeout_ms: u64,
    /// Interval between two heartbeats of a leader, in ms.
    pub heartbeat_interval_ms: u64,
    /// Maximum number of entries in one append message.
    pub max_batch_entries: usize,
    /// Number of entries before the snapshot that compaction keeps in memory, so that slow
    /// followers do not need the snapshot.
    pub retained_entries: u64,
    /// Time without a reply, in ms, after which the leader removes a voter if there are more voters
    /// than the target. `None` disables this, for members that are fixed by the settings.
    pub replace_unresponsive_ms: Option<u64>,
    /// Number of replicas that may fail at the same time without stopping the log.
    pub tolerated_losses: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_timeout_ms: 600,
            heartbeat_interval_ms: 100,
            max_batch_entries: 256,
            retained_entries: 1_000,
            replace_unresponsive_ms: None,
            tolerated_losses: 1,
        }
    }
}

impl Options {
    /// Target number of voters: the smallest number that keeps a quorum after
    /// `tolerated_losses` failures. Additional voters stay as long as they respond. The minimum
    /// is three, because with fewer voters a single failure stops the log.
    pub(crate) fn target_voters(&self) -> usize {
        2 * self.tolerated_losses.max(1) + 1
    }
}
