//! Cost of a part of a prompt on an engine that may serve it.

use clayplank_types::UpstreamId;

use crate::engine::Engine;
use crate::job::PrefillWork;
use crate::losses::{Exposure, delay_harm, pause_harm};
use crate::open_engine::OpenEngine;
use crate::request::PlacementRequest;

/// Loss for an engine in another data centre, since traffic between data centres has a cost.
const REMOTE_LOSS: f64 = 0.004;

/// Loss, as a share of the weight, for an engine that failed recently. It still serves if no other
/// engine can.
const AVOID_LOSS: f64 = 3.0;

/// Loss, as a share of the weight, for an engine without recent heartbeats or answers. It may have
/// failed, or may only be unable to reach the keepers.
const DOUBTFUL_LOSS: f64 = 0.2;

/// Loss, as a share of the weight, of a prompt whose engine fails it: the prompt is sent again and
/// is mostly late. It is multiplied by the share of requests that the engine fails. Failures in a
/// row say little about an engine: one that loses two answers of five serves another one between
/// two losses.
const FAILURE_LOSS: f64 = 0.75;

/// An engine as a candidate for one part of a prompt.
pub(crate) struct Candidate<'a> {
    pub(crate) id: &'a UpstreamId,
    pub(crate) engine: &'a Engine,
    /// Cost of prefilling the part on this engine.
    pub(crate) harm: f64,
    /// Expected loss of the stream if it is decoded on this engine.
    pub(crate) exposure: f64,
    /// Expected loss of the prompt because the engine fails some of its requests. It applies to the
    /// primary engine only: applied to helpers, it would keep long prompts off engines that lost a
    /// single answer.
    pub(crate) risk: f64,
    /// Time until the part is prefilled, in ms from now.
    pub(crate) prefilled_in_ms: f64,
    pub(crate) has_slot: bool,
    pub(crate) memory_free: u64,
}

impl Candidate<'_> {
    /// Upper bound of helper parts that the engine accepts at once, equal to its number of slots.
    pub(crate) fn max_helper_parts(&self) -> usize {
        self.engine.spec.model.slots as usize
    }

    /// Memory that may be committed to a request, in tokens.
    pub(crate) fn memory_usable(&self) -> u64 {
        self.memory_free.saturating_sub(self.engine.memory_margin())
    }

    /// Whether memory may be reserved here for a prompt of another engine. A reservation needs
    /// continuous renewal requests, which an engine with a declared limit is spared.
    pub(crate) fn may_reserve(&self) -> bool {
        !self.engine.rate_limit.has_declared_limit()
    }

    pub(crate) fn fits(&self, request: &PlacementRequest) -> bool {
        self.memory_usable() >= request.memory_tokens()
    }
}

/// Computes the cost of one of `parts` parts of a prompt on an engine.
pub(crate) fn assess<'a>(
    exposure: Exposure,
    open: &OpenEngine<'a>,
    now_ms: f64,
    request: &PlacementRequest,
    parts: usize,
) -> Candidate<'a> {
    let (id, engine) = (open.id, open.engine);
    let prefill_ms = engine.spec.model.part_prefill_ms(request.prompt_tokens, parts)
        * engine.health.slowness(now_ms);
    let part = PrefillWork { tokens: request.prompt_tokens as f64 / parts as f64, prefill_ms };
    let queue = engine.queued_before(parts > 1).plus(part);
    Candidate {
        id,
        engine,
        harm: prefill_harm(open, now_ms, request, part, parts > 1),
        exposure: exposure.loss(engine, request),
        risk: FAILURE_LOSS * engine.health.failed_share(now_ms) * request.weight(),
        prefilled_in_ms: if parts > 1 {
            engine.time_to_prefill_ms(queue)
        } else {
            engine.time_to_prefill_next_ms(queue)
        },
        has_slot: open.has_slot(),
        memory_free: engine.memory_free(),
    }
}

/// Cost of prefilling a part: harm to other requests, penalties for an unreliable or remote engine,
/// and noise.
fn prefill_harm(
    open: &OpenEngine<'_>,
    now_ms: f64,
    request: &PlacementRequest,
    part: PrefillWork,
    is_split: bool,
) -> f64 {
    let engine = open.engine;
    let mut harm = pause_harm(engine, part) + open.noise;
    if is_split {
        harm += delay_harm(engine, now_ms, part.prefill_ms);
    }
    if engine.is_doubtful(now_ms) {
        harm += DOUBTFUL_LOSS * request.weight();
    }
    if engine.health.is_avoided(now_ms) {
        harm += AVOID_LOSS * request.weight();
    }
    if engine.spec.data_centre != request.data_centre {
        harm += REMOTE_LOSS;
    }
    harm
}
