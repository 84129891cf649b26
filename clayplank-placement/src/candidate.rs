//! Engines that may take a part of a prompt, and what that costs at each.

use clayplank_types::UpstreamId;

use crate::ask::Ask;
use crate::costs::{Exposure, delay_harm, pause_harm};
use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::job::Queued;

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
pub(crate) struct Open<'a> {
    pub(crate) id: &'a UpstreamId,
    pub(crate) engine: &'a Engine,
    /// What chance adds to its cost.
    pub(crate) noise: f64,
    /// Whether it takes a request now, and not only parts of prompts: its limit, if it named one, is not
    /// used up.
    pub(crate) has_turn: bool,
}

impl Open<'_> {
    /// Whether it can write one more answer.
    pub(crate) fn has_slot(&self) -> bool {
        self.has_turn && self.engine.primaries() < self.engine.spec.model.slots as usize
    }
}

/// Engines that take the prompt, each with what chance adds to its cost. One that cannot be
/// reached is none of them, so that it stands in no count of places either.
pub(crate) fn open_engines<'a>(fleet: &'a Fleet, now_ms: f64, ask: &Ask) -> Vec<Open<'a>> {
    usable_engines(fleet, ask)
        .filter(|(id, engine)| engine.rate_limit.work_wait_ms(now_ms, id, &fleet.sender) == 0.0)
        .map(|(id, engine)| Open {
            id,
            engine,
            noise: fleet.draw_noise() * ask.weight(),
            has_turn: engine.rate_limit.wait_ms(now_ms, id, &fleet.sender) == 0.0,
        })
        .collect()
}

/// Engines that may take the prompt, now or once they take another request.
fn usable_engines<'a>(
    fleet: &'a Fleet,
    ask: &Ask,
) -> impl Iterator<Item = (&'a UpstreamId, &'a Engine)> {
    fleet.engines.iter().filter(|(id, engine)| {
        let is_usable = engine.takes_work() && !engine.reach.is_lost();
        is_usable && engine.spec.pool == ask.pool && !ask.avoid.contains(id)
    })
}

/// When the first of the engines that take only so many takes another request, in ms from now; `None` if
/// there is none.
pub(crate) fn limited_wait_ms(fleet: &Fleet, now_ms: f64, ask: &Ask) -> Option<f64> {
    let waits = usable_engines(fleet, ask)
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
    pub(crate) read_ms: f64,
    pub(crate) has_slot: bool,
    pub(crate) memory_free: u64,
}

impl Candidate<'_> {
    /// Helpers' parts that the engine takes at once: as many as it has slots.
    pub(crate) fn max_helped(&self) -> usize {
        self.engine.spec.model.slots as usize
    }

    /// Memory that may be promised, in tokens.
    pub(crate) fn memory_usable(&self) -> u64 {
        self.memory_free.saturating_sub(self.engine.memory_margin())
    }

    /// Whether memory may be set aside here for another engine's prompt: it is renewed all the time, and an
    /// engine that names a limit is spared that.
    pub(crate) fn may_hold(&self) -> bool {
        !self.engine.rate_limit.is_named()
    }

    pub(crate) fn fits(&self, ask: &Ask) -> bool {
        self.memory_usable() >= ask.memory_tokens()
    }
}

/// What a part of a prompt costs at an engine, if it has so many parts.
pub(crate) fn weigh<'a>(
    exposure: Exposure,
    open: &Open<'a>,
    now_ms: f64,
    ask: &Ask,
    parts: usize,
) -> Candidate<'a> {
    let (id, engine) = (open.id, open.engine);
    let read_ms =
        engine.spec.model.part_read_ms(ask.prompt_tokens, parts) * engine.health.slowness(now_ms);
    let part = Queued { tokens: ask.prompt_tokens as f64 / parts as f64, read_ms };
    let until_read = engine.queued_before(parts > 1).and(part);
    Candidate {
        id,
        engine,
        harm: read_harm(open, now_ms, ask, part, parts > 1),
        exposure: exposure.loss(engine, ask),
        risk: FAILURE_LOSS * engine.health.failed_share(now_ms) * ask.weight(),
        read_ms: if parts > 1 {
            engine.time_to_read_ms(until_read)
        } else {
            engine.time_to_read_one_more_ms(until_read)
        },
        has_slot: open.has_slot(),
        memory_free: engine.memory_free(),
    }
}

/// What reading a part costs: harm to others, doubts of the engine, and chance.
fn read_harm(open: &Open<'_>, now_ms: f64, ask: &Ask, part: Queued, is_split: bool) -> f64 {
    let engine = open.engine;
    let mut harm = pause_harm(engine, part) + open.noise;
    if is_split {
        harm += delay_harm(engine, now_ms, part.read_ms);
    }
    if engine.is_doubtful(now_ms) {
        harm += DOUBT_LOSS * ask.weight();
    }
    if engine.health.is_avoided(now_ms) {
        harm += AVOID_LOSS * ask.weight();
    }
    if engine.spec.data_centre != ask.data_centre {
        harm += REMOTE_LOSS;
    }
    harm
}
