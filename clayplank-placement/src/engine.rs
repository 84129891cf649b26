//! The load of one engine, as placements and their events tell it.

use clayplank_types::DataCentre;

use crate::health::Health;
use crate::job::{Job, JobKind, PrefillWork};
use crate::model::EngineModel;
use crate::rate_limit::RateLimit;
use crate::reachability::Reachability;
use crate::request::PlacementId;

/// Memory left free on each engine, as a share: answers may be longer than expected.
const MEMORY_MARGIN: f64 = 0.04;

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

/// What is known of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) is_open: bool,
    /// Whether its data centre is to get nothing.
    pub(crate) is_cordoned: bool,
    pub(crate) rate_limit: RateLimit,
    /// Whether its heartbeats are missing.
    pub(crate) lacks_heartbeats: bool,
    pub(crate) health: Health,
    pub(crate) reachability: Reachability,
    pub(crate) jobs: Vec<Job>,
    /// Up to when the reading of its jobs was worked out.
    advanced_at_ms: f64,
    /// The pace that it had told by then, and at which its work is worked out.
    reported_slowness: f64,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec, is_open: bool) -> Self {
        Self {
            spec,
            is_open,
            is_cordoned: false,
            rate_limit: RateLimit::default(),
            lacks_heartbeats: false,
            health: Health::default(),
            reachability: Reachability::default(),
            jobs: Vec::new(),
            advanced_at_ms: 0.0,
            reported_slowness: 1.0,
        }
    }

    /// Whether new work may go to it at all.
    pub(crate) fn takes_work(&self) -> bool {
        self.is_open && !self.is_cordoned
    }

    /// Whether neither heartbeats nor answers tell that it lives.
    pub(crate) fn is_doubtful(&self, now_ms: f64) -> bool {
        self.lacks_heartbeats && !self.health.has_answered_recently(now_ms)
    }

    /// Requests that run here, written or about to be.
    pub(crate) fn primaries(&self) -> usize {
        self.jobs.iter().filter(|job| job.kind == JobKind::Primary).count()
    }

    pub(crate) fn helper_parts(&self) -> usize {
        self.jobs.len() - self.primaries()
    }

    pub(crate) fn memory_free(&self) -> u64 {
        let used: u64 = self.jobs.iter().map(|job| job.memory_tokens).sum();
        self.spec.model.memory_tokens.saturating_sub(used)
    }

    /// Memory, in tokens, that is left free for longer answers.
    pub(crate) fn memory_margin(&self) -> u64 {
        (self.spec.model.memory_tokens as f64 * MEMORY_MARGIN) as u64
    }

    /// Memory, in tokens, that an engine at rest may promise.
    pub(crate) fn memory_usable_when_idle(&self) -> u64 {
        self.spec.model.memory_tokens - self.memory_margin()
    }

    /// The pass of what is written and about to be written here.
    pub(crate) fn pass_ms(&self) -> f64 {
        let streams = self.jobs.iter().filter(|job| job.kind == JobKind::Primary);
        let (count, context) =
            streams.fold((0, 0), |(count, context), job| (count + 1, context + job.context_tokens));
        self.spec.model.pass_ms(count, context) * self.reported_slowness
    }

    /// Time to write so many tokens beside what is written now.
    pub(crate) fn decode_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / f64::from(self.spec.model.steps_per_event) * self.pass_ms()
    }

    /// Whether streams are written here: as soon as a prompt should be read, and not only once its first
    /// token was told. What is sent meanwhile waits for the passes of that stream.
    fn is_decoding(&self) -> bool {
        self.jobs.iter().any(|job| job.kind == JobKind::Primary && !job.is_queued())
    }

    /// Reads that come before a new one: a part of a split prompt goes before all others.
    pub(crate) fn queued_before(&self, is_split: bool) -> PrefillWork {
        if is_split { PrefillWork::default() } else { self.queued() }
    }

    /// All reads that wait.
    pub(crate) fn queued(&self) -> PrefillWork {
        self.in_prefill_order().fold(PrefillWork::default(), |sum, job| sum.plus(job.queued()))
    }

    /// Reads that wait, in the order in which the engine takes them: parts of split prompts,
    /// the newest first, and then whole prompts as they came.
    pub(crate) fn in_prefill_order(&self) -> impl Iterator<Item = &Job> {
        let split = self.jobs.iter().rev().filter(|job| job.is_queued() && job.is_split);
        let unsplit = self.jobs.iter().filter(|job| job.is_queued() && !job.is_split);
        split.chain(unsplit)
    }

    /// Time to read what is queued: each pass also plays the steps of what is written.
    pub(crate) fn time_to_prefill_ms(&self, queued: PrefillWork) -> f64 {
        if self.is_decoding() { self.prefill_beside_streams_ms(queued) } else { queued.prefill_ms }
    }

    /// Time until one more prompt is read after all that waits: whatever is read before it is written by
    /// then, and plays its steps in the passes that read the new one.
    pub(crate) fn time_to_prefill_next_ms(&self, queued: PrefillWork) -> f64 {
        if self.primaries() > 0 {
            self.prefill_beside_streams_ms(queued)
        } else {
            queued.prefill_ms
        }
    }

    fn prefill_beside_streams_ms(&self, queued: PrefillWork) -> f64 {
        if queued.prefill_ms <= 0.0 {
            return 0.0;
        }
        let passes = (queued.tokens / self.spec.model.pass_read_tokens() as f64).ceil();
        queued.prefill_ms + passes.max(1.0) * self.pass_ms()
    }

    /// Works out what was read since the last time.
    pub(crate) fn advance(&mut self, now_ms: f64) {
        let span_ms = (now_ms - self.advanced_at_ms).max(0.0);
        self.advanced_at_ms = now_ms;
        self.set_slowness(self.health.reported_pace(now_ms));
        let queued = self.queued();
        if queued.prefill_ms <= 0.0 || span_ms <= 0.0 {
            return;
        }
        let share = queued.prefill_ms / self.time_to_prefill_ms(queued).max(queued.prefill_ms);
        let mut work_ms = span_ms * share;
        let (split, unsplit): (Vec<_>, Vec<_>) =
            self.jobs.iter_mut().filter(|job| job.is_queued()).partition(|job| job.is_split);
        for job in split.into_iter().rev().chain(unsplit) {
            let done_ms = work_ms.min(job.remaining_ms);
            job.remaining_tokens *= 1.0 - done_ms / job.remaining_ms;
            job.remaining_ms -= done_ms;
            work_ms -= done_ms;
        }
    }

    /// What waits to be read takes longer, or less long, from now on.
    fn set_slowness(&mut self, slowness: f64) {
        let ratio = slowness / self.reported_slowness;
        self.reported_slowness = slowness;
        self.jobs.iter_mut().for_each(|job| job.remaining_ms *= ratio);
    }

    /// Takes a job; when it is read, [`Engine::in_reading_order`] says.
    pub(crate) fn add_job(&mut self, now_ms: f64, job: Job) {
        self.advance(now_ms);
        self.jobs.push(job);
    }

    /// The prompt was read: what helped it is free again.
    pub(crate) fn note_started(&mut self, now_ms: f64, id: PlacementId) {
        self.advance(now_ms);
        self.jobs
            .retain(|job| job.id != id || job.kind == JobKind::Primary || job.memory_tokens > 0);
        for job in self.jobs.iter_mut().filter(|job| job.id == id) {
            job.is_prefilling = false;
        }
    }

    pub(crate) fn remove_job(&mut self, now_ms: f64, id: PlacementId) {
        self.advance(now_ms);
        self.jobs.retain(|job| job.id != id);
    }
}
