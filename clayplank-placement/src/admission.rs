//! Admission control: compares the utility of an answer with the engine time and the slot that it
//! takes from other requests. First tries and repeats are treated alike.

use crate::dispatch_option::DispatchOption;
use crate::fleet_view::FleetView;
use crate::losses::LATE_LOSS;
use crate::open_engine::OpenEngine;
use crate::promised::Promised;
use crate::request::PlacementRequest;

/// A stream that has started is resumed if its next event is expected within this time, in ms, even
/// if its caller should have timed out: the time-outs of callers are only estimates.
const MIN_RESUME_MS: f64 = 1_000.0;

/// Value of a millisecond of an engine's time when all slots are occupied, as a share of a short
/// request's weight: 16 streams of about two seconds each run concurrently.
const SLOT_VALUE_PER_MS: f64 = 0.01;

/// Value of a millisecond of an engine's time when all engines have much prefill work queued: the
/// weight of a prompt of average length for its kind, divided by the time it takes to prefill.
const PREFILL_VALUE_PER_MS: f64 = 0.005;

/// Queued prefill work per engine, in ms, at which its time has its full value: about half of the
/// goals of long prompts.
const FULL_QUEUE_MS: f64 = 1_500.0;

/// Value of a slot that is occupied for the average time while all slots are occupied, as a share
/// of the weight of a request without a prompt. A late request earns a quarter of its weight, so it
/// is refused where about half of this value is asked. One that is in time is admitted unless it
/// occupies its slot for twice the average time.
const SLOT_TIME_VALUE: f64 = 0.7;

/// Random variation of the number of prompts that is allowed for, in standard deviations. The
/// standard deviation of a count is its square root.
const SLOT_DEVIATIONS: f64 = 2.0;

/// Slots count as scarce when less than this share of them is free.
const PRESSURE_FREE_SHARE: f64 = 0.25;

/// Whether a prompt should run now. A stream that has started is resumed on any engine that sends
/// its next event before its caller times out. After that, prefilling it again has no use.
pub(crate) fn should_admit(
    fleet: FleetView<'_>,
    open: &[OpenEngine<'_>],
    request: &PlacementRequest,
    option: &DispatchOption,
) -> bool {
    if request.has_begun {
        return option.assignment.first_token_ms < request.limit_ms.max(MIN_RESUME_MS);
    }
    let is_in_time = option.assignment.first_token_ms < request.limit_ms;
    if !is_in_time {
        return false;
    }
    let promised = fleet.promised(&request.pool);
    let pressure = Pressure::of(open, promised);
    is_worth_its_time(open, pressure, request, option)
        && is_worth_its_slot(fleet, open, pressure, request, option)
}

/// Whether an answer is worth the engine time that it takes from other requests. Prefilling a
/// prompt of twice the length takes up to four times as long, so the longest prompts are refused
/// first when time is scarce.
///
/// The harm to other requests also counts against the prompt while time or slots are scarce: on a
/// busy fleet, a long prompt that pauses a dozen streams earns little more than it takes.
fn is_worth_its_time(
    open: &[OpenEngine<'_>],
    pressure: Pressure,
    request: &PlacementRequest,
    option: &DispatchOption,
) -> bool {
    let Some(first) = open.first() else {
        return true;
    };
    let work_ms = first.engine.spec.model.part_prefill_ms(request.prompt_tokens, 1);
    let price = (SLOT_VALUE_PER_MS * pressure.slots).max(PREFILL_VALUE_PER_MS * pressure.prefills);
    let harm = option.harm * pressure.highest();
    let is_late = option.assignment.first_token_ms > request.goal_ms;
    utility(request, is_late) - harm >= work_ms * price
}

/// Whether an answer is worth the slot that it occupies.
fn is_worth_its_slot(
    fleet: FleetView<'_>,
    open: &[OpenEngine<'_>],
    pressure: Pressure,
    request: &PlacementRequest,
    option: &DispatchOption,
) -> bool {
    let Some(mean_slot_ms) = fleet.mean_slot_ms(&request.pool) else {
        return true;
    };
    let shortage = slot_shortage(open, fleet.promised(&request.pool));
    let price = SLOT_TIME_VALUE * shortage * option.slot_ms / mean_slot_ms;
    let is_late = option.assignment.first_token_ms > request.goal_ms;
    utility(request, is_late) - option.harm * pressure.highest() >= price
}

/// Utility of an answer, in the unit of [`PlacementRequest::weight`].
fn utility(request: &PlacementRequest, is_late: bool) -> f64 {
    let share = if is_late { 1.0 - LATE_LOSS } else { 1.0 };
    request.weight() * share
}

/// Scarcity of the engines' slots and of their prefill time, each from 0 to 1. Computed once per
/// prompt.
#[derive(Clone, Copy, Debug)]
struct Pressure {
    slots: f64,
    prefills: f64,
}

impl Pressure {
    fn of(open: &[OpenEngine<'_>], promised: Promised) -> Self {
        Self { slots: slot_pressure(open, promised), prefills: prefill_pressure(open, promised) }
    }

    fn highest(self) -> f64 {
        self.slots.max(self.prefills)
    }
}

/// Scarcity of prefill time, from 0 to 1: 1 when engines have [`FULL_QUEUE_MS`] of work queued on
/// average.
fn prefill_pressure(open: &[OpenEngine<'_>], promised: Promised) -> f64 {
    let queued_ms: f64 = open.iter().map(|one| one.engine.queued().prefill_ms).sum();
    ((queued_ms + promised.prefill_ms) / open.len().max(1) as f64 / FULL_QUEUE_MS).min(1.0)
}

/// Likelihood that the next prompts find no free slot: 0 while more slots are free than the random
/// variation of their number, 1 when none is free. A large fleet can therefore occupy a larger
/// share of its slots than a small one.
fn slot_shortage(open: &[OpenEngine<'_>], promised: Promised) -> f64 {
    let (taken, slots) = count_slots(open, promised);
    let deviation = SLOT_DEVIATIONS * (slots as f64).sqrt();
    1.0 - (slots.saturating_sub(taken) as f64 / deviation.max(1.0)).min(1.0)
}

/// Numbers of occupied or promised slots and of all slots.
fn count_slots(open: &[OpenEngine<'_>], promised: Promised) -> (usize, usize) {
    let occupied: usize = open.iter().map(|one| one.engine.primaries()).sum();
    let taken = occupied + promised.slots;
    let slots = open.iter().map(|one| one.engine.spec.model.slots as usize).sum();
    (taken, slots)
}

/// Scarcity of slots: 0 while at least [`PRESSURE_FREE_SHARE`] of them is free, 1 when none is.
pub(crate) fn slot_pressure(open: &[OpenEngine<'_>], promised: Promised) -> f64 {
    let (taken, slots) = count_slots(open, promised);
    let free = 1.0 - taken as f64 / slots.max(1) as f64;
    ((PRESSURE_FREE_SHARE - free) / PRESSURE_FREE_SHARE).clamp(0.0, 1.0)
}
