//! Counters and latency histograms of an entry host.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;

/// Times up to a minute, to two digits.
const MAX_MS: u64 = 60_000;
const DIGITS: u8 = 2;

const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Series of this many routes and accounts are kept; the rest is counted as one.
const MAX_SERIES: usize = 256;

/// The series of those that came after the last one that is kept.
const OTHER: &str = "other";

#[derive(Debug, Default)]
struct Inner {
    outcomes: BTreeMap<(String, &'static str), u64>,
    first_byte: BTreeMap<String, Histogram<u32>>,
    attempts: BTreeMap<&'static str, u64>,
    /// Attempts at upstreams that had named a limit.
    limited: u64,
}

/// Figures by route.
#[derive(Debug, Default)]
pub struct Figures {
    inner: Mutex<Inner>,
}

impl Figures {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes how a request ended.
    pub fn count(&self, route: &str, outcome: &'static str) {
        let mut inner = self.lock();
        let is_known = inner.outcomes.contains_key(&(route.to_owned(), outcome));
        let route = if is_known || inner.outcomes.len() < MAX_SERIES { route } else { OTHER };
        *inner.outcomes.entry((route.to_owned(), outcome)).or_default() += 1;
    }

    /// Notes how an attempt at an upstream ended.
    pub fn count_attempt(&self, outcome: &'static str) {
        *self.lock().attempts.entry(outcome).or_default() += 1;
    }

    /// Notes an attempt at an upstream that had named a limit.
    pub fn count_limited(&self) {
        self.lock().limited += 1;
    }

    /// Notes when the first byte of an answer, or its first event, came.
    pub fn record_first_byte(&self, route: &str, took_ms: u64) {
        let mut inner = self.lock();
        let is_known = inner.first_byte.contains_key(route);
        let route = if is_known || inner.first_byte.len() < MAX_SERIES { route } else { OTHER };
        let histogram = match inner.first_byte.get_mut(route) {
            Some(histogram) => histogram,
            None => {
                let Ok(fresh) = Histogram::new_with_max(MAX_MS, DIGITS) else {
                    return;
                };
                inner.first_byte.entry(route.to_owned()).or_insert(fresh)
            }
        };
        histogram.saturating_record(took_ms);
    }

    /// All figures in the Prometheus text format.
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
