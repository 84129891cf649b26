//! How fast an engine is, learned from what it did.

/// Weight of one new sample against all former ones.
const SAMPLE_WEIGHT: f64 = 0.2;

/// A busy spell must have read this many tokens to count.
const MIN_SAMPLE_TOKENS: u64 = 512;

/// Learned times of one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rates {
    pub(crate) prefill_ms_per_token: f64,
    pub(crate) decode_ms_per_token: f64,
    busy_period: Option<BusyPeriod>,
}

/// A time in which the engine had prompts to read without a break.
#[derive(Clone, Copy, Debug, PartialEq)]
struct BusyPeriod {
    start_ms: u64,
    prefill_tokens: u64,
}

impl Rates {
    pub(crate) fn new(prefill_ms_per_token: f64, decode_ms_per_token: f64) -> Self {
        Self { prefill_ms_per_token, decode_ms_per_token, busy_period: None }
    }

    /// Notes that a prompt was sent to the engine.
    pub(crate) fn start_prefill(&mut self, now_ms: u64) {
        self.busy_period.get_or_insert(BusyPeriod { start_ms: now_ms, prefill_tokens: 0 });
    }

    /// Notes that a prompt was read, and how many tokens are still being read.
    pub(crate) fn end_prefill(&mut self, now_ms: u64, prefill_tokens: u64, remaining_tokens: u64) {
        let Some(busy_period) = &mut self.busy_period else {
            return;
        };
        busy_period.prefill_tokens += prefill_tokens;
        let busy_period = *busy_period;
        // What is half read would falsify the sample, unless it is a small part.
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

    /// Forgets a spell that ended without an answer.
    pub(crate) fn discard_busy_period(&mut self) {
        self.busy_period = None;
    }

    /// Notes the time between the tokens of an answer.
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
