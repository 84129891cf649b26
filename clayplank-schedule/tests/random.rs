//! Property test over random event sequences. The scheduler itself asserts at each tick
//! that the reserved memory equals the sum of all grants.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, BTreeSet};

use clayplank_schedule::{
    Decision, EngineReport, EngineSpec, GrantHolder, GrantId, Policy, ReservationRequest,
    Scheduler, Usage,
};
use clayplank_types::{AccountId, AttemptId, HostId, Incarnation, Partner, RequestId, UpstreamId};
use proptest::prelude::*;

const ENGINES: usize = 4;
const MEMORY_TOKENS: u64 = 100_000;

#[derive(Clone, Debug)]
enum Step {
    Ask { account: u8, prompt_tokens: u64, deadline_ms: u64, host: u8 },
    FirstToken(prop::sample::Index),
    Finish { chosen: prop::sample::Index, engine_ended: bool },
    HostFails,
    HostRestarts(u8),
    EngineRestarts(usize),
    EngineUnresponsive(usize),
    Report(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..4_u8, prop_oneof![1_000..4_000_u64, 8_000..60_000_u64, 100_000..250_000_u64], 500..60_000_u64, 0..2_u8)
            .prop_map(|(account, prompt_tokens, deadline_ms, host)| Step::Ask { account, prompt_tokens, deadline_ms, host }),
        4 => any::<prop::sample::Index>().prop_map(Step::FirstToken),
        4 => (any::<prop::sample::Index>(), any::<bool>())
            .prop_map(|(chosen, engine_ended)| Step::Finish { chosen, engine_ended }),
        1 => Just(Step::HostFails),
        1 => (0..2_u8).prop_map(Step::HostRestarts),
        1 => (0..ENGINES).prop_map(Step::EngineRestarts),
        1 => (0..ENGINES).prop_map(Step::EngineUnresponsive),
        6 => (0..ENGINES).prop_map(Step::Report),
        6 => (1..2_000_u64).prop_map(Step::Wait),
    ]
}

/// Model of the surroundings: what the engines actually run, and which decisions the
/// hosts received.
#[derive(Default)]
struct Environment {
    now_ms: u64,
    running: Vec<BTreeMap<AttemptId, u64>>,
    incarnations: Vec<u64>,
    host_incarnations: [u64; 2],
    requested: BTreeMap<RequestId, (AttemptId, u8)>,
    granted: BTreeMap<GrantId, AttemptId>,
    decided: BTreeSet<RequestId>,
    deadlines: BTreeMap<RequestId, u64>,
}

fn engine_id(engine: usize) -> UpstreamId {
    UpstreamId::new(format!("e{engine}"))
}

impl Environment {
    fn holder(&self, host: u8) -> GrantHolder {
        GrantHolder {
            host: HostId::new(format!("h{host}")),
            incarnation: Incarnation(self.host_incarnations[host as usize]),
        }
    }

    fn apply_decisions(&mut self, scheduler: &mut Scheduler) {
        for decision in scheduler.take_decisions() {
            match decision {
                Decision::Granted(grant) => {
                    assert!(self.decided.insert(grant.request_id), "request decided twice");
                    assert!(
                        self.deadlines[&grant.request_id] >= self.now_ms,
                        "granted after its deadline"
                    );
                    let (attempt_id, _) = self.requested[&grant.request_id];
                    let engines: BTreeSet<_> =
                        grant.parts.iter().map(|part| part.engine.clone()).collect();
                    assert_eq!(
                        engines.len(),
                        grant.parts.len(),
                        "an engine has more than one part of a grant"
                    );
                    for part in &grant.parts {
                        let engine =
                            (0..ENGINES).find(|&engine| engine_id(engine) == part.engine).unwrap();
                        self.running[engine].insert(attempt_id, part.reserved_tokens);
                    }
                    self.granted.insert(grant.grant_id, attempt_id);
                }
                Decision::Refused(request_id, refusal) => {
                    assert!(self.decided.insert(request_id), "request decided twice");
                    assert!(refusal.retry_after_ms > 0, "a refusal without a retry delay");
                }
                Decision::Cancel(engine, attempt_id) => {
                    let engine = (0..ENGINES).find(|&index| engine_id(index) == engine).unwrap();
                    self.running[engine].remove(&attempt_id);
                }
            }
        }
    }

    fn report(&self, engine: usize) -> EngineReport {
        EngineReport {
            incarnation: Incarnation(self.incarnations[engine]),
            memory_tokens: MEMORY_TOKENS,
            running: self.running[engine].clone(),
            is_draining: false,
            ..EngineReport::default()
        }
    }

    fn apply(&mut self, scheduler: &mut Scheduler, step: &Step, number: u64) {
        match *step {
            Step::Ask { account, prompt_tokens, deadline_ms, host } => {
                let request_id = RequestId(number);
                let attempt_id = AttemptId::from_bits(u128::from(number));
                let account = AccountId::new(Partner::new("dala"), format!("a{account}"));
                let deadline_ms = self.now_ms + deadline_ms;
                let request = ReservationRequest::new(
                    request_id,
                    attempt_id,
                    account,
                    "base",
                    prompt_tokens,
                    deadline_ms,
                );
                self.requested.insert(request_id, (attempt_id, host));
                self.deadlines.insert(request_id, deadline_ms);
                scheduler.submit(self.now_ms, self.holder(host), request);
            }
            Step::FirstToken(ref chosen) if !self.granted.is_empty() => {
                let grants: Vec<_> = self.granted.keys().copied().collect();
                scheduler.record_first_token(self.now_ms, *chosen.get(&grants));
            }
            Step::Finish { ref chosen, engine_ended } if !self.granted.is_empty() => {
                let grants: Vec<_> =
                    self.granted.iter().map(|(&grant, &attempt)| (grant, attempt)).collect();
                let &(grant_id, attempt_id) = chosen.get(&grants);
                self.granted.remove(&grant_id);
                if engine_ended {
                    self.running.iter_mut().for_each(|running| {
                        running.remove(&attempt_id);
                    });
                }
                scheduler.end_grant(
                    self.now_ms,
                    grant_id,
                    Usage { engine_ended, ..Usage::default() },
                );
            }
            Step::FirstToken(_) | Step::Finish { .. } => {}
            // The failed host's grants are no longer renewed.
            Step::HostFails => self.granted.clear(),
            Step::HostRestarts(host) => {
                self.host_incarnations[host as usize] += 1;
                scheduler.renew(self.now_ms, &self.holder(host), &[]);
            }
            Step::EngineRestarts(engine) => {
                self.running[engine].clear();
                self.incarnations[engine] += 1;
                scheduler.apply_report(self.now_ms, &engine_id(engine), &self.report(engine));
            }
            Step::EngineUnresponsive(engine) => scheduler.mark_unresponsive(&engine_id(engine)),
            Step::Report(engine) => {
                scheduler.apply_report(self.now_ms, &engine_id(engine), &self.report(engine))
            }
            Step::Wait(elapsed_ms) => {
                self.now_ms += elapsed_ms;
                scheduler.tick(self.now_ms);
            }
        }
        self.apply_decisions(scheduler);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn capacity_is_always_released_and_each_request_is_decided_once(steps in prop::collection::vec(step(), 1..200)) {
        let mut scheduler = Scheduler::new(Policy::default());
        for engine in 0..ENGINES {
            scheduler.add_engine(EngineSpec::new(engine_id(engine), MEMORY_TOKENS, ["base"]));
        }
        let mut environment = Environment {
            running: vec![BTreeMap::new(); ENGINES],
            incarnations: vec![1; ENGINES],
            host_incarnations: [1, 1],
            ..Environment::default()
        };
        for (number, step) in steps.into_iter().enumerate() {
            environment.apply(&mut scheduler, &step, number as u64 + 1);
        }
        // No grant is renewed from here on: after the lease, the grace period and one report,
        // all capacity must be released.
        for _ in 0..200 {
            environment.now_ms += 500;
            scheduler.tick(environment.now_ms);
            environment.apply_decisions(&mut scheduler);
            for engine in 0..ENGINES {
                let report = environment.report(engine);
                scheduler.apply_report(environment.now_ms, &engine_id(engine), &report);
            }
            environment.apply_decisions(&mut scheduler);
        }
        let totals = scheduler.totals();
        prop_assert_eq!((totals.granted_tokens, totals.foreign_tokens, totals.waiting), (0, 0, 0));
        prop_assert_eq!(environment.decided.len(), environment.requested.len(), "some requests were never decided");
    }
}
