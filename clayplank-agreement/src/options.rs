//! Settings of a replica.

/// Settings of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// A follower that hears nothing for this long, up to twice this long, asks for an election.
    pub election_ms: u64,
    /// Between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// The most entries in one message.
    pub max_batch_entries: usize,
    /// Entries kept before a snapshot, for slow followers.
    pub keep_entries: u64,
    /// Beyond the voters that are needed, one that is silent for this long is taken out; `None`
    /// where places are fixed by name.
    pub replace_silent_ms: Option<u64>,
    /// How many replicas may be lost at once.
    pub tolerated_losses: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            election_ms: 600,
            heartbeat_ms: 100,
            max_batch_entries: 256,
            keep_entries: 1_000,
            replace_silent_ms: None,
            tolerated_losses: 1,
        }
    }
}

impl Options {
    /// As many voters as survive the losses that are tolerated; more are kept while all of them
    /// answer. Three at least: of fewer, one that is lost stops the others.
    pub(crate) fn wanted_voters(&self) -> usize {
        2 * self.tolerated_losses.max(1) + 1
    }
}
