//! What a policy that knew all arrivals could earn at most.
//!
//! A relaxation, so no policy earns more: the fleet is one reader of the speed of all its engines,
//! reads can be cut at will, and a part of a prompt earns a part of its worth. Left out are places,
//! memory, the steps of what is written, pauses, and that prompts are read in few parts. What is
//! earned is split in two: what any answer earns, late ones too, if it is read before its
//! callers give up, and what one in time earns beyond that. Each is the largest on its own, which is
//! at least as much as both can be together.

use std::ops::Range;

use crate::placement_requests::Mix;

/// Time is counted in steps of this many ms; windows are widened to whole steps.
const STEP_MS: f64 = 200.0;

/// The most engines that read one prompt: its own and 16 helpers.
const MAX_PARTS: usize = 17;

/// Reading that earns something if it is done between two moments.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer {
    pub(crate) from_ms: f64,
    pub(crate) until_ms: f64,
    pub(crate) work_ms: f64,
    pub(crate) gain: f64,
}

/// One prompt as the bound sees it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt {
    pub(crate) kind: usize,
    pub(crate) arrives_ms: f64,
    pub(crate) tokens: u64,
    /// Its size among others of its kind, as its worth counts it.
    pub(crate) factor: f64,
}

/// The most that the prompts can earn.
pub(crate) fn most_earned(mix: &Mix, prompts: &[Prompt]) -> f64 {
    let speed = mix.engines as f64;
    let any = prompts.iter().map(|prompt| {
        let kind = &mix.kinds[prompt.kind];
        offer(mix, prompt, kind.limit_ms, kind.late_worth)
    });
    let in_time = prompts.iter().map(|prompt| {
        let kind = &mix.kinds[prompt.kind];
        offer(mix, prompt, kind.goal_ms, kind.worth - kind.late_worth)
    });
    most_gained(speed, any.collect()) + most_gained(speed, in_time.collect())
}

/// A prompt that all its engines together cannot read within its time gains nothing.
fn offer(mix: &Mix, prompt: &Prompt, within_ms: f64, worth: f64) -> Offer {
    let work_ms = mix.model.part_read_ms(prompt.tokens, 1);
    let is_possible = work_ms / MAX_PARTS.min(mix.engines) as f64 <= within_ms;
    Offer {
        from_ms: prompt.arrives_ms,
        until_ms: prompt.arrives_ms + within_ms,
        work_ms,
        gain: if is_possible { worth * prompt.factor } else { 0.0 },
    }
}

/// The most that a reader of this speed gains by parts of the offers. Amounts of work that fit
/// between their moments form a polymatroid, so that taking the best gain for each ms first is best.
pub(crate) fn most_gained(speed: f64, mut offers: Vec<Offer>) -> f64 {
    offers.retain(|offer| offer.gain > 0.0);
    let density = |offer: &Offer| offer.gain / offer.work_ms;
    offers.sort_by(|left, right| density(right).total_cmp(&density(left)));
    let last_ms = offers.iter().map(|offer| offer.until_ms).fold(0.0, f64::max);
    let mut room = Room::new(speed, step_after(last_ms));
    let gains = offers.iter().map(|offer| {
        let (from, until) = ((offer.from_ms / STEP_MS) as usize, step_after(offer.until_ms));
        let taken_ms = room.free_ms(from, until).min(offer.work_ms);
        room.take(from, until, taken_ms);
        offer.gain * taken_ms / offer.work_ms
    });
    gains.sum()
}

fn step_after(at_ms: f64) -> usize {
    (at_ms / STEP_MS).ceil() as usize
}

/// Work that still fits between each two steps, beside all that has to be done between them.
struct Room {
    steps: usize,
    free_ms: Vec<f64>,
}

impl Room {
    fn new(speed: f64, steps: usize) -> Self {
        let mut free_ms = vec![0.0; (steps + 1) * (steps + 1)];
        for from in 0..=steps {
            for until in from..=steps {
                free_ms[from * (steps + 1) + until] = speed * (until - from) as f64 * STEP_MS;
            }
        }
        Self { steps, free_ms }
    }

    /// The spans that hold another one, as ranges of the table.
    fn around(&self, from: usize, until: usize) -> impl Iterator<Item = Range<usize>> + use<> {
        let row = self.steps + 1;
        (0..=from).map(move |first| first * row + until..(first + 1) * row)
    }

    fn free_ms(&self, from: usize, until: usize) -> f64 {
        let spans = self.around(from, until).flat_map(|range| &self.free_ms[range]);
        spans.copied().fold(f64::INFINITY, f64::min).max(0.0)
    }

    fn take(&mut self, from: usize, until: usize, work_ms: f64) {
        for range in self.around(from, until) {
            self.free_ms[range].iter_mut().for_each(|free| *free -= work_ms);
        }
    }
}
