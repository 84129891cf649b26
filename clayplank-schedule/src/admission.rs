//! Prediction of whether a request can complete before its deadline.

use crate::policy::{Lane, Policy};
use crate::reservation::ReservationRequest;

/// Weight of a new window in the moving average of a lane's throughput.
const WINDOW_WEIGHT: f64 = 0.3;

/// Shorter windows give no useful sample and are ignored.
const MIN_WINDOW_MS: u64 = 500;

/// A window is closed at this length even if the queue is not empty.
const MAX_WINDOW_MS: u64 = 2_000;

/// Factor on the prefill time of heavy prompts, which short ones overtake in the meantime.
const HEAVY_PREFILL_FACTOR: f64 = 1.6;

/// Predicted wait and service time of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time until it starts, in ms.
    pub wait_ms: f64,
    /// Time from its start to its end, in ms, with a safety margin.
    pub service_ms: f64,
}

impl Forecast {
    /// Predicted time from now until the request completes, in ms.
    pub fn completion_ms(&self) -> u64 {
        (self.wait_ms + self.service_ms).ceil() as u64
    }
}

/// Predicted time from dispatch to completion of a request, in ms, with the margin of the
/// policy. `rates` are the prefill and decode times per token, in ms.
pub(crate) fn estimate_service_ms(
    policy: &Policy,
    request: &ReservationRequest,
    lane: Lane,
    rates: (f64, f64),
) -> f64 {
    let (prefill_ms_per_token, decode_ms_per_token) = rates;
    let prefill_factor = if lane.is_heavy() { HEAVY_PREFILL_FACTOR } else { 1.0 };
    let prefill_ms = request.prompt_tokens as f64 * prefill_ms_per_token * prefill_factor;
    let decode_ms = request.max_output_tokens as f64 * decode_ms_per_token;
    (prefill_ms + decode_ms) * policy.finish_margin
}

/// Moving average of the tokens per ms that leave a lane's queue, measured while the queue
/// is not empty.
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
    /// Records that a request was queued, which starts a window if none is open.
    pub(crate) fn record_waiting(&mut self, now_ms: u64) {
        self.window.get_or_insert(Window { start_ms: now_ms, tokens: 0 });
    }

    /// Records that a request of `tokens` tokens was dispatched, and whether the queue is now
    /// empty.
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

    /// The measured throughput, or the initial estimate while nothing is measured. It is never
    /// below 5 % of the initial estimate.
    pub(crate) fn tokens_per_ms(&self, initial_tokens_per_ms: f64) -> f64 {
        self.tokens_per_ms.unwrap_or(initial_tokens_per_ms).max(initial_tokens_per_ms * 0.05)
    }
}
