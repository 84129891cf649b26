//! Table of the prompt prefixes that engines are believed to have cached.

use std::collections::{HashMap, VecDeque};

use crate::fleet::EngineIndex;

/// Maximum number of prefixes in the table; the oldest are removed first.
const MAX_PREFIXES: usize = 1 << 16;

/// Maximum number of engines kept per prefix; the most recent ones are kept.
const MAX_ENGINES: usize = 4;

/// Engines by prefix hash, with the engine's generation at the time of the entry. An entry
/// whose generation is older than the engine's current one is invalid.
#[derive(Debug, Default)]
pub(crate) struct PrefixTable {
    by_hash: HashMap<u64, Vec<(EngineIndex, u64)>>,
    insertion_order: VecDeque<u64>,
    generations: HashMap<EngineIndex, u64>,
}

impl PrefixTable {
    /// Returns engines that have a prefix of the prompt cached, with the length of the longest
    /// one in blocks. `hashes` are those of the prompt's prefixes, shortest first.
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

    /// Invalidates all entries of an engine.
    pub(crate) fn invalidate(&mut self, engine: EngineIndex) {
        *self.generations.entry(engine).or_default() += 1;
    }

    fn generation(&self, engine: EngineIndex) -> u64 {
        self.generations.get(&engine).copied().unwrap_or(0)
    }
}
