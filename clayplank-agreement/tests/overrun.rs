//! Keepers that come back at once before hundreds of hosts, with the processor time of each message
//! counted: whether the hosts that ask a new leader keep it from its own heartbeats.
//!
//! Replicas are the real ones. What else a keeper does is a queue of works, each with its cost, which it
//! does one after the other at its share of a core.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use clayplank_agreement::{Configuration, Envelope, Options, Replica, ReplicaId, StoredState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// What each work takes of a whole core, in microseconds. A first question opens a connection and is
/// answered with what differs of a thousand upstreams.
const STEP_US: u64 = 60;
const TICK_US: u64 = 10;
const FIRST_QUESTION_US: u64 = 1_500;
const QUESTION_US: u64 = 80;
const HEDGE_QUESTION_US: u64 = 300;
const ROUND_US: u64 = 150;
const FIND_US: u64 = 40;

const MS: u64 = 1_000;

/// One way between two hosts.
const WAY_US: u64 = MS;

/// A host without news is answered after this time, and one without an answer gives up after that.
const HOLD_US: u64 = 500 * MS;
const PATIENCE_US: u64 = 800 * MS;
const RELAYED_PATIENCE_US: u64 = 1_300 * MS;

/// A host asks another keeper as well after this time without an answer, and one more after each further
/// step.
const HEDGE_US: u64 = 800 * MS;
const HEDGE_STEP_US: u64 = 250 * MS;
const MAX_HEDGES: usize = 2;

/// Within which hosts come to a new leader, or ask again after a failure.
const SPREAD_US: u64 = 250 * MS;
const AGAIN_US: u64 = 100 * MS;

/// Between two questions of a keeper to the leader.
const ROUND_EVERY_US: u64 = 50 * MS;

const RUN_US: u64 = 10_000 * MS;

/// Whom the hosts follow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Following {
    /// The leader, each host by itself.
    Leader,
    /// Any keeper, which asks the leader for all of its followers.
    AnyKeeper,
}

/// How a host asks.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Asking {
    /// A keeper that it has not asked before; it tells what it knows.
    First,
    /// One that it follows.
    Again,
    /// One more beside a silent one: it opens a connection, and tells nothing yet.
    Hedge,
}

#[derive(Clone, Debug)]
enum Work {
    Step(Envelope),
    Tick,
    /// A host asks who leads.
    Find(usize),
    AnswerFind(usize),
    /// A host asks to be confirmed, with the number of its question.
    Question {
        host: usize,
        number: u64,
        kind: Asking,
    },
    /// Another keeper asks to be confirmed, as of a time.
    Round {
        from: usize,
        asked_us: u64,
    },
    RoundAnswer {
        asked_us: u64,
    },
}

impl Work {
    fn cost_us(&self) -> u64 {
        match self {
            Self::Step(_) => STEP_US,
            Self::Tick => TICK_US,
            Self::Find(_) | Self::AnswerFind(_) => FIND_US,
            Self::Question { kind: Asking::First, .. } => FIRST_QUESTION_US,
            Self::Question { kind: Asking::Again, .. } => QUESTION_US,
            Self::Question { kind: Asking::Hedge, .. } => HEDGE_QUESTION_US,
            Self::Round { .. } | Self::RoundAnswer { .. } => ROUND_US,
        }
    }
}

#[derive(Clone, Debug)]
enum Happening {
    Arrives(usize, Work),
    Done(usize),
    /// A host asks who leads, or its keeper.
    Asks(usize),
    /// A host has learned who leads.
    Learns(usize, usize),
    Answered {
        host: usize,
        number: u64,
    },
    GivesUp {
        host: usize,
        number: u64,
    },
    /// A host asks one more keeper, beside those that it has asked.
    Hedges {
        host: usize,
        number: u64,
        asked: usize,
    },
}

struct Keeper {
    replica: Replica,
    queue: VecDeque<Work>,
    is_busy: bool,
    /// Hosts that wait to hear who leads, and since when.
    finds: Vec<(usize, u64)>,
    /// Questions that wait to be confirmed: the host, its number, and when it came.
    questions: Vec<(usize, u64, u64)>,
    round_us: u64,
}

#[derive(Clone, Debug, Default)]
struct Host {
    keeper: Option<usize>,
    /// Whom it has asked before.
    knows: Option<usize>,
    number: u64,
    /// When it was confirmed first, and last.
    confirmed_us: Option<(u64, u64)>,
}

impl Host {
    /// Whether it was confirmed within the time that its next question may take.
    fn is_confirmed_at_end(&self) -> bool {
        self.confirmed_us
            .is_some_and(|(_, last_us)| last_us + HOLD_US + RELAYED_PATIENCE_US > RUN_US)
    }
}

struct World {
    following: Following,
    share: f64,
    now_us: u64,
    count: u64,
    planned: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: std::collections::HashMap<u64, Happening>,
    keepers: Vec<Keeper>,
    hosts: Vec<Host>,
    rng: SmallRng,
}

/// What came of it.
struct Outcome {
    /// Elections that were won.
    terms: u64,
    /// When the last host was confirmed first, from the start.
    all_confirmed_ms: Option<u64>,
    /// Hosts that are still confirmed again and again at the end.
    confirmed_last: usize,
}

fn name(keeper: usize) -> String {
    format!("keeper-{keeper}")
}

fn number_of(id: &ReplicaId) -> usize {
    id.host["keeper-".len()..].parse().unwrap()
}

impl World {
    fn new(following: Following, keepers: usize, hosts: usize, share: f64, seed: u64) -> Self {
        let options = Options { election_ms: 350, heartbeat_ms: 80, ..Options::default() };
        let ids: Vec<_> = (0..keepers)
            .map(|keeper| ReplicaId::new(name(keeper), seed * 100 + keeper as u64))
            .collect();
        let configuration = Configuration::of_voters(ids.clone());
        let start = |id: ReplicaId| Keeper {
            replica: Replica::new(
                id,
                StoredState::genesis(configuration.clone(), Vec::new()),
                options,
                0,
            ),
            queue: VecDeque::new(),
            is_busy: false,
            finds: Vec::new(),
            questions: Vec::new(),
            round_us: 0,
        };
        let mut world = Self {
            following,
            share,
            now_us: 0,
            count: 0,
            planned: BinaryHeap::new(),
            happenings: std::collections::HashMap::new(),
            keepers: ids.into_iter().map(start).collect(),
            hosts: vec![Host::default(); hosts],
            rng: SmallRng::seed_from_u64(seed),
        };
        for keeper in 0..keepers {
            world.plan_tick(keeper);
        }
        for host in 0..hosts {
            let first_us = world.rng.random_range(0..AGAIN_US);
            world.plan(first_us, Happening::Asks(host));
        }
        world
    }

    fn plan(&mut self, in_us: u64, happening: Happening) {
        self.count += 1;
        self.planned.push(Reverse((self.now_us + in_us, self.count)));
        self.happenings.insert(self.count, happening);
    }

    fn plan_tick(&mut self, keeper: usize) {
        let pause_us = self.rng.random_range(8 * MS..28 * MS);
        self.plan(pause_us, Happening::Arrives(keeper, Work::Tick));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at_us, number))) = self.planned.pop() {
            if at_us > RUN_US {
                break;
            }
            self.now_us = at_us;
            match self.happenings.remove(&number).unwrap() {
                Happening::Arrives(keeper, work) => self.enqueue(keeper, work),
                Happening::Done(keeper) => self.finish(keeper),
                Happening::Asks(host) => self.ask(host),
                Happening::Learns(host, leader) => self.learn(host, leader),
                Happening::Answered { host, number } => self.take_answer(host, number),
                Happening::GivesUp { host, number } => self.give_up(host, number),
                Happening::Hedges { host, number, asked } => self.hedge(host, number, asked),
            }
        }
        Outcome {
            terms: self.keepers.iter().map(|one| one.replica.term()).max().unwrap() - 1,
            all_confirmed_ms: self.all_confirmed_us().map(|last_us| last_us / MS),
            confirmed_last: self.hosts.iter().filter(|host| host.is_confirmed_at_end()).count(),
        }
    }

    /// When the last host was confirmed first; `None` if one never was.
    fn all_confirmed_us(&self) -> Option<u64> {
        let first = self.hosts.iter().map(|host| Some(host.confirmed_us?.0));
        first.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    fn enqueue(&mut self, keeper: usize, work: Work) {
        self.keepers[keeper].queue.push_back(work);
        self.start_next(keeper);
    }

    fn start_next(&mut self, keeper: usize) {
        let one = &mut self.keepers[keeper];
        if one.is_busy {
            return;
        }
        let Some(work) = one.queue.front() else {
            return;
        };
        one.is_busy = true;
        let cost_us = (work.cost_us() as f64 / self.share) as u64;
        self.plan(cost_us, Happening::Done(keeper));
    }

    fn finish(&mut self, keeper: usize) {
        let work = self.keepers[keeper].queue.pop_front().unwrap();
        self.keepers[keeper].is_busy = false;
        let now_ms = self.now_us / MS;
        match work {
            Work::Step(envelope) => self.keepers[keeper].replica.receive(now_ms, envelope),
            Work::Tick => {
                self.keepers[keeper].replica.tick(now_ms);
                self.plan_tick(keeper);
            }
            Work::Find(host) => {
                let now_us = self.now_us;
                self.keepers[keeper].finds.push((host, now_us));
            }
            Work::AnswerFind(host) => {
                if let Some(leader) = self.leader_of(keeper) {
                    self.plan(WAY_US, Happening::Learns(host, leader));
                }
            }
            Work::Question { host, number, .. } => {
                let now_us = self.now_us;
                self.keepers[keeper].questions.push((host, number, now_us));
            }
            Work::Round { from, asked_us } => {
                if self.keepers[keeper].replica.is_leader() {
                    self.send(from, Work::RoundAnswer { asked_us });
                }
            }
            Work::RoundAnswer { asked_us } => self.confirm(keeper, asked_us),
        }
        self.carry_out(keeper);
        self.answer_finds(keeper);
        self.ask_leader(keeper);
        self.start_next(keeper);
    }

    fn carry_out(&mut self, keeper: usize) {
        let now_ms = self.now_us / MS;
        loop {
            let replica = &mut self.keepers[keeper].replica;
            let ready = replica.take_ready(now_ms);
            if ready.is_empty() {
                return;
            }
            replica.note_persisted(ready.last_written());
            for envelope in ready.messages {
                self.send(number_of(&envelope.to), Work::Step(envelope));
            }
        }
    }

    fn send(&mut self, keeper: usize, work: Work) {
        self.plan(WAY_US, Happening::Arrives(keeper, work));
    }

    fn leader_of(&self, keeper: usize) -> Option<usize> {
        self.keepers[keeper].replica.leader().map(number_of)
    }

    /// Hosts learn of a leader with its first heartbeat after they asked.
    fn answer_finds(&mut self, keeper: usize) {
        let one = &mut self.keepers[keeper];
        let replica = &one.replica;
        let heard = one
            .finds
            .extract_if(.., |(_, asked_us)| replica.leader_heard_after(*asked_us / MS).is_some());
        let heard: Vec<_> = heard.collect();
        for (host, _) in heard {
            self.keepers[keeper].queue.push_back(Work::AnswerFind(host));
        }
    }

    /// Has the questions that wait confirmed: at once by a leader that is asked itself, or by a
    /// question to it.
    fn ask_leader(&mut self, keeper: usize) {
        if self.keepers[keeper].questions.is_empty() {
            return;
        }
        let now_us = self.now_us;
        if self.keepers[keeper].replica.is_leader() {
            self.confirm(keeper, now_us + 1);
            return;
        }
        if self.following == Following::Leader {
            // It does not lead: who asked looks for the leader again.
            for (host, number, _) in std::mem::take(&mut self.keepers[keeper].questions) {
                self.plan(WAY_US, Happening::GivesUp { host, number });
            }
            return;
        }
        let leader = self.leader_of(keeper);
        let one = &mut self.keepers[keeper];
        if let Some(leader) = leader.filter(|_| now_us >= one.round_us + ROUND_EVERY_US) {
            one.round_us = now_us;
            self.send(leader, Work::Round { from: keeper, asked_us: now_us });
        }
    }

    fn confirm(&mut self, keeper: usize, asked_us: u64) {
        let questions = &mut self.keepers[keeper].questions;
        let confirmed: Vec<_> = questions.extract_if(.., |(_, _, came)| *came < asked_us).collect();
        for (host, number, _) in confirmed {
            self.plan(WAY_US, Happening::Answered { host, number });
        }
    }

    fn ask(&mut self, host: usize) {
        let keepers = self.keepers.len();
        let keeper = match self.following {
            Following::AnyKeeper => Some(self.hosts[host].keeper.unwrap_or(host % keepers)),
            Following::Leader => self.hosts[host].keeper,
        };
        let Some(keeper) = keeper else {
            let any = self.rng.random_range(0..keepers);
            self.send(any, Work::Find(host));
            return;
        };
        let one = &mut self.hosts[host];
        one.keeper = Some(keeper);
        one.number += 1;
        let is_known = one.knows == Some(keeper);
        let kind = if is_known { Asking::Again } else { Asking::First };
        one.knows = Some(keeper);
        let number = one.number;
        self.send(keeper, Work::Question { host, number, kind });
        match self.following {
            Following::Leader => self.plan(PATIENCE_US, Happening::GivesUp { host, number }),
            Following::AnyKeeper => {
                self.plan(HEDGE_US, Happening::Hedges { host, number, asked: 1 });
            }
        }
    }

    /// Asks the next keeper as well; once all were asked, the last one has its time.
    fn hedge(&mut self, host: usize, number: u64, asked: usize) {
        let keepers = self.keepers.len();
        let one = &self.hosts[host];
        let Some(first) = one.keeper.filter(|_| one.number == number) else {
            return;
        };
        let next = (first + asked) % keepers;
        self.send(next, Work::Question { host, number, kind: Asking::Hedge });
        if asked < MAX_HEDGES {
            self.plan(HEDGE_STEP_US, Happening::Hedges { host, number, asked: asked + 1 });
        } else {
            self.plan(RELAYED_PATIENCE_US, Happening::GivesUp { host, number });
        }
    }

    fn learn(&mut self, host: usize, leader: usize) {
        self.hosts[host].keeper = Some(leader);
        let pause_us = self.rng.random_range(0..SPREAD_US);
        self.plan(pause_us, Happening::Asks(host));
    }

    fn take_answer(&mut self, host: usize, number: u64) {
        let now_us = self.now_us;
        let one = &mut self.hosts[host];
        if one.number != number {
            return;
        }
        one.number += 1;
        let (first_us, _) = one.confirmed_us.unwrap_or((now_us, now_us));
        one.confirmed_us = Some((first_us, now_us));
        self.plan(HOLD_US, Happening::Asks(host));
    }

    /// No answer came in time, or the keeper does not lead.
    fn give_up(&mut self, host: usize, number: u64) {
        let keepers = self.keepers.len();
        let one = &mut self.hosts[host];
        if one.number != number {
            return;
        }
        one.number += 1;
        one.knows = None;
        one.keeper = match self.following {
            Following::Leader => None,
            Following::AnyKeeper => one.keeper.map(|keeper| (keeper + 1) % keepers),
        };
        let pause_us = self.rng.random_range(0..AGAIN_US);
        self.plan(pause_us, Happening::Asks(host));
    }
}

/// What this guards against: each new leader is asked for everything by all hosts at once, and the next one
/// is elected while it answers.
#[test]
fn a_leader_that_all_hosts_follow_is_voted_out_again_and_again() {
    let outcome = World::new(Following::Leader, 10, 984, 0.42, 1).run();
    assert!(outcome.terms > 5, "{} terms", outcome.terms);
    let small = World::new(Following::Leader, 5, 90, 0.42, 1).run();
    assert!(small.terms <= 2, "{} terms: few hosts overrun no leader", small.terms);
}

#[rstest]
#[case::the_whole_fleet(10, 984, 0.42)]
#[case::twice_of_it_with_half_of_the_processor(20, 2_000, 0.21)]
#[case::five_keepers_before_three_hundred(5, 300, 0.3)]
fn keepers_that_come_back_at_once_elect_one_leader_and_confirm_all_hosts(
    #[case] keepers: usize,
    #[case] hosts: usize,
    #[case] share: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let outcome = World::new(Following::AnyKeeper, keepers, hosts, share, seed).run();
    let confirmed_ms = outcome.all_confirmed_ms.unwrap_or(u64::MAX);
    assert!(confirmed_ms <= 3_000, "the last host after {confirmed_ms} ms");
    assert_eq!(outcome.confirmed_last, hosts);
    assert!(outcome.terms <= 2, "{} terms", outcome.terms);
}
