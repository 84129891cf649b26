//! All engines, and the placements that load them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use clayplank_types::{DataCentre, UpstreamId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::choose::choose;
use crate::engine::{Engine, EngineSpec};
use crate::event::{Event, Renewed};
use crate::job::{Job, JobKind};
use crate::placement::Placement;
use crate::rate_limit::{HostShare, Sender};
use crate::request::{Ask, Assignment, Placed, PlacementId};
use crate::slot_times::SlotTimes;
use crate::typical_limits::TypicalLimits;

/// What chance adds to an engine's cost for a host that decides alone, as a share of a
/// prompt's weight: as much as one stream that is harmed costs.
const STANDALONE_NOISE_SHARE: f64 = 0.5;

/// Time, in ms, in which split prompts lose half of their weight in the load.
const SPLIT_LOAD_HALF_LIFE_MS: f64 = 2_000.0;

/// The engines of a pool at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outlook {
    /// Engines that take new work.
    pub engines: usize,
    /// Slots that are taken, of all of them.
    pub taken_slots: usize,
    /// Parts of split prompts that they read for others.
    pub helped_parts: usize,
    /// Reads that wait on an engine, in the mean.
    pub queued_ms: f64,
    /// How many times longer their work takes than the model says, in the mean.
    pub slowness: f64,
    /// Engines that failed lately.
    pub avoided: usize,
    /// Engines to which no connection can be had; they are not counted above.
    pub unreached: usize,
    /// Engines of which neither heartbeats nor answers came lately.
    pub doubtful: usize,
}

/// Engines and placements.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    pub(crate) engines: BTreeMap<UpstreamId, Engine>,
    placements: HashMap<PlacementId, Placement>,
    /// Work of prompts that several engines read, as it weighed at this time.
    split_work_ms: f64,
    split_work_at_ms: f64,
    typical_limits: TypicalLimits,
    slot_times: SlotTimes,
    /// Data centres whose engines get nothing.
    cordoned: BTreeSet<DataCentre>,
    /// Requests a second that engines say they take, for those that do.
    limits_per_s: HashMap<UpstreamId, f64>,
    pub(crate) sender: Sender,
    /// The most that chance adds to an engine's cost, as a share of a prompt's weight.
    noise: f64,
    rng: RefCell<Option<SmallRng>>,
}

impl Fleet {
    /// A fleet of a host that sees only its own placements: chance keeps hosts that
    /// decide alike from sending all to the same engines.
    pub fn alone(seed: u64) -> Self {
        let rng = RefCell::new(Some(SmallRng::seed_from_u64(seed)));
        let sender = Sender::Host(HostShare { seed, hosts: 1 });
        Self { noise: STANDALONE_NOISE_SHARE, rng, sender, ..Self::default() }
    }

    /// The fleet as it will be at a later time if nothing comes meanwhile; who was placed is left out.
    pub(crate) fn projected_to(&self, at_ms: f64) -> Self {
        let mut engines = self.engines.clone();
        engines.values_mut().for_each(|engine| engine.advance(at_ms));
        Self {
            engines,
            split_work_ms: self.split_work_ms,
            split_work_at_ms: self.split_work_at_ms,
            slot_times: self.slot_times.clone(),
            sender: self.sender,
            ..Self::default()
        }
    }

    pub(crate) fn draw_noise(&self) -> f64 {
        let mut rng = self.rng.borrow_mut();
        rng.as_mut().map_or(0.0, |rng| self.noise * rng.random::<f64>())
    }

    fn split_work(&self, now_ms: f64) -> f64 {
        let age_ms = (now_ms - self.split_work_at_ms).max(0.0);
        self.split_work_ms * 0.5_f64.powf(age_ms / SPLIT_LOAD_HALF_LIFE_MS)
    }

    /// Share of the fleet's time that lately went into prompts that several engines read.
    pub(crate) fn split_load(&self, now_ms: f64) -> f64 {
        let span_ms = SPLIT_LOAD_HALF_LIFE_MS / std::f64::consts::LN_2;
        let fleet_ms = span_ms * self.engines.len().max(1) as f64;
        (self.split_work(now_ms) / fleet_ms).min(1.0)
    }

    /// Adds an engine or changes what is known of it; one that is not open gets nothing new.
    pub fn set_engine(&mut self, id: UpstreamId, spec: EngineSpec, is_open: bool) {
        match self.engines.get_mut(&id) {
            Some(engine) => {
                engine.spec = spec;
                engine.is_open = is_open;
            }
            None => {
                let is_cordoned = self.cordoned.contains(&spec.data_centre);
                let mut engine = Engine::new(spec, is_open);
                engine.is_cordoned = is_cordoned;
                engine.rate_limit.set_named_limit(self.limits_per_s.get(&id).copied());
                self.engines.insert(id, engine);
            }
        }
    }

    /// Sends nothing new to the engines of these data centres, and of no others. Returns the engines
    /// that may get something again.
    pub fn set_cordoned(&mut self, cordoned: BTreeSet<DataCentre>) -> Vec<UpstreamId> {
        let mut reopened = Vec::new();
        for (id, engine) in &mut self.engines {
            let is_cordoned = cordoned.contains(&engine.spec.data_centre);
            if engine.is_cordoned && !is_cordoned {
                reopened.push(id.clone());
            }
            engine.is_cordoned = is_cordoned;
        }
        self.cordoned = cordoned;
        reopened
    }

    /// The pool of an engine.
    pub fn pool_of(&self, id: &UpstreamId) -> Option<&str> {
        self.engines.get(id).map(|engine| engine.spec.pool.as_str())
    }

    /// Notes for how much longer an engine is cold, and how many requests a second it bears then.
    pub fn set_cold(
        &mut self,
        now_ms: f64,
        id: &UpstreamId,
        remaining_ms: f64,
        requests_per_s: f64,
    ) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.rate_limit.set_cold_limit(requests_per_s);
            engine.rate_limit.note_cold(now_ms, remaining_ms);
        }
    }

    /// Sets how many requests a second an engine says that it takes from all hosts; `None` for any number.
    /// It holds also for an engine that is added later.
    pub fn set_named_limit(&mut self, id: &UpstreamId, requests_per_s: Option<f64>) {
        match requests_per_s {
            Some(per_s) => self.limits_per_s.insert(id.clone(), per_s),
            None => self.limits_per_s.remove(id),
        };
        if let Some(engine) = self.engines.get_mut(id) {
            engine.rate_limit.set_named_limit(requests_per_s);
        }
    }

    /// Takes in how many hosts may decide alone at the same time as this one.
    pub fn set_hosts(&mut self, hosts: u64) {
        if let Sender::Host(share) = &mut self.sender {
            share.hosts = hosts;
        }
    }

    /// Notes whether the heartbeats of an engine are missing.
    pub fn set_silent(&mut self, id: &UpstreamId, lacks_heartbeats: bool) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.lacks_heartbeats = lacks_heartbeats;
        }
    }

    /// Forgets engines that are not in the list.
    pub fn retain_engines(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.engines.retain(|id, _| is_known(id));
        self.limits_per_s.retain(|id, _| is_known(id));
    }

    /// Chooses engines for a prompt and notes their load.
    pub fn place(&mut self, now_ms: f64, request: &Ask) -> Placed {
        for engine in self.engines.values_mut() {
            engine.advance(now_ms);
        }
        self.note_limit(request);
        let request = request.with_time_since_first_try(self.since_first_try_ms(request));
        let placed = choose(self, now_ms, &request);
        if let Placed::At(assignment) = &placed {
            self.note_placed(now_ms, &request, assignment, false);
            self.note_sent(now_ms, assignment);
        }
        placed
    }

    /// Counts what is sent to engines that take only so much.
    fn note_sent(&mut self, now_ms: f64, assignment: &Assignment) {
        if let Some(engine) = self.engines.get_mut(&assignment.engine) {
            engine.rate_limit.note_sent(now_ms, &self.sender);
        }
        for part in &assignment.helpers {
            if let Some(engine) = self.engines.get_mut(&part.engine) {
                engine.rate_limit.note_part(now_ms, &self.sender);
            }
        }
    }

    /// Notes the limit of a request that is tried for the first time. One whose stream has begun asks
    /// every 40 ms until it goes on: a few that had come back would pass for what is usual.
    fn note_limit(&mut self, request: &Ask) {
        if request.has_begun || !request.avoid.is_empty() {
            return;
        }
        self.typical_limits.note(&request.route, request.route_limit_ms, request.sent_limit_ms);
    }

    /// How long ago the caller of a prompt tried first, in ms; 0 if it seems to be new.
    pub fn since_first_try_ms(&self, request: &Ask) -> f64 {
        self.typical_limits.since_first_try_ms(&request.route, request.sent_limit_ms)
    }

    /// What the engines of a pool look like from here, for those who ask why a prompt was refused.
    pub fn outlook(&self, now_ms: f64, pool: &str) -> Outlook {
        let open = self.engines.values().filter(|one| one.takes_work() && one.spec.pool == pool);
        let mut outlook = Outlook::default();
        for engine in open {
            if engine.reachability.is_unreachable() {
                outlook.unreached += 1;
                continue;
            }
            outlook.engines += 1;
            outlook.taken_slots += engine.primaries();
            outlook.helped_parts += engine.helper_parts();
            outlook.queued_ms += engine.queued().prefill_ms;
            outlook.slowness += engine.health.slowness(now_ms);
            outlook.avoided += usize::from(engine.health.is_avoided(now_ms));
            outlook.doubtful += usize::from(engine.is_doubtful(now_ms));
        }
        let engines = outlook.engines.max(1) as f64;
        outlook.queued_ms /= engines;
        outlook.slowness /= engines;
        outlook
    }

    /// How many requests are placed.
    pub fn placed_count(&self) -> usize {
        self.placements.len()
    }

    /// Loads the engines of an assignment, once.
    fn note_placed(
        &mut self,
        now_ms: f64,
        request: &Ask,
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
            self.note_split_work(now_ms, request, &assignment.engine);
        }
        self.add_job(now_ms, request, &assignment.engine, JobKind::Primary, parts, primary_tokens);
        for part in &assignment.helpers {
            let kind = JobKind::Helper;
            self.add_job(now_ms, request, &part.engine, kind, parts, part.reserve_tokens);
        }
        self.placements.insert(request.id, Placement::new(now_ms, request, assignment));
        if is_started {
            self.note_started(now_ms, request.id);
        }
    }

    /// Counts the work of a prompt that several engines read.
    fn note_split_work(&mut self, now_ms: f64, request: &Ask, engine: &UpstreamId) {
        let Some(engine) = self.engines.get(engine) else {
            return;
        };
        let work_ms = engine.spec.model.part_read_ms(request.prompt_tokens, 1);
        self.split_work_ms = self.split_work(now_ms) + work_ms;
        self.split_work_at_ms = now_ms;
    }

    /// Loads an engine with a part of a prompt.
    fn add_job(
        &mut self,
        now_ms: f64,
        request: &Ask,
        engine: &UpstreamId,
        kind: JobKind,
        parts: usize,
        memory_tokens: u64,
    ) {
        let Some(engine) = self.engines.get_mut(engine) else {
            return;
        };
        let prefill_ms = engine.spec.model.part_read_ms(request.prompt_tokens, parts);
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

    /// Takes in what hosts tell of their placements.
    pub fn note(&mut self, now_ms: f64, id: PlacementId, event: Event) {
        match event {
            Event::Started { took_ms } => self.note_first_token(now_ms, id, took_ms),
            Event::Ended => self.note_ended(now_ms, id),
            Event::Failed => self.end(now_ms, id, |engine| engine.health.note_failure(now_ms)),
            Event::Broken => self.end(now_ms, id, |engine| {
                engine.health.note_failure(now_ms);
                engine.reachability.note_broken();
            }),
            Event::Unreached => self.end(now_ms, id, |engine| {
                engine.health.note_failure(now_ms);
                engine.reachability.note_unreachable(now_ms);
            }),
            Event::HelperFailed { position } => {
                self.note_helper_failed(now_ms, id, position);
                self.end(now_ms, id, |_| {});
            }
        }
    }

    /// What a first token tells of the engine that wrote it; a later report adds nothing.
    fn note_first_token(&mut self, now_ms: f64, id: PlacementId, took_ms: f64) {
        let Some(placement) = self.placements.get(&id).filter(|one| !one.is_started) else {
            return;
        };
        if let Some(engine) = self.engines.get_mut(&placement.engine) {
            engine.reachability.note_answer();
            engine.health.note_success(now_ms);
            engine.health.note_first_token(now_ms, placement.expected_ms, took_ms);
        }
        self.note_started(now_ms, id);
    }

    fn note_helper_failed(&mut self, now_ms: f64, id: PlacementId, position: usize) {
        let placement = self.placements.get(&id);
        let helper = placement.and_then(|one| one.helpers.get(position));
        if let Some(engine) = helper.and_then(|helper| self.engines.get_mut(helper)) {
            engine.health.note_failure(now_ms);
        }
    }

    fn note_started(&mut self, now_ms: f64, id: PlacementId) {
        let Some(placement) = self.placements.get_mut(&id) else {
            return;
        };
        placement.is_started = true;
        for engine in placement.engines() {
            if let Some(engine) = self.engines.get_mut(engine) {
                engine.note_started(now_ms, id);
            }
        }
    }

    /// A prompt was served, or its caller left; what it held counts if it was served.
    fn note_ended(&mut self, now_ms: f64, id: PlacementId) {
        if let Some(placement) = self.placements.get(&id).filter(|one| one.is_started)
            && let Some(engine) = self.engines.get(&placement.engine)
        {
            self.slot_times.note(&engine.spec.pool, now_ms - placement.placed_at_ms);
            return self.end(now_ms, id, |engine| engine.health.note_served(now_ms));
        }
        self.end(now_ms, id, |_| {});
    }

    /// How long prompts of its pool usually hold a place; `None` before any has ended.
    pub(crate) fn mean_slot_ms(&self, request: &Ask) -> Option<f64> {
        self.slot_times.mean_ms(&request.pool)
    }

    /// Ends a placement, and lets its engine learn from how it ended.
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

    /// Forgets all placements, where another keeper knows what became of them.
    pub fn forget_placements(&mut self) {
        self.placements.clear();
        self.engines.values_mut().for_each(|engine| engine.jobs.clear());
    }

    /// Takes over placements that another keeper made.
    pub fn take_over(&mut self, now_ms: f64, placed: &[Renewed]) {
        for one in placed {
            self.note_limit(&one.ask);
            self.note_placed(now_ms, &one.ask, &one.assignment, one.is_started);
        }
    }

    /// Takes over what a host runs, and drops what it does not run any more.
    pub fn renew(&mut self, now_ms: f64, host: u64, renewed: &[Renewed]) {
        self.take_over(now_ms, renewed);
        let is_listed = |id: &PlacementId| renewed.iter().any(|one| one.ask.id == *id);
        let finished = self.placements.iter().filter(|(id, placement)| {
            id.host == host && placement.is_settled(now_ms) && !is_listed(id)
        });
        let finished: Vec<_> = finished.map(|(id, _)| *id).collect();
        for id in finished {
            self.end(now_ms, id, |_| {});
        }
    }

    /// Engines that should be asked of themselves now: those whose first tokens are late, those
    /// that were slow, and those that may be dead. They count as asked.
    pub fn take_suspects(&mut self, now_ms: f64) -> Vec<UpstreamId> {
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

    /// Notes that no connection to an engine could be had for a question.
    pub fn note_unreached(&mut self, now_ms: f64, id: &UpstreamId) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.reachability.note_unreachable(now_ms);
        }
    }

    /// Notes that a heartbeat of an engine came.
    pub fn note_heartbeat(&mut self, now_ms: f64, id: &UpstreamId) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.reachability.note_heartbeat(now_ms);
        }
    }

    /// Takes in the pace that an engine told: how many times longer its work takes than the
    /// model says.
    pub fn note_pace(&mut self, now_ms: f64, id: &UpstreamId, pace: f64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.health.note_pace(now_ms, pace);
            engine.reachability.note_answer();
        }
    }

    /// Drops placements whose hosts said nothing for too long.
    pub fn drop_lost(&mut self, now_ms: f64) {
        let expired =
            self.placements.iter().filter(|(_, placement)| placement.expires_at_ms < now_ms);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.end(now_ms, id, |_| {});
        }
    }
}
