//! Whether a long prompt is held for a moment until others are read.
//!
//! Engines read the newest part of a split prompt first. A long prompt that is sent while others are
//! read pushes them back, and is pushed back itself by the next one: all of them are late then, or the
//! newest is refused for what it would do to others. One that waits at its host for some tens of ms
//! goes when these are read, and in the order in which they came.

use crate::admit::is_worth_it;
use crate::ask::Ask;
use crate::candidate::open_engines;
use crate::choose::choose_way;
use crate::fleet::Fleet;
use crate::parts::Way;

/// Prompts that are read sooner than this, in ms, by one engine are not held: they wait in its queue.
const LEAST_READ_MS: f64 = 150.0;

/// A prompt that costs others less than this share of its weight goes at once.
const LEAST_HARM_SHARE: f64 = 0.1;

/// How far ahead the engines are looked at, in ms: about a pass of reading. At 400 ms held prompts wait for
/// each other, and engines stand idle meanwhile.
const LOOK_AHEAD_MS: f64 = 200.0;

/// Between two looks, in ms.
const LOOK_EVERY_MS: u64 = 50;

/// What is held is expected to be read within this share of what is left of its goal, so that what
/// comes meanwhile makes it late only now and then.
const SAFE_SHARE: f64 = 0.8;

/// What a look ahead has to gain at least, as a share of the weight: who waits for every small gain
/// waits for ever, since others come.
const LEAST_GAIN_SHARE: f64 = 0.02;

/// The longest that a prompt is held, as a share of its goal: callers who are refused then have lost that time.
const LONGEST_SHARE: f64 = 0.125;

/// After how long, in ms, the host of a prompt should ask again, if that is better than what can be done
/// with it now: sending it in the way that was found, or refusing it.
pub(crate) fn hold_ms(
    fleet: &Fleet,
    now_ms: f64,
    ask: &Ask,
    way: &Way,
    is_let_in: bool,
) -> Option<u64> {
    let loss_now = if is_let_in { way.loss() } else { ask.weight() };
    let is_harmless = is_let_in && way.harm < LEAST_HARM_SHARE * ask.weight();
    if is_harmless || !may_be_held(fleet, ask, way) {
        return None;
    }
    let ask = Ask {
        goal_ms: ask.goal_ms - LOOK_AHEAD_MS,
        limit_ms: ask.limit_ms - LOOK_AHEAD_MS,
        ..ask.clone()
    };
    let now_ms = now_ms + LOOK_AHEAD_MS;
    let fleet = fleet.ahead(now_ms);
    let open = open_engines(&fleet, now_ms, &ask);
    let way = choose_way(&fleet, &open, now_ms, &ask)?;
    let is_safe = way.assignment.first_token_ms <= SAFE_SHARE * ask.goal_ms;
    let loss = way.loss() + LEAST_GAIN_SHARE * ask.weight();
    let is_better = is_safe && loss < loss_now && is_worth_it(&fleet, &open, &ask, &way);
    is_better.then_some(LOOK_EVERY_MS)
}

/// Whether a prompt is long enough to be held, and there is time for it.
fn may_be_held(fleet: &Fleet, ask: &Ask, way: &Way) -> bool {
    let read_ms = fleet
        .engines
        .get(&way.assignment.engine)
        .map_or(0.0, |engine| engine.spec.model.part_read_ms(ask.prompt_tokens, 1));
    let longest_ms = LONGEST_SHARE * (ask.goal_ms + ask.waited_ms);
    read_ms >= LEAST_READ_MS
        && !ask.has_begun
        && ask.goal_ms > LOOK_AHEAD_MS
        && ask.waited_ms + LOOK_EVERY_MS as f64 <= longest_ms
}
