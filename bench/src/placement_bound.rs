//! Upper bound of the worth that a placement policy can earn, even one that knows all arrivals.
//!
//! Worth is the utility of a served prompt. The bound is a relaxation: the fleet is a single engine with
//! the combined prefill speed of all engines, prefill is preemptible, and a partly prefilled prompt
//! earns a proportional part of its worth. Slots, memory, decode steps, pauses and the limited number of
//! parts of a prompt are ignored. The worth is split in two: the worth of any answer, also a late one,
//! whose prefill ends before the caller gives up, and the additional worth of an answer in time. Each
//! half is maximised separately; their sum is at least the maximum of both together.

use std::ops::Range;

use crate::placement_requests::Mix;

/// Length of a time step; the windows of jobs are widened to whole steps.
const STEP_MS: f64 = 200.0;

/// Maximum number of engines that prefill one prompt: the first and 16 helpers.
const MAX_PARTS: usize = 17;

/// Prefill work that earns its gain if it is done between its release and its deadline.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Job {
    pub(crate) release_ms: f64,
    pub(crate) deadline_ms: f64,
    /// Duration of the work on one engine.
    pub(crate) work_ms: f64,
    /// Worth earned if all the work is done; a part of it earns in proportion.
    pub(crate) gain: f64,
}

/// Properties of a prompt that enter the bound.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prompt {
    pub(crate) kind: usize,
    pub(crate) arrives_ms: f64,
    pub(crate) tokens: u64,
    /// Factor of its worth by its size; see [`crate::placement_worth::size_factor`].
    pub(crate) size_factor: f64,
}

/// Upper bound of the worth that the prompts can earn.
pub(crate) fn max_worth(mix: &Mix, prompts: &[Prompt]) -> f64 {
    let speed = mix.engines as f64;
    let any = prompts.iter().map(|prompt| {
        let kind = &mix.kinds[prompt.kind];
        job(mix, prompt, kind.first_event_limit_ms, kind.late_worth)
    });
    let in_time = prompts.iter().map(|prompt| {
        let kind = &mix.kinds[prompt.kind];
        job(mix, prompt, kind.goal_ms, kind.worth - kind.late_worth)
    });
    max_gain(speed, any.collect()) + max_gain(speed, in_time.collect())
}

/// Job of one prompt. Its gain is 0 if [`MAX_PARTS`] engines together cannot prefill it in time.
fn job(mix: &Mix, prompt: &Prompt, within_ms: f64, worth: f64) -> Job {
    let work_ms = mix.model.part_prefill_ms(prompt.tokens, 1);
    let is_possible = work_ms / MAX_PARTS.min(mix.engines) as f64 <= within_ms;
    Job {
        release_ms: prompt.arrives_ms,
        deadline_ms: prompt.arrives_ms + within_ms,
        work_ms,
        gain: if is_possible { worth * prompt.size_factor } else { 0.0 },
    }
}

/// Maximum gain of an engine of this speed if jobs can be done in part. The amounts of work that fit
/// between release times and deadlines form a polymatroid, so that a greedy choice by gain per ms of
/// work is optimal.
pub(crate) fn max_gain(speed: f64, mut jobs: Vec<Job>) -> f64 {
    jobs.retain(|job| job.gain > 0.0);
    let density = |job: &Job| job.gain / job.work_ms;
    jobs.sort_by(|left, right| density(right).total_cmp(&density(left)));
    let last_ms = jobs.iter().map(|job| job.deadline_ms).fold(0.0, f64::max);
    let mut capacity = Capacity::new(speed, step_after(last_ms));
    let gains = jobs.iter().map(|job| {
        let (from, until) = ((job.release_ms / STEP_MS) as usize, step_after(job.deadline_ms));
        let done_ms = capacity.free_ms(from, until).min(job.work_ms);
        capacity.reserve(from, until, done_ms);
        job.gain * done_ms / job.work_ms
    });
    gains.sum()
}

fn step_after(at_ms: f64) -> usize {
    (at_ms / STEP_MS).ceil() as usize
}

/// Work that still fits between each two steps, after the work already placed between them.
struct Capacity {
    steps: usize,
    /// Free work by first and last step; row by row.
    free_ms: Vec<f64>,
}

impl Capacity {
    fn new(speed: f64, steps: usize) -> Self {
        let mut free_ms = vec![0.0; (steps + 1) * (steps + 1)];
        for from in 0..=steps {
            for until in from..=steps {
                free_ms[from * (steps + 1) + until] = speed * (until - from) as f64 * STEP_MS;
            }
        }
        Self { steps, free_ms }
    }

    /// All intervals that contain the given one, as ranges of `free_ms`.
    fn enclosing(&self, from: usize, until: usize) -> impl Iterator<Item = Range<usize>> + use<> {
        let row = self.steps + 1;
        (0..=from).map(move |first| first * row + until..(first + 1) * row)
    }

    fn free_ms(&self, from: usize, until: usize) -> f64 {
        let intervals = self.enclosing(from, until).flat_map(|range| &self.free_ms[range]);
        intervals.copied().fold(f64::INFINITY, f64::min).max(0.0)
    }

    fn reserve(&mut self, from: usize, until: usize, work_ms: f64) {
        for range in self.enclosing(from, until) {
            self.free_ms[range].iter_mut().for_each(|free| *free -= work_ms);
        }
    }
}
