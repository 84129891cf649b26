//! When a keeper replaces its log by a snapshot.

/// Number of log entries in memory at which a snapshot replaces them.
const COMPACT_ENTRIES: usize = 20_000;

/// Pause after a compaction that failed, in ms: each attempt encodes the complete state.
const RETRY_PAUSE_MS: u64 = 1_000;

/// Decides when the log is large enough for a compaction.
#[derive(Debug)]
pub(crate) struct CompactionSchedule {
    /// Configured size of the log file, in bytes, above which a snapshot replaces it.
    limit_bytes: u64,
    /// Size of the log file, in bytes, above which the next compaction is due.
    next_bytes: u64,
    /// Time before which no compaction is tried, in ms.
    not_before_ms: u64,
}

impl CompactionSchedule {
    pub(crate) fn new(limit_bytes: u64) -> Self {
        Self { limit_bytes, next_bytes: limit_bytes, not_before_ms: 0 }
    }

    /// Whether a log with this file size and number of entries in memory is to be compacted now.
    pub(crate) fn is_due(&self, now_ms: u64, log_bytes: u64, log_entries: usize) -> bool {
        let is_large = log_bytes >= self.next_bytes || log_entries >= COMPACT_ENTRIES;
        is_large && now_ms >= self.not_before_ms
    }

    /// Records the size of the log file after a compaction. Entries that are not applied yet remain in
    /// the file and may exceed the limit by themselves, so the next compaction waits until the file has
    /// doubled.
    pub(crate) fn record_success(&mut self, log_bytes: u64) {
        self.next_bytes = self.limit_bytes.max(2 * log_bytes);
    }

    /// Records a compaction that failed.
    pub(crate) fn record_failure(&mut self, now_ms: u64) {
        self.not_before_ms = now_ms + RETRY_PAUSE_MS;
    }
}
