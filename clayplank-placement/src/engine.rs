//! Load of one engine, derived from placements and their events.

use clayplank_types::DataCentre;

use crate::health::Health;
use crate::job::{Job, JobKind, PrefillWork};
use crate::model::EngineModel;
use crate::rate_limit::RateLimit;
use crate::reachability::Reachability;
use crate::request::PlacementId;

/// Share of its memory that is left free on each engine, since answers may be longer than expected.
const MEMORY_MARGIN_SHARE: f64 = 0.04;

/// Static description of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Service that the engine belongs to.
    pub pool: String,
    /// Data centre that the engine runs in.
    pub data_centre: DataCentre,
    /// Cost model of the engine's work.
    pub model: EngineModel,
}

/// Static description, state and load of one engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    pub(crate) spec: EngineSpec,
    pub(crate) is_open: bool,
    /// Whether its data centre is cordoned, so that it receives no new work.
    pub(crate) is_cordoned: bool,
    pub(crate) rate_limit: RateLimit,
    /// Whether its heartbeats are missing.
    pub(crate) lacks_heartbeats: bool,
    pub(crate) health: Health,
    pub(crate) reachability: Reachability,
    pub(crate) jobs: Vec<Job>,
    /// Time up to which the progress of its jobs is computed.
    advanced_at_ms: f64,
    /// Pace that it had reported at that time, by which `remaining_ms` of its jobs is scaled.
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

    /// Whether it accepts new work.
    pub(crate) fn takes_work(&self) -> bool {
        self.is_open && !self.is_cordoned
    }

    /// Whether neither heartbeats nor answers show that it is alive.
    pub(crate) fn is_doubtful(&self, now_ms: f64) -> bool {
        self.lacks_heartbeats && !self.health.has_answered_recently(now_ms)
    }

    /// Number of requests that this engine serves as their primary engine, streaming or not yet.
    pub(crate) fn primaries(&self) -> usize {
        self.jobs.iter().filter(|job| job.kind == JobKind::Primary).count()
    }

    /// Number of slots that no request occupies.
    pub(crate) fn free_slots(&self) -> usize {
        (self.spec.model.slots as usize).saturating_sub(self.primaries())
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
        (self.spec.model.memory_tokens as f64 * MEMORY_MARGIN_SHARE) as u64
    }

    /// Memory, in tokens, that may be committed to requests on an idle engine.
    pub(crate) fn memory_usable_when_idle(&self) -> u64 {
        self.spec.model.memory_tokens - self.memory_margin()
    }

    /// Duration of one pass, in ms: the `steps_per_event` steps between two events of a stream,
    /// with all current and upcoming streams of this engine.
    pub(crate) fn pass_ms(&self) -> f64 {
        let streams = self.jobs.iter().filter(|job| job.kind == JobKind::Primary);
        let (count, context) =
            streams.fold((0, 0), |(count, context), job| (count + 1, context + job.context_tokens));
        self.spec.model.pass_ms(count, context) * self.reported_slowness
    }

    /// Time to decode this many tokens beside the current streams, in ms.
    pub(crate) fn decode_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / f64::from(self.spec.model.steps_per_event) * self.pass_ms()
    }

    /// Whether any stream is being decoded. A stream counts from the estimated end of its prefill,
    /// before its first token is reported, since work that is sent meanwhile already waits for its
    /// passes.
    fn is_decoding(&self) -> bool {
        self.jobs.iter().any(|job| job.kind == JobKind::Primary && !job.is_queued())
    }

    /// Prefill work ahead of a new prompt: none for a part of a split prompt, which goes first.
    pub(crate) fn queued_before(&self, is_split: bool) -> PrefillWork {
        if is_split { PrefillWork::default() } else { self.queued() }
    }

    /// All queued prefill work.
    pub(crate) fn queued(&self) -> PrefillWork {
        self.in_prefill_order().fold(PrefillWork::default(), |sum, job| sum.plus(job.queued()))
    }

    /// Queued jobs in the order in which the engine prefills them: parts of split prompts, newest
    /// first, then unsplit prompts in order of arrival.
    pub(crate) fn in_prefill_order(&self) -> impl Iterator<Item = &Job> {
        let split = self.jobs.iter().rev().filter(|job| job.is_queued() && job.is_split);
        let unsplit = self.jobs.iter().filter(|job| job.is_queued() && !job.is_split);
        split.chain(unsplit)
    }

    /// Time to prefill the queued work, in ms. Each prefill pass also runs the steps of the current
    /// streams.
    pub(crate) fn time_to_prefill_ms(&self, queued: PrefillWork) -> f64 {
        if self.is_decoding() { self.prefill_beside_streams_ms(queued) } else { queued.prefill_ms }
    }

    /// Time to prefill the queued work when its last item is a new prompt, in ms. All prompts
    /// before it are streams by then, and their steps run in the passes that prefill the new one.
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
        let passes = (queued.tokens / self.spec.model.pass_prefill_tokens() as f64).ceil();
        queued.prefill_ms + passes.max(1.0) * self.pass_ms()
    }

    /// Computes the prefill progress since the last call.
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

    /// Rescales the remaining prefill time of all jobs to a new pace.
    fn set_slowness(&mut self, slowness: f64) {
        let ratio = slowness / self.reported_slowness;
        self.reported_slowness = slowness;
        self.jobs.iter_mut().for_each(|job| job.remaining_ms *= ratio);
    }

    /// Adds a job; its queue position follows from [`Engine::in_prefill_order`].
    pub(crate) fn add_job(&mut self, now_ms: f64, job: Job) {
        self.advance(now_ms);
        self.jobs.push(job);
    }

    /// Records that a prompt is prefilled, and removes its helper job unless that holds memory.
    pub(crate) fn record_started(&mut self, now_ms: f64, id: PlacementId) {
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
