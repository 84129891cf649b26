//! The engines of a pool, indexed by predicted wait and by memory.

use std::collections::{BTreeSet, HashMap};

use clayplank_types::UpstreamId;

use crate::engine::Engine;
use crate::policy::{Discipline, Lane};

/// Position of an engine in its [`Fleet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct EngineIndex(pub(crate) u32);

/// Live engines that serve one model, in sorted indexes.
#[derive(Debug, Default)]
pub(crate) struct ModelIndex {
    /// By predicted wait in microseconds, then by number of grants.
    pub(crate) by_wait: BTreeSet<(u64, u32, EngineIndex)>,
    pub(crate) by_free_tokens: BTreeSet<(u64, EngineIndex)>,
    /// Engines with a prompt of a heavy lane in prefill; see [`Lane::is_heavy`].
    pub(crate) heavy: BTreeSet<EngineIndex>,
    pub(crate) by_memory: BTreeSet<(u64, EngineIndex)>,
    pub(crate) total_memory_tokens: u64,
}

impl ModelIndex {
    fn insert(&mut self, discipline: Discipline, index: EngineIndex, engine: &Engine) {
        self.by_wait.insert(wait_key(discipline, index, engine));
        self.by_free_tokens.insert((engine.free_tokens(), index));
        self.by_memory.insert((engine.memory_tokens, index));
        self.total_memory_tokens += engine.memory_tokens;
        if engine.is_heavy() {
            self.heavy.insert(index);
        }
    }

    fn remove(&mut self, discipline: Discipline, index: EngineIndex, engine: &Engine) {
        self.by_wait.remove(&wait_key(discipline, index, engine));
        self.by_free_tokens.remove(&(engine.free_tokens(), index));
        self.heavy.remove(&index);
        if self.by_memory.remove(&(engine.memory_tokens, index)) {
            self.total_memory_tokens -= engine.memory_tokens;
        }
    }

    /// Number of live engines that serve the model.
    pub(crate) fn count(&self) -> usize {
        self.by_memory.len()
    }

    /// KV cache of the largest live engine, in tokens.
    pub(crate) fn largest_memory_tokens(&self) -> u64 {
        self.by_memory.last().map_or(0, |&(tokens, _)| tokens)
    }
}

/// All engines of a scheduler.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    discipline: Discipline,
    engines: Vec<Engine>,
    by_id: HashMap<UpstreamId, EngineIndex>,
    by_model: HashMap<String, ModelIndex>,
}

impl Fleet {
    pub(crate) fn new(discipline: Discipline) -> Self {
        Self { discipline, ..Self::default() }
    }

    pub(crate) fn add(&mut self, engine: Engine) -> EngineIndex {
        let index = EngineIndex(self.engines.len() as u32);
        self.by_id.insert(engine.id.clone(), index);
        self.engines.push(engine);
        self.update(index, |_| {});
        index
    }

    pub(crate) fn find(&self, id: &UpstreamId) -> Option<EngineIndex> {
        self.by_id.get(id).copied()
    }

    pub(crate) fn engine(&self, index: EngineIndex) -> &Engine {
        &self.engines[index.0 as usize]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (EngineIndex, &Engine)> {
        self.engines
            .iter()
            .enumerate()
            .map(|(position, engine)| (EngineIndex(position as u32), engine))
    }

    pub(crate) fn model(&self, model: &str) -> Option<&ModelIndex> {
        self.by_model.get(model)
    }

    /// Changes an engine and updates its entries in the indexes. An engine that is not live
    /// has no entries.
    pub(crate) fn update<R>(
        &mut self,
        index: EngineIndex,
        update: impl FnOnce(&mut Engine) -> R,
    ) -> R {
        let discipline = self.discipline;
        let engine = &mut self.engines[index.0 as usize];
        for model in &engine.models {
            self.by_model.entry(model.clone()).or_default().remove(discipline, index, engine);
        }
        let result = update(engine);
        for model in engine.models.iter().filter(|_| engine.is_live()) {
            self.by_model.entry(model.clone()).or_default().insert(discipline, index, engine);
        }
        result
    }
}

fn wait_key(
    discipline: Discipline,
    index: EngineIndex,
    engine: &Engine,
) -> (u64, u32, EngineIndex) {
    let wait_ms = match discipline {
        Discipline::Current => engine.predicted_wait_ms(Lane::Short),
        Discipline::FirstCome | Discipline::ShortestFirst => engine.total_wait_ms(),
    };
    ((wait_ms * 1_000.0) as u64, engine.grants, index)
}
