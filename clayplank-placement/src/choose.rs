//! The decision: how many engines a prompt gets, or when it should come back.

use crate::admit::is_worth_it;
use crate::ask::{Ask, Placed};
use crate::candidate::{Open, limited_wait_ms, open_engines};
use crate::costs::Exposure;
use crate::fleet::Fleet;
use crate::hold::hold_ms;
use crate::parts::{Way, choose_parts};
use crate::retry::{next_turn, retry_after};

/// How many engines may read one prompt: the first and as many helpers as engines take.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 12, 14];

/// An engine takes 16 helpers at most.
const MAX_PARTS: usize = 17;

/// One prompt is read by no more than this share of the engines: prompts that come meanwhile wait
/// behind its parts.
const MAX_ENGINES_SHARE: f64 = 0.75;

/// A part below this is not worth another engine, in tokens: each part costs a pass.
const MIN_PART_TOKENS: u64 = 12_000;

/// A stream of usual length, in ms, as a share of which a slot comes free on a full engine.
const USUAL_STREAM_MS: f64 = 1_600.0;

/// Bounds, in ms, of the time in which a slot is expected, if no engine has one.
const SLOT_WAIT_MIN_MS: f64 = 50.0;
const SLOT_WAIT_MAX_MS: f64 = 1_000.0;

/// Chooses engines for a prompt; changes nothing.
pub(crate) fn choose(fleet: &Fleet, now_ms: f64, ask: &Ask) -> Placed {
    let open = open_engines(fleet, now_ms, ask);
    if !open.iter().any(|one| one.has_turn)
        && let Some(wait_ms) = limited_wait_ms(fleet, now_ms, ask)
    {
        return wait_for_turn(fleet, ask, wait_ms);
    }
    let Some(way) = choose_way(fleet, &open, now_ms, ask) else {
        return wait_for_slot(fleet, &open, ask);
    };
    let is_let_in = is_worth_it(fleet, &open, ask, &way);
    if let Some(again_in_ms) = hold_ms(fleet, now_ms, ask, &way, is_let_in) {
        return Placed::Soon { again_in_ms };
    }
    if is_let_in {
        Placed::At(way.assignment)
    } else {
        Placed::Full { retry_after_ms: retry_after(fleet, &open, &way.assignment, ask) }
    }
}

/// The way to serve a prompt that loses least.
pub(crate) fn choose_way(fleet: &Fleet, open: &[Open<'_>], now_ms: f64, ask: &Ask) -> Option<Way> {
    let exposure = Exposure::of(fleet, open, now_ms);
    let mut best: Option<Way> = None;
    for parts in part_counts(most_parts(open, ask)) {
        let is_worth = parts == 1 || ask.prompt_tokens / parts as u64 >= MIN_PART_TOKENS;
        if !is_worth {
            break;
        }
        let found = choose_parts(exposure, open, now_ms, ask, parts);
        if let Some(way) = found
            && best.as_ref().is_none_or(|best| way.loss() < best.loss())
        {
            best = Some(way);
        }
    }
    best
}

/// What a prompt is told when no engine takes another request now, since all are cold or named a limit: it
/// waits while it can still be in time, and is refused at once if it cannot.
fn wait_for_turn(fleet: &Fleet, ask: &Ask, wait_ms: f64) -> Placed {
    if wait_ms < ask.goal_ms || ask.is_late() && wait_ms < ask.limit_ms {
        Placed::Soon { again_in_ms: wait_ms.ceil() as u64 }
    } else {
        Placed::Full { retry_after_ms: next_turn(fleet, ask, wait_ms) }
    }
}

/// What a prompt is told that no engine takes: a wait for a slot is worth it only if the prompt
/// is still read in time after it; any other is refused at once.
fn wait_for_slot(fleet: &Fleet, open: &[Open<'_>], ask: &Ask) -> Placed {
    let slot_in_ms = expected_slot_ms(open);
    let is_in_time = open.first().is_some_and(|first| {
        let read_ms = first.engine.spec.model.part_read_ms(ask.prompt_tokens, 1);
        slot_in_ms as f64 + read_ms <= ask.goal_ms
    });
    if is_in_time && !open.iter().any(Open::has_slot) {
        Placed::Soon { again_in_ms: slot_in_ms }
    } else {
        Placed::Full { retry_after_ms: next_turn(fleet, ask, 0.0) }
    }
}

/// How many engines may read a prompt: those that its memory needs in any case.
fn most_parts(open: &[Open<'_>], ask: &Ask) -> usize {
    let share = (open.len() as f64 * MAX_ENGINES_SHARE).ceil() as usize;
    let memory_tokens = open.first().map_or(0, |first| first.engine.memory_promised());
    let needed = ask.memory_tokens().div_ceil(memory_tokens.max(1)) as usize;
    share.max(needed).min(open.len()).min(MAX_PARTS)
}

/// Counts of parts that are tried, the most that are possible among them.
fn part_counts(most: usize) -> impl Iterator<Item = usize> {
    let fewer = PART_COUNTS.into_iter().take_while(move |&parts| parts < most);
    fewer.chain((most > 0).then_some(most))
}

/// When a slot is expected to come free on the first engine.
fn expected_slot_ms(open: &[Open<'_>]) -> u64 {
    let soonest = open.iter().map(|one| {
        let queued = one.engine.queued();
        let slots = f64::from(one.engine.spec.model.slots);
        one.engine.time_to_read_ms(queued) + USUAL_STREAM_MS / slots
    });
    soonest.fold(SLOT_WAIT_MAX_MS, f64::min).max(SLOT_WAIT_MIN_MS) as u64
}
