//! State of all engines, and the calls that read and change it.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use clayplank_types::{DataCentre, UpstreamId};

use crate::choose::choose;
use crate::engine::{Engine, EngineSpec};
use crate::engine_loads::EngineLoads;
use crate::event::{Event, RunningPlacement};
use crate::fleet_view::FleetView;
use crate::noise::Noise;
use crate::promised::Promised;
use crate::rate_limit::{HostShare, Sender};
use crate::request::{Assignment, PlacementId, PlacementOutcome, PlacementRequest};
use crate::typical_limits::TypicalLimits;

/// Engines of all pools, and the placements on them.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    loads: EngineLoads,
    typical_limits: TypicalLimits,
    /// Data centres whose engines receive no new work.
    cordoned: BTreeSet<DataCentre>,
    /// Room that is promised to callers that will return, by pool.
    promised: HashMap<String, Promised>,
    /// Limits that engines declare, in requests per second; engines without a limit have no entry.
    limits_per_s: HashMap<UpstreamId, f64>,
    sender: Sender,
    /// Random additions to the costs of engines, on a standalone host.
    noise: Option<Noise>,
}

impl Fleet {
    /// Creates the fleet of a standalone host, which places prompts without a keeper and sees only
    /// its own placements. Random noise keeps hosts with the same view from sending everything to
    /// the same engines.
    pub fn standalone(seed: u64) -> Self {
        let sender = Sender::Host(HostShare { seed, hosts: 1 });
        Self { noise: Some(Noise::new(seed)), sender, ..Self::default() }
    }

    /// Engines of all pools.
    pub(crate) fn engines(&self) -> &BTreeMap<UpstreamId, Engine> {
        &self.loads.engines
    }

    /// Expected times until the occupied slots of a pool become free, in ms. A stream that takes
    /// longer than expected is due now.
    pub(crate) fn releases_ms(&self, now_ms: f64, pool: &str) -> Vec<f64> {
        self.loads.releases_ms(now_ms, pool)
    }

    /// State that placement decisions read.
    pub(crate) fn view(&self) -> FleetView<'_> {
        FleetView {
            engines: &self.loads.engines,
            sender: &self.sender,
            split_load: self.loads.split_load,
            slot_times: &self.loads.slot_times,
            promised: &self.promised,
            noise: self.noise.as_ref(),
        }
    }

    /// Adds an engine or updates its description. An engine that is not open receives no new work.
    pub fn set_engine(&mut self, id: UpstreamId, spec: EngineSpec, is_open: bool) {
        match self.loads.engines.get_mut(&id) {
            Some(engine) => {
                engine.spec = spec;
                engine.is_open = is_open;
            }
            None => {
                let is_cordoned = self.cordoned.contains(&spec.data_centre);
                let mut engine = Engine::new(spec, is_open);
                engine.is_cordoned = is_cordoned;
                engine.rate_limit.set_declared_limit(self.limits_per_s.get(&id).copied());
                self.loads.engines.insert(id, engine);
            }
        }
    }

    /// Replaces the set of cordoned data centres, whose engines receive no new work. Returns the
    /// engines that are no longer cordoned.
    pub fn set_cordoned(&mut self, cordoned: BTreeSet<DataCentre>) -> Vec<UpstreamId> {
        let mut reopened = Vec::new();
        for (id, engine) in &mut self.loads.engines {
            let is_cordoned = cordoned.contains(&engine.spec.data_centre);
            if engine.is_cordoned && !is_cordoned {
                reopened.push(id.clone());
            }
            engine.is_cordoned = is_cordoned;
        }
        self.cordoned = cordoned;
        reopened
    }

    /// Pool of an engine; `None` if the engine is unknown.
    pub fn pool_of(&self, id: &UpstreamId) -> Option<&str> {
        self.loads.engines.get(id).map(|engine| engine.spec.pool.as_str())
    }

    /// Records that an engine stays cold for `remaining_ms` more, and how many requests per second
    /// it can serve until then.
    pub fn set_cold(
        &mut self,
        now_ms: f64,
        id: &UpstreamId,
        remaining_ms: f64,
        requests_per_s: f64,
    ) {
        if let Some(engine) = self.loads.engines.get_mut(id) {
            engine.rate_limit.set_cold_limit(requests_per_s);
            engine.rate_limit.record_cold(now_ms, remaining_ms);
        }
    }

    /// Sets the limit that an engine declares over all hosts, in requests per second; `None`
    /// removes it. The limit is kept for an engine that is added later.
    pub fn set_declared_limit(&mut self, id: &UpstreamId, requests_per_s: Option<f64>) {
        match requests_per_s {
            Some(per_s) => self.limits_per_s.insert(id.clone(), per_s),
            None => self.limits_per_s.remove(id),
        };
        if let Some(engine) = self.loads.engines.get_mut(id) {
            engine.rate_limit.set_declared_limit(requests_per_s);
        }
    }

    /// Sets how many hosts, this one included, may place prompts without a keeper. Has no effect on
    /// the fleet of a keeper.
    pub fn set_hosts(&mut self, hosts: u64) {
        if let Sender::Host(share) = &mut self.sender {
            share.hosts = hosts;
        }
    }

    /// Records whether the heartbeats of an engine are missing.
    pub fn set_heartbeats_missing(&mut self, id: &UpstreamId, lacks_heartbeats: bool) {
        if let Some(engine) = self.loads.engines.get_mut(id) {
            engine.lacks_heartbeats = lacks_heartbeats;
        }
    }

    /// Removes engines, and their declared limits, for which `is_known` is false.
    pub fn retain_engines(&mut self, is_known: impl Fn(&UpstreamId) -> bool) {
        self.loads.engines.retain(|id, _| is_known(id));
        self.limits_per_s.retain(|id, _| is_known(id));
    }

    /// Chooses engines for a prompt and records their load.
    pub fn place(&mut self, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome {
        self.record_limit(request);
        self.place_again(now_ms, request)
    }

    /// Like [`Fleet::place`], for a request whose time limit was recorded before. A queued request
    /// is tried many times, and would otherwise look like many callers with its limit.
    pub fn place_again(&mut self, now_ms: f64, request: &PlacementRequest) -> PlacementOutcome {
        for engine in self.loads.engines.values_mut() {
            engine.advance(now_ms);
        }
        let placed = choose(self.view(), now_ms, request);
        if let PlacementOutcome::At(assignment) = &placed {
            self.loads.record_placed(now_ms, request, assignment, false);
            self.record_sent(now_ms, assignment);
        }
        placed
    }

    /// Counts the request and its parts against the rate limits of their engines.
    fn record_sent(&mut self, now_ms: f64, assignment: &Assignment) {
        if let Some(engine) = self.loads.engines.get_mut(&assignment.engine) {
            engine.rate_limit.record_sent(now_ms, &self.sender);
        }
        for part in &assignment.helpers {
            if let Some(engine) = self.loads.engines.get_mut(&part.engine) {
                engine.rate_limit.record_part(now_ms, &self.sender);
            }
        }
    }

    /// Records the time limit of a request on its first try. Streams that have started are skipped:
    /// they ask every 40 ms until they resume, so that a few callers that had retried would look
    /// like the typical ones.
    pub fn record_limit(&mut self, request: &PlacementRequest) {
        if request.has_begun || request.is_returning {
            return;
        }
        self.typical_limits.record(&request.route, request.route_limit_ms, request.sent_limit_ms);
    }

    /// Time since the caller of a prompt first tried, in ms; 0 if it seems to be new.
    pub fn since_first_try_ms(&self, request: &PlacementRequest) -> f64 {
        self.typical_limits.since_first_try_ms(&request.route, request.sent_limit_ms)
    }

    /// Sets the room that is promised to callers that will return to a pool. [`Fleet::place`] treats
    /// it as occupied when it weighs how scarce slots and prefill time are.
    pub fn set_promised(&mut self, pool: &str, promised: Promised) {
        if promised == Promised::default() {
            self.promised.remove(pool);
        } else {
            self.promised.insert(pool.to_owned(), promised);
        }
    }

    /// Adds placements that another keeper made.
    pub fn take_over(&mut self, now_ms: f64, placed: &[RunningPlacement]) {
        for one in placed {
            self.record_limit(&one.ask);
            self.loads.take_over(now_ms, one);
        }
    }

    /// Records that an engine could not be connected to for a query.
    pub fn record_unreachable(&mut self, now_ms: f64, id: &UpstreamId) {
        if let Some(engine) = self.loads.engines.get_mut(id) {
            engine.reachability.record_unreachable(now_ms);
        }
    }

    /// Records a heartbeat of an engine.
    pub fn record_heartbeat(&mut self, now_ms: f64, id: &UpstreamId) {
        if let Some(engine) = self.loads.engines.get_mut(id) {
            engine.reachability.record_heartbeat(now_ms);
        }
    }

    /// Records the pace that an engine reported: the factor by which its work takes longer than the
    /// cost model predicts.
    pub fn record_pace(&mut self, now_ms: f64, id: &UpstreamId, pace: f64) {
        if let Some(engine) = self.loads.engines.get_mut(id) {
            engine.health.record_pace(now_ms, pace);
            engine.reachability.record_answer();
        }
    }

    /// Whether a placement is known and has not ended.
    pub fn is_placed(&self, id: PlacementId) -> bool {
        self.loads.is_placed(id)
    }

    /// Number of current placements.
    pub fn placed_count(&self) -> usize {
        self.loads.placed_count()
    }

    /// Applies an event that a host reported for one of its placements.
    pub fn apply_event(&mut self, now_ms: f64, id: PlacementId, event: Event) {
        self.loads.apply_event(now_ms, id, event);
    }

    /// Drops all placements, for a keeper that no longer places: another keeper knows their
    /// outcome.
    pub fn forget_placements(&mut self) {
        self.loads.clear();
    }

    /// Number of placements that were dropped because their hosts no longer listed them: reports of
    /// their ends did not arrive.
    pub fn unlisted_total(&self) -> u64 {
        self.loads.unlisted_total
    }

    /// Adds the placements that a host reports as running, and drops those of its older placements
    /// that it does not list.
    pub fn sync_host(&mut self, now_ms: f64, host: u64, running: &[RunningPlacement]) {
        self.take_over(now_ms, running);
        self.loads.drop_unlisted(now_ms, host, running);
    }

    /// Engines that should be queried directly now: those with a late first token, those that last
    /// reported to be slow, and those that may have failed. Counts each of them as queried.
    pub fn take_engines_to_query(&mut self, now_ms: f64) -> Vec<UpstreamId> {
        self.loads.take_engines_to_query(now_ms)
    }

    /// Drops placements whose hosts have sent no report until their expiry.
    pub fn drop_expired(&mut self, now_ms: f64) {
        self.loads.drop_expired(now_ms);
    }
}
