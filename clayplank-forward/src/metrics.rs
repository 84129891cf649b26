//! Counters and latency histograms of an entry host.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;

use crate::queueing::TurnOutcome;

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
    /// Connections closed unread because the host was overloaded.
    shed: u64,
    /// Requests that have entered the admission queue.
    queued: u64,
    /// Waits in the admission queue that have ended.
    turns: BTreeMap<TurnOutcome, u64>,
    queue_wait: BTreeMap<String, Histogram<u32>>,
}

/// Records a time in the histogram of a route, or in the common one beyond the maximum of routes.
fn record_by_route(histograms: &mut BTreeMap<String, Histogram<u32>>, route: &str, took_ms: u64) {
    let is_known = histograms.contains_key(route);
    let route = if is_known || histograms.len() < MAX_SERIES { route } else { OTHER_ROUTES };
    let histogram = match histograms.get_mut(route) {
        Some(histogram) => histogram,
        None => {
            let Ok(fresh) = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS) else {
                return;
            };
            histograms.entry(route.to_owned()).or_insert(fresh)
        }
    };
    histogram.saturating_record(took_ms);
}

fn write_quantiles(text: &mut String, name: &str, route: &str, histogram: &Histogram<u32>) {
    for quantile in QUANTILES {
        let value = histogram.value_at_quantile(quantile);
        let labels = format!("route=\"{route}\",quantile=\"{quantile}\"");
        writeln!(text, "{name}{{{labels}}} {value}").ok();
    }
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
        record_by_route(&mut self.lock().first_byte, route, took_ms);
    }

    /// Counts a request that enters the admission queue.
    pub(crate) fn count_queued(&self) {
        self.lock().queued += 1;
    }

    /// Counts a connection that was closed unread because the host was overloaded.
    pub(crate) fn count_shed(&self) {
        self.lock().shed += 1;
    }

    /// Records the end of a wait in the admission queue.
    pub(crate) fn record_turn(&self, route: &str, outcome: TurnOutcome, waited_ms: u64) {
        let mut inner = self.lock();
        *inner.turns.entry(outcome).or_default() += 1;
        record_by_route(&mut inner.queue_wait, route, waited_ms);
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
        writeln!(text, "clayplank_entry_shed_connections_total {}", inner.shed).ok();
        for (route, histogram) in &inner.first_byte {
            write_quantiles(&mut text, "clayplank_entry_first_byte_ms", route, histogram);
        }
        inner.write_queue(&mut text);
        text
    }
}

impl Inner {
    fn write_queue(&self, text: &mut String) {
        let ended: u64 = self.turns.values().sum();
        writeln!(text, "clayplank_entry_queue_length {}", self.queued - ended).ok();
        writeln!(text, "clayplank_entry_queued_total {}", self.queued).ok();
        for outcome in TurnOutcome::ALL {
            let count = self.turns.get(&outcome).copied().unwrap_or_default();
            let labels = format!("outcome=\"{}\"", outcome.as_str());
            writeln!(text, "clayplank_entry_queue_ended_total{{{labels}}} {count}").ok();
        }
        for (route, histogram) in &self.queue_wait {
            write_quantiles(text, "clayplank_entry_queue_wait_ms", route, histogram);
            let count = histogram.len();
            writeln!(text, "clayplank_entry_queue_wait_ms_count{{route=\"{route}\"}} {count}").ok();
        }
    }
}
