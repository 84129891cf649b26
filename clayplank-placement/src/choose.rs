//! Decides which engines serve a prompt, or when its host should ask again.

use crate::admission::should_admit;
use crate::candidate::{OpenEngine, earliest_permit_ms, open_engines};
use crate::defer::defer_ms;
use crate::dispatch_option::{DispatchOption, choose_parts};
use crate::fleet::Fleet;
use crate::losses::Exposure;
use crate::request::{PlacementOutcome, PlacementRequest};
use crate::retry::{retry_after, retry_after_slot_turnover};

/// Numbers of engines that are tried for one prompt, the primary engine included.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 12, 14];

/// Upper bound of the engines for one prompt: an engine accepts at most 16 helpers.
const MAX_PARTS: usize = 17;

/// Upper bound of the share of engines that one prompt may use. Prompts that arrive meanwhile would
/// wait behind its parts.
const MAX_ENGINES_SHARE: f64 = 0.75;

/// Smallest part, in tokens, that justifies another engine, since each part costs a prefill pass.
const MIN_PART_TOKENS: u64 = 12_000;

/// Typical duration of a stream, in ms. Divided by the number of slots it estimates when a full
/// engine frees a slot.
const TYPICAL_STREAM_MS: f64 = 1_600.0;

/// Bounds, in ms, of the estimated wait for a slot when no engine has a free one.
const MIN_SLOT_WAIT_MS: f64 = 50.0;
const MAX_SLOT_WAIT_MS: f64 = 1_000.0;

/// Chooses engines for a prompt without changing the fleet.
pub(crate) fn choose(fleet: &Fleet, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome {
    let open = open_engines(fleet, now_ms, request);
    if !open.iter().any(|one| one.has_permit)
        && let Some(wait_ms) = earliest_permit_ms(fleet, now_ms, request)
    {
        return wait_for_permit(fleet, request, wait_ms);
    }
    let Some(option) = choose_option(fleet, &open, now_ms, request) else {
        return wait_for_slot(fleet, &open, request);
    };
    let is_admitted = should_admit(fleet, &open, request, &option);
    if let Some(again_in_ms) = defer_ms(fleet, now_ms, request, &option, is_admitted) {
        return PlacementOutcome::Soon { again_in_ms };
    }
    if is_admitted {
        PlacementOutcome::At(option.assignment)
    } else {
        PlacementOutcome::Full {
            retry_after_ms: retry_after(fleet, &open, &option.assignment, request),
        }
    }
}

/// Finds the option with the smallest loss, over all numbers of parts.
pub(crate) fn choose_option(
    fleet: &Fleet,
    open: &[OpenEngine<'_>],
    now_ms: f64,
    request: &PlacementRequest,
) -> Option<DispatchOption> {
    let exposure = Exposure::of(fleet, open, now_ms);
    let mut best: Option<DispatchOption> = None;
    for parts in part_counts(max_parts(open, request)) {
        let is_large_enough = parts == 1 || request.prompt_tokens / parts as u64 >= MIN_PART_TOKENS;
        if !is_large_enough {
            break;
        }
        let found = choose_parts(exposure, open, now_ms, request, parts);
        if let Some(option) = found
            && best.as_ref().is_none_or(|best| option.loss() < best.loss())
        {
            best = Some(option);
        }
    }
    best
}

/// Answers a prompt when no engine has a free permit because all are cold or have a declared limit.
/// The prompt waits if it can still be in time, and is refused at once otherwise.
fn wait_for_permit(fleet: &Fleet, request: &PlacementRequest, wait_ms: f64) -> PlacementOutcome {
    if wait_ms < request.goal_ms || request.is_late() && wait_ms < request.limit_ms {
        PlacementOutcome::Soon { again_in_ms: wait_ms.ceil() as u64 }
    } else {
        PlacementOutcome::Full {
            retry_after_ms: retry_after_slot_turnover(fleet, request, wait_ms),
        }
    }
}

/// Answers a prompt for which there is no option. It waits for a slot only if it can still be
/// prefilled in time afterwards, and is refused at once otherwise.
fn wait_for_slot(
    fleet: &Fleet,
    open: &[OpenEngine<'_>],
    request: &PlacementRequest,
) -> PlacementOutcome {
    let slot_in_ms = expected_slot_ms(open);
    let is_in_time = open.first().is_some_and(|first| {
        let prefill_ms = first.engine.spec.model.part_prefill_ms(request.prompt_tokens, 1);
        slot_in_ms as f64 + prefill_ms <= request.goal_ms
    });
    if is_in_time && !open.iter().any(OpenEngine::has_slot) {
        PlacementOutcome::Soon { again_in_ms: slot_in_ms }
    } else {
        PlacementOutcome::Full { retry_after_ms: retry_after_slot_turnover(fleet, request, 0.0) }
    }
}

/// Upper bound of the parts of a prompt: a share of the engines, or more if the prompt's memory
/// needs more.
fn max_parts(open: &[OpenEngine<'_>], request: &PlacementRequest) -> usize {
    let share = (open.len() as f64 * MAX_ENGINES_SHARE).ceil() as usize;
    let memory_tokens = open.first().map_or(0, |first| first.engine.memory_usable_when_idle());
    let needed = request.memory_tokens().div_ceil(memory_tokens.max(1)) as usize;
    share.max(needed).min(open.len()).min(MAX_PARTS)
}

/// Upper bound of the parts of a prompt that fits into the memory of that many engines without a
/// reservation.
pub(crate) fn max_useful_parts(engines: usize, prompt_tokens: u64) -> usize {
    let share = (engines as f64 * MAX_ENGINES_SHARE).ceil() as usize;
    let by_size = (prompt_tokens / MIN_PART_TOKENS) as usize;
    by_size.min(share).clamp(1, MAX_PARTS)
}

/// Numbers of parts to try in ascending order; the last one is `max`.
fn part_counts(max: usize) -> impl Iterator<Item = usize> {
    let smaller = PART_COUNTS.into_iter().take_while(move |&parts| parts < max);
    smaller.chain((max > 0).then_some(max))
}

/// Estimated time until the first engine frees a slot, in ms.
fn expected_slot_ms(open: &[OpenEngine<'_>]) -> u64 {
    let soonest = open.iter().map(|one| {
        let queued = one.engine.queued();
        let slots = f64::from(one.engine.spec.model.slots);
        one.engine.time_to_prefill_ms(queued) + TYPICAL_STREAM_MS / slots
    });
    soonest.fold(MAX_SLOT_WAIT_MS, f64::min).max(MIN_SLOT_WAIT_MS) as u64
}
