//! State of one engine as its pool's owner tracks it.

use std::collections::{BTreeMap, BTreeSet};

use clayplank_types::{AttemptId, Incarnation, UpstreamId};

use crate::policy::Lane;
use crate::rates::Rates;

/// Prompt tokens that an engine is assumed to prefill in one step.
const STEP_TOKENS: f64 = 1_024.0;

/// Configuration of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineSpec {
    /// Identifier of the engine.
    pub id: UpstreamId,
    /// Size of its KV cache, in tokens.
    pub memory_tokens: u64,
    /// Names of the models that it serves.
    pub models: Vec<String>,
}

impl EngineSpec {
    /// Describes an engine by its identifier, KV cache size in tokens, and models.
    pub fn new<'a>(
        id: UpstreamId,
        memory_tokens: u64,
        models: impl IntoIterator<Item = &'a str>,
    ) -> Self {
        Self { id, memory_tokens, models: models.into_iter().map(str::to_owned).collect() }
    }
}

/// Load report of an engine. It describes a past state: newer grants may be missing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Incarnation of the engine, which changes at each restart.
    pub incarnation: Incarnation,
    /// Size of its KV cache, in tokens.
    pub memory_tokens: u64,
    /// Attempts in its batch, with the KV cache tokens reserved for each.
    pub running: BTreeMap<AttemptId, u64>,
    /// Names of the adapters that are loaded.
    pub adapters: BTreeSet<String>,
    /// Whether the engine is draining and accepts no new work.
    pub is_draining: bool,
}

/// Whether an engine may be given new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Availability {
    Live,
    /// Its load reports stopped.
    Unresponsive,
    /// It is about to stop; this is final for its incarnation.
    Draining,
}

/// An engine with its reservations, its prefills and its measured rates.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) id: UpstreamId,
    pub(crate) models: Vec<String>,
    pub(crate) adapters: BTreeSet<String>,
    pub(crate) memory_tokens: u64,
    pub(crate) incarnation: Incarnation,
    pub(crate) availability: Availability,
    /// KV cache reserved by grants, held or revoked but not yet released, in tokens.
    pub(crate) granted_tokens: u64,
    /// The share of `granted_tokens` that requests of [`Lane::Brief`] and [`Lane::Short`] hold.
    short_tokens: u64,
    /// Attempts that the engine reports but no grant accounts for, with their reserved tokens.
    pub(crate) foreign: BTreeMap<AttemptId, u64>,
    pub(crate) foreign_tokens: u64,
    pub(crate) grants: u32,
    /// Prompt tokens in prefill, by lane.
    prefill_tokens: [u64; Lane::ALL.len()],
    /// Number of prompts in prefill, by lane.
    prefills: [u32; Lane::ALL.len()],
    /// A gang request waits for memory on this engine: it takes no new medium or long
    /// prompts, and brief and short ones only within their memory reserve.
    pub(crate) is_reserved_for_gang: bool,
    pub(crate) rates: Rates,
}

impl Engine {
    pub(crate) fn new(spec: EngineSpec, rates: Rates) -> Self {
        Self {
            id: spec.id,
            models: spec.models,
            adapters: BTreeSet::new(),
            memory_tokens: spec.memory_tokens,
            incarnation: Incarnation::default(),
            availability: Availability::Live,
            granted_tokens: 0,
            short_tokens: 0,
            foreign: BTreeMap::new(),
            foreign_tokens: 0,
            grants: 0,
            prefill_tokens: Default::default(),
            prefills: Default::default(),
            is_reserved_for_gang: false,
            rates,
        }
    }

    /// KV cache that neither grants nor foreign attempts use, in tokens.
    pub(crate) fn free_tokens(&self) -> u64 {
        self.memory_tokens.saturating_sub(self.granted_tokens + self.foreign_tokens)
    }

    pub(crate) fn is_live(&self) -> bool {
        self.availability == Availability::Live
    }

    /// Whether it can run a request with the adapter without loading it first.
    pub(crate) fn has_adapter(&self, adapter: Option<&String>) -> bool {
        adapter.is_none_or(|adapter| self.adapters.contains(adapter))
    }

    pub(crate) fn prefills_in(&self, lane: Lane) -> u32 {
        self.prefills[lane as usize]
    }

    /// Whether a prompt of a heavy lane is in prefill.
    pub(crate) fn is_heavy(&self) -> bool {
        Lane::ALL.into_iter().any(|lane| lane.is_heavy() && self.prefills_in(lane) > 0)
    }

    /// Whether a prompt of a later lane, which one of `lane` overtakes, is in prefill.
    fn overtakes_prefill(&self, lane: Lane) -> bool {
        Lane::ALL.into_iter().any(|other| other > lane && self.prefills_in(other) > 0)
    }

    pub(crate) fn total_prefill_tokens(&self) -> u64 {
        self.prefill_tokens.iter().sum()
    }

    /// Time to prefill the prompts that a new one of the lane does not overtake, in ms.
    pub(crate) fn wait_ahead_ms(&self, lane: Lane) -> f64 {
        let ahead_tokens: u64 = self.prefill_tokens[..=lane as usize].iter().sum();
        ahead_tokens as f64 * self.rates.prefill_ms_per_token
    }

    /// Predicted time until the prefill of a new prompt of the lane starts, in ms.
    pub(crate) fn predicted_wait_ms(&self, lane: Lane) -> f64 {
        // On average, half of the current full step remains.
        let overtakes = self.overtakes_prefill(lane);
        let step_ms =
            if overtakes { STEP_TOKENS * self.rates.prefill_ms_per_token / 2.0 } else { 0.0 };
        self.wait_ahead_ms(lane) + step_ms
    }

    /// Predicted prefill time of a prompt of `tokens` tokens, in ms. If it overtakes another
    /// prompt, tokens of that one fill up each step, so that every step takes its full time.
    pub(crate) fn predicted_prefill_ms(&self, lane: Lane, tokens: u64) -> f64 {
        let steps = (tokens as f64 / STEP_TOKENS).ceil();
        let prefill_tokens =
            if self.overtakes_prefill(lane) { steps * STEP_TOKENS } else { tokens as f64 };
        prefill_tokens * self.rates.prefill_ms_per_token
    }

    /// Time to prefill all prompts given to the engine, in ms.
    pub(crate) fn total_wait_ms(&self) -> f64 {
        self.total_prefill_tokens() as f64 * self.rates.prefill_ms_per_token
    }

    /// KV cache reserved for brief and short prompts, in tokens.
    fn short_reserve_tokens(&self, reserve_percent: u64) -> u64 {
        self.memory_tokens * reserve_percent / 100
    }

    /// Maximum KV cache for prompts of the heavy lanes, in tokens.
    pub(crate) fn heavy_memory_tokens(&self, reserve_percent: u64) -> u64 {
        self.memory_tokens - self.short_reserve_tokens(reserve_percent)
    }

    /// Whether `tokens` of KV cache can be granted to a request of the lane now.
    pub(crate) fn has_room(&self, lane: Lane, tokens: u64, reserve_percent: u64) -> bool {
        let heavy_tokens = self.granted_tokens - self.short_tokens + self.foreign_tokens;
        let heavy_fits = heavy_tokens + tokens <= self.heavy_memory_tokens(reserve_percent);
        let reserve_fits = self.short_tokens + tokens <= self.short_reserve_tokens(reserve_percent);
        let lane_fits = match lane {
            Lane::Brief | Lane::Short => !self.is_reserved_for_gang || reserve_fits,
            Lane::Medium | Lane::Long => !self.is_reserved_for_gang && heavy_fits,
            Lane::Gang => heavy_fits,
        };
        lane_fits && tokens <= self.free_tokens()
    }

    pub(crate) fn reserve(&mut self, lane: Lane, tokens: u64) {
        assert!(tokens <= self.free_tokens(), "{}: reserved more than is free", self.id);
        self.adopt(lane, tokens);
    }

    /// Counts a grant without checking that it fits, as for a grant of an earlier owner that
    /// the engine runs already.
    pub(crate) fn adopt(&mut self, lane: Lane, tokens: u64) {
        self.granted_tokens += tokens;
        self.grants += 1;
        if !lane.is_heavy() {
            self.short_tokens += tokens;
        }
    }

    pub(crate) fn release(&mut self, lane: Lane, tokens: u64) {
        assert!(tokens <= self.granted_tokens, "{}: released more than was reserved", self.id);
        self.granted_tokens -= tokens;
        self.grants -= 1;
        if !lane.is_heavy() {
            self.short_tokens -= tokens;
        }
    }

    pub(crate) fn start_prefill(&mut self, now_ms: u64, lane: Lane, tokens: u64) {
        self.prefill_tokens[lane as usize] += tokens;
        self.prefills[lane as usize] += 1;
        self.rates.start_prefill(now_ms);
    }

    pub(crate) fn end_prefill(&mut self, lane: Lane, tokens: u64) {
        self.prefill_tokens[lane as usize] -= tokens;
        self.prefills[lane as usize] -= 1;
    }

    /// Counts an attempt that no grant accounts for. Its memory may exceed what is free.
    pub(crate) fn add_foreign(&mut self, attempt_id: AttemptId, tokens: u64) {
        if let Some(before) = self.foreign.insert(attempt_id, tokens) {
            self.foreign_tokens -= before;
        }
        self.foreign_tokens += tokens;
    }

    pub(crate) fn remove_foreign(&mut self, attempt_id: AttemptId) {
        if let Some(tokens) = self.foreign.remove(&attempt_id) {
            self.foreign_tokens -= tokens;
        }
    }
}
