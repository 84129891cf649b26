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
    pub(crate) is_reading: bool,
    pub(crate) read_ms: f64,
    pub(crate) read_tokens: u64,
    pub(crate) read_until_ms: f64,
    pub(crate) memory_tokens: u64,
    pub(crate) context_tokens: u64,
    pub(crate) pause_goal_ms: f64,
    pub(crate) first_token_due_ms: f64,
    pub(crate) weight: f64,
}

/// After a first failure an engine is avoided for this long, in ms; twice as long after the next.
const AVOID_BASE_MS: f64 = 500.0;

/// And never longer than this, in ms, so that one that has recovered is found out.
const AVOID_MAX_MS: f64 = 8_000.0;

/// A first token that took this many times what was expected speaks of a slow engine.
const SLOW_RATIO: f64 = 2.0;

/// Shorter delays, in ms, say nothing of an engine: the way there and the passes vary.
const SLOW_MIN_MS: f64 = 150.0;

/// An engine is never taken for slower than this; beyond, nothing more is learned.
const MAX_SLOWNESS: f64 = 8.0;

/// Time, in ms, in which what was learned of an engine's slowness loses half of its weight.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;

/// What is known of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) is_open: bool,
    pub(crate) jobs: Vec<Job>,
    /// When it is expected to have read all that was given to it.
    read_until_ms: f64,
    failures: u32,
    avoid_until_ms: f64,
    slowness: f64,
    slowness_at_ms: f64,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec, is_open: bool) -> Self {
        Self {
            spec,
            is_open,
            jobs: Vec::new(),
            read_until_ms: 0.0,
            failures: 0,
            avoid_until_ms: 0.0,
            slowness: 1.0,
            slowness_at_ms: 0.0,
        }
    }

    pub(crate) fn is_avoided(&self, now_ms: f64) -> bool {
        now_ms < self.avoid_until_ms
    }

    /// How many times longer its work takes than the model says, as far as is known.
    pub(crate) fn slowness(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.slowness_at_ms).max(0.0);
        1.0 + (self.slowness - 1.0) * 0.5_f64.powf(age_ms / SLOWNESS_HALF_LIFE_MS)
    }

    pub(crate) fn read_backlog_ms(&self, now_ms: f64) -> f64 {
        (self.read_until_ms - now_ms).max(0.0)
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
        self.spec.model.pass_ms(count, context)
    }

    /// Prompt tokens, and the time for them, that wait to be read.
    pub(crate) fn queued(&self, now_ms: f64) -> (u64, f64) {
        let reading = self.jobs.iter().filter(|job| job.is_reading && job.read_until_ms > now_ms);
        reading.fold((0, 0.0), |(tokens, read_ms), job| {
            let left_ms = job.read_ms.min(job.read_until_ms - now_ms);
            (tokens + job.read_tokens, read_ms + left_ms)
        })
    }

    /// Takes a job; its reading comes after what was given before.
    pub(crate) fn take(&mut self, now_ms: f64, mut job: Job) {
        let pass_ms = if self.primaries() > 0 { self.pass_ms() } else { 0.0 };
        let passes = (job.read_tokens as f64 / self.spec.model.pass_read_tokens() as f64).ceil();
        let start_ms = self.read_until_ms.max(now_ms);
        self.read_until_ms = start_ms + job.read_ms + pass_ms * passes;
        job.read_until_ms = self.read_until_ms;
        self.jobs.push(job);
    }

    /// The prompt was read: what helped it is free again.
    pub(crate) fn note_started(&mut self, now_ms: f64, id: PlacementId) {
        self.jobs
            .retain(|job| job.id != id || job.kind == JobKind::Primary || job.memory_tokens > 0);
        for job in self.jobs.iter_mut().filter(|job| job.id == id) {
            job.is_reading = false;
        }
        self.shorten_backlog(now_ms);
    }

    pub(crate) fn drop_job(&mut self, now_ms: f64, id: PlacementId) {
        self.jobs.retain(|job| job.id != id);
        self.shorten_backlog(now_ms);
    }

    fn shorten_backlog(&mut self, now_ms: f64) {
        let left_ms: f64 =
            self.jobs.iter().filter(|job| job.is_reading).map(|job| job.read_ms).sum();
        let passes = self.jobs.iter().filter(|job| job.is_reading).count() as f64;
        let bound_ms = now_ms + left_ms + passes * self.pass_ms();
        self.read_until_ms = self.read_until_ms.min(bound_ms);
    }

    pub(crate) fn note_failure(&mut self, now_ms: f64) {
        self.failures = (self.failures + 1).min(8);
        let pause_ms = AVOID_BASE_MS * f64::from(1_u32 << (self.failures - 1));
        self.avoid_until_ms = now_ms + pause_ms.min(AVOID_MAX_MS);
    }

    pub(crate) fn note_success(&mut self) {
        self.failures = 0;
    }

    /// Learns from how long a first token took.
    pub(crate) fn note_first_token(&mut self, now_ms: f64, expected_ms: f64, took_ms: f64) {
        let is_late = took_ms > SLOW_RATIO * expected_ms && took_ms > expected_ms + SLOW_MIN_MS;
        let seen = if is_late { took_ms / expected_ms.max(1.0) } else { 1.0 };
        let held = self.slowness(now_ms);
        self.slowness = ((held + seen) / 2.0).clamp(1.0, MAX_SLOWNESS);
        self.slowness_at_ms = now_ms;
    }
}
