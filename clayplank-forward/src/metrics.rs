//! Counters and latency histograms of an entry host.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;

/// Histograms cover latencies up to one minute, with two significant digits.
const MAX_LATENCY_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 2;

const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Maximum number of series by route; further routes are counted in one common series.
const MAX_SERIES: usize = 256;

/// Label of the common series of routes beyond the maximum.
const OTHER_ROUTES: &str = "other";

#[derive(Debug, Default)]
struct Inner {
    outcomes: BTreeMap<(String, &'static str), u64>,
    first_byte: BTreeMap<String, Histogram<u32>>,
    attempts: BTreeMap<&'static str, u64>,
    /// Attempts at upstreams with a rate limit.
    limited: u64,
}

/// Metrics by route.
#[derive(Debug, Default)]
pub struct Metrics {
    inner: Mutex<Inner>,
}

impl Metrics {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request by its outcome.
    pub fn count(&self, route: &str, outcome: &'static str) {
        let mut inner = self.lock();
        let is_known = inner.outcomes.contains_key(&(route.to_owned(), outcome));
        let route =
            if is_known || inner.outcomes.len() < MAX_SERIES { route } else { OTHER_ROUTES };
        *inner.outcomes.entry((route.to_owned(), outcome)).or_default() += 1;
    }

    /// Counts an attempt at an upstream by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        *self.lock().attempts.entry(outcome).or_default() += 1;
    }

    /// Counts an attempt at an upstream with a rate limit.
    pub fn count_limited(&self) {
        self.lock().limited += 1;
    }

    /// Records the time until the first byte of an answer, or its first event.
    pub fn record_first_byte(&self, route: &str, took_ms: u64) {
        let mut inner = self.lock();
        let is_known = inner.first_byte.contains_key(route);
        let route =
            if is_known || inner.first_byte.len() < MAX_SERIES { route } else { OTHER_ROUTES };
        let histogram = match inner.first_byte.get_mut(route) {
            Some(histogram) => histogram,
            None => {
                let Ok(fresh) = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS) else {
                    return;
                };
                inner.first_byte.entry(route.to_owned()).or_insert(fresh)
            }
        };
        histogram.saturating_record(took_ms);
    }

    /// All metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let inner = self.lock();
        let mut text = String::new();
        for ((route, outcome), count) in &inner.outcomes {
            let labels = format!("route=\"{route}\",outcome=\"{outcome}\"");
            writeln!(text, "clayplank_entry_requests_total{{{labels}}} {count}").ok();
        }
        for (outcome, count) in &inner.attempts {
            writeln!(text, "clayplank_entry_attempts_total{{outcome=\"{outcome}\"}} {count}").ok();
        }
        writeln!(text, "clayplank_entry_limited_attempts_total {}", inner.limited).ok();
        for (route, histogram) in &inner.first_byte {
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                let labels = format!("route=\"{route}\",quantile=\"{quantile}\"");
                writeln!(text, "clayplank_entry_first_byte_ms{{{labels}}} {value}").ok();
            }
        }
        text
    }
}
