//! The prompts of the placement bench: their kinds, and how they are drawn.

use clayplank_placement::EngineModel;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Length of a run, in ms, and of a phase of the mix.
pub(crate) const RUN_MS: f64 = 34_000.0;
const PHASE_MS: f64 = 11_000.0;

/// One kind of prompt, with its worth as the users' sheet gives it.
pub(crate) struct Kind {
    pub(crate) name: &'static str,
    pub(crate) per_s: f64,
    /// Factors of the rate in the long phase and in the short one.
    pub(crate) swing: [f64; 2],
    pub(crate) mean_tokens: f64,
    pub(crate) spread: f64,
    pub(crate) max_tokens: f64,
    pub(crate) mean_events: f64,
    pub(crate) goal_ms: f64,
    pub(crate) pause_goal_ms: f64,
    pub(crate) limit_ms: f64,
    pub(crate) time_ms: f64,
    pub(crate) worth: f64,
    pub(crate) late_worth: f64,
}

/// Engines, and the prompts that come to them.
pub(crate) struct Mix {
    pub(crate) name: &'static str,
    pub(crate) engines: usize,
    /// The cost model of its engines.
    pub(crate) model: EngineModel,
    pub(crate) kinds: [Kind; 3],
}

impl Mix {
    /// Tokens of an event: one a step.
    pub(crate) fn event_tokens(&self) -> f64 {
        f64::from(self.model.steps_per_event)
    }
}

/// Few engines with many places, as the first partners run them.
pub(crate) const SMALL: Mix = Mix {
    name: "18 engines of 16 places",
    engines: 18,
    model: EngineModel::USUAL,
    kinds: [
        Kind {
            name: "short",
            per_s: 33.5,
            swing: [0.34, 2.45],
            mean_tokens: 4_960.0,
            spread: 0.9,
            max_tokens: 23_800.0,
            mean_events: 35.0,
            goal_ms: 300.0,
            pause_goal_ms: 200.0,
            limit_ms: 2_000.0,
            time_ms: 10_000.0,
            worth: 1.3,
            late_worth: 0.33,
        },
        Kind {
            name: "medium",
            per_s: 2.43,
            swing: [1.3, 0.5],
            mean_tokens: 45_000.0,
            spread: 0.5,
            max_tokens: 110_000.0,
            mean_events: 21.0,
            goal_ms: 1_500.0,
            pause_goal_ms: 500.0,
            limit_ms: 6_000.0,
            time_ms: 10_000.0,
            worth: 3.1,
            late_worth: 0.79,
        },
        Kind {
            name: "long",
            per_s: 1.01,
            swing: [2.8, 0.05],
            mean_tokens: 210_000.0,
            spread: 0.55,
            max_tokens: 1_000_000.0,
            mean_events: 17.0,
            goal_ms: 3_000.0,
            pause_goal_ms: 800.0,
            limit_ms: 12_000.0,
            time_ms: 15_000.0,
            worth: 22.0,
            late_worth: 5.4,
        },
    ],
};

/// Many engines with few places, longer prompts and longer events.
pub(crate) const LARGE: Mix = Mix {
    name: "150 engines of 10 places",
    engines: 150,
    model: EngineModel { slots: 10, steps_per_event: 73, ..EngineModel::USUAL },
    kinds: [
        Kind {
            name: "short",
            per_s: 217.0,
            swing: [0.35, 2.45],
            mean_tokens: 4_960.0,
            spread: 0.9,
            max_tokens: 23_800.0,
            mean_events: 24.3,
            goal_ms: 300.0,
            pause_goal_ms: 250.0,
            limit_ms: 2_000.0,
            time_ms: 10_000.0,
            worth: 1.4,
            late_worth: 0.34,
        },
        Kind {
            name: "medium",
            per_s: 23.2,
            swing: [1.3, 0.5],
            mean_tokens: 45_000.0,
            spread: 0.5,
            max_tokens: 110_000.0,
            mean_events: 14.6,
            goal_ms: 1_500.0,
            pause_goal_ms: 600.0,
            limit_ms: 6_000.0,
            time_ms: 10_000.0,
            worth: 2.3,
            late_worth: 0.58,
        },
        Kind {
            name: "long",
            per_s: 5.32,
            swing: [2.75, 0.05],
            mean_tokens: 300_000.0,
            spread: 0.55,
            max_tokens: 1_000_000.0,
            mean_events: 12.2,
            goal_ms: 4_000.0,
            pause_goal_ms: 1_000.0,
            limit_ms: 15_000.0,
            time_ms: 15_000.0,
            worth: 26.0,
            late_worth: 6.6,
        },
    ],
};

/// The same work on far more engines, most of which are idle.
pub(crate) const WIDE: Mix = Mix { name: "960 engines of 10 places", engines: 960, ..LARGE };

/// The same with so few places that they bind before the reading does.
pub(crate) const SIX_PLACES: Mix = Mix {
    name: "150 engines of 6 places",
    model: EngineModel { slots: 6, ..LARGE.model },
    ..LARGE
};

/// Engines that read more slowly and hold less, and more of the work in long prompts.
pub(crate) const SLOW_READERS: Mix = Mix {
    name: "60 engines that read slowly",
    engines: 60,
    model: EngineModel {
        slots: 12,
        memory_tokens: 344_250,
        steps_per_event: 38,
        step_ms: 1.31,
        per_sequence_ms: 0.000_917,
        context_per_1000_tokens_ms: 0.002_13,
        read_tokens_per_s: 154_000.0,
        per_million_pairs_ms: 0.162,
        chunk_tokens: 2_048,
        hop_ms: 0.1,
    },
    kinds: [
        Kind {
            name: "short",
            per_s: 71.2,
            swing: [0.36, 2.45],
            mean_tokens: 4_960.0,
            spread: 0.9,
            max_tokens: 23_800.0,
            mean_events: 35.7,
            goal_ms: 300.0,
            pause_goal_ms: 250.0,
            limit_ms: 2_000.0,
            time_ms: 10_000.0,
            worth: 1.3,
            late_worth: 0.34,
        },
        Kind {
            name: "medium",
            per_s: 8.67,
            swing: [1.3, 0.5],
            mean_tokens: 45_000.0,
            spread: 0.5,
            max_tokens: 110_000.0,
            mean_events: 21.4,
            goal_ms: 1_500.0,
            pause_goal_ms: 600.0,
            limit_ms: 6_000.0,
            time_ms: 10_000.0,
            worth: 3.3,
            late_worth: 0.82,
        },
        Kind {
            name: "long",
            per_s: 1.62,
            swing: [2.8, 0.05],
            mean_tokens: 260_000.0,
            spread: 0.55,
            max_tokens: 900_000.0,
            mean_events: 17.8,
            goal_ms: 4_000.0,
            pause_goal_ms: 1_000.0,
            limit_ms: 15_000.0,
            time_ms: 15_000.0,
            worth: 34.0,
            late_worth: 8.6,
        },
    ],
};

/// One prompt, and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    /// When its caller tried first.
    pub(crate) first_try_ms: f64,
    /// When it came the last time.
    pub(crate) arrives_ms: f64,
    pub(crate) tokens: f64,
    pub(crate) events: u32,
    pub(crate) retries: u32,
    /// How often it was refused.
    pub(crate) refusals: u32,
    /// How long it was held before it was refused for good.
    pub(crate) held_ms: f64,
    pub(crate) engine: usize,
    pub(crate) sent_ms: f64,
    pub(crate) parts_left: usize,
    pub(crate) events_left: u32,
    pub(crate) last_event_ms: Option<f64>,
    pub(crate) first_ms: Option<f64>,
    pub(crate) longest_pause_ms: f64,
    pub(crate) is_done: bool,
}

/// Draws the prompts of a run; `load` is a factor of all rates.
pub(crate) fn draw_requests(mix: &Mix, seed: u64, load: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (kind, facts) in mix.kinds.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let phase = (at_ms / PHASE_MS) as usize % 2;
            let per_ms = facts.per_s * facts.swing[phase] * load / 1e3;
            at_ms += -(1.0 - rng.random::<f64>()).ln() / per_ms;
            if at_ms > RUN_MS {
                break;
            }
            requests.push(draw_request(&mut rng, kind, facts, at_ms));
        }
    }
    requests
}

fn draw_request(rng: &mut SmallRng, kind: usize, facts: &Kind, arrives_ms: f64) -> Request {
    let scale = (facts.spread * draw_normal(rng) - facts.spread.powi(2) / 2.0).exp();
    let events = facts.mean_events * (0.6 * draw_normal(rng) - 0.18).exp();
    Request {
        kind,
        first_try_ms: arrives_ms,
        arrives_ms,
        tokens: (facts.mean_tokens * scale).clamp(200.0, facts.max_tokens),
        events: events.clamp(1.0, 2.5 * facts.mean_events) as u32,
        retries: 0,
        refusals: 0,
        held_ms: 0.0,
        engine: 0,
        sent_ms: 0.0,
        parts_left: 0,
        events_left: 0,
        last_event_ms: None,
        first_ms: None,
        longest_pause_ms: 0.0,
        is_done: false,
    }
}

/// A standard normal draw (Box and Muller, 1958).
fn draw_normal(rng: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}
