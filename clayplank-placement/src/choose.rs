//! The decision: what a prompt gains by engines against what others lose.

use clayplank_types::UpstreamId;

use crate::ask::{Ask, Assignment, Part, Placed};
use crate::engine::{Engine, JobKind, Queued};
use crate::fleet::Fleet;

/// How many engines may read one prompt: the first and as many helpers as engines take.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 12, 14];

/// An engine takes 16 helpers at most.
const MAX_PARTS: usize = 17;

/// A part below this is not worth another engine, in tokens: each part costs a pass.
const MIN_PART_TOKENS: u64 = 12_000;

/// What a late answer loses of its weight. Most callers still take it, for about a quarter.
const LATE_LOSS: f64 = 0.75;

/// Up to this share of its goal, an expected first token is safely in time.
const SAFE_SHARE: f64 = 0.4;

/// An expected pause up to this share of its goal is safely in time.
const SAFE_PAUSE_SHARE: f64 = 0.95;

/// Loss, as a share of the weight, for each goal of waiting: prefers the quicker of two good ways.
const WAIT_LOSS: f64 = 0.02;

/// What a stream among no others of its kind loses, as a share of its weight, where
/// the whole fleet reads split prompts: the next one pauses it. Among others that a
/// pause would harm too, it is spared with them.
const EXPOSURE_LOSS: f64 = 0.5;

/// Loss for each further engine that reads, so that small gains take no more engines.
const PART_LOSS: f64 = 0.01;

/// Loss for an engine in another data centre: bytes between them cost.
const REMOTE_LOSS: f64 = 0.004;

/// Loss for an engine that failed lately; it still serves if nothing else can.
const AVOID_LOSS: f64 = 3.0;

/// Loss for an engine of which nothing was heard lately, as a share of the weight: it may
/// be down, or only unable to reach the keepers.
const DOUBT_LOSS: f64 = 0.2;

/// A prompt whose first token is expected after this many goals is refused once.
const REFUSE_GOALS: f64 = 1.15;

/// Bounds, in ms, of the time to come back: engines need some time to catch up, and
/// callers honour no more than a third of what they have left.
const RETRY_MIN_MS: f64 = 700.0;
const RETRY_MAX_MS: f64 = 5_000.0;

/// What a millisecond of an engine is worth, as a share of a short request's weight, when
/// all places are taken: 16 streams of about two seconds each run beside one another.
const PLACE_VALUE_PER_MS: f64 = 0.01;

/// The same when all engines have much to read: the weight of a prompt of usual length for
/// its kind, by the time that it takes to read it.
const READ_VALUE_PER_MS: f64 = 0.005;

/// Reads that wait on every engine, in ms, at which time counts in full: about half of the
/// goals of long prompts.
const FULL_QUEUE_MS: f64 = 1_500.0;

/// A prompt that comes back, and is still in time, counts this many times.
const RETURNING_LENIENCY: f64 = 2.0;

/// Places become scarce when less than this share of them is free.
const PRESSURE_FREE_SHARE: f64 = 0.25;

/// Memory left free on each engine, as a share: answers may be longer than expected.
const MEMORY_MARGIN: f64 = 0.04;

/// One engine as a candidate for a part of a prompt.
struct Candidate<'a> {
    id: &'a UpstreamId,
    engine: &'a Engine,
    /// What it costs to read a part here.
    harm: f64,
    /// What it risks to write the answer here.
    exposure: f64,
    /// When the part is read, from now.
    read_ms: f64,
    has_slot: bool,
    memory_free: u64,
}

/// Chooses engines for a prompt; changes nothing.
pub(crate) fn choose(fleet: &Fleet, now_ms: f64, ask: &Ask) -> Placed {
    let open = open_engines(fleet, ask);
    let mut best: Option<(f64, Assignment)> = None;
    for parts in part_counts(open.len()) {
        let is_worth = parts == 1 || ask.prompt_tokens / parts as u64 >= MIN_PART_TOKENS;
        if !is_worth {
            break;
        }
        let found = choose_parts(fleet, &open, now_ms, ask, parts);
        if let Some((loss, assignment)) = found
            && best.as_ref().is_none_or(|(best_loss, _)| loss < *best_loss)
        {
            best = Some((loss, assignment));
        }
    }
    match best {
        Some((_, assignment))
            if assignment.first_token_ms < longest_wait_ms(ask)
                && is_worth_its_time(&open, ask, &assignment) =>
        {
            Placed::At(assignment)
        }
        Some((_, assignment)) => Placed::Full { retry_after_ms: retry_after(&assignment, ask) },
        None => Placed::Full { retry_after_ms: expected_slot_ms(&open) },
    }
}

/// Counts of parts that are tried with so many engines, the most that are possible among them.
fn part_counts(engines: usize) -> impl Iterator<Item = usize> {
    let most = engines.min(MAX_PARTS);
    let fewer = PART_COUNTS.into_iter().take_while(move |&parts| parts < most);
    fewer.chain((most > 0).then_some(most))
}

/// Engines that take the prompt, each with what chance adds to its cost.
fn open_engines<'a>(fleet: &'a Fleet, ask: &Ask) -> Vec<Open<'a>> {
    let engines = fleet.engines.iter().filter(|(id, engine)| {
        engine.is_open && engine.spec.pool == ask.pool && !ask.avoid.contains(id)
    });
    engines
        .map(|(id, engine)| Open { id, engine, noise: fleet.draw_noise() * ask.weight() })
        .collect()
}

/// An engine that takes new work.
struct Open<'a> {
    id: &'a UpstreamId,
    engine: &'a Engine,
    noise: f64,
}

/// How late a first token may be expected. One that comes back in time is worth more
/// than one that is late now, and leaves the engines to those that are still in time.
fn longest_wait_ms(ask: &Ask) -> f64 {
    if ask.is_returning { ask.limit_ms } else { ask.limit_ms.min(ask.goal_ms * REFUSE_GOALS) }
}

/// Whether an answer is worth the engines' time that it takes from others. Reading a
/// prompt of twice the length takes up to four times as long, so the longest give way
/// first where time is scarce; one that comes back is let in sooner.
fn is_worth_its_time(open: &[Open<'_>], ask: &Ask, assignment: &Assignment) -> bool {
    let Some(first) = open.first() else {
        return true;
    };
    let is_late = assignment.first_token_ms > ask.goal_ms;
    let earned_share = if is_late { 1.0 - LATE_LOSS } else { 1.0 };
    let leniency = if ask.is_returning && !is_late { RETURNING_LENIENCY } else { 1.0 };
    let work_ms = first.engine.spec.model.part_read_ms(ask.prompt_tokens, 1);
    let price = (PLACE_VALUE_PER_MS * pressure(open)).max(READ_VALUE_PER_MS * read_pressure(open));
    ask.weight() * earned_share * leniency >= work_ms * price
}

/// How long reads wait: 1 when every engine has this much to read.
fn read_pressure(open: &[Open<'_>]) -> f64 {
    let queued_ms: f64 = open.iter().map(|one| one.engine.queued_before(false).read_ms).sum();
    (queued_ms / open.len().max(1) as f64 / FULL_QUEUE_MS).min(1.0)
}

/// How scarce places are: 0 while a quarter of them is free, 1 when none is.
fn pressure(open: &[Open<'_>]) -> f64 {
    let places: usize = open.iter().map(|one| one.engine.spec.model.slots as usize).sum();
    let taken: usize = open.iter().map(|one| one.engine.primaries()).sum();
    let free = 1.0 - taken as f64 / places.max(1) as f64;
    ((PRESSURE_FREE_SHARE - free) / PRESSURE_FREE_SHARE).clamp(0.0, 1.0)
}

/// A refusal that comes back when the wait has shrunk to what the prompt can bear.
fn retry_after(assignment: &Assignment, ask: &Ask) -> u64 {
    (assignment.first_token_ms - ask.goal_ms / 2.0).clamp(RETRY_MIN_MS, RETRY_MAX_MS) as u64
}

fn expected_slot_ms(open: &[Open<'_>]) -> u64 {
    /// A stream of usual length, as a share of which a slot comes free on a full engine.
    const USUAL_STREAM_MS: f64 = 1_600.0;
    let soonest = open.iter().map(|one| {
        let queued = one.engine.queued_before(false);
        let slots = f64::from(one.engine.spec.model.slots);
        one.engine.time_to_read_ms(queued) + USUAL_STREAM_MS / slots
    });
    soonest.fold(1_000.0, f64::min).max(50.0) as u64
}

/// The best way with a number of parts, and what it loses in all.
fn choose_parts(
    fleet: &Fleet,
    open: &[Open<'_>],
    now_ms: f64,
    ask: &Ask,
    parts: usize,
) -> Option<(f64, Assignment)> {
    let mut candidates: Vec<_> =
        open.iter().map(|one| weigh(fleet, one, now_ms, ask, parts)).collect();
    candidates.retain(|one| one.has_slot || one.engine.helped() < one.max_helped());
    let is_whole = parts == 1;
    let score = |one: &Candidate<'_>| {
        let exposure = if is_whole { one.exposure } else { 0.0 };
        one.harm + exposure + own_loss(ask, one.read_ms)
    };
    candidates.sort_by(|left, right| score(left).total_cmp(&score(right)));
    let first = candidates.iter().position(|one| one.has_slot && one.fits(ask));
    let first = match first {
        Some(first) => first,
        None => return choose_with_memory(candidates, ask, parts),
    };
    let primary = candidates.remove(first);
    let chosen: Vec<_> = candidates.into_iter().take(parts - 1).collect();
    let helpers = chosen.iter().map(|one| Part { engine: one.id.clone(), reserve_tokens: 0 });
    let helpers = helpers.collect();
    Some(assemble(ask, &primary, &chosen, helpers))
}

/// No single engine has the memory: helpers hold what does not fit at the first.
fn choose_with_memory(
    mut candidates: Vec<Candidate<'_>>,
    ask: &Ask,
    parts: usize,
) -> Option<(f64, Assignment)> {
    if parts < 2 {
        return None;
    }
    let first = candidates
        .iter()
        .enumerate()
        .filter(|(_, one)| one.has_slot)
        .max_by_key(|(_, one)| one.memory_free)
        .map(|(position, _)| position)?;
    let primary = candidates.remove(first);
    let spread = ask.memory_tokens().div_ceil(parts as u64);
    let own_tokens = spread.max(ask.output_tokens).min(primary.memory_usable());
    let mut missing = ask.memory_tokens().saturating_sub(own_tokens);
    // Most memory first among those that cost about the same.
    candidates.retain(|one| one.engine.helped() < one.max_helped());
    let mut chosen = Vec::new();
    let mut helpers = Vec::new();
    let share = missing.div_ceil(parts as u64 - 1);
    for candidate in candidates {
        if chosen.len() + 1 == parts {
            break;
        }
        let tokens = share.min(missing);
        if candidate.memory_usable() < tokens {
            continue;
        }
        missing -= tokens;
        helpers.push(Part { engine: candidate.id.clone(), reserve_tokens: tokens });
        chosen.push(candidate);
    }
    (missing == 0).then(|| assemble(ask, &primary, &chosen, helpers))
}

fn assemble(
    ask: &Ask,
    primary: &Candidate<'_>,
    chosen: &[Candidate<'_>],
    helpers: Vec<Part>,
) -> (f64, Assignment) {
    let read_ms = chosen.iter().fold(primary.read_ms, |longest, one| longest.max(one.read_ms));
    let first_token_ms = read_ms + primary.engine.pass_ms();
    let harm: f64 = primary.harm + chosen.iter().map(|one| one.harm).sum::<f64>();
    let loss =
        own_loss(ask, first_token_ms) + harm + primary.exposure + PART_LOSS * chosen.len() as f64;
    let assignment = Assignment { engine: primary.id.clone(), helpers, first_token_ms };
    (loss, assignment)
}

impl Candidate<'_> {
    fn max_helped(&self) -> usize {
        self.engine.spec.model.slots as usize
    }

    fn memory_usable(&self) -> u64 {
        let margin = (self.engine.spec.model.memory_tokens as f64 * MEMORY_MARGIN) as u64;
        self.memory_free.saturating_sub(margin)
    }

    fn fits(&self, ask: &Ask) -> bool {
        self.memory_usable() >= ask.memory_tokens()
    }
}

fn weigh<'a>(
    fleet: &Fleet,
    open: &Open<'a>,
    now_ms: f64,
    ask: &Ask,
    parts: usize,
) -> Candidate<'a> {
    let (id, engine) = (open.id, open.engine);
    let read_ms =
        engine.spec.model.part_read_ms(ask.prompt_tokens, parts) * engine.slowness(now_ms);
    let part = Queued { tokens: ask.prompt_tokens as f64 / parts as f64, read_ms };
    let before = engine.queued_before(parts > 1);
    let until_read =
        Queued { tokens: before.tokens + part.tokens, read_ms: before.read_ms + part.read_ms };
    let mut harm = pause_harm(engine, part) + open.noise;
    if parts > 1 {
        harm += delay_harm(engine, now_ms, read_ms);
    }
    if engine.is_doubtful(now_ms) {
        harm += DOUBT_LOSS * ask.weight();
    }
    if engine.is_avoided(now_ms) {
        harm += AVOID_LOSS * ask.weight();
    }
    if engine.spec.data_centre != ask.data_centre {
        harm += REMOTE_LOSS;
    }
    Candidate {
        id,
        engine,
        harm,
        exposure: exposure_loss(fleet, engine, now_ms, ask),
        read_ms: engine.time_to_read_ms(until_read),
        has_slot: engine.primaries() < engine.spec.model.slots as usize,
        memory_free: engine.memory_free(),
    }
}

/// What streams on the engine lose by the pause while it reads.
fn pause_harm(engine: &Engine, part: Queued) -> f64 {
    let queued = engine.queued_before(false);
    let pass_ms = engine.pass_ms();
    let pause = |tokens: f64, read_ms: f64| {
        let share = engine.spec.model.pass_read_tokens() as f64 / tokens.max(1.0);
        pass_ms + read_ms * share.min(1.0)
    };
    let before_ms = pause(queued.tokens, queued.read_ms);
    let after_ms = pause(queued.tokens + part.tokens, queued.read_ms + part.read_ms);
    let written = engine.jobs.iter().filter(|job| job.kind == JobKind::Primary);
    let harmed = written.filter(|job| {
        let safe_ms = job.pause_goal_ms * SAFE_PAUSE_SHARE;
        before_ms <= safe_ms && after_ms > safe_ms
    });
    harmed.map(|job| job.weight * LATE_LOSS).sum()
}

/// What prompts that wait on the engine lose: a part of a split prompt is read before them.
fn delay_harm(engine: &Engine, now_ms: f64, read_ms: f64) -> f64 {
    let mut until_ms = now_ms + engine.time_to_read_ms(engine.queued_before(true));
    let mut harm = 0.0;
    for job in engine.jobs.iter().filter(|job| job.is_queued() && !job.is_split) {
        until_ms += job.left_ms;
        let is_in_time = until_ms <= job.first_token_due_ms;
        if is_in_time && until_ms + read_ms > job.first_token_due_ms {
            harm += job.weight * LATE_LOSS;
        }
    }
    harm
}

/// What a stream risks on an engine where few others keep split prompts away.
fn exposure_loss(fleet: &Fleet, engine: &Engine, now_ms: f64, ask: &Ask) -> f64 {
    let written = engine.jobs.iter().filter(|job| job.kind == JobKind::Primary);
    let as_tight = written.filter(|job| job.pause_goal_ms <= ask.pause_goal_ms);
    let kept_by: f64 = as_tight.map(|job| job.weight).sum();
    EXPOSURE_LOSS * fleet.split_load(now_ms) * ask.weight() / (1.0 + kept_by)
}

/// What the prompt itself loses by a first token after this time.
fn own_loss(ask: &Ask, first_token_ms: f64) -> f64 {
    let goals = first_token_ms / ask.goal_ms.max(1.0);
    let late = ((goals - SAFE_SHARE) / (1.0 - SAFE_SHARE)).clamp(0.0, 1.0) * LATE_LOSS;
    let very_late = ((first_token_ms - ask.goal_ms) / ask.limit_ms.max(1.0)).clamp(0.0, 1.0);
    ask.weight() * (late + very_late * (1.0 - LATE_LOSS) + WAIT_LOSS * goals.min(10.0))
}
