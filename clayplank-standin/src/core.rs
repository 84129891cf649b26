//! An engine with continuous batching, without a network or a clock: the caller runs its steps.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use clayplank_types::{AttemptId, EnginePriority, PREFIX_BLOCK_TOKENS};
use serde::{Deserialize, Serialize};

/// Cost model and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Fixed duration of a step.
    pub step_base_ms: f64,
    /// Time added for each prompt token that a step prefills.
    pub prefill_ms_per_token: f64,
    /// Time added for each sequence that gets its next token.
    pub decode_ms_per_sequence: f64,
    /// Maximum number of prompt tokens that a step prefills.
    pub chunk_tokens: u64,
    /// Capacity of the KV cache.
    pub memory_tokens: u64,
}

impl Default for EngineModel {
    fn default() -> Self {
        Self {
            step_base_ms: 12.0,
            prefill_ms_per_token: 0.05,
            decode_ms_per_sequence: 0.25,
            chunk_tokens: 1_024,
            memory_tokens: 400_000,
        }
    }
}

/// Purpose of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Prefills a prompt and generates an answer.
    Completion,
    /// Prefills a part of a prompt and keeps its KV cache for another engine.
    Prefill,
}

/// One attempt of a request, as submitted to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// Attempt that the job runs; an engine accepts each attempt once.
    pub attempt_id: AttemptId,
    /// Whether the job generates an answer or only prefills.
    pub kind: JobKind,
    /// Prompt tokens that this engine prefills.
    pub prompt_tokens: u64,
    /// Number of tokens that the answer will have.
    pub output_tokens: u64,
    /// Jobs of higher priority are prefilled first.
    pub priority: EnginePriority,
    /// Hashes of the prompt's prefixes, shortest first; each is one block longer.
    pub prefix_hashes: Vec<u64>,
}

impl Job {
    /// A completion of default priority that shares no prefix.
    pub fn completion(attempt_id: AttemptId, prompt_tokens: u64, output_tokens: u64) -> Self {
        Self {
            attempt_id,
            kind: JobKind::Completion,
            prompt_tokens,
            output_tokens,
            priority: EnginePriority::default(),
            prefix_hashes: Vec::new(),
        }
    }

    /// Tokens of KV cache that the job reserves.
    pub fn memory_tokens(&self) -> u64 {
        match self.kind {
            JobKind::Completion => self.prompt_tokens + self.output_tokens,
            JobKind::Prefill => self.prompt_tokens,
        }
    }
}

/// Reason that a job was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The attempt was submitted before.
    #[error("the attempt was begun before")]
    Repeated,
    /// The adapter that the request names is not loaded.
    #[error("the adapter is not loaded")]
    NoAdapter,
    /// Too little KV cache is free.
    #[error("out of memory: {free_tokens} tokens are free")]
    OutOfMemory {
        /// Tokens of KV cache that are not reserved.
        free_tokens: u64,
    },
}

/// Result of a step for one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepEvent {
    /// A prompt part is completely prefilled and its KV cache is kept.
    Prefilled(AttemptId),
    /// One token of an answer was generated; the number is its position, from 0.
    Token(AttemptId, u64),
    /// The answer is complete and its memory is free.
    Ended(AttemptId),
}

/// A job in the batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunningJob {
    /// The job as submitted.
    pub job: Job,
    /// Prompt tokens that were already in the prefix cache.
    pub cached_tokens: u64,
    prefilled_tokens: u64,
    generated_tokens: u64,
}

impl RunningJob {
    fn is_prefilled(&self) -> bool {
        self.prefilled_tokens >= self.job.prompt_tokens
    }
}

/// State of an engine: the batch, its reserved memory and its prefix cache.
#[derive(Debug)]
pub struct EngineCore {
    model: EngineModel,
    running: BTreeMap<AttemptId, RunningJob>,
    /// Jobs that are not completely prefilled: priority, order of arrival, attempt.
    awaiting_prefill: BTreeSet<(EnginePriority, u64, AttemptId)>,
    decoding: BTreeSet<AttemptId>,
    reserved_tokens: u64,
    started_attempts: BTreeSet<AttemptId>,
    next_arrival: u64,
    cache: PrefixCache,
    planned: Vec<(AttemptId, u64)>,
    prefilled_tokens_total: u64,
    generated_tokens_total: u64,
}

impl EngineCore {
    /// Creates an engine without jobs and with an empty cache.
    pub fn new(model: EngineModel) -> Self {
        Self {
            model,
            running: BTreeMap::new(),
            awaiting_prefill: BTreeSet::new(),
            decoding: BTreeSet::new(),
            reserved_tokens: 0,
            started_attempts: BTreeSet::new(),
            next_arrival: 0,
            cache: PrefixCache::default(),
            planned: Vec::new(),
            prefilled_tokens_total: 0,
            generated_tokens_total: 0,
        }
    }

    /// Cost model and capacity that the engine was created with.
    pub fn model(&self) -> &EngineModel {
        &self.model
    }

    /// Tokens of KV cache reserved by the jobs in the batch.
    pub fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Jobs in the batch, ordered by attempt.
    pub fn running(&self) -> impl Iterator<Item = &RunningJob> {
        self.running.values()
    }

    /// Prompt tokens prefilled and answer tokens generated since the engine was created.
    pub fn totals(&self) -> (u64, u64) {
        (self.prefilled_tokens_total, self.generated_tokens_total)
    }

    /// All attempts that were ever started, also those that have ended.
    pub fn started(&self) -> impl Iterator<Item = AttemptId> + '_ {
        self.started_attempts.iter().copied()
    }

    /// Adds a job to the batch. Returns how many of its prompt tokens the cache already holds.
    ///
    /// # Errors
    /// The attempt was started before, or memory does not suffice; the engine is unchanged.
    pub fn start(&mut self, job: Job) -> Result<u64, StartError> {
        if self.started_attempts.contains(&job.attempt_id) {
            return Err(StartError::Repeated);
        }
        let free_tokens = self.model.memory_tokens - self.reserved_tokens;
        if job.memory_tokens() > free_tokens {
            return Err(StartError::OutOfMemory { free_tokens });
        }
        self.reserved_tokens += job.memory_tokens();
        let cached_tokens =
            self.cache.match_prefix(&job.prefix_hashes).min(job.prompt_tokens.saturating_sub(1));
        self.started_attempts.insert(job.attempt_id);
        self.awaiting_prefill.insert((job.priority, self.next_arrival, job.attempt_id));
        self.next_arrival += 1;
        let running =
            RunningJob { cached_tokens, prefilled_tokens: cached_tokens, generated_tokens: 0, job };
        self.running.insert(running.job.attempt_id, running);
        Ok(cached_tokens)
    }

    /// Removes a job from the batch and frees its memory. Returns whether it was there.
    pub fn cancel(&mut self, attempt_id: AttemptId) -> bool {
        let Some(running) = self.running.remove(&attempt_id) else {
            return false;
        };
        self.reserved_tokens -= running.job.memory_tokens();
        self.decoding.remove(&attempt_id);
        self.awaiting_prefill.retain(|&(_, _, id)| id != attempt_id);
        self.trim_cache();
        true
    }

    /// Plans the next step and returns its duration in ms; `None` if there is no work.
    pub fn plan_step_ms(&mut self) -> Option<f64> {
        if self.awaiting_prefill.is_empty() && self.decoding.is_empty() {
            return None;
        }
        let mut budget_tokens = self.model.chunk_tokens;
        self.planned.clear();
        for &(_, _, id) in &self.awaiting_prefill {
            if budget_tokens == 0 {
                break;
            }
            let running = &self.running[&id];
            let part_tokens =
                budget_tokens.min(running.job.prompt_tokens - running.prefilled_tokens);
            budget_tokens -= part_tokens;
            self.planned.push((id, part_tokens));
        }
        let step_tokens = self.model.chunk_tokens - budget_tokens;
        let prefill_ms = self.model.prefill_ms_per_token * step_tokens as f64;
        let decode_ms = self.model.decode_ms_per_sequence * self.decoding.len() as f64;
        Some(self.model.step_base_ms + prefill_ms + decode_ms)
    }

    /// Applies the planned step and returns its results.
    pub fn finish_step(&mut self) -> Vec<StepEvent> {
        let mut events = Vec::new();
        let decoding: Vec<_> = self.decoding.iter().copied().collect();
        for id in decoding {
            self.generate_token(id, &mut events);
        }
        for (id, part_tokens) in std::mem::take(&mut self.planned) {
            self.prefill_part(id, part_tokens, &mut events);
        }
        self.trim_cache();
        events
    }

    fn prefill_part(&mut self, id: AttemptId, part_tokens: u64, events: &mut Vec<StepEvent>) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        running.prefilled_tokens += part_tokens;
        self.prefilled_tokens_total += part_tokens;
        if !running.is_prefilled() {
            return;
        }
        let kind = running.job.kind;
        self.cache.store(&running.job.prefix_hashes);
        self.awaiting_prefill.retain(|&(_, _, other)| other != id);
        match kind {
            JobKind::Prefill => events.push(StepEvent::Prefilled(id)),
            JobKind::Completion => {
                self.decoding.insert(id);
                self.generate_token(id, events);
            }
        }
    }

    fn generate_token(&mut self, id: AttemptId, events: &mut Vec<StepEvent>) {
        let Some(running) = self.running.get_mut(&id) else {
            return;
        };
        events.push(StepEvent::Token(id, running.generated_tokens));
        running.generated_tokens += 1;
        self.generated_tokens_total += 1;
        if running.generated_tokens >= running.job.output_tokens {
            self.cancel(id);
            events.push(StepEvent::Ended(id));
        }
    }

    fn trim_cache(&mut self) {
        let free_tokens = self.model.memory_tokens - self.reserved_tokens;
        self.cache.trim((free_tokens / PREFIX_BLOCK_TOKENS) as usize);
    }

    /// Cache events whose sequence number is above `after`. Only the newest 1,024 are kept, so that a
    /// caller that asks rarely sees a gap in the numbers.
    pub fn cache_events(&self, after: u64) -> impl Iterator<Item = &CacheEvent> {
        self.cache.events.iter().filter(move |event| event.sequence > after)
    }
}

/// A prefix was stored in the cache or evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; increases by one with each.
    pub sequence: u64,
    /// Hash of the prefix, as in [`Job::prefix_hashes`].
    pub prefix_hash: u64,
    /// `true` if the prefix was stored, `false` if it was evicted.
    pub stored: bool,
}

/// Number of cache events that an engine keeps; older ones are dropped.
const MAX_CACHE_EVENTS: usize = 1_024;

/// Cache of prefix blocks with LRU eviction.
///
/// `last_used` gives each block's time of last use by a logical clock; `by_last_use` is its inverse.
#[derive(Debug, Default)]
struct PrefixCache {
    last_used: HashMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    sequence: u64,
    events: std::collections::VecDeque<CacheEvent>,
}

impl PrefixCache {
    /// Tokens of the longest cached prefix; marks its blocks as used.
    fn match_prefix(&mut self, hashes: &[u64]) -> u64 {
        let mut blocks = 0;
        for hash in hashes {
            if !self.last_used.contains_key(hash) {
                break;
            }
            self.touch(*hash);
            blocks += 1;
        }
        blocks * PREFIX_BLOCK_TOKENS
    }

    /// Marks a block as used now; inserts it if it is missing, and returns whether it did.
    fn touch(&mut self, hash: u64) -> bool {
        self.clock += 1;
        let previous = self.last_used.insert(hash, self.clock);
        if let Some(at) = previous {
            self.by_last_use.remove(&at);
        }
        self.by_last_use.insert(self.clock, hash);
        previous.is_none()
    }

    fn store(&mut self, hashes: &[u64]) {
        for &hash in hashes {
            if self.touch(hash) {
                self.record_event(hash, true);
            }
        }
    }

    fn trim(&mut self, max_blocks: usize) {
        while self.last_used.len() > max_blocks {
            let Some((_, hash)) = self.by_last_use.pop_first() else {
                return;
            };
            self.last_used.remove(&hash);
            self.record_event(hash, false);
        }
    }

    fn record_event(&mut self, prefix_hash: u64, stored: bool) {
        self.sequence += 1;
        self.events.push_back(CacheEvent { sequence: self.sequence, prefix_hash, stored });
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
        }
    }
}
