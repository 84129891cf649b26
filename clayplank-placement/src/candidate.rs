//! Engines that may take a part of a prompt, and what that costs at each.

use clayplank_types::UpstreamId;

use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::job::PrefillWork;
use crate::losses::{Exposure, delay_harm, pause_harm};
use crate::request::Ask;

/// Loss for an engine in another data centre: bytes between them cost.
const REMOTE_LOSS: f64 = 0.004;

/// Loss for an engine that failed lately; it still serves if nothing else can.
const AVOID_LOSS: f64 = 3.0;

/// Loss for an engine of which nothing was heard lately, as a share of the weight: it may
/// be down, or only unable to reach the keepers.
const DOUBT_LOSS: f64 = 0.2;

/// What a prompt loses where its engine fails it, as a share of its weight: it is sent once more,
/// and mostly late. Counted by the share of its requests that the engine fails: an engine that loses
/// two answers of five serves one between two losses, so that failures in a row alone say little of
/// it.
const FAILURE_LOSS: f64 = 0.75;

/// An engine that takes new work.
pub(crate) struct OpenEngine<'a> {
    pub(crate) id: &'a UpstreamId,
    pub(crate) engine: &'a Engine,
    /// What chance adds to its cost.
    pub(crate) noise: f64,
    /// Whether it takes a request now, and not only parts of prompts: its limit, if it named one, is not
    /// used up.
    pub(crate) has_permit: bool,
}

impl OpenEngine<'_> {
    /// Whether it can write one more answer.
    pub(crate) fn has_slot(&self) -> bool {
        self.has_permit && self.engine.primaries() < self.engine.spec.model.slots as usize
    }
}

/// Engines that take the prompt, each with what chance adds to its cost. One that cannot be
/// reached is none of them, so that it stands in no count of places either.
pub(crate) fn open_engines<'a>(
    fleet: &'a Fleet,
    now_ms: f64,
    request: &Ask,
) -> Vec<OpenEngine<'a>> {
    usable_engines(fleet, request)
        .filter(|(id, engine)| engine.rate_limit.work_wait_ms(now_ms, id, &fleet.sender) == 0.0)
        .map(|(id, engine)| OpenEngine {
            id,
            engine,
            noise: fleet.draw_noise() * request.weight(),
            has_permit: engine.rate_limit.wait_ms(now_ms, id, &fleet.sender) == 0.0,
        })
        .collect()
}

/// Engines that may take the prompt, now or once they take another request.
fn usable_engines<'a>(
    fleet: &'a Fleet,
    request: &Ask,
) -> impl Iterator<Item = (&'a UpstreamId, &'a Engine)> {
    fleet.engines.iter().filter(|(id, engine)| {
        let is_usable = engine.takes_work() && !engine.reachability.is_unreachable();
        is_usable && engine.spec.pool == request.pool && !request.avoid.contains(id)
    })
}

/// When the first of the engines that take only so many takes another request, in ms from now; `None` if
/// there is none.
pub(crate) fn earliest_permit_ms(fleet: &Fleet, now_ms: f64, request: &Ask) -> Option<f64> {
    let waits = usable_engines(fleet, request)
        .map(|(id, engine)| engine.rate_limit.wait_ms(now_ms, id, &fleet.sender));
    waits.filter(|wait_ms| *wait_ms > 0.0).min_by(f64::total_cmp)
}

/// One engine as a candidate for a part of a prompt.
pub(crate) struct Candidate<'a> {
    pub(crate) id: &'a UpstreamId,
    pub(crate) engine: &'a Engine,
    /// What it costs to read a part here.
    pub(crate) harm: f64,
    /// What it risks to write the answer here.
    pub(crate) exposure: f64,
    /// What the prompt loses, as far as can be told, because the engine fails requests that it is
    /// sent. Engines that only help to read are not judged by it: long prompts would be kept off
    /// engines that lost one answer.
    pub(crate) risk: f64,
    /// When the part is read, from now.
    pub(crate) prefilled_in_ms: f64,
    pub(crate) has_slot: bool,
    pub(crate) memory_free: u64,
}

impl Candidate<'_> {
    /// Helpers' parts that the engine takes at once: as many as it has slots.
    pub(crate) fn max_helper_parts(&self) -> usize {
        self.engine.spec.model.slots as usize
    }

    /// Memory that may be promised, in tokens.
    pub(crate) fn memory_usable(&self) -> u64 {
        self.memory_free.saturating_sub(self.engine.memory_margin())
    }

    /// Whether memory may be set aside here for another engine's prompt: it is renewed all the time, and an
    /// engine that names a limit is spared that.
    pub(crate) fn may_reserve(&self) -> bool {
        !self.engine.rate_limit.has_declared_limit()
    }

    pub(crate) fn fits(&self, request: &Ask) -> bool {
        self.memory_usable() >= request.memory_tokens()
    }
}

/// What a part of a prompt costs at an engine, if it has so many parts.
pub(crate) fn assess<'a>(
    exposure: Exposure,
    open: &OpenEngine<'a>,
    now_ms: f64,
    request: &Ask,
    parts: usize,
) -> Candidate<'a> {
    let (id, engine) = (open.id, open.engine);
    let prefill_ms = engine.spec.model.part_read_ms(request.prompt_tokens, parts)
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

/// What reading a part costs: harm to others, doubts of the engine, and chance.
fn prefill_harm(
    open: &OpenEngine<'_>,
    now_ms: f64,
    request: &Ask,
    part: PrefillWork,
    is_split: bool,
) -> f64 {
    let engine = open.engine;
    let mut harm = pause_harm(engine, part) + open.noise;
    if is_split {
        harm += delay_harm(engine, now_ms, part.prefill_ms);
    }
    if engine.is_doubtful(now_ms) {
        harm += DOUBT_LOSS * request.weight();
    }
    if engine.health.is_avoided(now_ms) {
        harm += AVOID_LOSS * request.weight();
    }
    if engine.spec.data_centre != request.data_centre {
        harm += REMOTE_LOSS;
    }
    harm
}
