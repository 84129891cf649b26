//! Latency histograms by client account and length band, and counts of request outcomes.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, PoisonError};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use clayplank_types::{AccountId, Outcome};
use hdrhistogram::Histogram;
use hdrhistogram::serialization::{Serializer, V2Serializer};
use serde::Serialize;

/// Histograms record times up to an hour, with two significant digits.
const MAX_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 2;

/// Limit of the number of series. Once it is reached, requests that would need a new one are
/// recorded under [`OTHER_ACCOUNTS`].
const MAX_SERIES: usize = 512;

/// Account label of the series that several accounts share.
const OTHER_ACCOUNTS: &str = "other";

const QUANTILES: [f64; 3] = [0.5, 0.95, 0.99];

/// Time span of a request that a histogram records.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Span {
    /// From the request's arrival to its first token.
    FirstToken,
    /// Between two successive tokens.
    BetweenTokens,
    /// From the request's arrival to the end of its answer.
    Total,
}

impl Span {
    fn as_str(self) -> &'static str {
        match self {
            Self::FirstToken => "first_token",
            Self::BetweenTokens => "between_tokens",
            Self::Total => "total",
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SeriesKey {
    account: String,
    band: String,
    span: Span,
}

/// A histogram as sent to the operator's tool.
#[derive(Debug, Serialize)]
pub(crate) struct Series {
    account: String,
    band: String,
    span: Span,
    /// HdrHistogram V2 encoding, in base 64.
    histogram: String,
}

/// Metrics of this host.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    series: Mutex<BTreeMap<SeriesKey, Histogram<u32>>>,
    outcomes: Mutex<BTreeMap<(String, &'static str), u64>>,
}

impl Metrics {
    /// Records a time span of a request, in ms.
    pub(crate) fn record(&self, account: &AccountId, band: &str, span: Span, span_ms: u64) {
        let mut series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let mut key = SeriesKey { account: account.to_string(), band: band.to_owned(), span };
        if series.len() >= MAX_SERIES && !series.contains_key(&key) {
            key.account = OTHER_ACCOUNTS.to_owned();
        }
        if let std::collections::btree_map::Entry::Vacant(vacant) = series.entry(key.clone()) {
            let Ok(fresh) = Histogram::new_with_max(MAX_MS, SIGNIFICANT_DIGITS) else {
                return;
            };
            vacant.insert(fresh);
        }
        if let Some(histogram) = series.get_mut(&key) {
            histogram.saturating_record(span_ms);
        }
    }

    /// Counts the outcome of a request.
    pub(crate) fn count(&self, account: &str, outcome: Outcome) {
        let mut outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        *outcomes.entry((account.to_owned(), outcome.as_str())).or_default() += 1;
    }

    /// All histograms; the operator's tool merges them with those of other hosts.
    pub(crate) fn series(&self) -> Vec<Series> {
        let series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        let encoded = series.iter().filter_map(|(key, histogram)| {
            let mut bytes = Vec::new();
            V2Serializer::new().serialize(histogram, &mut bytes).ok()?;
            let SeriesKey { account, band, span } = key.clone();
            Some(Series { account, band, span, histogram: STANDARD.encode(bytes) })
        });
        encoded.collect()
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        let outcomes = self.outcomes.lock().unwrap_or_else(PoisonError::into_inner);
        for ((account, outcome), count) in outcomes.iter() {
            let labels = format!("account=\"{account}\",outcome=\"{outcome}\"");
            writeln!(text, "clayplank_requests_total{{{labels}}} {count}").ok();
        }
        drop(outcomes);
        let series = self.series.lock().unwrap_or_else(PoisonError::into_inner);
        for (key, histogram) in series.iter() {
            let labels = format!("account=\"{}\",band=\"{}\"", key.account, key.band);
            let name = format!("clayplank_{}_ms", key.span.as_str());
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                writeln!(text, "{name}{{{labels},quantile=\"{quantile}\"}} {value}").ok();
            }
            writeln!(text, "{name}_count{{{labels}}} {}", histogram.len()).ok();
        }
        text
    }
}
