//! Synthetic workloads of the two partners; a seed determines all arrivals.

use clayplank_schedule::{PolicyBuilder, ReservationRequest};
use clayplank_types::{AccountId, Partner, Priority};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

/// Maximum length of short prompts; runs without long work leave out longer ones.
pub(crate) const SHORT_WORK_TOKENS: u64 = 8_192;

const ACCOUNTS: usize = 10;

/// Relative request rate of each account.
const ACCOUNT_RATES: [f64; ACCOUNTS] = [30.0, 20.0, 15.0, 8.0, 7.0, 6.0, 5.0, 4.0, 3.0, 2.0];
/// Weight of each account in fair sharing.
const ACCOUNT_SHARES: [u64; ACCOUNTS] = [200, 200, 150, 100, 100, 50, 50, 50, 50, 50];

/// Probability that a prompt starts with the common prefix of its account.
const COMMON_PREFIX_PROBABILITY: f64 = 0.8;

/// Time that the simulated engine needs to prefill a token, from which the load is computed.
const PREFILL_MS_PER_TOKEN: f64 = 0.062;

/// Approximate time that it needs to generate a token, likewise.
const DECODE_MS_PER_TOKEN: f64 = 1.0;

/// Partner whose workload is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Mix {
    Dala,
    Rotafold,
    /// Only the two kinds of short prompts of [`DALA`], as on the day of a race.
    RaceDay,
}

/// One kind of request: its relative rate, ranges of its lengths, deadline and priority.
struct Kind {
    weight: f64,
    prompt_tokens: (u64, u64),
    output_tokens: (u64, u64),
    deadline_ms: u64,
    priority: Priority,
}

const fn kind(
    weight: f64,
    prompt_tokens: (u64, u64),
    output_tokens: (u64, u64),
    deadline_ms: u64,
    priority: Priority,
) -> Kind {
    Kind { weight, prompt_tokens, output_tokens, deadline_ms, priority }
}

/// Short posts, race standings, analyses, season summaries.
const DALA: [Kind; 4] = [
    kind(70.0, (1_000, 2_000), (16, 32), 10_000, Priority::High),
    kind(24.0, (2_000, 8_000), (64, 200), 30_000, Priority::Normal),
    kind(4.0, (8_000, 60_000), (200, 400), 120_000, Priority::Low),
    kind(2.0, (100_000, 1_000_000), (300, 800), 300_000, Priority::Low),
];

/// Requests from phones, new drafts of a weekly rota, rebalancing of a branch, quarterly reviews.
const ROTAFOLD: [Kind; 4] = [
    kind(60.0, (1_000, 1_500), (16, 48), 10_000, Priority::High),
    kind(30.0, (4_000, 16_000), (200, 400), 60_000, Priority::Normal),
    kind(8.0, (30_000, 120_000), (300, 600), 180_000, Priority::Normal),
    kind(2.0, (100_000, 1_000_000), (300, 800), 300_000, Priority::Low),
];

/// One request of the workload.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) at_ms: u64,
    pub(crate) account: usize,
    pub(crate) prompt_tokens: u64,
    pub(crate) output_tokens: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) priority: Priority,
    pub(crate) prefix_hashes: Vec<u64>,
}

impl Arrival {
    /// Copies the properties that the scheduler may know into its request.
    pub(crate) fn fill(&self, request: &mut ReservationRequest) {
        request.weight = ACCOUNT_SHARES[self.account];
        request.priority = self.priority;
        // Callers give an upper bound, which most answers stay below.
        request.max_output_tokens = self.output_tokens * 5 / 4;
        request.prefix_hashes = self.prefix_hashes.clone();
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }

    fn cost_ms(&self) -> f64 {
        self.prompt_tokens as f64 * PREFILL_MS_PER_TOKEN
            + self.output_tokens as f64 * DECODE_MS_PER_TOKEN
    }
}

impl Mix {
    /// The workloads with both short and long prompts.
    pub(crate) const BOTH: [Self; 2] = [Self::Dala, Self::Rotafold];

    fn kinds(self) -> &'static [Kind] {
        match self {
            Self::Dala => &DALA,
            Self::RaceDay => &DALA[..2],
            Self::Rotafold => &ROTAFOLD,
        }
    }

    pub(crate) fn account_id(self, account: usize) -> AccountId {
        let partner = match self {
            Self::Dala | Self::RaceDay => "dala",
            Self::Rotafold => "rotafold",
        };
        AccountId::new(Partner::new(partner), format!("account-{account}"))
    }

    /// Poisson arrivals over `length_ms` that use `load` of the capacity of `engines`.
    pub(crate) fn generate(
        self,
        seed: u64,
        load: f64,
        engines: usize,
        length_ms: u64,
    ) -> Vec<Arrival> {
        let mut rng = SmallRng::seed_from_u64(seed ^ (self as u64) << 32);
        let sample: Vec<_> = (0..20_000).map(|_| self.sample_arrival(&mut rng, 0)).collect();
        let mean_cost_ms = sample.iter().map(Arrival::cost_ms).sum::<f64>() / sample.len() as f64;
        let mean_gap_ms = mean_cost_ms / (load * engines as f64);
        let mut arrivals = Vec::new();
        let mut at_ms = 0.0;
        loop {
            at_ms += -mean_gap_ms * (1.0 - rng.random::<f64>()).ln();
            if at_ms >= length_ms as f64 {
                return arrivals;
            }
            arrivals.push(self.sample_arrival(&mut rng, at_ms as u64));
        }
    }

    fn sample_arrival(self, rng: &mut SmallRng, at_ms: u64) -> Arrival {
        let account = sample_weighted(rng, &ACCOUNT_RATES);
        let weights: Vec<f64> = self.kinds().iter().map(|kind| kind.weight).collect();
        let kind = &self.kinds()[sample_weighted(rng, &weights)];
        let prompt_tokens = sample_tokens(rng, kind.prompt_tokens);
        let is_common = rng.random::<f64>() < COMMON_PREFIX_PROBABILITY;
        let common = is_common.then(|| common_prefix(account, prompt_tokens));
        Arrival {
            at_ms,
            account,
            prompt_tokens,
            output_tokens: rng.random_range(kind.output_tokens.0..=kind.output_tokens.1),
            deadline_ms: kind.deadline_ms,
            priority: kind.priority,
            prefix_hashes: common.unwrap_or_default(),
        }
    }
}

/// Prefix hashes of the text that the account's prompts share: one block, or two for longer prompts.
fn common_prefix(account: usize, prompt_tokens: u64) -> Vec<u64> {
    let blocks = if prompt_tokens > 4_096 { 2 } else { 1 };
    (0..blocks).map(|block| (account as u64 + 1) << 8 | block).collect()
}

fn sample_weighted(rng: &mut SmallRng, weights: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * weights.iter().sum::<f64>();
    for (position, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return position;
        }
    }
    weights.len() - 1
}

/// Exponent of the bounded Pareto distribution of lengths: most lie near the lower bound.
const LENGTH_EXPONENT: f64 = 1.2;

fn sample_tokens(rng: &mut SmallRng, (low, high): (u64, u64)) -> u64 {
    let ratio = (low as f64 / high as f64).powf(LENGTH_EXPONENT);
    let rest = 1.0 - rng.random::<f64>() * (1.0 - ratio);
    (low as f64 * rest.powf(-1.0 / LENGTH_EXPONENT)) as u64
}

/// Fair-share weight of each account.
pub(crate) fn shares() -> [u64; ACCOUNTS] {
    ACCOUNT_SHARES
}

/// Policy that all runs start from. Its initial rates are off by about half, so that a run includes the
/// scheduler's learning of the true ones.
pub(crate) fn base_policy(builder: PolicyBuilder) -> PolicyBuilder {
    builder.initial_rates(0.1, 50.0)
}
