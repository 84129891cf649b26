//! Engines and the placements that load them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use clayplank_types::UpstreamId;

use crate::engine::Engine;
use crate::event::{Event, RunningPlacement};
use crate::job::{Job, JobKind};
use crate::placement::Placement;
use crate::request::{Assignment, PlacementId, PlacementRequest};
use crate::slot_times::SlotTimes;
use crate::split_load::SplitLoad;

/// Engines, the placements that load them, and what ended placements showed about the load.
#[derive(Clone, Debug, Default)]
pub(crate) struct EngineLoads {
    pub(crate) engines: BTreeMap<UpstreamId, Engine>,
    placements: HashMap<PlacementId, Placement>,
    pub(crate) split_load: SplitLoad,
    pub(crate) slot_times: SlotTimes,
    /// Number of placements that were dropped because their hosts no longer listed them.
    pub(crate) unlisted_total: u64,
}

impl EngineLoads {
    /// Expected times until the occupied slots of a pool become free, in ms. A stream that takes
    /// longer than expected is due now.
    pub(crate) fn releases_ms(&self, now_ms: f64, pool: &str) -> Vec<f64> {
        let of_pool = self.placements.values().filter(|one| {
            self.engines.get(&one.engine).is_some_and(|engine| engine.spec.pool == pool)
        });
        of_pool.map(|one| (one.expected_end_ms - now_ms).max(0.0)).collect()
    }

    /// Whether a placement is known and has not ended.
    pub(crate) fn is_placed(&self, id: PlacementId) -> bool {
        self.placements.contains_key(&id)
    }

    /// Number of current placements.
    pub(crate) fn placed_count(&self) -> usize {
        self.placements.len()
    }

    /// Adds the load of an assignment to its engines; does nothing if the placement is already
    /// known.
    pub(crate) fn record_placed(
        &mut self,
        now_ms: f64,
        request: &PlacementRequest,
        assignment: &Assignment,
        is_started: bool,
    ) {
        if self.placements.contains_key(&request.id) {
            return;
        }
        let parts = 1 + assignment.helpers.len();
        let reserved: u64 = assignment.helpers.iter().map(|part| part.reserve_tokens).sum();
        let primary_tokens = request.memory_tokens().saturating_sub(reserved);
        if parts > 1 {
            self.record_split_work(now_ms, request, &assignment.engine);
        }
        self.add_job(now_ms, request, &assignment.engine, JobKind::Primary, parts, primary_tokens);
        for part in &assignment.helpers {
            let kind = JobKind::Helper;
            self.add_job(now_ms, request, &part.engine, kind, parts, part.reserve_tokens);
        }
        let engine = self.engines.get(&assignment.engine);
        let decode_ms = engine.map_or(0.0, |engine| engine.decode_ms(request.output_tokens));
        let placement = Placement::new(now_ms, request, assignment, decode_ms);
        self.placements.insert(request.id, placement);
        if is_started {
            self.record_started(now_ms, request.id);
        }
    }

    /// Adds a placement that another keeper made; does nothing if it is already known.
    pub(crate) fn take_over(&mut self, now_ms: f64, running: &RunningPlacement) {
        if self.placements.contains_key(&running.ask.id) {
            return;
        }
        self.record_placed(now_ms, &running.ask, &running.assignment, running.is_started);
        if let Some(placement) = self.placements.get_mut(&running.ask.id) {
            placement.is_taken_over = true;
        }
    }

    /// Adds the prefill time of a split prompt to the split load.
    fn record_split_work(&mut self, now_ms: f64, request: &PlacementRequest, engine: &UpstreamId) {
        let Some(engine) = self.engines.get(engine) else {
            return;
        };
        let work_ms = engine.spec.model.part_prefill_ms(request.prompt_tokens, 1);
        self.split_load.record(now_ms, work_ms);
    }

    /// Adds one part of a prompt to the load of an engine.
    fn add_job(
        &mut self,
        now_ms: f64,
        request: &PlacementRequest,
        engine: &UpstreamId,
        kind: JobKind,
        parts: usize,
        memory_tokens: u64,
    ) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        let prefill_ms = engine.spec.model.part_prefill_ms(request.prompt_tokens, parts);
        let job = Job {
            id: request.id,
            kind,
            is_prefilling: true,
            is_split: parts > 1,
            remaining_ms: prefill_ms * engine.health.slowness(now_ms),
            remaining_tokens: request.prompt_tokens as f64 / parts as f64,
            memory_tokens,
            context_tokens: request.prompt_tokens / parts as u64,
            pause_goal_ms: request.pause_goal_ms,
            goal_ms: request.goal_ms,
            first_token_due_ms: now_ms + request.goal_ms,
            weight: request.weight(),
        };
        engine.add_job(now_ms, job);
    }

    /// Applies an event that a host reported for one of its placements.
    pub(crate) fn apply_event(&mut self, now_ms: f64, id: PlacementId, event: Event) {
        match event {
            Event::Started { took_ms } => self.record_first_token(now_ms, id, took_ms),
            Event::Ended => self.record_ended(now_ms, id),
            Event::Failed => self.end(now_ms, id, |engine| engine.health.record_failure(now_ms)),
            Event::Broken => self.end(now_ms, id, |engine| {
                engine.health.record_failure(now_ms);
                engine.reachability.record_broken();
            }),
            // The links of the host that reports it may be broken, so this is no failure of the engine.
            Event::Unreached => {
                self.end(now_ms, id, |engine| engine.reachability.record_unreachable(now_ms));
            }
            Event::HelperFailed { position } => {
                self.record_helper_failed(now_ms, id, position);
                self.end(now_ms, id, |_| {});
            }
        }
    }

    /// Updates the primary engine's health from a first token; repeated reports are ignored.
    fn record_first_token(&mut self, now_ms: f64, id: PlacementId, took_ms: f64) {
        let Some(placement) = self.placements.get(&id).filter(|one| !one.is_started) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            engine.reachability.record_answer();
            engine.health.record_success(now_ms);
            engine.health.record_first_token(now_ms, placement.expected_ms, took_ms);
        }
        self.record_started(now_ms, id);
    }

    fn record_helper_failed(&mut self, now_ms: f64, id: PlacementId, position: usize) {
        let placement = self.placements.get(&id);
        let helper = placement.and_then(|one| one.helpers.get(position));
        if let Some(engine) = helper.and_then(|helper| self.engines.get_mut(helper)) {
            engine.health.record_failure(now_ms);
        }
    }

    fn record_started(&mut self, now_ms: f64, id: PlacementId) {
        let Some(placement) = self.placements.get_mut(&id) else {
            return;
        };
        placement.is_started = true;
        for engine in placement.engines() {
            if let Some(engine) = self.engines.get_mut(engine) {
                engine.record_started(now_ms, id);
            }
        }
    }

    /// Ends a placement whose prompt was served or whose caller left. Its slot time is recorded
    /// only if the stream had started and this keeper placed it: counted from a take-over, slot times
    /// are too short, and slots look too dear.
    fn record_ended(&mut self, now_ms: f64, id: PlacementId) {
        if let Some(placement) = self.placements.get(&id).filter(|one| one.is_started)
            && let Some(engine) = self.engines.get(&placement.engine)
        {
            if !placement.is_taken_over {
                self.slot_times.record(&engine.spec.pool, now_ms - placement.placed_at_ms);
            }
            return self.end(now_ms, id, |engine| engine.health.record_served(now_ms));
        }
        self.end(now_ms, id, |_| {});
    }

    /// Ends a placement and updates its primary engine from the outcome.
    fn end(&mut self, now_ms: f64, id: PlacementId, update: impl FnOnce(&mut Engine)) {
        let Some(placement) = self.placements.remove(&id) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            update(engine);
        }
        self.remove_jobs(now_ms, id, &placement);
    }

    fn remove_jobs(&mut self, now_ms: f64, id: PlacementId, placement: &Placement) {
        for engine in placement.engines() {
            if let Some(engine) = self.engines.get_mut(engine) {
                engine.remove_job(now_ms, id);
            }
        }
    }

    /// Drops all placements and the load that they put on engines.
    pub(crate) fn clear(&mut self) {
        self.placements.clear();
        self.engines.values_mut().for_each(|engine| engine.jobs.clear());
    }

    /// Drops the older placements of a host that it does not list as running.
    pub(crate) fn drop_unlisted(&mut self, now_ms: f64, host: u64, running: &[RunningPlacement]) {
        let is_listed = |id: &PlacementId| running.iter().any(|one| one.ask.id == *id);
        let finished = self.placements.iter().filter(|(id, placement)| {
            id.host == host && placement.is_settled(now_ms) && !is_listed(id)
        });
        let finished: Vec<_> = finished.map(|(id, _)| *id).collect();
        self.unlisted_total += finished.len() as u64;
        for id in finished {
            self.end(now_ms, id, |_| {});
        }
    }

    /// Engines that should be queried directly now: those with a late first token, those that last
    /// reported to be slow, and those that may have failed. Counts each of them as queried.
    pub(crate) fn take_engines_to_query(&mut self, now_ms: f64) -> Vec<UpstreamId> {
        let late = self.placements.values().filter(|one| one.is_late(now_ms));
        let mut suspects: BTreeSet<UpstreamId> =
            late.flat_map(Placement::engines).cloned().collect();
        let slow = self.engines.iter().filter(|(_, engine)| engine.health.is_slow());
        suspects.extend(slow.map(|(id, _)| id.clone()));
        let should_query = |id: &UpstreamId, engine: &mut Engine| {
            let needs_probe = engine.reachability.take_probe(now_ms);
            let is_suspect = suspects.contains(id) && !engine.reachability.is_unreachable();
            needs_probe || (is_suspect && engine.health.take_pace_request(now_ms))
        };
        let engines = self.engines.iter_mut().filter(|(_, engine)| engine.takes_work());
        engines.filter_map(|(id, engine)| should_query(id, engine).then(|| id.clone())).collect()
    }

    /// Drops placements whose hosts have sent no report until their expiry.
    pub(crate) fn drop_expired(&mut self, now_ms: f64) {
        let expired =
            self.placements.iter().filter(|(_, placement)| placement.expires_at_ms < now_ms);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end(now_ms, id, |_| {});
        }
    }
}
