//! Polls an engine of an owned pool for its load and its cache events.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_types::{PoolId, UpstreamId};
use clayplank_upstream::EngineClient;
use xtra::Address;

use super::{CacheChanged, LoadReported, Owner};

/// Number of consecutive failed load reports after which an engine counts as unresponsive.
const MAX_MISSED_REPORTS: u32 = 3;

/// Number of load reports between two requests for cache events.
const REPORTS_PER_CACHE_POLL: u32 = 4;

/// Polls one engine for its load and its cache events.
pub(super) struct EnginePoll {
    pub(super) owner: Address<Owner>,
    pub(super) engine_client: Arc<dyn EngineClient>,
    pub(super) pool: PoolId,
    pub(super) engine: UpstreamId,
    pub(super) address: SocketAddr,
    pub(super) interval: Duration,
}

impl EnginePoll {
    pub(super) async fn run(self) {
        let mut failed_reports = 0;
        let mut report_count = 0_u32;
        let mut last_event = 0;
        loop {
            let report = self.engine_client.load(self.address).await.ok();
            failed_reports = if report.is_some() { 0 } else { failed_reports + 1 };
            if report.is_some() || failed_reports >= MAX_MISSED_REPORTS {
                let reported =
                    LoadReported { pool: self.pool.clone(), engine: self.engine.clone(), report };
                if self.owner.send(reported).await.is_err() {
                    return;
                }
            }
            report_count = report_count.wrapping_add(1);
            if report_count.is_multiple_of(REPORTS_PER_CACHE_POLL) {
                last_event = self.poll_cache(last_event).await;
            }
            clayplank_clock::sleep(self.interval).await;
        }
    }

    /// Sends the cache events after sequence number `after` to the owner. Returns the newest
    /// sequence number.
    async fn poll_cache(&self, after: u64) -> u64 {
        let Ok(events) = self.engine_client.cache_events(self.address, after).await else {
            return after;
        };
        let (Some(first), Some(last)) = (events.first(), events.last()) else {
            return after;
        };
        let newest = last.sequence;
        let has_gap = first.sequence != after + 1;
        let changed =
            CacheChanged { pool: self.pool.clone(), engine: self.engine.clone(), events, has_gap };
        self.owner.send(changed).await.ok();
        newest
    }
}
