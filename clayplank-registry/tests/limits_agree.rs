//! Hosts and keepers that tell each other of limits agree in the end, whatever was lost or late.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use clayplank_registry::{Cursor, Limits, Noted, ObservedLimit};
use clayplank_types::UpstreamId;
use proptest::prelude::*;

const HOSTS: usize = 4;
const KEEPERS: usize = 3;

/// From one step to the next, in ms.
const STEP_MS: u64 = 20;

/// What happens in a step.
#[derive(Clone, Debug)]
enum Step {
    /// The upstream names another limit, or none.
    Change(Option<u8>),
    /// A host gets the answer to a request that it sent so many steps ago.
    Answer { host: usize, sent_ago: u64 },
    /// A host tells the keeper that places what it has to tell; the call may be lost.
    Report { host: usize, is_lost: bool },
    /// The keeper that places tells another one all that it knows.
    Spread { keeper: usize },
    /// A host asks a keeper what is new.
    Follow { host: usize, keeper: usize },
    /// Another keeper places from now on, or one that knows nothing in its stead.
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

/// One host: what it knows, what it has to tell, and up to where it knows each keeper.
struct Host {
    limits: Limits,
    waiting: Option<ObservedLimit>,
    cursors: [Cursor; KEEPERS],
}

struct World {
    now_ms: u64,
    lives: u64,
    named: Option<f64>,
    hosts: Vec<Host>,
    keepers: Vec<Limits>,
    leader: usize,
}

impl World {
    fn new() -> Self {
        let host =
            |life| Host { limits: Limits::new(life), waiting: None, cursors: Default::default() };
        Self {
            now_ms: 1_000,
            lives: 100,
            named: None,
            hosts: (0..HOSTS as u64).map(host).collect(),
            keepers: (0..KEEPERS as u64).map(|keeper| Limits::new(50 + keeper)).collect(),
            leader: 0,
        }
    }

    fn take(&mut self, step: &Step) {
        self.now_ms += STEP_MS;
        match *step {
            Step::Change(named) => self.named = named.map(f64::from),
            Step::Answer { host, sent_ago } => self.answer(host, sent_ago * STEP_MS),
            Step::Report { host, is_lost } => self.report(host, is_lost),
            Step::Spread { keeper } => self.spread(keeper),
            Step::Follow { host, keeper } => self.follow(host, keeper),
            Step::Lead { keeper, is_new } => {
                self.leader = keeper;
                if is_new {
                    self.lives += 1;
                    self.keepers[keeper] = Limits::new(self.lives);
                }
            }
        }
    }

    fn answer(&mut self, host: usize, sent_ago_ms: u64) {
        let at_ms = if self.named.is_some() { self.now_ms } else { self.now_ms - sent_ago_ms };
        let observed = ObservedLimit { upstream: id(), requests_per_s: self.named, at_ms };
        let host = &mut self.hosts[host];
        let is_told = match host.limits.note(&observed) {
            Noted::Changed => true,
            Noted::Unchanged => observed.requests_per_s.is_some(),
            Noted::Outdated(_) => false,
        };
        if is_told {
            host.waiting = Some(observed);
        }
    }

    /// A host tells again what no keeper took.
    fn report(&mut self, host: usize, is_lost: bool) {
        if !is_lost && let Some(observed) = self.hosts[host].waiting.take() {
            self.keepers[self.leader].learn(&observed);
        }
    }

    fn spread(&mut self, keeper: usize) {
        let all = self.keepers[self.leader].changes_after(self.now_ms, Cursor::default());
        for limit in all.limits {
            self.keepers[keeper].learn(&limit.into_observed(self.now_ms));
        }
    }

    fn follow(&mut self, host: usize, keeper: usize) {
        let host = &mut self.hosts[host];
        let changes = self.keepers[keeper].changes_after(self.now_ms, host.cursors[keeper]);
        for limit in changes.limits {
            if let Noted::Outdated(own) = host.limits.learn(&limit.into_observed(self.now_ms)) {
                host.waiting = Some(own);
            }
        }
        host.cursors[keeper] = changes.cursor;
    }

    /// Requests go on, and nothing is lost any more.
    fn settle(&mut self) {
        for _ in 0..3 {
            for host in 0..HOSTS {
                self.now_ms += STEP_MS;
                self.answer(host, 0);
                self.report(host, false);
            }
            (0..KEEPERS).for_each(|keeper| self.spread(keeper));
            for (host, keeper) in
                (0..HOSTS).flat_map(|host| (0..KEEPERS).map(move |one| (host, one)))
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
        let mut world = World::new();
        steps.iter().for_each(|step| world.take(step));
        world.settle();
        let known = world.hosts.iter().map(|host| &host.limits).chain(&world.keepers);
        for limits in known {
            prop_assert_eq!(limits.limit_per_s(&id()), world.named);
        }
    }
}
