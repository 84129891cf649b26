//! Capacity of a pool over time, for the admission queue.

use crate::best_option::max_useful_parts;
use crate::engine::Engine;
use crate::fleet::Fleet;
use crate::request::PlacementRequest;

/// Occupied and free capacity of the engines of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolCapacity {
    /// Reachable engines that accept new work.
    pub engines: usize,
    /// Slots of these engines.
    pub slots: usize,
    /// Slots of these engines that no request occupies.
    pub free_slots: usize,
    /// Expected times until each occupied slot becomes free, in ms, in ascending order.
    pub releases_ms: Vec<f64>,
    /// Queued prefill work of all these engines, in ms of one engine.
    pub queued_prefill_ms: f64,
    /// Average time for which requests occupied a slot, in ms; `None` until one has ended.
    pub mean_slot_ms: Option<f64>,
}

/// Room that one request takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Time for which it occupies a slot, in ms.
    pub slot_ms: f64,
    /// Time for which one engine prefills its prompt, in ms.
    pub prefill_ms: f64,
    /// Number of engines that prefill its prompt, at most.
    pub parts: usize,
    /// Time to its first token beside the current streams of the pool, in ms, with the prompt split
    /// over as many engines as one prompt may use, and without the prefill work that is queued.
    pub first_token_ms: f64,
}

impl Fleet {
    /// Capacity of the engines of a pool, as this fleet sees them.
    pub fn capacity(&self, now_ms: f64, pool: &str) -> PoolCapacity {
        let mut capacity = PoolCapacity::default();
        for engine in self.open_engines(pool) {
            capacity.engines += 1;
            capacity.slots += engine.spec.model.slots as usize;
            capacity.free_slots += engine.free_slots();
            capacity.queued_prefill_ms += engine.queued().prefill_ms;
        }
        capacity.releases_ms = self.releases_ms(now_ms, pool);
        capacity.releases_ms.sort_by(f64::total_cmp);
        capacity.mean_slot_ms = self.view().mean_slot_ms(pool);
        capacity
    }

    /// Slots of a pool that no request occupies, as in [`Fleet::capacity`].
    pub fn free_slots(&self, pool: &str) -> usize {
        self.open_engines(pool).map(Engine::free_slots).sum()
    }

    /// Queued prefill work per engine of a pool, in ms, on average.
    pub fn backlog_ms(&self, pool: &str) -> f64 {
        let (engines, queued_ms) =
            self.open_engines(pool).fold((0_usize, 0.0), |(engines, queued_ms), engine| {
                (engines + 1, queued_ms + engine.queued().prefill_ms)
            });
        queued_ms / engines.max(1) as f64
    }

    /// Reachable engines of a pool that accept new work.
    fn open_engines(&self, pool: &str) -> impl Iterator<Item = &Engine> {
        self.engines().values().filter(move |one| {
            one.takes_work() && !one.reachability.is_unreachable() && one.spec.pool == pool
        })
    }

    /// Room that a request takes on an engine of its pool; nothing if the pool has no engines.
    pub fn demand(&self, request: &PlacementRequest) -> Demand {
        let (mut engines, mut pass_sum_ms, mut model) = (0, 0.0, None);
        for engine in self.engines().values().filter(|one| one.spec.pool == request.pool) {
            engines += 1;
            pass_sum_ms += engine.pass_ms();
            model.get_or_insert(&engine.spec.model);
        }
        let Some(model) = model else {
            return Demand::default();
        };
        let parts = max_useful_parts(engines, request.prompt_tokens);
        let part_ms = model.part_prefill_ms(request.prompt_tokens, parts);
        let part_passes = request.prompt_tokens / parts as u64 / model.pass_prefill_tokens() + 1;
        let prefill_ms = model.part_prefill_ms(request.prompt_tokens, 1);
        let pass_ms = model.pass_ms(model.slots as usize, request.memory_tokens());
        let passes = request.output_tokens as f64 / f64::from(model.steps_per_event);
        Demand {
            slot_ms: prefill_ms + pass_ms * (1.0 + passes),
            prefill_ms,
            parts,
            first_token_ms: part_ms + (part_passes + 1) as f64 * pass_sum_ms / engines as f64,
        }
    }
}
