//! The prompts of the placement bench: their kinds, and how they are drawn.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Length of a run, in ms, and of a phase of the mix.
pub(crate) const RUN_MS: f64 = 34_000.0;
const PHASE_MS: f64 = 11_000.0;

/// Tokens of an event.
pub(crate) const EVENT_TOKENS: f64 = 46.0;

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

pub(crate) const KINDS: [Kind; 3] = [
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
];

/// One prompt, and what became of it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) kind: usize,
    pub(crate) arrives_ms: f64,
    pub(crate) tokens: f64,
    pub(crate) events: u32,
    pub(crate) retries: u32,
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
pub(crate) fn draw_requests(seed: u64, load: f64) -> Vec<Request> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    for (kind, facts) in KINDS.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let phase = (at_ms / PHASE_MS) as usize % 2;
            let per_ms = facts.per_s * facts.swing[phase] * load / 1e3;
            at_ms += -(1.0 - rng.random::<f64>()).ln() / per_ms;
            if at_ms > RUN_MS {
                break;
            }
            requests.push(draw_request(&mut rng, kind, at_ms));
        }
    }
    requests
}

fn draw_request(rng: &mut SmallRng, kind: usize, arrives_ms: f64) -> Request {
    let facts = &KINDS[kind];
    let scale = (facts.spread * draw_normal(rng) - facts.spread.powi(2) / 2.0).exp();
    let events = facts.mean_events * (0.6 * draw_normal(rng) - 0.18).exp();
    Request {
        kind,
        arrives_ms,
        tokens: (facts.mean_tokens * scale).clamp(200.0, facts.max_tokens),
        events: events.clamp(1.0, 2.5 * facts.mean_events) as u32,
        retries: 0,
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
