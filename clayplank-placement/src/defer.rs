//! Decides whether a long prompt is deferred for a short time until other prompts are prefilled.
//!
//! Engines prefill the newest part of a split prompt first. A long prompt that is sent while others
//! are being prefilled delays them, and is itself delayed by the next one. Then all of them are
//! late, or the newest is refused for the harm it would do. A prompt that waits at its host for
//! some tens of milliseconds is sent after the others are prefilled, and in order of arrival.

use crate::admission::should_admit;
use crate::best_option::choose_option;
use crate::dispatch_option::DispatchOption;
use crate::fleet_view::FleetView;
use crate::open_engine::open_engines;
use crate::request::PlacementRequest;

/// Prompts that one engine prefills in less than this time, in ms, are not deferred: they wait in
/// the engine's queue.
const MIN_PREFILL_MS: f64 = 150.0;

/// A prompt that harms others by less than this share of its weight is sent at once.
const MIN_HARM_SHARE: f64 = 0.1;

/// Time, in ms, by which the state of the engines is projected ahead: about one prefill pass. With
/// 400 ms, deferred prompts wait for each other while engines are idle.
const LOOK_AHEAD_MS: f64 = 200.0;

/// Time until the host of a deferred prompt asks again, in ms.
const CHECK_INTERVAL_MS: u64 = 50;

/// A deferred prompt must be expected to be prefilled within this share of its remaining goal, so
/// that prompts that arrive meanwhile rarely make it late.
const SAFE_SHARE: f64 = 0.8;

/// Smallest gain that justifies a deferral, as a share of the weight. A prompt that waited for
/// every small gain would never be sent, since other prompts keep arriving.
const MIN_GAIN_SHARE: f64 = 0.02;

/// Upper bound of the time for which a prompt is deferred, as a share of its goal. A caller that is
/// refused afterwards has lost this time.
const MAX_DEFER_SHARE: f64 = 0.125;

/// Time, in ms, after which the host of a prompt should ask again; `None` if it is not better to
/// wait than to send the prompt with this option or to refuse it.
pub(crate) fn defer_ms(
    fleet: FleetView<'_>,
    now_ms: f64,
    request: &PlacementRequest,
    option: &DispatchOption,
    is_admitted: bool,
) -> Option<u64> {
    let loss_now = if is_admitted { option.loss() } else { request.weight() };
    let is_harmless = is_admitted && option.harm < MIN_HARM_SHARE * request.weight();
    if is_harmless || !may_be_deferred(fleet, request, option) {
        return None;
    }
    let request = PlacementRequest {
        goal_ms: request.goal_ms - LOOK_AHEAD_MS,
        limit_ms: request.limit_ms - LOOK_AHEAD_MS,
        ..request.clone()
    };
    let now_ms = now_ms + LOOK_AHEAD_MS;
    let projected = fleet.projected_to(now_ms);
    let fleet = projected.view();
    let open = open_engines(fleet, now_ms, &request);
    let option = choose_option(fleet, &open, now_ms, &request)?;
    let is_safe = option.assignment.first_token_ms <= SAFE_SHARE * request.goal_ms;
    let loss = option.loss() + MIN_GAIN_SHARE * request.weight();
    let is_better = is_safe && loss < loss_now && should_admit(fleet, &open, &request, &option);
    is_better.then_some(CHECK_INTERVAL_MS)
}

/// Whether a prompt is long enough to be deferred and has time for it.
fn may_be_deferred(
    fleet: FleetView<'_>,
    request: &PlacementRequest,
    option: &DispatchOption,
) -> bool {
    let prefill_ms = fleet
        .engines
        .get(&option.assignment.engine)
        .map_or(0.0, |engine| engine.spec.model.part_prefill_ms(request.prompt_tokens, 1));
    let max_ms = MAX_DEFER_SHARE * (request.goal_ms + request.waited_ms);
    prefill_ms >= MIN_PREFILL_MS
        && !request.has_begun
        && request.goal_ms > LOOK_AHEAD_MS
        && request.waited_ms + CHECK_INTERVAL_MS as f64 <= max_ms
}
