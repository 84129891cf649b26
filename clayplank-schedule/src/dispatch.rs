//! Dispatch of waiting requests: reserves engine capacity and issues grants.

use clayplank_types::{EnginePriority, RequestId};

use crate::choose::{Choice, PlannedPart};
use crate::fleet::EngineIndex;
use crate::grants::{GrantRecord, GrantState, ReservedPart};
use crate::lanes::PendingGang;
use crate::policy::{Discipline, Lane};
use crate::reservation::{Decision, Grant, GrantId, GrantPart};
use crate::scheduler::{Pending, Scheduler};

impl Scheduler {
    /// Grants waiting requests of the model that fit, lane by lane.
    pub(crate) fn dispatch_model(&mut self, now_ms: u64, model: &str) {
        for lane in Lane::ALL {
            self.dispatch_lane(now_ms, model, lane);
        }
    }

    pub(crate) fn dispatch_lane(&mut self, now_ms: u64, model: &str, lane: Lane) {
        while let Some(request_id) =
            self.models.get(model).and_then(|lanes| lanes.lane(lane).queue.peek())
        {
            let is_dispatched = match lane {
                Lane::Gang => self.dispatch_gang(now_ms, model, request_id),
                Lane::Brief | Lane::Short | Lane::Medium | Lane::Long => {
                    self.dispatch_single(now_ms, model, lane, request_id)
                }
            };
            if !is_dispatched {
                break;
            }
        }
        self.clear_stale_gang(model);
    }

    fn dispatch_single(
        &mut self,
        now_ms: u64,
        model: &str,
        lane: Lane,
        request_id: RequestId,
    ) -> bool {
        let limit = self.heavy_limit(now_ms, model);
        let Some(pending) = self.pending.get(&request_id) else {
            return false;
        };
        let view = self.view();
        let choice = match (self.policy.discipline, lane) {
            (Discipline::Current, Lane::Brief | Lane::Short) => {
                view.choose_light(&pending.request, lane)
            }
            (Discipline::Current, Lane::Medium | Lane::Long | Lane::Gang) => {
                view.choose_heavy(&pending.request, lane, limit)
            }
            (Discipline::FirstCome | Discipline::ShortestFirst, _) => {
                view.choose_least_loaded(&pending.request)
            }
        };
        let Some(Choice { engine, cached_tokens }) = choice else {
            return false;
        };
        let prompt_tokens = pending.request.prompt_tokens;
        let reserved_tokens = pending.request.memory_tokens();
        let part = PlannedPart { engine, prompt_tokens, reserved_tokens };
        self.grant(now_ms, request_id, &[part], cached_tokens);
        true
    }

    /// Maximum number of the model's engines that may prefill heavy prompts at the same time.
    fn heavy_limit(&mut self, now_ms: u64, model: &str) -> usize {
        let engines = self.fleet.model(model).map_or(0, |model| model.count());
        if !self.policy.mechanisms.heavy_limit {
            return engines;
        }
        let (prefill_ms_per_token, _) = self.typical_rates(model);
        self.models
            .get_mut(model)
            .map_or(1, |lanes| lanes.heavy_limit(now_ms, engines, prefill_ms_per_token))
    }

    /// Grants a gang request if it fits all its engines at once. Otherwise its engines are
    /// kept free of other heavy work until it does. Returns whether it was granted.
    fn dispatch_gang(&mut self, now_ms: u64, model: &str, first: RequestId) -> bool {
        let pending_gang = self.models.get(model).and_then(|lanes| lanes.pending_gang.as_ref());
        let request_id = pending_gang.map_or(first, |gang| gang.request_id);
        let Some(pending) = self.pending.get(&request_id) else {
            return false;
        };
        let members = match pending_gang {
            Some(gang) => gang.members.clone(),
            None => match self.view().choose_gang(&pending.request) {
                Some(members) => members,
                None => return false,
            },
        };
        let parts = self.view().plan_parts(&pending.request, &members);
        let reserve_percent = self.policy.short_reserve_percent;
        let fits = |part: &PlannedPart| {
            let engine = self.fleet.engine(part.engine);
            engine.is_live() && engine.has_room(Lane::Gang, part.reserved_tokens, reserve_percent)
        };
        if parts.iter().all(fits) {
            self.clear_pending_gang(model);
            self.grant(now_ms, request_id, &parts, 0);
            return true;
        }
        self.set_pending_gang(model, request_id, members);
        false
    }

    fn set_pending_gang(&mut self, model: &str, request_id: RequestId, members: Vec<EngineIndex>) {
        let all_live = members.iter().all(|&index| self.fleet.engine(index).is_live());
        self.clear_pending_gang(model);
        if !all_live {
            return;
        }
        for &index in &members {
            self.fleet.update(index, |engine| engine.is_reserved_for_gang = true);
        }
        if let Some(lanes) = self.models.get_mut(model) {
            lanes.pending_gang = Some(PendingGang { request_id, members });
        }
    }

    fn clear_pending_gang(&mut self, model: &str) {
        let gang = self.models.get_mut(model).and_then(|lanes| lanes.pending_gang.take());
        for index in gang.into_iter().flat_map(|gang| gang.members) {
            self.fleet.update(index, |engine| engine.is_reserved_for_gang = false);
        }
    }

    /// Frees the engines of a pending gang whose request no longer waits.
    fn clear_stale_gang(&mut self, model: &str) {
        let gang_request_id = self
            .models
            .get(model)
            .and_then(|lanes| lanes.pending_gang.as_ref())
            .map(|gang| gang.request_id);
        if gang_request_id.is_some_and(|request_id| !self.pending.contains_key(&request_id)) {
            self.clear_pending_gang(model);
        }
    }

    /// Reserves the parts on their engines and issues the grant.
    fn grant(
        &mut self,
        now_ms: u64,
        request_id: RequestId,
        parts: &[PlannedPart],
        cached_tokens: u64,
    ) {
        let Some(pending) = self.pending.remove(&request_id) else {
            return;
        };
        self.expiry.remove(&(pending.latest_start_ms, request_id));
        self.dequeue(now_ms, &pending, cached_tokens);
        let mut reserved_parts = Vec::new();
        let mut grant_parts = Vec::new();
        for &PlannedPart { engine: index, prompt_tokens, reserved_tokens } in parts {
            let prefill_tokens = prompt_tokens.saturating_sub(cached_tokens).max(1);
            let (engine, incarnation) = self.fleet.update(index, |engine| {
                engine.reserve(pending.lane, reserved_tokens);
                engine.start_prefill(now_ms, pending.lane, prefill_tokens);
                (engine.id.clone(), engine.incarnation)
            });
            self.prefixes.store(index, &pending.request.prefix_hashes);
            grant_parts.push(GrantPart { engine, reserved_tokens, prompt_tokens });
            reserved_parts.push(ReservedPart {
                engine: index,
                incarnation,
                reserved_tokens,
                prefill_tokens,
                is_prefilling: true,
                is_released: false,
            });
        }
        let grant_id = self.record_grant(now_ms, &pending, reserved_parts);
        let engine_priority = self.choose_engine_priority(&pending);
        let lacks_adapter = |part: &PlannedPart| {
            !self.fleet.engine(part.engine).has_adapter(pending.request.adapter.as_ref())
        };
        let load_adapter =
            pending.request.adapter.clone().filter(|_| parts.iter().any(lacks_adapter));
        let grant =
            Grant { grant_id, request_id, engine_priority, load_adapter, parts: grant_parts };
        self.decisions.push(Decision::Granted(grant));
    }

    fn dequeue(&mut self, now_ms: u64, pending: &Pending, cached_tokens: u64) {
        let Some(lanes) = self.models.get_mut(&pending.request.model) else {
            return;
        };
        let prefill_tokens = pending.request.prompt_tokens.saturating_sub(cached_tokens);
        if !pending.lane.is_heavy() {
            lanes.record_short_prefill(now_ms, prefill_tokens);
        }
        let lane_queue = lanes.lane_mut(pending.lane);
        lane_queue.queue.take(pending.request.request_id);
        let is_empty = lane_queue.queue.len() == 0;
        lane_queue.throughput.record_dispatched(now_ms, pending.request.memory_tokens(), is_empty);
    }

    fn record_grant(
        &mut self,
        now_ms: u64,
        pending: &Pending,
        parts: Vec<ReservedPart>,
    ) -> GrantId {
        let until_ms = now_ms + self.policy.grant_lease_ms;
        self.grants.insert(GrantRecord {
            attempt_id: pending.request.attempt_id,
            holder: pending.holder.clone(),
            lane: pending.lane,
            state: GrantState::Held { until_ms },
            parts,
        })
    }

    fn choose_engine_priority(&self, pending: &Pending) -> EnginePriority {
        let by_lane =
            self.policy.mechanisms.engine_priority && self.policy.discipline == Discipline::Current;
        if by_lane { pending.lane.engine_priority() } else { EnginePriority::default() }
    }
}
