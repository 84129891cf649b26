//! Which engines have which prompt prefixes cached, as far as is known.

use std::collections::{HashMap, VecDeque};

use crate::fleet::EngineIndex;

/// The most prefixes that are remembered.
const MAX_PREFIXES: usize = 1 << 16;

/// The most engines that are remembered for a prefix.
const MAX_ENGINES: usize = 4;

/// Engines by prefix. An entry of an older generation of its engine is void.
#[derive(Debug, Default)]
pub(crate) struct PrefixTable {
    by_hash: HashMap<u64, Vec<(EngineIndex, u64)>>,
    insertion_order: VecDeque<u64>,
    generations: HashMap<EngineIndex, u64>,
}

impl PrefixTable {
    /// The engines that have a prefix of the prompt, with the number of blocks.
    pub(crate) fn matches(&self, hashes: &[u64]) -> Vec<(EngineIndex, u64)> {
        let mut found: Vec<(EngineIndex, u64)> = Vec::new();
        for (position, hash) in hashes.iter().enumerate().rev() {
            for &(engine, generation) in self.by_hash.get(hash).into_iter().flatten() {
                let is_new = found.iter().all(|&(other, _)| other != engine);
                if is_new && generation == self.generation(engine) {
                    found.push((engine, position as u64 + 1));
                }
            }
            if found.len() >= MAX_ENGINES {
                break;
            }
        }
        found
    }

    pub(crate) fn store(&mut self, engine: EngineIndex, hashes: &[u64]) {
        let generation = self.generation(engine);
        for &hash in hashes {
            let is_new = !self.by_hash.contains_key(&hash);
            let entries = self.by_hash.entry(hash).or_default();
            entries.retain(|&(other, _)| other != engine);
            entries.insert(0, (engine, generation));
            entries.truncate(MAX_ENGINES);
            if is_new {
                self.insertion_order.push_back(hash);
            }
        }
        while self.insertion_order.len() > MAX_PREFIXES {
            if let Some(oldest) = self.insertion_order.pop_front() {
                self.by_hash.remove(&oldest);
            }
        }
    }

    pub(crate) fn evict(&mut self, engine: EngineIndex, hash: u64) {
        if let Some(entries) = self.by_hash.get_mut(&hash) {
            entries.retain(|&(other, _)| other != engine);
        }
    }

    /// Drops all that is known of an engine's cache.
    pub(crate) fn invalidate(&mut self, engine: EngineIndex) {
        *self.generations.entry(engine).or_default() += 1;
    }

    fn generation(&self, engine: EngineIndex) -> u64 {
        self.generations.get(&engine).copied().unwrap_or(0)
    }
}
