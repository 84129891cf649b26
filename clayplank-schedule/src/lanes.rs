//! The queues of one model, by lane.

use clayplank_types::RequestId;

use crate::admission::Throughput;
use crate::fair_queue::FairQueue;
use crate::fleet::EngineIndex;
use crate::policy::Lane;

/// Time over which the demand of short prompts is averaged.
const DEMAND_WINDOW_MS: f64 = 10_000.0;

/// Engines kept free of heavy prompts, for each that short ones keep busy.
const SHORT_HEADROOM_FACTOR: f64 = 1.3;

/// Engines kept free of heavy prompts in any case.
const MIN_SHORT_ENGINES: f64 = 1.0;

/// The limit rises only when this many more engines are free.
const LIMIT_HYSTERESIS_ENGINES: f64 = 0.5;

/// A queue and how fast it moves.
#[derive(Debug)]
pub(crate) struct LaneQueue {
    pub(crate) queue: FairQueue,
    pub(crate) throughput: Throughput,
}

/// Engines that take no heavy work until the gang's request fits them.
#[derive(Debug)]
pub(crate) struct PendingGang {
    pub(crate) request_id: RequestId,
    pub(crate) members: Vec<EngineIndex>,
}

/// The queues of one model.
#[derive(Debug)]
pub(crate) struct ModelLanes {
    lanes: [LaneQueue; Lane::ALL.len()],
    pub(crate) pending_gang: Option<PendingGang>,
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

    /// Notes that a short prompt was sent to an engine.
    pub(crate) fn record_short_prefill(&mut self, now_ms: u64, tokens: u64) {
        self.decay(now_ms);
        self.short_tokens += tokens as f64;
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_decay_ms) as f64;
        self.short_tokens *= (-elapsed_ms / DEMAND_WINDOW_MS).exp();
        self.last_decay_ms = now_ms;
    }

    /// How many engines may read heavy prompts at a time.
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
