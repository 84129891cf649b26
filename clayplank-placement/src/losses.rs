//! Losses that a placement causes, to the prompt itself by its wait and to other requests on the
//! same engines.
//!
//! A loss is the expected utility that is lost, in the unit of [`PlacementRequest::weight`]: a request that is
//! not served at all loses its whole weight.

use crate::engine::Engine;
use crate::fleet_view::FleetView;
use crate::job::{JobKind, PrefillWork};
use crate::open_engine::OpenEngine;
use crate::request::PlacementRequest;

/// Share of its weight that a request loses by a late answer. Most callers still accept a late
/// answer, and value it at about a quarter.
pub(crate) const LATE_LOSS: f64 = 0.75;

/// An expected first token up to this share of its goal counts as safely in time.
const SAFE_SHARE: f64 = 0.55;

/// An expected pause up to this share of its goal counts as safely in time.
const SAFE_PAUSE_SHARE: f64 = 0.95;

/// Loss per goal of waiting time, as a share of the weight. It prefers the faster of two options
/// that are both in time.
const WAIT_LOSS: f64 = 0.02;

/// Waiting time, in goals, beyond which [`WAIT_LOSS`] no longer grows.
const MAX_WAIT_GOALS: f64 = 10.0;

/// Loss, as a share of its weight, of a stream that is decoded alone while the whole fleet prefills
/// split prompts: the next split prompt pauses it. Split prompts avoid engines where a pause would
/// harm several such streams.
const EXPOSURE_LOSS: f64 = 0.5;

/// Parts of split prompts that an engine may receive during one stream, for each part that is
/// prefilled at a time. A stream lasts for about two of them.
const PARTS_PER_STREAM: f64 = 2.0;

/// Factor on the loss of requests that are delayed, since later prompts will delay them further.
const PREEMPTED_FACTOR: f64 = 1.5;

/// Loss of the streams on an engine that are paused while it prefills a part.
pub(crate) fn pause_harm(engine: &Engine, part: PrefillWork) -> f64 {
    let queued = engine.queued();
    let pass_ms = engine.pass_ms();
    let pause_ms = |work: PrefillWork| {
        let share = engine.spec.model.pass_prefill_tokens() as f64 / work.tokens.max(1.0);
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

/// Loss of the prompts queued on an engine that a part of a split prompt overtakes, parts of
/// earlier split prompts included. The loss of a split prompt is added up over all its engines
/// although it is late only once, because prompts that share few engines delay each other less.
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

/// Loss, as a share of the weight, of a first token after this many goals.
fn late_loss(goals: f64) -> f64 {
    let late = ((goals - SAFE_SHARE) / (1.0 - SAFE_SHARE)).clamp(0.0, 1.0) * LATE_LOSS;
    late + WAIT_LOSS * goals.clamp(0.0, MAX_WAIT_GOALS)
}

/// Risk of a stream of weight 1 that is decoded alone on an engine, computed once per prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Exposure(f64);

impl Exposure {
    /// Computes the risk from the fleet's split load. Split prompts go to engines without streams
    /// while there are enough of them, so streams are at risk only as far as such engines are
    /// scarce. Where they are plentiful, sending a short prompt to an engine with streams in order
    /// to keep another one free only makes the prompt wait for a pass.
    pub(crate) fn of(fleet: FleetView<'_>, open: &[OpenEngine<'_>], now_ms: f64) -> Self {
        let split_load = fleet.split_load_share(now_ms);
        let prefilled_parts = PARTS_PER_STREAM * split_load * open.len() as f64;
        let idle = open.iter().filter(|one| one.engine.primaries() == 0).count();
        let scarcity = (prefilled_parts / idle.max(1) as f64).min(1.0);
        Self(EXPOSURE_LOSS * split_load * scarcity)
    }

    /// Risk of a stream on this engine. It falls with the weight of the streams there that tolerate
    /// pauses no better, since they keep split prompts away.
    pub(crate) fn loss(self, engine: &Engine, request: &PlacementRequest) -> f64 {
        let streams = engine.jobs.iter().filter(|job| job.kind == JobKind::Primary);
        let at_least_as_strict = streams.filter(|job| job.pause_goal_ms <= request.pause_goal_ms);
        let shielding_weight: f64 = at_least_as_strict.map(|job| job.weight).sum();
        self.0 * request.weight() / (1.0 + shielding_weight)
    }
}

/// Loss of the prompt itself if its first token arrives after this time.
pub(crate) fn prompt_loss(request: &PlacementRequest, first_token_ms: f64) -> f64 {
    let goals = first_token_ms / request.goal_ms.max(1.0);
    let very_late =
        ((first_token_ms - request.goal_ms) / request.limit_ms.max(1.0)).clamp(0.0, 1.0);
    request.weight() * (late_loss(goals) + very_late * (1.0 - LATE_LOSS))
}
