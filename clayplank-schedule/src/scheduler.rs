//! The scheduler of a pool: takes reservation requests and produces decisions.

use std::collections::{BTreeSet, HashMap};

use clayplank_types::{
    AccountId, Incarnation, Priority, Refusal, RefusalReason, RequestId, UpstreamId,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::admission::{Forecast, estimate_service_ms};
use crate::choose::SchedulerView;
use crate::engine::{Engine, EngineSpec};
use crate::fair_queue::{AccountIndex, Waiting};
use crate::fleet::{EngineIndex, Fleet};
use crate::grants::{EndedAttempts, GrantTable};
use crate::lanes::ModelLanes;
use crate::policy::{Discipline, Lane, Policy};
use crate::prefix::PrefixTable;
use crate::rates::Rates;
use crate::reservation::{Decision, GrantHolder, ReservationRequest};

/// Lower bound of the retry delay that a refusal names.
const MIN_RETRY_MS: u64 = 100;

/// Upper bound of the retry delay that a refusal names, before jitter.
const MAX_RETRY_MS: u64 = 60_000;

/// Retry delay, and assumed wait, while no engine is live.
const NO_ENGINE_RETRY_MS: u64 = 1_000;

/// Maximum number of accounts per lane whose last request each tick checks against its deadline.
const MAX_CHECKED_ACCOUNTS: usize = 64;

/// A request waiting in a queue.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) request: ReservationRequest,
    pub(crate) holder: GrantHolder,
    pub(crate) lane: Lane,
    pub(crate) latest_start_ms: u64,
}

/// Load of a scheduler, summed over its queues and live engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of waiting requests.
    pub waiting: usize,
    /// Number of grants, held or revoked but not yet released.
    pub grants: usize,
    /// KV cache reserved by grants, in tokens.
    pub granted_tokens: u64,
    /// KV cache used by attempts that engines report but no grant accounts for, in tokens.
    pub foreign_tokens: u64,
    /// KV cache of all live engines, in tokens.
    pub memory_tokens: u64,
    /// Predicted wait of a prompt of [`Lane::Brief`] on the engine with the shortest wait, in ms.
    pub short_wait_ms: u64,
}

/// Admits requests to one pool, queues them, and grants them capacity on its engines.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) policy: Policy,
    pub(crate) incarnation: Incarnation,
    pub(crate) fleet: Fleet,
    pub(crate) prefixes: PrefixTable,
    pub(crate) grants: GrantTable,
    pub(crate) ended: EndedAttempts,
    pub(crate) decisions: Vec<Decision>,
    pub(crate) models: HashMap<String, ModelLanes>,
    pub(crate) pending: HashMap<RequestId, Pending>,
    pub(crate) expiry: BTreeSet<(u64, RequestId)>,
    accounts: HashMap<AccountId, AccountIndex>,
    rng: SmallRng,
}

impl Scheduler {
    /// Creates a scheduler without engines.
    pub fn new(policy: Policy) -> Self {
        Self {
            incarnation: Incarnation::default(),
            fleet: Fleet::new(policy.discipline),
            prefixes: PrefixTable::default(),
            grants: GrantTable::default(),
            ended: EndedAttempts::default(),
            decisions: Vec::new(),
            models: HashMap::new(),
            pending: HashMap::new(),
            expiry: BTreeSet::new(),
            accounts: HashMap::new(),
            rng: SmallRng::seed_from_u64(policy.seed),
            policy,
        }
    }

    /// Sets the incarnation of this owner, which distinguishes its grants from those of
    /// other owners.
    pub fn with_incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Incarnation of this owner.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Adds an engine. If an engine with this identifier exists, it is left unchanged.
    pub fn add_engine(&mut self, spec: EngineSpec) {
        if self.fleet.find(&spec.id).is_some() {
            return;
        }
        for model in &spec.models {
            let ageing_ms = self.policy.ageing_ms;
            self.models.entry(model.clone()).or_insert_with(|| ModelLanes::new(ageing_ms));
        }
        let rates = Rates::new(self.policy.prefill_ms_per_token, self.policy.decode_ms_per_token);
        self.fleet.add(Engine::new(spec, rates));
    }

    /// Returns and clears the decisions made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Submits a reservation request. Its result is among the decisions, now or later.
    pub fn submit(&mut self, now_ms: u64, holder: GrantHolder, request: ReservationRequest) {
        match self.admit(now_ms, holder, request) {
            Ok((model, lane)) => self.dispatch_lane(now_ms, &model, lane),
            Err((request_id, refusal)) => {
                self.decisions.push(Decision::Refused(request_id, refusal))
            }
        }
    }

    /// Removes a request that is still waiting; no decision on it follows.
    pub fn cancel(&mut self, request_id: RequestId) {
        self.remove_pending(request_id);
    }

    /// Revokes expired grants, refuses requests that cannot meet their deadline, and
    /// dispatches what fits. Call it every few hundred milliseconds.
    pub fn tick(&mut self, now_ms: u64) {
        self.revoke_expired(now_ms);
        self.refuse_expired(now_ms);
        self.refuse_predicted_late(now_ms);
        let models: Vec<String> = self.models.keys().cloned().collect();
        for model in &models {
            self.dispatch_model(now_ms, model);
        }
        self.assert_reservations_match();
    }

    /// Predicts the wait and the service time of a request in a lane, as of now.
    pub fn forecast(&self, request: &ReservationRequest, lane: Lane) -> Forecast {
        let Some(lanes) = self.models.get(&request.model) else {
            return Forecast { wait_ms: 0.0, service_ms: 0.0 };
        };
        let rates = self.typical_rates(&request.model);
        let service_ms = estimate_service_ms(&self.policy, request, lane, rates);
        let lane_queue = lanes.lane(lane);
        let engines = self.fleet.model(&request.model).map_or(0, |model| model.count()).max(1);
        let initial_tokens_per_ms =
            engines as f64 / rates.0 * if lane.is_heavy() { 0.5 } else { 0.9 };
        let tokens_per_ms = lane_queue.throughput.tokens_per_ms(initial_tokens_per_ms);
        let account = self.accounts.get(&request.account).copied().unwrap_or(AccountIndex::MAX);
        let (account, share) = self.fair_queue_key(account, request);
        let ahead_tokens =
            lane_queue.queue.tokens_ahead(account, share, request.priority, request.request_id);
        Forecast { wait_ms: ahead_tokens / tokens_per_ms, service_ms }
    }

    /// Whether a live engine serves the model.
    pub fn has_engine(&self, model: &str) -> bool {
        self.fleet.model(model).is_some_and(|model| model.count() > 0)
    }

    /// Current totals over all live engines and queues.
    pub fn totals(&self) -> Totals {
        let mut totals =
            Totals { waiting: self.pending.len(), grants: self.grants.len(), ..Totals::default() };
        let mut best_wait_ms = f64::INFINITY;
        for (_, engine) in self.fleet.iter().filter(|(_, engine)| engine.is_live()) {
            totals.granted_tokens += engine.granted_tokens;
            totals.foreign_tokens += engine.foreign_tokens;
            totals.memory_tokens += engine.memory_tokens;
            best_wait_ms = best_wait_ms.min(engine.predicted_wait_ms(Lane::Brief));
        }
        totals.short_wait_ms =
            if best_wait_ms.is_finite() { best_wait_ms as u64 } else { NO_ENGINE_RETRY_MS };
        totals
    }

    /// Queues a request, or refuses it if no engine serves it, it is too large, the queue
    /// is full, or its deadline is predicted to be missed.
    fn admit(
        &mut self,
        now_ms: u64,
        holder: GrantHolder,
        request: ReservationRequest,
    ) -> Result<(String, Lane), (RequestId, Refusal)> {
        let request_id = request.request_id;
        let refuse = |reason, retry_ms| Err((request_id, Refusal::new(reason, retry_ms)));
        let Some(model) = self.fleet.model(&request.model).filter(|model| model.count() > 0) else {
            return refuse(RefusalReason::NoEngine, NO_ENGINE_RETRY_MS);
        };
        let one_engine_tokens =
            model.largest_memory_tokens() * (100 - self.policy.short_reserve_percent) / 100;
        let lane = if request.memory_tokens() > one_engine_tokens {
            Lane::Gang
        } else {
            self.policy.classify_lane(request.prompt_tokens)
        };
        if lane == Lane::Gang && !self.view().fits_any_gang(&request, model) {
            return refuse(RefusalReason::PromptTooLarge, MAX_RETRY_MS);
        }
        let forecast = self.forecast(&request, lane);
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        if self.pending.len() >= self.policy.max_waiting {
            let retry_ms = self.jittered_retry_ms(forecast.wait_ms as u64);
            return refuse(RefusalReason::QueueFull, retry_ms);
        }
        let completion_ms = match self.policy.mechanisms.early_refusal {
            true => forecast.completion_ms(),
            false => forecast.service_ms.ceil() as u64,
        };
        if completion_ms > remaining_ms {
            let retry_ms = self.jittered_retry_ms(completion_ms - remaining_ms);
            return refuse(RefusalReason::DeadlineOutOfReach, retry_ms);
        }
        let latest_start_ms = request.deadline_ms - forecast.service_ms.ceil() as u64;
        let model = request.model.clone();
        self.enqueue(now_ms, Pending { request, holder, lane, latest_start_ms });
        Ok((model, lane))
    }

    /// Clamps a retry delay and adds a random jitter of up to a quarter of it, so that
    /// callers do not all retry at the same time.
    fn jittered_retry_ms(&mut self, wait_ms: u64) -> u64 {
        let min_ms = wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS);
        min_ms + self.rng.random_range(0..=min_ms / 4)
    }

    fn enqueue(&mut self, now_ms: u64, pending: Pending) {
        let request_id = pending.request.request_id;
        let next_index = self.accounts.len() as AccountIndex;
        let account_index =
            *self.accounts.entry(pending.request.account.clone()).or_insert(next_index);
        let (account, share) = self.fair_queue_key(account_index, &pending.request);
        let (class, rank) = match self.policy.discipline {
            Discipline::Current => (pending.request.priority, pending.request.deadline_ms),
            Discipline::FirstCome => (Priority::Normal, now_ms),
            Discipline::ShortestFirst => (Priority::Normal, pending.request.prompt_tokens),
        };
        let cost_tokens = pending.request.memory_tokens();
        let waiting =
            Waiting { request_id, account, share, class, arrived_ms: now_ms, rank, cost_tokens };
        if let Some(lanes) = self.models.get_mut(&pending.request.model) {
            let lane_queue = lanes.lane_mut(pending.lane);
            lane_queue.queue.push(waiting);
            lane_queue.throughput.record_waiting(now_ms);
        }
        self.expiry.insert((pending.latest_start_ms, request_id));
        self.pending.insert(request_id, pending);
    }

    /// The account and weight under which a request is queued. Without fair sharing, all
    /// requests belong to one account.
    fn fair_queue_key(
        &self,
        account: AccountIndex,
        request: &ReservationRequest,
    ) -> (AccountIndex, u64) {
        let is_fair =
            self.policy.mechanisms.fair_share && self.policy.discipline == Discipline::Current;
        if is_fair { (account, request.weight.max(1)) } else { (0, 1) }
    }

    fn remove_pending(&mut self, request_id: RequestId) -> Option<Pending> {
        let pending = self.pending.remove(&request_id)?;
        self.expiry.remove(&(pending.latest_start_ms, request_id));
        if let Some(lanes) = self.models.get_mut(&pending.request.model) {
            lanes.lane_mut(pending.lane).queue.discard(request_id);
        }
        Some(pending)
    }

    /// Refuses requests whose latest start time has passed.
    fn refuse_expired(&mut self, now_ms: u64) {
        while let Some(&(latest_start_ms, request_id)) = self.expiry.first() {
            if latest_start_ms >= now_ms {
                return;
            }
            let Some(pending) = self.remove_pending(request_id) else {
                return;
            };
            let forecast = self.forecast(&pending.request, pending.lane);
            let retry_ms = self.jittered_retry_ms(forecast.wait_ms as u64);
            let refusal = Refusal::new(RefusalReason::DeadlineOutOfReach, retry_ms);
            self.decisions.push(Decision::Refused(request_id, refusal));
        }
    }

    /// Refuses requests as soon as they are predicted to miss their deadline, rather than
    /// once it is too late to start them: the queue may drain more slowly than it did when
    /// a request was admitted.
    fn refuse_predicted_late(&mut self, now_ms: u64) {
        if !self.policy.mechanisms.early_refusal {
            return;
        }
        let lanes = self.models.values().flat_map(|lanes| Lane::ALL.map(|lane| lanes.lane(lane)));
        let last_requests: BTreeSet<RequestId> =
            lanes.flat_map(|lane| lane.queue.last_requests(MAX_CHECKED_ACCOUNTS)).collect();
        for request_id in last_requests {
            let Some(pending) = self.pending.get(&request_id) else {
                continue;
            };
            let wait_ms = self.forecast(&pending.request, pending.lane).wait_ms as u64;
            let late_ms = (now_ms + wait_ms).saturating_sub(pending.latest_start_ms);
            if late_ms > 0 {
                self.remove_pending(request_id);
                let retry_ms = self.jittered_retry_ms(late_ms);
                let refusal = Refusal::new(RefusalReason::DeadlineOutOfReach, retry_ms);
                self.decisions.push(Decision::Refused(request_id, refusal));
            }
        }
    }

    /// Prefill and decode time per token, in ms, of the model's engine with the shortest
    /// wait, taken as representative of the model.
    pub(crate) fn typical_rates(&self, model: &str) -> (f64, f64) {
        let first = self.fleet.model(model).and_then(|model| model.by_wait.first());
        match first {
            Some(&(_, _, index)) => {
                let rates = &self.fleet.engine(index).rates;
                (rates.prefill_ms_per_token, rates.decode_ms_per_token)
            }
            None => (self.policy.prefill_ms_per_token, self.policy.decode_ms_per_token),
        }
    }

    pub(crate) fn view(&self) -> SchedulerView<'_> {
        SchedulerView { policy: &self.policy, fleet: &self.fleet, prefixes: &self.prefixes }
    }

    pub(crate) fn find_engine(&self, id: &UpstreamId) -> Option<EngineIndex> {
        self.fleet.find(id)
    }
}
