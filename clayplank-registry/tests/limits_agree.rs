//! Hosts and keepers that exchange rate limits converge, regardless of lost and late messages.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_registry::{Cursor, LimitObservation, LimitUpdateResult, Limits};
use clayplank_types::UpstreamId;
use proptest::prelude::*;

const HOSTS: usize = 4;
const KEEPERS: usize = 3;

/// Time between two steps, in ms.
const STEP_MS: u64 = 20;

/// An event of the simulation.
#[derive(Clone, Debug)]
enum Step {
    /// The upstream changes its limit; `None` removes it.
    Change(Option<u8>),
    /// A host receives the answer to a request that it sent this many steps ago.
    Answer { host: usize, sent_ago: u64 },
    /// A host reports its pending observation to the leader; the call may be lost.
    Report { host: usize, is_lost: bool },
    /// The leader sends all limits to another keeper.
    Spread { keeper: usize },
    /// A host requests the changes from a keeper.
    Follow { host: usize, keeper: usize },
    /// A keeper becomes the leader; if `is_new`, it is a new incarnation without any state.
    Lead { keeper: usize, is_new: bool },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        1 => proptest::option::of(1..4_u8).prop_map(Step::Change),
        4 => (0..HOSTS, 0..6_u64).prop_map(|(host, sent_ago)| Step::Answer { host, sent_ago }),
        4 => (0..HOSTS, any::<bool>()).prop_map(|(host, is_lost)| Step::Report { host, is_lost }),
        2 => (0..KEEPERS).prop_map(|keeper| Step::Spread { keeper }),
        4 => (0..HOSTS, 0..KEEPERS).prop_map(|(host, keeper)| Step::Follow { host, keeper }),
        1 => (0..KEEPERS, any::<bool>()).prop_map(|(keeper, is_new)| Step::Lead { keeper, is_new }),
    ];
    proptest::collection::vec(step, 0..120)
}

fn id() -> UpstreamId {
    UpstreamId::new("u")
}

/// A host with its limits, its observation to report, and its cursor for each keeper.
struct Host {
    limits: Limits,
    pending_report: Option<LimitObservation>,
    cursors: [Cursor; KEEPERS],
}

struct Simulation {
    now_ms: u64,
    last_incarnation: u64,
    named_limit: Option<f64>,
    hosts: Vec<Host>,
    keepers: Vec<Limits>,
    leader: usize,
}

impl Simulation {
    fn new() -> Self {
        let host = |incarnation| Host {
            limits: Limits::new(incarnation),
            pending_report: None,
            cursors: Default::default(),
        };
        Self {
            now_ms: 1_000,
            last_incarnation: 100,
            named_limit: None,
            hosts: (0..HOSTS as u64).map(host).collect(),
            keepers: (0..KEEPERS as u64).map(|keeper| Limits::new(50 + keeper)).collect(),
            leader: 0,
        }
    }

    fn apply(&mut self, step: &Step) {
        self.now_ms += STEP_MS;
        match *step {
            Step::Change(named_limit) => self.named_limit = named_limit.map(f64::from),
            Step::Answer { host, sent_ago } => self.answer(host, sent_ago * STEP_MS),
            Step::Report { host, is_lost } => self.report(host, is_lost),
            Step::Spread { keeper } => self.spread(keeper),
            Step::Follow { host, keeper } => self.follow(host, keeper),
            Step::Lead { keeper, is_new } => {
                self.leader = keeper;
                if is_new {
                    self.last_incarnation += 1;
                    self.keepers[keeper] = Limits::new(self.last_incarnation);
                }
            }
        }
    }

    fn answer(&mut self, host: usize, sent_ago_ms: u64) {
        let at_ms =
            if self.named_limit.is_some() { self.now_ms } else { self.now_ms - sent_ago_ms };
        let observed = LimitObservation { upstream: id(), requests_per_s: self.named_limit, at_ms };
        let host = &mut self.hosts[host];
        let is_reported = match host.limits.apply_local(&observed) {
            LimitUpdateResult::Changed => true,
            LimitUpdateResult::Unchanged => observed.requests_per_s.is_some(),
            LimitUpdateResult::Outdated(_) => false,
        };
        if is_reported {
            host.pending_report = Some(observed);
        }
    }

    /// The host reports its pending observation; it stays pending if the call is lost.
    fn report(&mut self, host: usize, is_lost: bool) {
        if !is_lost && let Some(observed) = self.hosts[host].pending_report.take() {
            self.keepers[self.leader].apply_remote(&observed);
        }
    }

    /// The host reports its latest observation again with the next call.
    fn refresh(&mut self, host: usize) {
        let host = &mut self.hosts[host];
        if let Some(latest) = host.limits.latest().next() {
            host.pending_report = Some(latest);
        }
    }

    fn spread(&mut self, keeper: usize) {
        let all = self.keepers[self.leader].changes_after(self.now_ms, Cursor::default());
        for limit in all.limits {
            self.keepers[keeper].apply_remote(&limit.into_observation(self.now_ms));
        }
    }

    fn follow(&mut self, host: usize, keeper: usize) {
        let host = &mut self.hosts[host];
        let changes = self.keepers[keeper].changes_after(self.now_ms, host.cursors[keeper]);
        for limit in changes.limits {
            if let LimitUpdateResult::Outdated(current) =
                host.limits.apply_remote(&limit.into_observation(self.now_ms))
            {
                host.pending_report = Some(current);
            }
        }
        host.cursors[keeper] = changes.cursor;
    }

    /// Delivers all further messages without loss, while requests and regular reports continue.
    fn settle(&mut self) {
        for _ in 0..3 {
            for host in 0..HOSTS {
                self.now_ms += STEP_MS;
                self.answer(host, 0);
                self.report(host, false);
                self.refresh(host);
                self.report(host, false);
            }
            (0..KEEPERS).for_each(|keeper| self.spread(keeper));
            for (host, keeper) in
                (0..HOSTS).flat_map(|host| (0..KEEPERS).map(move |keeper| (host, keeper)))
            {
                self.follow(host, keeper);
                self.report(host, false);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn all_know_what_the_upstream_names_once_nothing_is_lost(steps in steps()) {
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.apply(step));
        simulation.settle();
        let known = simulation.hosts.iter().map(|host| &host.limits).chain(&simulation.keepers);
        for limits in known {
            prop_assert_eq!(limits.limit_per_s(&id()), simulation.named_limit);
        }
    }
}
