//! Waits for space on a full disk, logging the start and the end of the wait once each.

use std::time::Duration;

use crate::process::clock::now_ms;
use crate::process::logging::log_target;

/// Pause between two write attempts: short compared with the seconds that it takes to free space on
/// a full disk.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// State of a write that is retried while the disk is full.
#[derive(Debug, Default)]
pub(crate) struct FullDiskRetry {
    /// Time of the first attempt that found the disk full, in ms; `None` while the disk has space.
    since_ms: Option<u64>,
}

impl FullDiskRetry {
    /// Waits before the next write attempt.
    pub(crate) async fn wait(&mut self, error: &(dyn std::error::Error + Sync)) {
        if self.since_ms.is_none() {
            self.since_ms = Some(now_ms());
            log::error!(target: log_target::KEEPER, cause:% = error; "The disk is full; waits for room");
        }
        clayplank_clock::sleep(RETRY_PAUSE).await;
    }

    /// Records that a write succeeded.
    pub(crate) fn record_success(&mut self) {
        if let Some(since_ms) = self.since_ms.take() {
            log::info!(target: log_target::KEEPER, waited_ms = now_ms() - since_ms;
                "The disk has room again");
        }
    }
}
