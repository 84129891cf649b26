//! Whether a request can end in time.

use crate::policy::{Lane, Policy};
use crate::reservation::Ask;

/// Weight of one window of a lane's throughput.
const WINDOW_WEIGHT: f64 = 0.3;

/// Windows shorter than this say little.
const MIN_WINDOW_MS: u64 = 500;

const MAX_WINDOW_MS: u64 = 2_000;

/// Heavy prompts are overtaken by short ones while they are read.
const HEAVY_PREFILL_FACTOR: f64 = 1.6;

/// When a request would run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time until it starts.
    pub wait_ms: f64,
    /// Time from its start to its end, with a margin.
    pub service_ms: f64,
}

impl Forecast {
    /// The predicted end, from now.
    pub fn end_in_ms(&self) -> u64 {
        (self.wait_ms + self.service_ms).ceil() as u64
    }
}

/// Time that a request needs once it was sent to an engine.
pub(crate) fn estimate_service_ms(
    policy: &Policy,
    ask: &Ask,
    lane: Lane,
    rates: (f64, f64),
) -> f64 {
    let (prefill_ms_per_token, decode_ms_per_token) = rates;
    let prefill_factor = if lane.is_heavy() { HEAVY_PREFILL_FACTOR } else { 1.0 };
    let prefill_ms = ask.prompt_tokens as f64 * prefill_ms_per_token * prefill_factor;
    let decode_ms = ask.max_output_tokens as f64 * decode_ms_per_token;
    (prefill_ms + decode_ms) * policy.finish_margin
}

/// Tokens that leave a lane's queue in a millisecond, learned while it is not empty.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Throughput {
    tokens_per_ms: Option<f64>,
    window: Option<Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    start_ms: u64,
    tokens: u64,
}

impl Throughput {
    /// Notes that the queue has requests.
    pub(crate) fn record_waiting(&mut self, now_ms: u64) {
        self.window.get_or_insert(Window { start_ms: now_ms, tokens: 0 });
    }

    /// Notes that a request left the queue for an engine.
    pub(crate) fn record_dispatched(&mut self, now_ms: u64, tokens: u64, is_empty: bool) {
        let Some(window) = &mut self.window else {
            return;
        };
        window.tokens += tokens;
        let window = *window;
        let length_ms = now_ms - window.start_ms;
        if is_empty || length_ms >= MAX_WINDOW_MS {
            self.window = (!is_empty).then_some(Window { start_ms: now_ms, tokens: 0 });
            if length_ms >= MIN_WINDOW_MS {
                self.update_average(window.tokens as f64 / length_ms as f64);
            }
        }
    }

    fn update_average(&mut self, sample: f64) {
        self.tokens_per_ms = Some(match self.tokens_per_ms {
            Some(value) => value + WINDOW_WEIGHT * (sample - value),
            None => sample,
        });
    }

    /// The learned value, or a first guess.
    pub(crate) fn tokens_per_ms(&self, initial_tokens_per_ms: f64) -> f64 {
        self.tokens_per_ms.unwrap_or(initial_tokens_per_ms).max(initial_tokens_per_ms * 0.05)
    }
}
