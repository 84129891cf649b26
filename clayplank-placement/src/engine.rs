//! The load of one engine, as placements and their events tell it.

use clayplank_types::DataCentre;

use crate::ask::PlacementId;
use crate::model::EngineModel;

/// What is fixed of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// The service that it belongs to.
    pub pool: String,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What its work costs.
    pub model: EngineModel,
}

/// Whether a request runs at the engine or is only read there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobKind {
    Primary,
    Helper,
}

/// A request's share in one engine.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: PlacementId,
    pub(crate) kind: JobKind,
    /// Until the first token of the request has come.
    pub(crate) is_reading: bool,
    /// Whether several engines read the prompt: such parts are read before others.
    pub(crate) is_split: bool,
    /// What is left of its part to be read, as far as can be known from here.
    pub(crate) left_ms: f64,
    pub(crate) left_tokens: f64,
    pub(crate) memory_tokens: u64,
    pub(crate) context_tokens: u64,
    pub(crate) pause_goal_ms: f64,
    /// Time for its first token, from when it was placed.
    pub(crate) goal_ms: f64,
    pub(crate) first_token_due_ms: f64,
    pub(crate) weight: f64,
}

impl Job {
    pub(crate) fn is_queued(&self) -> bool {
        self.is_reading && self.left_ms > 0.0
    }
}

/// Reads that wait on an engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Queued {
    pub(crate) tokens: f64,
    pub(crate) read_ms: f64,
}

/// After a first failure an engine is avoided for this long, in ms; twice as long after the next.
const AVOID_BASE_MS: f64 = 500.0;

/// And never longer than this, in ms, so that one that has recovered is found out.
const AVOID_MAX_MS: f64 = 8_000.0;

/// Failures in a row that are counted; the longest time is reached before.
const MAX_FAILURES: u32 = 8;

/// A first token that took this many times what was expected speaks of a slow engine.
const SLOW_RATIO: f64 = 2.0;

/// Shorter delays, in ms, say nothing of an engine: the way there and the passes vary.
const SLOW_MIN_MS: f64 = 150.0;

/// An engine is never taken for slower than this; beyond, nothing more is learned.
const MAX_SLOWNESS: f64 = 8.0;

/// Time, in ms, in which what was learned of an engine's slowness loses half of its weight.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;

/// A pace that an engine told is used for this long, in ms: slow ones are asked again before.
const PACE_AGE_MS: f64 = 2_500.0;

/// An engine is asked for its pace this often at most, in ms: each question has its price.
const ASK_EVERY_MS: f64 = 700.0;

/// Beyond this pace an engine is slow, and asked again until it is not.
const SLOW_PACE: f64 = 1.2;

/// An answer shows for this long, in ms, that an engine lives whose heartbeats are missing.
const SEEN_MS: f64 = 3_000.0;

/// What is known of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) is_open: bool,
    /// Whether its heartbeats are missing.
    pub(crate) is_silent: bool,
    /// When an answer of it was last seen.
    seen_at_ms: f64,
    pub(crate) jobs: Vec<Job>,
    /// Up to when the reading of its jobs was worked out.
    advanced_at_ms: f64,
    /// The pace that it had told by then, and at which its work is worked out.
    slowness_now: f64,
    failures: u32,
    avoid_until_ms: f64,
    slowness: f64,
    slowness_at_ms: f64,
    /// What the engine itself told: how many times longer its work takes than the model says.
    pace: f64,
    pace_at_ms: f64,
    asked_at_ms: f64,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec, is_open: bool) -> Self {
        Self {
            spec,
            is_open,
            is_silent: false,
            seen_at_ms: 0.0,
            jobs: Vec::new(),
            advanced_at_ms: 0.0,
            slowness_now: 1.0,
            failures: 0,
            avoid_until_ms: 0.0,
            slowness: 1.0,
            slowness_at_ms: 0.0,
            pace: 1.0,
            pace_at_ms: f64::NEG_INFINITY,
            asked_at_ms: f64::NEG_INFINITY,
        }
    }

    pub(crate) fn is_avoided(&self, now_ms: f64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// How many times longer its work takes than the model says: as it told itself lately,
    /// or, if that is more, as its answers showed.
    pub(crate) fn slowness(&self, now_ms: f64) -> f64 {
        self.told_pace(now_ms).max(self.seen_slowness(now_ms))
    }

    /// What it told itself, if that is not too old.
    fn told_pace(&self, now_ms: f64) -> f64 {
        if now_ms < self.pace_at_ms + PACE_AGE_MS { self.pace } else { 1.0 }
    }

    fn seen_slowness(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.slowness_at_ms).max(0.0);
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age_ms / SLOWNESS_HALF_LIFE_MS)
    }

    /// Requests that run here, written or about to be.
    pub(crate) fn primaries(&self) -> usize {
        self.jobs.iter().filter(|job| job.kind == JobKind::Primary).count()
    }

    pub(crate) fn helped(&self) -> usize {
        self.jobs.len() - self.primaries()
    }

    pub(crate) fn memory_free(&self) -> u64 {
        let used: u64 = self.jobs.iter().map(|job| job.memory_tokens).sum();
        self.spec.model.memory_tokens.saturating_sub(used)
    }

    /// The pass of what is written and about to be written here.
    pub(crate) fn pass_ms(&self) -> f64 {
        let written = self.jobs.iter().filter(|job| job.kind == JobKind::Primary);
        let (count, context) =
            written.fold((0, 0), |(count, context), job| (count + 1, context + job.context_tokens));
        self.spec.model.pass_ms(count, context) * self.slowness_now
    }

    /// Whether streams are written here.
    fn is_writing(&self) -> bool {
        self.jobs.iter().any(|job| job.kind == JobKind::Primary && !job.is_reading)
    }

    /// Reads that come before a new one: a part of a split prompt goes before all others.
    pub(crate) fn queued_before(&self, is_split: bool) -> Queued {
        if is_split { Queued::default() } else { self.queued() }
    }

    /// All reads that wait.
    pub(crate) fn queued(&self) -> Queued {
        self.in_reading_order().fold(Queued::default(), |sum, job| Queued {
            tokens: sum.tokens + job.left_tokens,
            read_ms: sum.read_ms + job.left_ms,
        })
    }

    /// Reads that wait, in the order in which the engine takes them: parts of split prompts,
    /// the newest first, and then whole prompts as they came.
    pub(crate) fn in_reading_order(&self) -> impl Iterator<Item = &Job> {
        let split = self.jobs.iter().rev().filter(|job| job.is_queued() && job.is_split);
        let whole = self.jobs.iter().filter(|job| job.is_queued() && !job.is_split);
        split.chain(whole)
    }

    /// Time to read what is queued: each pass also plays the steps of what is written.
    pub(crate) fn time_to_read_ms(&self, queued: Queued) -> f64 {
        if !self.is_writing() || queued.read_ms <= 0.0 {
            return queued.read_ms;
        }
        let passes = (queued.tokens / self.spec.model.pass_read_tokens() as f64).ceil();
        queued.read_ms + passes.max(1.0) * self.pass_ms()
    }

    /// Works out what was read since the last time.
    pub(crate) fn advance(&mut self, now_ms: f64) {
        let span_ms = (now_ms - self.advanced_at_ms).max(0.0);
        self.advanced_at_ms = now_ms;
        self.set_slowness(self.told_pace(now_ms));
        let queued = self.queued();
        if queued.read_ms <= 0.0 || span_ms <= 0.0 {
            return;
        }
        let share = queued.read_ms / self.time_to_read_ms(queued).max(queued.read_ms);
        let mut work_ms = span_ms * share;
        let (split, whole): (Vec<_>, Vec<_>) =
            self.jobs.iter_mut().filter(|job| job.is_queued()).partition(|job| job.is_split);
        for job in split.into_iter().rev().chain(whole) {
            let done_ms = work_ms.min(job.left_ms);
            job.left_tokens *= 1.0 - done_ms / job.left_ms;
            job.left_ms -= done_ms;
            work_ms -= done_ms;
        }
    }

    /// What waits to be read takes longer, or less long, from now on.
    fn set_slowness(&mut self, slowness: f64) {
        let ratio = slowness / self.slowness_now;
        self.slowness_now = slowness;
        self.jobs.iter_mut().for_each(|job| job.left_ms *= ratio);
    }

    /// Takes a job; its reading comes after what is queued before it.
    pub(crate) fn take(&mut self, now_ms: f64, job: Job) {
        self.advance(now_ms);
        self.jobs.push(job);
    }

    /// The prompt was read: what helped it is free again.
    pub(crate) fn note_started(&mut self, now_ms: f64, id: PlacementId) {
        self.advance(now_ms);
        self.jobs
            .retain(|job| job.id != id || job.kind == JobKind::Primary || job.memory_tokens > 0);
        for job in self.jobs.iter_mut().filter(|job| job.id == id) {
            job.is_reading = false;
        }
    }

    pub(crate) fn drop_job(&mut self, now_ms: f64, id: PlacementId) {
        self.advance(now_ms);
        self.jobs.retain(|job| job.id != id);
    }

    pub(crate) fn note_failure(&mut self, now_ms: f64) {
        self.failures = (self.failures + 1).min(MAX_FAILURES);
        let pause_ms = AVOID_BASE_MS * f64::from(1_u32 << (self.failures - 1));
        self.avoid_until_ms = now_ms + pause_ms.min(AVOID_MAX_MS);
    }

    pub(crate) fn note_success(&mut self, now_ms: f64) {
        self.failures = 0;
        self.seen_at_ms = now_ms;
    }

    /// Whether neither heartbeats nor answers tell that it lives.
    pub(crate) fn is_doubtful(&self, now_ms: f64) -> bool {
        self.is_silent && now_ms > self.seen_at_ms + SEEN_MS
    }

    /// Takes in the pace that the engine told.
    pub(crate) fn note_pace(&mut self, now_ms: f64, pace: f64) {
        self.pace = pace.clamp(1.0, MAX_SLOWNESS);
        self.pace_at_ms = now_ms;
        self.seen_at_ms = now_ms;
    }

    /// Whether it was slow when it last told its pace.
    pub(crate) fn is_slow(&self) -> bool {
        self.pace > SLOW_PACE
    }

    /// Whether it may be asked for its pace again; if so, it counts as asked.
    pub(crate) fn take_question(&mut self, now_ms: f64) -> bool {
        let is_due = now_ms >= self.asked_at_ms + ASK_EVERY_MS;
        if is_due {
            self.asked_at_ms = now_ms;
        }
        is_due
    }

    /// Learns from how long a first token took.
    pub(crate) fn note_first_token(&mut self, now_ms: f64, expected_ms: f64, took_ms: f64) {
        let is_late = took_ms > SLOW_RATIO * expected_ms && took_ms > expected_ms + SLOW_MIN_MS;
        let seen = if is_late { took_ms / expected_ms.max(1.0) } else { 1.0 };
        let held = self.seen_slowness(now_ms);
        self.slowness = ((held + seen) / 2.0).clamp(1.0, MAX_SLOWNESS);
        self.slowness_at_ms = now_ms;
        self.seen_at_ms = now_ms;
    }
}
