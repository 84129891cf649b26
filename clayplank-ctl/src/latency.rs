//! Merges the latency histograms of several hosts.

use std::collections::BTreeMap;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use hdrhistogram::Histogram;
use hdrhistogram::serialization::Deserializer;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Error for an answer whose histograms cannot be decoded or merged.
#[derive(Debug, thiserror::Error)]
#[error("a host's histograms cannot be read")]
pub(crate) struct LatencyError;

#[derive(Deserialize)]
struct Series {
    account: String,
    band: String,
    span: String,
    histogram: String,
}

/// Percentiles of one account, length band and measured span of time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct Row {
    pub(crate) account: String,
    pub(crate) band: String,
    pub(crate) span: String,
    pub(crate) count: u64,
    pub(crate) p50_ms: u64,
    pub(crate) p95_ms: u64,
    pub(crate) p99_ms: u64,
    pub(crate) max_ms: u64,
}

/// Merges the hosts' histograms by account, length band and span.
pub(crate) fn merge(answers: &[Value]) -> Result<Vec<Row>, LatencyError> {
    let mut merged: BTreeMap<(String, String, String), Histogram<u64>> = BTreeMap::new();
    for answer in answers {
        let series: Vec<Series> =
            serde_json::from_value(answer.clone()).map_err(|_| LatencyError)?;
        for one in series {
            let histogram = read_histogram(&one.histogram)?;
            match merged.entry((one.account, one.band, one.span)) {
                std::collections::btree_map::Entry::Vacant(vacant) => {
                    vacant.insert(histogram);
                }
                std::collections::btree_map::Entry::Occupied(mut existing) => {
                    existing.get_mut().add(&histogram).map_err(|_| LatencyError)?;
                }
            }
        }
    }
    Ok(merged
        .into_iter()
        .map(|((account, band, span), histogram)| to_row(account, band, span, &histogram))
        .collect())
}

fn read_histogram(text: &str) -> Result<Histogram<u64>, LatencyError> {
    let bytes = STANDARD.decode(text).map_err(|_| LatencyError)?;
    Deserializer::new().deserialize(&mut bytes.as_slice()).map_err(|_| LatencyError)
}

fn to_row(account: String, band: String, span: String, histogram: &Histogram<u64>) -> Row {
    Row {
        account,
        band,
        span,
        count: histogram.len(),
        p50_ms: histogram.value_at_quantile(0.5),
        p95_ms: histogram.value_at_quantile(0.95),
        p99_ms: histogram.value_at_quantile(0.99),
        max_ms: histogram.max(),
    }
}
