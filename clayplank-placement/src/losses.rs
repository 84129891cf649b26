//! What requests lose: a prompt by its own wait, and others by what it does to them.

use crate::candidate::OpenEngine;
use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::job::{JobKind, PrefillWork};
use crate::request::Ask;

/// What a late answer loses of its weight. Most callers still take it, for about a quarter.
pub(crate) const LATE_LOSS: f64 = 0.75;

/// Up to this share of its goal, an expected first token is safely in time.
const SAFE_SHARE: f64 = 0.55;

/// An expected pause up to this share of its goal is safely in time.
const SAFE_PAUSE_SHARE: f64 = 0.95;

/// Loss, as a share of the weight, for each goal of waiting: prefers the quicker of two good ways.
const WAIT_LOSS: f64 = 0.02;

/// Waiting beyond this many goals loses nothing more.
const MAX_WAIT_GOALS: f64 = 10.0;

/// What a stream among no others of its kind loses, as a share of its weight, where
/// the whole fleet reads split prompts: the next one pauses it. Among others that a
/// pause would harm too, it is spared with them.
const EXPOSURE_LOSS: f64 = 0.5;

/// Parts of split prompts that an engine may be given while one stream is written, for each that is read
/// at a time: streams last for about two of them.
const PARTS_PER_STREAM: f64 = 2.0;

/// What a delay of others counts, as a multiple of what they lose by it: prompts that come
/// later will delay them as well.
const PREEMPTED_FACTOR: f64 = 1.5;

/// What streams on the engine lose by the pause while it reads.
pub(crate) fn pause_harm(engine: &Engine, part: PrefillWork) -> f64 {
    let queued = engine.queued();
    let pass_ms = engine.pass_ms();
    let pause_ms = |work: PrefillWork| {
        let share = engine.spec.model.pass_read_tokens() as f64 / work.tokens.max(1.0);
        pass_ms + work.prefill_ms * share.min(1.0)
    };
    let (before_ms, after_ms) = (pause_ms(queued), pause_ms(queued.plus(part)));
    let streams = engine.jobs.iter().filter(|job| job.kind == JobKind::Primary);
    let harmed = streams.filter(|job| {
        let safe_ms = job.pause_goal_ms * SAFE_PAUSE_SHARE;
        before_ms <= safe_ms && after_ms > safe_ms
    });
    harmed.map(|job| job.weight * LATE_LOSS).sum()
}

/// What prompts that wait on the engine lose: a part of a split prompt is read before them,
/// parts of earlier split prompts among them. What each of its parts loses on several engines
/// is added up, though the prompt is late only once: prompts that share few engines with
/// others hold each other up less.
pub(crate) fn delay_harm(engine: &Engine, now_ms: f64, prefill_ms: f64) -> f64 {
    let mut queue = PrefillWork::default();
    let mut harm = 0.0;
    for job in engine.in_prefill_order() {
        queue = queue.plus(job.queued());
        let goals_at = |at_ms: f64| 1.0 + (at_ms - job.first_token_due_ms) / job.goal_ms.max(1.0);
        let prefilled_at_ms = now_ms + engine.time_to_prefill_ms(queue);
        let loss = late_loss(goals_at(prefilled_at_ms + prefill_ms))
            - late_loss(goals_at(prefilled_at_ms));
        harm += PREEMPTED_FACTOR * job.weight * loss;
    }
    harm
}

/// What a first token after so many goals loses of its weight.
fn late_loss(goals: f64) -> f64 {
    let late = ((goals - SAFE_SHARE) / (1.0 - SAFE_SHARE)).clamp(0.0, 1.0) * LATE_LOSS;
    late + WAIT_LOSS * goals.clamp(0.0, MAX_WAIT_GOALS)
}

/// What a stream of weight 1 risks where it is written alone; worked out once for a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exposure(f64);

impl Exposure {
    /// Split prompts go to engines on which nothing is written, as long as there are enough: streams are
    /// at risk as far as these are scarce. Where they abound, a short prompt that is sent to an engine
    /// with streams, to spare one without, only waits for their pass.
    pub(crate) fn of(fleet: &Fleet, open: &[OpenEngine<'_>], now_ms: f64) -> Self {
        let split_load = fleet.split_load(now_ms);
        let prefilled_parts = PARTS_PER_STREAM * split_load * open.len() as f64;
        let idle = open.iter().filter(|one| one.engine.primaries() == 0).count();
        let scarcity = (prefilled_parts / idle.max(1) as f64).min(1.0);
        Self(EXPOSURE_LOSS * split_load * scarcity)
    }

    /// What a stream risks on an engine where few others keep split prompts away.
    pub(crate) fn loss(self, engine: &Engine, request: &Ask) -> f64 {
        let streams = engine.jobs.iter().filter(|job| job.kind == JobKind::Primary);
        let at_least_as_strict = streams.filter(|job| job.pause_goal_ms <= request.pause_goal_ms);
        let shielding_weight: f64 = at_least_as_strict.map(|job| job.weight).sum();
        self.0 * request.weight() / (1.0 + shielding_weight)
    }
}

/// What the prompt itself loses by a first token after this time.
pub(crate) fn prompt_loss(request: &Ask, first_token_ms: f64) -> f64 {
    let goals = first_token_ms / request.goal_ms.max(1.0);
    let very_late =
        ((first_token_ms - request.goal_ms) / request.limit_ms.max(1.0)).clamp(0.0, 1.0);
    request.weight() * (late_loss(goals) + very_late * (1.0 - LATE_LOSS))
}
