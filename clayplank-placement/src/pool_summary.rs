//! Summary of the engines of a pool, to explain refusals.

use crate::fleet::Fleet;

/// Snapshot of the engines of one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolSummary {
    /// Reachable engines that accept new work.
    pub engines: usize,
    /// Occupied slots of all these engines.
    pub taken_slots: usize,
    /// Parts of split prompts that these engines prefill for other engines.
    pub helped_parts: usize,
    /// Queued prefill work per engine, in ms, on average.
    pub queued_ms: f64,
    /// Average factor by which work takes longer than the cost model predicts.
    pub slowness: f64,
    /// Engines that are avoided because they failed recently.
    pub avoided: usize,
    /// Engines that refuse connections or do not answer them; not counted in `engines`.
    pub unreached: usize,
    /// Engines from which neither heartbeats nor answers arrived recently.
    pub doubtful: usize,
}

impl Fleet {
    /// Summarises the engines of a pool as this fleet sees them, to explain why a prompt was
    /// refused.
    pub fn pool_summary(&self, now_ms: f64, pool: &str) -> PoolSummary {
        let open = self.engines().values().filter(|one| one.takes_work() && one.spec.pool == pool);
        let mut summary = PoolSummary::default();
        for engine in open {
            if engine.reachability.is_unreachable() {
                summary.unreached += 1;
                continue;
            }
            summary.engines += 1;
            summary.taken_slots += engine.primaries();
            summary.helped_parts += engine.helper_parts();
            summary.queued_ms += engine.queued().prefill_ms;
            summary.slowness += engine.health.slowness(now_ms);
            summary.avoided += usize::from(engine.health.is_avoided(now_ms));
            summary.doubtful += usize::from(engine.is_doubtful(now_ms));
        }
        let engines = summary.engines.max(1) as f64;
        summary.queued_ms /= engines;
        summary.slowness /= engines;
        summary
    }
}
