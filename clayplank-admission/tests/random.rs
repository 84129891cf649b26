//! Random callers, hosts and keepers, with replies that are lost, keepers that change, callers that
//! leave and hosts that freeze.
//!
//! Guards against two callers in one slot, slots and promises that are never freed, and requests
//! that wait unseen until their limit.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;

use clayplank_admission::Admission;
use clayplank_placement::{
    Assignment, EngineModel, EngineSpec, Event, MIN_GOAL_MS, PlacementId, PlacementOutcome,
    PlacementRequest, QueueTerms, RunningPlacement,
};
use clayplank_types::{DataCentre, Fingerprint, UpstreamId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const SEEDS: u64 = 2_000;
const ENGINES: usize = 3;
const SLOTS: u32 = 2;
const HOSTS: u64 = 3;

const STEP_MS: f64 = 20.0;
const LOAD_MS: f64 = 2_500.0;
/// Time, in ms, until which all callers are served or gone.
const END_MS: f64 = 30_000.0;

/// Time, in ms, after which leases and appointments of callers that are gone have ended.
const SETTLED_MS: f64 = 6_000.0;

/// Time after which a host reports its placements to the keeper, in ms.
const REPORT_MS: f64 = 200.0;

/// Time after which a host asks again when a reply was lost, in ms.
const TIMEOUT_MS: f64 = 400.0;

const LIMIT_MS: f64 = 2_000.0;
const GOAL_MS: f64 = 300.0;
const DEADLINE_MS: f64 = 8_000.0;

#[derive(Clone, Debug)]
enum State {
    Away { until_ms: f64 },
    Queued { since_ms: f64 },
    Running { assignment: Assignment, end_ms: f64 },
}

#[derive(Clone, Debug)]
struct Caller {
    id: PlacementId,
    fingerprint: Fingerprint,
    first_try_ms: f64,
    asked_ms: f64,
    refusals: u32,
    state: State,
}

struct World {
    seed: u64,
    rng: SmallRng,
    keeper: Admission,
    callers: Vec<Caller>,
    /// Time until which each host is frozen, and from which it asks again.
    frozen_until_ms: BTreeMap<u64, f64>,
    asks_from_ms: BTreeMap<u64, f64>,
    next_number: u64,
    /// Placements of which their hosts did not learn, and that the next keeper knows.
    lost: Vec<RunningPlacement>,
}

fn keeper() -> Admission {
    let mut admission = Admission::default();
    let model = EngineModel { slots: SLOTS, ..EngineModel::default() };
    for number in 0..ENGINES {
        let spec = EngineSpec {
            pool: "main".to_owned(),
            data_centre: DataCentre::new("a"),
            model: model.clone(),
        };
        let id = UpstreamId::new(format!("engine-{number}"));
        admission.fleet_mut().set_engine(id, spec, true);
    }
    admission
}

fn request(now_ms: f64, caller: &Caller) -> PlacementRequest {
    let waited_ms = now_ms - caller.asked_ms;
    let goal_ms = (GOAL_MS - waited_ms).max(MIN_GOAL_MS);
    let mut request = PlacementRequest::new(caller.id, "main", 5_000, goal_ms);
    request.output_tokens = 400;
    request.waited_ms = waited_ms;
    request.limit_ms = (LIMIT_MS - waited_ms).max(1.0);
    request.pause_goal_ms = 250.0;
    request.data_centre = DataCentre::new("a");
    request.route = "chat".to_owned();
    request.route_limit_ms = DEADLINE_MS;
    request.sent_limit_ms = DEADLINE_MS - (caller.asked_ms - caller.first_try_ms);
    request.queue_terms = Some(QueueTerms {
        fingerprint: caller.fingerprint,
        account: format!("account-{}", caller.id.number % 3),
        rank: 0,
        deadline_ms: request.sent_limit_ms - waited_ms,
    });
    request
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: SmallRng::seed_from_u64(seed),
            keeper: keeper(),
            callers: Vec::new(),
            frozen_until_ms: BTreeMap::new(),
            asks_from_ms: BTreeMap::new(),
            next_number: 0,
            lost: Vec::new(),
        }
    }

    fn run(&mut self) {
        let mut now_ms = 0.0;
        while now_ms < LOAD_MS || !self.callers.is_empty() {
            now_ms += STEP_MS;
            assert!(now_ms < END_MS, "seed {}: callers are never decided", self.seed);
            if now_ms < LOAD_MS {
                self.disturb(now_ms);
                self.arrive(now_ms);
            }
            self.step_callers(now_ms);
            self.keeper.advance(now_ms);
            for host in 0..HOSTS {
                self.ask(now_ms, host);
            }
            if now_ms % REPORT_MS == 0.0 {
                self.report(now_ms);
            }
            self.check_slots();
        }
        now_ms += SETTLED_MS;
        self.report(now_ms);
        self.keeper.advance(now_ms);
        let (seed, keeper) = (self.seed, &self.keeper);
        let capacity = keeper.fleet().capacity(now_ms, "main");
        assert_eq!(capacity.free_slots, capacity.slots, "seed {seed}: slots were not freed");
        assert_eq!(keeper.fleet().placed_count(), 0, "seed {seed}: placements were not freed");
        assert_eq!(keeper.stats().queued, 0, "seed {seed}: requests are queued for ever");
        assert_eq!(keeper.stats().open_appointments, 0, "seed {seed}: promises never lapse");
    }

    fn is_frozen(&self, now_ms: f64, host: u64) -> bool {
        self.frozen_until_ms.get(&host).is_some_and(|until_ms| now_ms < *until_ms)
    }

    /// Freezes hosts, lets callers leave, and changes the keeper.
    fn disturb(&mut self, now_ms: f64) {
        if self.rng.random_bool(0.005) {
            let host = self.rng.random_range(0..HOSTS);
            self.frozen_until_ms.insert(host, now_ms + self.rng.random_range(100.0..3_000.0));
        }
        if self.rng.random_bool(0.03) && !self.callers.is_empty() {
            let leaving = self.rng.random_range(0..self.callers.len());
            if !self.is_frozen(now_ms, self.callers[leaving].id.host) {
                let caller = self.callers.swap_remove(leaving);
                self.keeper.apply_event(now_ms, caller.id, Event::Ended);
            }
        }
        if self.rng.random_bool(0.01) {
            let running: Vec<_> = self.running(now_ms, |_| true).collect();
            self.keeper = keeper();
            self.keeper.fleet_mut().take_over(now_ms, &running);
            let lost = std::mem::take(&mut self.lost);
            self.keeper.fleet_mut().take_over(now_ms, &lost);
        }
    }

    fn arrive(&mut self, now_ms: f64) {
        while self.rng.random_bool(0.4) {
            self.next_number += 1;
            let id =
                PlacementId { host: self.rng.random_range(0..HOSTS), number: self.next_number };
            // A few requests are identical.
            let fingerprint = u128::from(self.next_number - self.next_number % 2);
            self.callers.push(Caller {
                id,
                fingerprint: Fingerprint::new(fingerprint),
                first_try_ms: now_ms,
                asked_ms: now_ms,
                refusals: 0,
                state: State::Away { until_ms: now_ms },
            });
        }
    }

    fn step_callers(&mut self, now_ms: f64) {
        for position in (0..self.callers.len()).rev() {
            let caller = &self.callers[position];
            if self.is_frozen(now_ms, caller.id.host) {
                continue;
            }
            let id = caller.id;
            match caller.state.clone() {
                State::Away { until_ms } if until_ms <= now_ms => {
                    self.callers[position].asked_ms = now_ms;
                    let request = request(now_ms, &self.callers[position]);
                    let outcome = self.keeper.place(now_ms, &request);
                    self.apply(now_ms, position, outcome);
                }
                State::Running { end_ms, .. } if end_ms <= now_ms => {
                    self.callers.swap_remove(position);
                    self.keeper.apply_event(now_ms, id, Event::Ended);
                }
                State::Queued { since_ms } if since_ms + LIMIT_MS <= now_ms => {
                    self.callers.swap_remove(position);
                    self.keeper.apply_event(now_ms, id, Event::Ended);
                }
                State::Away { .. } | State::Running { .. } | State::Queued { .. } => {}
            }
        }
    }

    /// Lets a host ask for the turns of its queued requests.
    fn ask(&mut self, now_ms: f64, host: u64) {
        let is_asking = self.asks_from_ms.get(&host).is_none_or(|from_ms| *from_ms <= now_ms);
        if !is_asking || self.is_frozen(now_ms, host) {
            return;
        }
        let is_queued =
            |one: &&Caller| one.id.host == host && matches!(one.state, State::Queued { .. });
        let queued: Vec<_> =
            self.callers.iter().filter(is_queued).map(|one| request(now_ms, one)).collect();
        let ids: Vec<_> = queued.iter().map(|one| one.id).collect();
        if ids.is_empty() {
            return;
        }
        self.keeper.renew(now_ms, host, &queued);
        let decisions = self.keeper.take_decisions(host, &ids);
        for one in &queued {
            // A step and the margin of an answer before the limit.
            let is_near_limit = one.limit_ms < 100.0 - STEP_MS;
            let is_decided = decisions.iter().any(|(id, _)| *id == one.id);
            assert!(
                is_decided || !is_near_limit,
                "seed {}: undecided {} ms before its limit",
                self.seed,
                one.limit_ms
            );
        }
        if self.rng.random_bool(0.1) {
            self.asks_from_ms.insert(host, now_ms + TIMEOUT_MS);
            self.lost =
                queued.into_iter().filter_map(|ask| lost_placement(ask, &decisions)).collect();
            return;
        }
        for (id, outcome) in decisions {
            if let Some(position) = self.callers.iter().position(|one| one.id == id) {
                self.apply(now_ms, position, outcome);
            }
        }
    }

    fn apply(&mut self, now_ms: f64, position: usize, outcome: PlacementOutcome) {
        let caller = &mut self.callers[position];
        match outcome {
            PlacementOutcome::At(assignment) => {
                let end_ms = now_ms + self.rng.random_range(200.0..1_500.0);
                caller.state = State::Running { assignment, end_ms };
                let id = caller.id;
                if self.rng.random_bool(0.5) {
                    self.keeper.apply_event(now_ms, id, Event::Started { took_ms: 50.0 });
                }
            }
            PlacementOutcome::Soon { again_in_ms } => {
                caller.state = State::Away { until_ms: now_ms + again_in_ms as f64 };
            }
            PlacementOutcome::Queued { .. } => caller.state = State::Queued { since_ms: now_ms },
            PlacementOutcome::Full { retry_after_ms } => {
                caller.refusals += 1;
                if caller.refusals > 1 || self.rng.random_bool(0.2) {
                    self.callers.swap_remove(position);
                    return;
                }
                self.next_number += 1;
                caller.id.number = self.next_number;
                caller.state = State::Away { until_ms: now_ms + retry_after_ms as f64 };
            }
        }
    }

    fn running(
        &self,
        now_ms: f64,
        is_of: impl Fn(u64) -> bool,
    ) -> impl Iterator<Item = RunningPlacement> {
        self.callers.iter().filter_map(move |one| match &one.state {
            State::Running { assignment, .. } if is_of(one.id.host) => Some(RunningPlacement {
                ask: request(now_ms, one),
                assignment: assignment.clone(),
                is_started: true,
            }),
            State::Running { .. } | State::Away { .. } | State::Queued { .. } => None,
        })
    }

    fn report(&mut self, now_ms: f64) {
        for host in 0..HOSTS {
            if !self.is_frozen(now_ms, host) {
                let running: Vec<_> = self.running(now_ms, |one| one == host).collect();
                self.keeper.fleet_mut().sync_host(now_ms, host, &running);
            }
        }
        self.keeper.fleet_mut().drop_expired(now_ms);
    }

    /// Checks that no engine serves more callers than it has slots.
    fn check_slots(&self) {
        let mut taken: BTreeMap<&UpstreamId, u32> = BTreeMap::new();
        for caller in &self.callers {
            if let State::Running { assignment, .. } = &caller.state {
                *taken.entry(&assignment.engine).or_default() += 1;
            }
        }
        let most = taken.values().max().copied().unwrap_or_default();
        assert!(most <= SLOTS, "seed {}: {most} callers in {SLOTS} slots", self.seed);
    }
}

fn lost_placement(
    ask: PlacementRequest,
    decisions: &[(PlacementId, PlacementOutcome)],
) -> Option<RunningPlacement> {
    let (_, outcome) = decisions.iter().find(|(id, _)| *id == ask.id)?;
    match outcome {
        PlacementOutcome::At(assignment) => {
            Some(RunningPlacement { ask, assignment: assignment.clone(), is_started: false })
        }
        PlacementOutcome::Soon { .. }
        | PlacementOutcome::Full { .. }
        | PlacementOutcome::Queued { .. } => None,
    }
}

#[rstest]
fn slots_are_granted_once_and_freed_whatever_is_lost(#[values(0, 1, 2, 3)] quarter: u64) {
    for seed in (0..SEEDS).filter(|seed| seed % 4 == quarter) {
        World::new(seed).run();
    }
}
