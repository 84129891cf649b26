//! Prefill and decode rates of an engine, measured on its past requests.

/// Weight of a new sample in the exponentially weighted moving average.
const SAMPLE_WEIGHT: f64 = 0.2;

/// Busy periods with fewer prefilled tokens are not sampled.
const MIN_SAMPLE_TOKENS: u64 = 512;

/// Moving averages of one engine's prefill and decode times.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rates {
    pub(crate) prefill_ms_per_token: f64,
    pub(crate) decode_ms_per_token: f64,
    busy_period: Option<BusyPeriod>,
}

/// A period in which the engine had prompts to prefill without interruption.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BusyPeriod {
    start_ms: u64,
    prefill_tokens: u64,
}

impl Rates {
    pub(crate) fn new(prefill_ms_per_token: f64, decode_ms_per_token: f64) -> Self {
        Self { prefill_ms_per_token, decode_ms_per_token, busy_period: None }
    }

    /// Records that a prompt was sent to the engine.
    pub(crate) fn start_prefill(&mut self, now_ms: u64) {
        self.busy_period.get_or_insert(BusyPeriod { start_ms: now_ms, prefill_tokens: 0 });
    }

    /// Records the end of the prefill of `prefill_tokens` tokens, while `remaining_tokens` of
    /// other prompts are still in prefill.
    pub(crate) fn end_prefill(&mut self, now_ms: u64, prefill_tokens: u64, remaining_tokens: u64) {
        let Some(busy_period) = &mut self.busy_period else {
            return;
        };
        busy_period.prefill_tokens += prefill_tokens;
        let busy_period = *busy_period;
        // Work done on prompts still in prefill is not counted and would bias the sample, unless
        // they are small against the counted tokens.
        if remaining_tokens * 4 > busy_period.prefill_tokens {
            return;
        }
        self.busy_period =
            (remaining_tokens > 0).then_some(BusyPeriod { start_ms: now_ms, prefill_tokens: 0 });
        if busy_period.prefill_tokens >= MIN_SAMPLE_TOKENS {
            let busy_ms = now_ms.saturating_sub(busy_period.start_ms).max(1);
            update_average(
                &mut self.prefill_ms_per_token,
                busy_ms as f64 / busy_period.prefill_tokens as f64,
            );
        }
    }

    /// Discards the current busy period without a sample, as when a prompt got no first token.
    pub(crate) fn discard_busy_period(&mut self) {
        self.busy_period = None;
    }

    /// Records the time from the first to the last of `output_tokens` tokens.
    pub(crate) fn end_decode(&mut self, output_tokens: u64, decode_ms: u64) {
        if output_tokens > 1 {
            update_average(
                &mut self.decode_ms_per_token,
                decode_ms as f64 / (output_tokens - 1) as f64,
            );
        }
    }
}

fn update_average(value: &mut f64, sample: f64) {
    *value += SAMPLE_WEIGHT * (sample - *value);
}
