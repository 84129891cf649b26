//! Whether a long prompt is held for a moment until others are read.
//!
//! Engines read the newest part of a split prompt first. A long prompt that is sent while others are
//! read pushes them back, and is pushed back itself by the next one: all of them are late then, or the
//! newest is refused for what it would do to others. One that waits at its host for some tens of ms
//! goes when these are read, and in the order in which they came.

use crate::admission::should_admit;
use crate::candidate::open_engines;
use crate::choose::choose_option;
use crate::dispatch_option::DispatchOption;
use crate::fleet::Fleet;
use crate::request::Ask;

/// Prompts that are read sooner than this, in ms, by one engine are not held: they wait in its queue.
const MIN_PREFILL_MS: f64 = 150.0;

/// A prompt that costs others less than this share of its weight goes at once.
const MIN_HARM_SHARE: f64 = 0.1;

/// How far ahead the engines are looked at, in ms: about a pass of reading. At 400 ms held prompts wait for
/// each other, and engines stand idle meanwhile.
const LOOK_AHEAD_MS: f64 = 200.0;

/// Between two looks, in ms.
const CHECK_INTERVAL_MS: u64 = 50;

/// What is held is expected to be read within this share of what is left of its goal, so that what
/// comes meanwhile makes it late only now and then.
const SAFE_SHARE: f64 = 0.8;

/// What a look ahead has to gain at least, as a share of the weight: who waits for every small gain
/// waits for ever, since others come.
const MIN_GAIN_SHARE: f64 = 0.02;

/// The longest that a prompt is held, as a share of its goal: callers who are refused then have lost that time.
const MAX_DEFER_SHARE: f64 = 0.125;

/// After how long, in ms, the host of a prompt should ask again, if that is better than what can be done
/// with it now: sending it in the way that was found, or refusing it.
pub(crate) fn defer_ms(
    fleet: &Fleet,
    now_ms: f64,
    request: &Ask,
    option: &DispatchOption,
    is_admitted: bool,
) -> Option<u64> {
    let loss_now = if is_admitted { option.loss() } else { request.weight() };
    let is_harmless = is_admitted && option.harm < MIN_HARM_SHARE * request.weight();
    if is_harmless || !may_be_deferred(fleet, request, option) {
        return None;
    }
    let request = Ask {
        goal_ms: request.goal_ms - LOOK_AHEAD_MS,
        limit_ms: request.limit_ms - LOOK_AHEAD_MS,
        ..request.clone()
    };
    let now_ms = now_ms + LOOK_AHEAD_MS;
    let fleet = fleet.projected_to(now_ms);
    let open = open_engines(&fleet, now_ms, &request);
    let option = choose_option(&fleet, &open, now_ms, &request)?;
    let is_safe = option.assignment.first_token_ms <= SAFE_SHARE * request.goal_ms;
    let loss = option.loss() + MIN_GAIN_SHARE * request.weight();
    let is_better = is_safe && loss < loss_now && should_admit(&fleet, &open, &request, &option);
    is_better.then_some(CHECK_INTERVAL_MS)
}

/// Whether a prompt is long enough to be held, and there is time for it.
fn may_be_deferred(fleet: &Fleet, request: &Ask, option: &DispatchOption) -> bool {
    let prefill_ms = fleet
        .engines
        .get(&option.assignment.engine)
        .map_or(0.0, |engine| engine.spec.model.part_read_ms(request.prompt_tokens, 1));
    let longest_ms = MAX_DEFER_SHARE * (request.goal_ms + request.waited_ms);
    prefill_ms >= MIN_PREFILL_MS
        && !request.has_begun
        && request.goal_ms > LOOK_AHEAD_MS
        && request.waited_ms + CHECK_INTERVAL_MS as f64 <= longest_ms
}
