//! Selection of engines for a request, on a read-only view of the scheduler.

use clayplank_types::PREFIX_BLOCK_TOKENS;

use crate::engine::Engine;
use crate::fleet::{EngineIndex, Fleet, ModelIndex};
use crate::policy::{Discipline, Lane, Policy};
use crate::prefix::PrefixTable;
use crate::reservation::ReservationRequest;

/// Maximum number of engines considered in the order of their wait, or, for medium and long
/// prompts, of their free memory.
const MAX_CANDIDATES: usize = 8;

/// Maximum number of engines considered in the order of their free memory, for brief and
/// short prompts.
const MAX_FREE_MEMORY_CANDIDATES: usize = 4;

/// Penalty on an engine where an earlier attempt failed, so that a retry goes to another
/// engine if one fits.
const AVOID_PENALTY_MS: f64 = 60_000.0;

/// Assumed time for an engine to load an adapter.
const ADAPTER_LOAD_MS: f64 = 500.0;

/// Read-only state that engine selection is based on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SchedulerView<'a> {
    pub(crate) policy: &'a Policy,
    pub(crate) fleet: &'a Fleet,
    pub(crate) prefixes: &'a PrefixTable,
}

/// A selected engine and the number of prompt tokens it has cached.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Choice {
    pub(crate) engine: EngineIndex,
    pub(crate) cached_tokens: u64,
}

/// Prompt tokens planned for one engine, and the KV cache to reserve for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedPart {
    pub(crate) engine: EngineIndex,
    pub(crate) prompt_tokens: u64,
    pub(crate) reserved_tokens: u64,
}

impl SchedulerView<'_> {
    /// Selects the engine with the earliest predicted first token for a brief or short prompt.
    pub(crate) fn choose_light(&self, request: &ReservationRequest, lane: Lane) -> Option<Choice> {
        let model = self.fleet.model(&request.model)?;
        let by_wait = model.by_wait.iter().map(|&(_, _, engine)| engine).take(MAX_CANDIDATES);
        let by_free_tokens = model
            .by_free_tokens
            .iter()
            .rev()
            .map(|&(_, engine)| engine)
            .take(MAX_FREE_MEMORY_CANDIDATES);
        let uncached =
            by_wait.chain(by_free_tokens).map(|engine| Choice { engine, cached_tokens: 0 });
        let mut candidates = self.cached_choices(request);
        candidates.extend(uncached);
        self.choose_soonest(request, lane, candidates, |engine| {
            let wait_ms = engine.wait_ahead_ms(lane);
            let is_below_cap = !self.policy.mechanisms.limit_queued_prefill
                || wait_ms <= self.policy.max_prefill_ahead_ms;
            is_below_cap && self.has_room(engine, lane, request)
        })
    }

    /// Selects an engine for a medium or long prompt. Engines with a heavy prompt in prefill
    /// are preferred, so that the others stay free for short prompts; another engine is used
    /// only while fewer than `limit` engines prefill heavy prompts.
    pub(crate) fn choose_heavy(
        &self,
        request: &ReservationRequest,
        lane: Lane,
        limit: usize,
    ) -> Option<Choice> {
        let model = self.fleet.model(&request.model)?;
        let fits =
            |engine: &Engine| engine.prefills_in(lane) == 0 && self.has_room(engine, lane, request);
        let heavy = model
            .heavy
            .iter()
            .map(|&engine| Choice { engine, cached_tokens: 0 })
            .take(MAX_CANDIDATES);
        if let Some(choice) = self.choose_soonest(request, lane, heavy, fits) {
            return Some(choice);
        }
        if model.heavy.len() >= limit {
            return None;
        }
        let by_free_tokens =
            model.by_free_tokens.iter().rev().map(|&(_, engine)| engine).take(MAX_CANDIDATES);
        let mut candidates = self.cached_choices(request);
        candidates.extend(by_free_tokens.map(|engine| Choice { engine, cached_tokens: 0 }));
        self.choose_soonest(request, lane, candidates, fits)
    }

    /// Selects the engine with the fewest tokens to prefill, for the baseline disciplines.
    /// `ShortestFirst` gives an engine one prompt at a time: otherwise the order by length
    /// would not hold at the engine.
    pub(crate) fn choose_least_loaded(&self, request: &ReservationRequest) -> Option<Choice> {
        let model = self.fleet.model(&request.model)?;
        let accepts_prompt = |engine: &Engine| match self.policy.discipline {
            Discipline::ShortestFirst => engine.total_prefill_tokens() == 0,
            Discipline::FirstCome | Discipline::Current => true,
        };
        let fits = |engine: &Engine| {
            accepts_prompt(engine) && engine.free_tokens() >= request.memory_tokens()
        };
        let mut by_wait = model.by_wait.iter().map(|&(_, _, engine)| engine);
        by_wait
            .find(|&engine| fits(self.fleet.engine(engine)))
            .map(|engine| Choice { engine, cached_tokens: 0 })
    }

    /// Selects the engines with the most free memory that together can hold the request once
    /// their heavy memory is free. Each member is counted with room for the whole output.
    pub(crate) fn choose_gang(&self, request: &ReservationRequest) -> Option<Vec<EngineIndex>> {
        let model = self.fleet.model(&request.model)?;
        let mut members = Vec::new();
        let mut capacity_tokens = 0;
        for &(_, index) in model.by_free_tokens.iter().rev() {
            members.push(index);
            capacity_tokens += self.heavy_memory_tokens(index);
            if capacity_tokens
                >= request.prompt_tokens + request.max_output_tokens * members.len() as u64
            {
                return Some(members);
            }
        }
        None
    }

    /// Whether all live engines of the model together could hold the request when idle.
    pub(crate) fn fits_any_gang(&self, request: &ReservationRequest, model: &ModelIndex) -> bool {
        let heavy_tokens =
            model.total_memory_tokens * (100 - self.policy.short_reserve_percent) / 100;
        heavy_tokens >= request.prompt_tokens + request.max_output_tokens * model.count() as u64
    }

    /// Splits the prompt among the members of a gang in proportion to their memory. The last
    /// member gets the remainder and the memory for the output.
    pub(crate) fn plan_parts(
        &self,
        request: &ReservationRequest,
        members: &[EngineIndex],
    ) -> Vec<PlannedPart> {
        let total: u64 = members.iter().map(|&index| self.heavy_memory_tokens(index)).sum();
        let part = |&engine: &EngineIndex| {
            let prompt_tokens =
                request.prompt_tokens * self.heavy_memory_tokens(engine) / total.max(1);
            PlannedPart { engine, prompt_tokens, reserved_tokens: prompt_tokens }
        };
        let mut parts: Vec<PlannedPart> = members.iter().map(part).collect();
        let rest = request.prompt_tokens - parts.iter().map(|part| part.prompt_tokens).sum::<u64>();
        if let Some(last) = parts.last_mut() {
            last.prompt_tokens += rest;
            last.reserved_tokens += rest + request.max_output_tokens;
        }
        parts
    }

    fn heavy_memory_tokens(&self, index: EngineIndex) -> u64 {
        self.fleet.engine(index).heavy_memory_tokens(self.policy.short_reserve_percent)
    }

    fn has_room(&self, engine: &Engine, lane: Lane, request: &ReservationRequest) -> bool {
        engine.has_room(lane, request.memory_tokens(), self.policy.short_reserve_percent)
    }

    /// Live engines of the model that have a prefix of the prompt cached. At least one token
    /// always counts as uncached.
    fn cached_choices(&self, request: &ReservationRequest) -> Vec<Choice> {
        if !self.policy.mechanisms.prefix_reuse {
            return Vec::new();
        }
        let serves = |engine: EngineIndex| {
            let engine = self.fleet.engine(engine);
            engine.is_live() && engine.models.contains(&request.model)
        };
        let found = self.prefixes.matches(&request.prefix_hashes).into_iter();
        let usable = found.filter(|&(engine, _)| serves(engine));
        let max_cached_tokens = request.prompt_tokens.saturating_sub(1);
        let choice = |(engine, blocks): (EngineIndex, u64)| Choice {
            engine,
            cached_tokens: (blocks * PREFIX_BLOCK_TOKENS).min(max_cached_tokens),
        };
        usable.map(choice).collect()
    }

    fn choose_soonest(
        &self,
        request: &ReservationRequest,
        lane: Lane,
        candidates: impl IntoIterator<Item = Choice>,
        fits: impl Fn(&Engine) -> bool,
    ) -> Option<Choice> {
        let usable = candidates.into_iter().filter(|choice| fits(self.fleet.engine(choice.engine)));
        let scored = usable.map(|choice| (self.first_token_ms(request, lane, choice), choice));
        scored.min_by(|left, right| left.0.total_cmp(&right.0)).map(|(_, choice)| choice)
    }

    /// Predicted time to the first token in ms, with penalties for engines to avoid and for
    /// loading an adapter.
    fn first_token_ms(&self, request: &ReservationRequest, lane: Lane, choice: Choice) -> f64 {
        let engine = self.fleet.engine(choice.engine);
        let uncached_tokens =
            request.prompt_tokens - choice.cached_tokens.min(request.prompt_tokens);
        let prefill_ms = engine.predicted_prefill_ms(lane, uncached_tokens);
        let avoid_ms =
            if request.avoided_engines.contains(&engine.id) { AVOID_PENALTY_MS } else { 0.0 };
        let load_ms =
            if engine.has_adapter(request.adapter.as_ref()) { 0.0 } else { ADAPTER_LOAD_MS };
        engine.predicted_wait_ms(lane) + prefill_ms + avoid_ms + load_ms
    }
}
