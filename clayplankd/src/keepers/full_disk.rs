//! A disk without room: waits, and says so once.

use std::time::Duration;

use clayplank_agreement::StoreError;

use crate::process::clock::now_ms;
use crate::process::logging::part;

/// Between two tries: short beside the seconds that a full disk takes to be cleared.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long a disk has been full, if it is.
#[derive(Debug, Default)]
pub(crate) struct FullDisk {
    since_ms: Option<u64>,
}

impl FullDisk {
    /// Waits before the next try.
    pub(crate) async fn wait(&mut self, error: &StoreError) {
        if self.since_ms.is_none() {
            self.since_ms = Some(now_ms());
            log::error!(target: part::KEEPER, cause:% = error; "The disk is full; waits for room");
        }
        clayplank_clock::sleep(RETRY_PAUSE).await;
    }

    /// Notes that a write went through.
    pub(crate) fn note_room(&mut self) {
        if let Some(since_ms) = self.since_ms.take() {
            log::info!(target: part::KEEPER, waited_ms = now_ms() - since_ms; "The disk has room again");
        }
    }
}
