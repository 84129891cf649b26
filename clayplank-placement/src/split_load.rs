//! Load of a fleet by split prompts.

/// Half-life of the work of split prompts in the load estimate, in ms.
const SPLIT_LOAD_HALF_LIFE_MS: f64 = 2_000.0;

/// Prefill time of split prompts, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SplitLoad {
    /// Prefill time of split prompts, in ms, decayed up to `work_at_ms`.
    work_ms: f64,
    work_at_ms: f64,
}

impl SplitLoad {
    /// Adds the prefill time of a split prompt, in ms.
    pub(crate) fn record(&mut self, now_ms: f64, work_ms: f64) {
        self.work_ms = self.decayed_work_ms(now_ms) + work_ms;
        self.work_at_ms = now_ms;
    }

    fn decayed_work_ms(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.work_at_ms).max(0.0);
        self.work_ms * 0.5_f64.powf(age_ms / SPLIT_LOAD_HALF_LIFE_MS)
    }

    /// Share of the time of this many engines that recently went into split prompts, from 0 to 1.
    pub(crate) fn share(&self, now_ms: f64, engines: usize) -> f64 {
        let span_ms = SPLIT_LOAD_HALF_LIFE_MS / std::f64::consts::LN_2;
        let fleet_ms = span_ms * engines.max(1) as f64;
        (self.decayed_work_ms(now_ms) / fleet_ms).min(1.0)
    }
}
