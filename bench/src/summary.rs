//! Statistics of one run of the policy experiment.

use clayplank_types::LengthBands;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::mix::{Arrival, shares};
use crate::replay::RequestOutcome;

/// Upper bound of recorded times: one hour.
const MAX_MS: u64 = 3_600_000;

/// Statistics of the prompts in one length band.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Band {
    pub(crate) band: String,
    pub(crate) arrived: u64,
    pub(crate) first_token_p50_ms: u64,
    pub(crate) first_token_p95_ms: u64,
    pub(crate) first_token_p99_ms: u64,
    pub(crate) refused: u64,
    pub(crate) failed: u64,
    pub(crate) late: u64,
}

/// Statistics of all requests of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Summary {
    pub(crate) bands: Vec<Band>,
    /// Share of the admitted requests that completed within their deadline.
    pub(crate) in_time: f64,
    pub(crate) refused: u64,
    /// 99th percentile of the time that refused requests waited for the refusal.
    pub(crate) refused_after_p99_ms: u64,
    /// Prompt and output tokens per second of requests that completed in time.
    pub(crate) goodput: f64,
    /// Goodput of prompts over 8,192 tokens alone.
    pub(crate) long_goodput: f64,
    /// Smallest ratio, over the accounts, of tokens served to the account's max-min fair share.
    pub(crate) fairness: f64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MS, 3).expect("the bounds of the histogram fit")
}

/// Whether a request completed within its deadline.
pub(crate) fn is_in_time(arrival: &Arrival, outcome: &RequestOutcome) -> bool {
    outcome.ended_ms.is_some_and(|ended_ms| ended_ms <= arrival.at_ms + arrival.deadline_ms)
}

/// Computes the statistics of a run whose arrivals span `length_ms`.
pub(crate) fn summarise(
    arrivals: &[Arrival],
    outcomes: &[RequestOutcome],
    length_ms: u64,
) -> Summary {
    let bands = LengthBands::default();
    let pairs: Vec<_> = arrivals.iter().zip(outcomes).collect();
    let mut rows = Vec::new();
    for index in 0..bands.count() {
        let inside: Vec<_> = pairs
            .iter()
            .filter(|(arrival, _)| bands.index_of(arrival.prompt_tokens) == index)
            .copied()
            .collect();
        if !inside.is_empty() {
            rows.push(summarise_band(bands.name(index), &inside));
        }
    }
    let refused = pairs.iter().filter(|(_, outcome)| outcome.refused_ms.is_some()).count() as u64;
    let in_time =
        pairs.iter().filter(|(arrival, outcome)| is_in_time(arrival, outcome)).count() as u64;
    let mut refused_after = histogram();
    for (arrival, outcome) in &pairs {
        if let Some(refused_ms) = outcome.refused_ms {
            refused_after.saturating_record(refused_ms - arrival.at_ms);
        }
    }
    let tokens = |is_counted: &dyn Fn(&Arrival) -> bool| -> f64 {
        let counted = pairs
            .iter()
            .filter(|(arrival, outcome)| is_counted(arrival) && is_in_time(arrival, outcome));
        counted.map(|(arrival, _)| arrival.tokens()).sum::<u64>() as f64 * 1_000.0
            / length_ms as f64
    };
    Summary {
        bands: rows,
        in_time: in_time as f64 / (pairs.len() as u64 - refused).max(1) as f64,
        refused,
        refused_after_p99_ms: refused_after.value_at_quantile(0.99),
        goodput: tokens(&|_| true),
        long_goodput: tokens(&|arrival| arrival.prompt_tokens > crate::mix::SHORT_WORK_TOKENS),
        fairness: fairness(&pairs),
    }
}

fn summarise_band(band: String, inside: &[(&Arrival, &RequestOutcome)]) -> Band {
    let mut first_token = histogram();
    let mut row = Band {
        band,
        arrived: inside.len() as u64,
        first_token_p50_ms: 0,
        first_token_p95_ms: 0,
        first_token_p99_ms: 0,
        refused: 0,
        failed: 0,
        late: 0,
    };
    for (arrival, outcome) in inside {
        if let Some(first_ms) = outcome.first_token_ms {
            first_token.saturating_record(first_ms - arrival.at_ms);
        }
        row.refused += u64::from(outcome.refused_ms.is_some());
        row.failed += u64::from(outcome.failed_ms.is_some());
        row.late += u64::from(outcome.ended_ms.is_some() && !is_in_time(arrival, outcome));
    }
    row.first_token_p50_ms = first_token.value_at_quantile(0.5);
    row.first_token_p95_ms = first_token.value_at_quantile(0.95);
    row.first_token_p99_ms = first_token.value_at_quantile(0.99);
    row
}

/// Smallest ratio of an account's served tokens to its max-min fair share of all served tokens.
fn fairness(pairs: &[(&Arrival, &RequestOutcome)]) -> f64 {
    let weights = shares();
    let mut requested = vec![0.0; weights.len()];
    let mut served = vec![0.0; weights.len()];
    for (arrival, outcome) in pairs {
        requested[arrival.account] += arrival.tokens() as f64;
        if is_in_time(arrival, outcome) {
            served[arrival.account] += arrival.tokens() as f64;
        }
    }
    let fair = fair_shares(&requested, served.iter().sum());
    let ratios = served
        .iter()
        .zip(&fair)
        .filter(|(_, fair)| **fair > 0.0)
        .map(|(served, fair)| served / fair);
    ratios.fold(f64::INFINITY, f64::min)
}

/// Max-min fair division of a total by weight: no account gets more than it requested.
fn fair_shares(requested: &[f64], total: f64) -> Vec<f64> {
    let weights = shares();
    let mut allotted = vec![0.0; requested.len()];
    let mut unsatisfied: Vec<usize> = (0..requested.len()).collect();
    let mut left = total;
    while !unsatisfied.is_empty() {
        let weight: f64 = unsatisfied.iter().map(|&account| weights[account] as f64).sum();
        let level = left / weight;
        let is_satisfied =
            |account: &usize| requested[*account] <= level * weights[*account] as f64;
        let (satisfied, rest): (Vec<usize>, Vec<usize>) =
            unsatisfied.iter().partition(|account| is_satisfied(account));
        if satisfied.is_empty() {
            rest.iter().for_each(|&account| allotted[account] = level * weights[account] as f64);
            break;
        }
        for account in satisfied {
            allotted[account] = requested[account];
            left -= requested[account];
        }
        unsatisfied = rest;
    }
    allotted
}
