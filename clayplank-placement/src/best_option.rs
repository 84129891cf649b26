//! Finds the best engines for a prompt over all numbers of parts.

use crate::dispatch_option::{DispatchOption, choose_parts};
use crate::fleet_view::FleetView;
use crate::losses::Exposure;
use crate::open_engine::OpenEngine;
use crate::request::PlacementRequest;

/// Numbers of engines that are tried for one prompt, the primary engine included.
const PART_COUNTS: [usize; 9] = [1, 2, 3, 4, 6, 8, 10, 12, 14];

/// Upper bound of the engines for one prompt: an engine accepts at most 16 helpers.
const MAX_PARTS: usize = 17;

/// Upper bound of the share of engines that one prompt may use. Prompts that arrive meanwhile would
/// wait behind its parts.
const MAX_ENGINES_SHARE: f64 = 0.75;

/// Smallest part, in tokens, that justifies another engine, since each part costs a prefill pass.
const MIN_PART_TOKENS: u64 = 12_000;

/// Finds the option with the smallest loss, over all numbers of parts.
pub(crate) fn choose_option(
    fleet: FleetView<'_>,
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
