//! Queues of one model, one per lane, and the limit on engines with heavy prompts.

use clayplank_types::RequestId;

use crate::admission::Throughput;
use crate::fair_queue::FairQueue;
use crate::fleet::EngineIndex;
use crate::policy::Lane;

/// Time constant of the exponentially decaying demand of short prompts.
const DEMAND_WINDOW_MS: f64 = 10_000.0;

/// Engines kept free of heavy prompts per engine that short prompts keep busy.
const SHORT_HEADROOM_FACTOR: f64 = 1.3;

/// Further engines kept free of heavy prompts, regardless of demand. Nevertheless at least
/// one engine may prefill heavy prompts.
const MIN_SHORT_ENGINES: f64 = 1.0;

/// Spare engines required beyond the next whole one before the limit rises.
const LIMIT_HYSTERESIS_ENGINES: f64 = 0.5;

/// The queue of one lane and its measured throughput.
#[derive(Debug)]
pub(crate) struct LaneQueue {
    pub(crate) queue: FairQueue,
    pub(crate) throughput: Throughput,
}

/// A gang request that waits for memory; its engines take no other heavy work until it fits.
#[derive(Debug)]
pub(crate) struct PendingGang {
    pub(crate) request_id: RequestId,
    pub(crate) members: Vec<EngineIndex>,
}

/// The lanes of one model.
#[derive(Debug)]
pub(crate) struct ModelLanes {
    lanes: [LaneQueue; Lane::ALL.len()],
    pub(crate) pending_gang: Option<PendingGang>,
    /// Prefill tokens of recent short prompts, decayed with `DEMAND_WINDOW_MS`.
    short_tokens: f64,
    last_decay_ms: u64,
    heavy_limit: usize,
}

impl ModelLanes {
    pub(crate) fn new(ageing_ms: u64) -> Self {
        let lane =
            || LaneQueue { queue: FairQueue::new(ageing_ms), throughput: Throughput::default() };
        Self {
            lanes: Lane::ALL.map(|_| lane()),
            pending_gang: None,
            short_tokens: 0.0,
            last_decay_ms: 0,
            heavy_limit: 1,
        }
    }

    pub(crate) fn lane(&self, lane: Lane) -> &LaneQueue {
        &self.lanes[lane as usize]
    }

    pub(crate) fn lane_mut(&mut self, lane: Lane) -> &mut LaneQueue {
        &mut self.lanes[lane as usize]
    }

    pub(crate) fn waiting(&self) -> usize {
        self.lanes.iter().map(|lane| lane.queue.len()).sum()
    }

    /// Adds the prefill tokens of a dispatched brief or short prompt to the demand.
    pub(crate) fn record_short_prefill(&mut self, now_ms: u64, tokens: u64) {
        self.decay(now_ms);
        self.short_tokens += tokens as f64;
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_decay_ms) as f64;
        self.short_tokens *= (-elapsed_ms / DEMAND_WINDOW_MS).exp();
        self.last_decay_ms = now_ms;
    }

    /// Maximum number of engines that may prefill heavy prompts at the same time: those that
    /// the recent demand of short prompts leaves over, and at least one.
    pub(crate) fn heavy_limit(
        &mut self,
        now_ms: u64,
        engines: usize,
        prefill_ms_per_token: f64,
    ) -> usize {
        self.decay(now_ms);
        let busy_engines = self.short_tokens / DEMAND_WINDOW_MS * prefill_ms_per_token;
        let spare_engines =
            engines as f64 - busy_engines * SHORT_HEADROOM_FACTOR - MIN_SHORT_ENGINES;
        let is_lower = spare_engines < self.heavy_limit as f64;
        if is_lower || spare_engines >= self.heavy_limit as f64 + 1.0 + LIMIT_HYSTERESIS_ENGINES {
            self.heavy_limit = (spare_engines.floor().max(1.0)) as usize;
        }
        self.heavy_limit
    }
}
