//! Whether a prompt is let in: what its answer earns, against the time and the place that it takes
//! from others.

use crate::ask::Ask;
use crate::candidate::Open;
use crate::costs::LATE_LOSS;
use crate::fleet::Fleet;
use crate::parts::Way;

/// A prompt whose first token is expected after this many goals is refused once.
const REFUSE_GOALS: f64 = 1.15;

/// A stream that has begun goes on where its next event comes within this time, in ms, though its
/// caller should have given up: callers' patience is a guess.
const RESUME_MIN_MS: f64 = 1_000.0;

/// What a millisecond of an engine is worth, as a share of a short request's weight, when
/// all places are taken: 16 streams of about two seconds each run beside one another.
const PLACE_VALUE_PER_MS: f64 = 0.01;

/// The same when all engines have much to read: the weight of a prompt of usual length for
/// its kind, by the time that it takes to read it.
const READ_VALUE_PER_MS: f64 = 0.005;

/// Reads that wait on every engine, in ms, at which time counts in full: about half of the
/// goals of long prompts.
const FULL_QUEUE_MS: f64 = 1_500.0;

/// What a place that is held for the usual time is worth when all are taken, as a share of the
/// weight of a request without a prompt. One that is late earns a quarter of its weight and gives
/// way where about half of this is asked; one in time is let in unless it holds its place for
/// twice the usual time.
const HELD_PLACE_VALUE: f64 = 0.7;

/// A prompt that comes back, and is still in time, counts this many times.
const RETURNING_LENIENCY: f64 = 2.0;

/// How far the number of prompts swings by chance, in its standard deviations: that of a count is
/// its root.
const PLACE_SWING: f64 = 2.0;

/// Places become scarce when less than this share of them is free.
const PRESSURE_FREE_SHARE: f64 = 0.25;

/// Whether a prompt should run now. A stream that has begun goes on wherever its next event comes
/// before its caller gives up; beyond that, reading it anew helps nobody.
pub(crate) fn is_worth_it(fleet: &Fleet, open: &[Open<'_>], ask: &Ask, way: &Way) -> bool {
    if ask.has_begun {
        return way.assignment.first_token_ms < ask.limit_ms.max(RESUME_MIN_MS);
    }
    let is_soon = way.assignment.first_token_ms < longest_wait_ms(ask);
    if !is_soon {
        return false;
    }
    let pressure = Pressure::of(open);
    is_worth_its_time(open, pressure, ask, way)
        && is_worth_its_place(fleet, open, pressure, ask, way)
}

/// How late a first token may be expected. One that comes back in time is worth more
/// than one that is late now, and leaves the engines to those that are still in time.
///
/// A prompt that is late already gains nothing by coming back.
fn longest_wait_ms(ask: &Ask) -> f64 {
    if ask.is_returning || ask.is_late() {
        ask.limit_ms
    } else {
        ask.limit_ms.min(ask.goal_ms * REFUSE_GOALS)
    }
}

/// Whether an answer is worth the engines' time that it takes from others. Reading a
/// prompt of twice the length takes up to four times as long, so the longest give way
/// first where time is scarce; one that comes back in time is let in sooner, since a second refusal
/// costs its caller more.
///
/// Where time or places are scarce, what others lose by it counts against it too: on a busy
/// fleet a long prompt that pauses a dozen streams earns little more than it takes.
fn is_worth_its_time(open: &[Open<'_>], pressure: Pressure, ask: &Ask, way: &Way) -> bool {
    let Some(first) = open.first() else {
        return true;
    };
    let work_ms = first.engine.spec.model.part_read_ms(ask.prompt_tokens, 1);
    let price = (PLACE_VALUE_PER_MS * pressure.places).max(READ_VALUE_PER_MS * pressure.reads);
    let harm = way.harm * pressure.most();
    let is_late = way.assignment.first_token_ms > ask.goal_ms;
    let leniency = if ask.is_returning && !is_late { RETURNING_LENIENCY } else { 1.0 };
    earned(ask, is_late) * leniency - harm >= work_ms * price
}

/// Whether an answer is worth the place that it holds. Here the goal counts from its caller's
/// first try: where places bind, one that came back, and is late, holds the place of one that is
/// still in time. Where reading binds it counts anew: long prompts would be refused
/// twice else.
fn is_worth_its_place(
    fleet: &Fleet,
    open: &[Open<'_>],
    pressure: Pressure,
    ask: &Ask,
    way: &Way,
) -> bool {
    let Some(usual_hold_ms) = fleet.usual_hold_ms(ask) else {
        return true;
    };
    let price = HELD_PLACE_VALUE * place_shortage(open) * way.held_ms / usual_hold_ms;
    let is_late = way.assignment.first_token_ms + ask.since_first_try_ms > ask.goal_ms;
    earned(ask, is_late) - way.harm * pressure.most() >= price
}

/// What an answer earns.
fn earned(ask: &Ask, is_late: bool) -> f64 {
    let share = if is_late { 1.0 - LATE_LOSS } else { 1.0 };
    ask.weight() * share
}

/// How scarce the engines' places and time are, each from 0 to 1; worked out once for a prompt.
#[derive(Clone, Copy, Debug)]
struct Pressure {
    places: f64,
    reads: f64,
}

impl Pressure {
    fn of(open: &[Open<'_>]) -> Self {
        Self { places: place_pressure(open), reads: read_pressure(open) }
    }

    fn most(self) -> f64 {
        self.places.max(self.reads)
    }
}

/// How long reads wait: 1 when every engine has this much to read.
fn read_pressure(open: &[Open<'_>]) -> f64 {
    let queued_ms: f64 = open.iter().map(|one| one.engine.queued().read_ms).sum();
    (queued_ms / open.len().max(1) as f64 / FULL_QUEUE_MS).min(1.0)
}

/// How likely it is that the next prompts find no place: 0 while more are free than their number
/// rises by chance, 1 when none is. A large fleet can fill its places further than a small one.
fn place_shortage(open: &[Open<'_>]) -> f64 {
    let (taken, places) = count_places(open);
    let swing = PLACE_SWING * (places as f64).sqrt();
    1.0 - (places.saturating_sub(taken) as f64 / swing.max(1.0)).min(1.0)
}

/// Places that are taken, and all.
fn count_places(open: &[Open<'_>]) -> (usize, usize) {
    let taken = open.iter().map(|one| one.engine.primaries()).sum();
    let places = open.iter().map(|one| one.engine.spec.model.slots as usize).sum();
    (taken, places)
}

/// How scarce places are: 0 while a quarter of them is free, 1 when none is.
pub(crate) fn place_pressure(open: &[Open<'_>]) -> f64 {
    let (taken, places) = count_places(open);
    let free = 1.0 - taken as f64 / places.max(1) as f64;
    ((PRESSURE_FREE_SHARE - free) / PRESSURE_FREE_SHARE).clamp(0.0, 1.0)
}
