//! Simulation of one run: arrivals, the scheduler and simulated engines on tokio's paused clock.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use clayplank_schedule::{
    Decision, EngineReport, EngineSpec, Grant, GrantHolder, Policy, ReservationRequest,
    RetryBudget, Scheduler, Usage,
};
use clayplank_standin::{EngineCore, EngineModel, Job, JobKind, StepEvent};
use clayplank_types::{AttemptId, HostId, Incarnation, RequestId, UpstreamId};
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::mix::{Arrival, Mix};

/// Interval of the scheduler's ticks.
const TICK_INTERVAL_MS: u64 = 50;
/// Interval of the engines' load reports.
const REPORT_INTERVAL_MS: u64 = 250;
/// Interval at which the holder renews its grants.
const RENEW_INTERVAL_MS: u64 = 750;

/// Time without reports after which an engine is declared unresponsive: three report intervals.
const UNRESPONSIVE_AFTER_MS: u64 = 750;

/// Retry budget: permitted retries, in percent of first attempts.
const RETRY_PERCENT: u64 = 10;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) mix: Mix,
    pub(crate) policy: Policy,
    pub(crate) engines: usize,
    pub(crate) arrivals: Arc<Vec<Arrival>>,
    /// Start and end of the failure of half of the engines.
    pub(crate) outage_ms: Option<(u64, u64)>,
}

/// Outcome of a request; times are in ms since the start of the run.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestOutcome {
    pub(crate) granted_ms: Option<u64>,
    pub(crate) first_token_ms: Option<u64>,
    pub(crate) ended_ms: Option<u64>,
    pub(crate) refused_ms: Option<u64>,
    pub(crate) failed_ms: Option<u64>,
    submissions: u64,
}

/// A granted request that runs on its engines.
#[derive(Debug)]
struct Attempt {
    request: usize,
    grant: Grant,
    /// Index of the part of the grant that runs now.
    position: usize,
    first_token_ms: Option<u64>,
}

/// State of the simulation.
struct Simulation {
    setup: Setup,
    scheduler: Scheduler,
    engines: Vec<EngineCore>,
    incarnations: Vec<u64>,
    has_failed: Vec<bool>,
    work_added: Vec<Rc<Notify>>,
    attempts: HashMap<AttemptId, Attempt>,
    outcomes: Vec<RequestOutcome>,
    budgets: HashMap<usize, RetryBudget>,
    /// Index and attempt of each request that waits for a decision.
    by_request: HashMap<RequestId, (usize, AttemptId)>,
    next_id: u64,
    /// Number of requests that have not finished.
    unfinished: usize,
    /// Notified for each request that finishes.
    finished: Rc<Notify>,
    started: Instant,
}

type Shared = Rc<RefCell<Simulation>>;

/// Runs a simulation until all requests have finished; equal setups give equal outcomes.
pub(crate) fn replay(setup: Setup) -> Vec<RequestOutcome> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    let runtime = runtime.expect("a runtime of one thread can be built");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run(setup))
}

async fn run(setup: Setup) -> Vec<RequestOutcome> {
    let simulation = Rc::new(RefCell::new(Simulation::new(setup)));
    let count = simulation.borrow().engines.len();
    for engine in 0..count {
        tokio::task::spawn_local(run_engine(Rc::clone(&simulation), engine));
    }
    tokio::task::spawn_local(run_maintenance(Rc::clone(&simulation)));
    tokio::task::spawn_local(run_outage(Rc::clone(&simulation)));
    run_arrivals(&simulation).await;
    let finished = Rc::clone(&simulation.borrow().finished);
    while simulation.borrow().unfinished > 0 {
        finished.notified().await;
    }
    std::mem::take(&mut simulation.borrow_mut().outcomes)
}

async fn sleep_ms(duration_ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(duration_ms / 1_000.0)).await;
}

async fn run_arrivals(simulation: &Shared) {
    let (arrivals, started) = {
        let simulation = simulation.borrow();
        (Arc::clone(&simulation.setup.arrivals), simulation.started)
    };
    for (request, arrival) in arrivals.iter().enumerate() {
        tokio::time::sleep_until(started + Duration::from_millis(arrival.at_ms)).await;
        let mut simulation = simulation.borrow_mut();
        simulation.budgets.entry(arrival.account).or_default().deposit(RETRY_PERCENT);
        simulation.submit(request, Vec::new());
    }
}

async fn run_engine(simulation: Shared, engine: usize) {
    let work_added = Rc::clone(&simulation.borrow().work_added[engine]);
    loop {
        let planned_ms = {
            let mut simulation = simulation.borrow_mut();
            if simulation.has_failed[engine] {
                None
            } else {
                simulation.engines[engine].plan_step_ms()
            }
        };
        let Some(step_ms) = planned_ms else {
            work_added.notified().await;
            continue;
        };
        let incarnation = simulation.borrow().incarnations[engine];
        sleep_ms(step_ms).await;
        let mut simulation = simulation.borrow_mut();
        if simulation.has_failed[engine] || simulation.incarnations[engine] != incarnation {
            continue;
        }
        let events = simulation.engines[engine].finish_step();
        for event in events {
            simulation.apply_step(event);
        }
    }
}

async fn run_maintenance(simulation: Shared) {
    let mut elapsed_ms = 0;
    loop {
        sleep_ms(TICK_INTERVAL_MS as f64).await;
        elapsed_ms += TICK_INTERVAL_MS;
        let mut simulation = simulation.borrow_mut();
        if elapsed_ms % RENEW_INTERVAL_MS == 0 {
            simulation.renew();
        }
        if elapsed_ms % REPORT_INTERVAL_MS == 0 {
            simulation.report();
        }
        let now_ms = simulation.now_ms();
        simulation.scheduler.tick(now_ms);
        simulation.apply_decisions();
    }
}

async fn run_outage(simulation: Shared) {
    let Some((from_ms, to_ms)) = simulation.borrow().setup.outage_ms else {
        return;
    };
    sleep_ms(from_ms as f64).await;
    let count = simulation.borrow().engines.len() / 2;
    simulation.borrow_mut().fail_engines(count);
    sleep_ms(UNRESPONSIVE_AFTER_MS as f64).await;
    simulation.borrow_mut().report_unresponsive(count);
    sleep_ms((to_ms - from_ms - UNRESPONSIVE_AFTER_MS) as f64).await;
    simulation.borrow_mut().restart_engines(count);
}

fn engine_id(engine: usize) -> UpstreamId {
    UpstreamId::new(format!("engine-{engine}"))
}

fn holder() -> GrantHolder {
    GrantHolder { host: HostId::new("entry-1"), incarnation: Incarnation(1) }
}

impl Simulation {
    fn new(setup: Setup) -> Self {
        let model = EngineModel::default();
        let mut scheduler = Scheduler::new(setup.policy.clone());
        for engine in 0..setup.engines {
            scheduler.add_engine(EngineSpec::new(engine_id(engine), model.memory_tokens, ["base"]));
        }
        let count = setup.arrivals.len();
        Self {
            scheduler,
            engines: (0..setup.engines).map(|_| EngineCore::new(model)).collect(),
            incarnations: vec![1; setup.engines],
            has_failed: vec![false; setup.engines],
            work_added: (0..setup.engines).map(|_| Rc::default()).collect(),
            attempts: HashMap::new(),
            outcomes: vec![RequestOutcome::default(); count],
            budgets: HashMap::new(),
            by_request: HashMap::new(),
            next_id: 0,
            unfinished: count,
            finished: Rc::default(),
            started: Instant::now(),
            setup,
        }
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn submit(&mut self, request: usize, avoid: Vec<UpstreamId>) {
        let arrivals = Arc::clone(&self.setup.arrivals);
        let arrival = &arrivals[request];
        self.next_id += 1;
        let (request_id, attempt_id) =
            (RequestId(self.next_id), AttemptId::from_bits(u128::from(self.next_id)));
        let account = self.setup.mix.account_id(arrival.account);
        let deadline_ms = arrival.at_ms + arrival.deadline_ms;
        let mut reservation_request = ReservationRequest::new(
            request_id,
            attempt_id,
            account,
            "base",
            arrival.prompt_tokens,
            deadline_ms,
        );
        arrival.fill(&mut reservation_request);
        reservation_request.avoided_engines = avoid;
        self.by_request.insert(request_id, (request, attempt_id));
        self.outcomes[request].submissions += 1;
        let now_ms = self.now_ms();
        self.scheduler.submit(now_ms, holder(), reservation_request);
        self.apply_decisions();
    }

    /// Applies the scheduler's decisions until there are none left.
    fn apply_decisions(&mut self) {
        loop {
            let decisions = self.scheduler.take_decisions();
            if decisions.is_empty() {
                return;
            }
            for decision in decisions {
                match decision {
                    Decision::Granted(grant) => self.start(grant),
                    Decision::Refused(request_id, _) => {
                        if let Some((request, _)) = self.by_request.remove(&request_id) {
                            self.record_refusal(request);
                        }
                    }
                    Decision::Cancel(engine, attempt_id) => self.cancel(&engine, attempt_id),
                }
            }
        }
    }

    fn record_refusal(&mut self, request: usize) {
        let now_ms = self.now_ms();
        let outcome = &mut self.outcomes[request];
        // A retry that is refused counts as a failure, not as a refusal.
        match outcome.submissions {
            1 => outcome.refused_ms = Some(now_ms),
            _ => outcome.failed_ms = Some(now_ms),
        }
        self.count_finished();
    }

    fn count_finished(&mut self) {
        self.unfinished -= 1;
        self.finished.notify_one();
    }

    fn cancel(&mut self, engine: &UpstreamId, attempt_id: AttemptId) {
        if let Some(engine) = (0..self.engines.len()).find(|&index| engine_id(index) == *engine) {
            self.engines[engine].cancel(attempt_id);
        }
    }

    fn start(&mut self, grant: Grant) {
        let Some((request, attempt_id)) = self.by_request.remove(&grant.request_id) else {
            return;
        };
        let now_ms = self.now_ms();
        self.outcomes[request].granted_ms.get_or_insert(now_ms);
        self.attempts
            .insert(attempt_id, Attempt { request, grant, position: 0, first_token_ms: None });
        self.start_part(attempt_id);
    }

    /// Starts the current part of a grant at its engine.
    fn start_part(&mut self, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.get(&attempt_id) else {
            return;
        };
        let arrivals = Arc::clone(&self.setup.arrivals);
        let arrival = &arrivals[attempt.request];
        let part = attempt.grant.parts[attempt.position].clone();
        let is_last = attempt.position + 1 == attempt.grant.parts.len();
        let kind = if is_last { JobKind::Completion } else { JobKind::Prefill };
        let is_single = attempt.grant.parts.len() == 1;
        let job = Job {
            attempt_id,
            kind,
            prompt_tokens: part.prompt_tokens,
            output_tokens: if is_last { arrival.output_tokens } else { 0 },
            priority: attempt.grant.engine_priority,
            prefix_hashes: if is_single { arrival.prefix_hashes.clone() } else { Vec::new() },
        };
        let Some(engine) = (0..self.engines.len()).find(|&index| engine_id(index) == part.engine)
        else {
            return;
        };
        if self.has_failed[engine] || self.engines[engine].start(job).is_err() {
            self.fail(attempt_id, true);
            return;
        }
        self.work_added[engine].notify_one();
    }

    /// Ends a failed attempt and retries it if the account's retry budget permits.
    ///
    /// `is_not_started`: the engine did not accept the current part, as opposed to failing while it ran.
    fn fail(&mut self, attempt_id: AttemptId, is_not_started: bool) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else {
            return;
        };
        let now_ms = self.now_ms();
        self.cancel_parts(&attempt, attempt_id);
        let usage = Usage { engine_ended: is_not_started, engine_failed: true, ..Usage::default() };
        self.scheduler.end_grant(now_ms, attempt.grant.grant_id, usage);
        let arrivals = Arc::clone(&self.setup.arrivals);
        let account = arrivals[attempt.request].account;
        let may_retry = self.outcomes[attempt.request].submissions < 3
            && self.budgets.get_mut(&account).is_some_and(RetryBudget::try_withdraw);
        if may_retry {
            let avoid = attempt.grant.parts.iter().map(|part| part.engine.clone()).collect();
            self.outcomes[attempt.request].first_token_ms = None;
            self.submit(attempt.request, avoid);
        } else {
            self.outcomes[attempt.request].failed_ms = Some(now_ms);
            self.count_finished();
            self.apply_decisions();
        }
    }

    fn cancel_parts(&mut self, attempt: &Attempt, attempt_id: AttemptId) {
        for part in &attempt.grant.parts {
            self.cancel(&part.engine, attempt_id);
        }
    }

    fn apply_step(&mut self, event: StepEvent) {
        let now_ms = self.now_ms();
        match event {
            StepEvent::Prefilled(attempt_id) => {
                if let Some(attempt) = self.attempts.get_mut(&attempt_id) {
                    attempt.position += 1;
                    self.start_part(attempt_id);
                }
            }
            StepEvent::Token(attempt_id, 0) => {
                let Some(attempt) = self.attempts.get_mut(&attempt_id) else {
                    return;
                };
                attempt.first_token_ms = Some(now_ms);
                self.outcomes[attempt.request].first_token_ms = Some(now_ms);
                self.scheduler.record_first_token(now_ms, attempt.grant.grant_id);
                self.apply_decisions();
            }
            StepEvent::Token(..) => {}
            StepEvent::Ended(attempt_id) => self.end(attempt_id),
        }
    }

    fn end(&mut self, attempt_id: AttemptId) {
        let Some(attempt) = self.attempts.remove(&attempt_id) else {
            return;
        };
        let now_ms = self.now_ms();
        self.cancel_parts(&attempt, attempt_id);
        self.outcomes[attempt.request].ended_ms = Some(now_ms);
        let usage = Usage {
            engine_ended: true,
            engine_failed: false,
            output_tokens: self.setup.arrivals[attempt.request].output_tokens,
            decode_ms: now_ms - attempt.first_token_ms.unwrap_or(now_ms),
        };
        self.scheduler.end_grant(now_ms, attempt.grant.grant_id, usage);
        self.count_finished();
        self.apply_decisions();
    }

    /// Renews the grants of all running attempts.
    fn renew(&mut self) {
        let now_ms = self.now_ms();
        let grants: Vec<_> = self
            .attempts
            .iter()
            .map(|(&attempt_id, attempt)| clayplank_schedule::RenewedGrant {
                grant_id: attempt.grant.grant_id,
                owner: Incarnation::default(),
                attempt_id,
                parts: attempt.grant.parts.clone(),
            })
            .collect();
        self.scheduler.renew(now_ms, &holder(), &grants);
    }

    /// Sends the load report of every engine that has not failed.
    fn report(&mut self) {
        let now_ms = self.now_ms();
        for engine in 0..self.engines.len() {
            if self.has_failed[engine] {
                continue;
            }
            let core = &self.engines[engine];
            let running =
                core.running().map(|running| (running.job.attempt_id, running.job.memory_tokens()));
            let report = EngineReport {
                incarnation: Incarnation(self.incarnations[engine]),
                memory_tokens: core.model().memory_tokens,
                running: running.collect(),
                is_draining: false,
                ..EngineReport::default()
            };
            self.scheduler.apply_report(now_ms, &engine_id(engine), &report);
        }
        self.apply_decisions();
    }

    fn fail_engines(&mut self, count: usize) {
        for engine in 0..count {
            self.has_failed[engine] = true;
            let mut failed: Vec<_> =
                self.engines[engine].running().map(|running| running.job.attempt_id).collect();
            failed.sort();
            self.engines[engine] = EngineCore::new(EngineModel::default());
            for attempt_id in failed {
                self.fail(attempt_id, false);
            }
        }
    }

    fn report_unresponsive(&mut self, count: usize) {
        for engine in 0..count {
            self.scheduler.mark_unresponsive(&engine_id(engine));
        }
        self.apply_decisions();
    }

    fn restart_engines(&mut self, count: usize) {
        for engine in 0..count {
            self.has_failed[engine] = false;
            self.incarnations[engine] += 1;
        }
    }
}
