//! Overload of a new leader: keepers restart together, and hundreds of hosts send requests to them.
//! The tests check whether processing these requests delays the leader's heartbeats until it is
//! replaced.
//!
//! The replicas are real; the rest of a keeper is simulated as a queue of tasks. A keeper processes
//! its tasks one by one, each with its CPU cost, on its share of a core.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use clayplank_agreement::{Configuration, Envelope, Options, Replica, ReplicaId, StoredState};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// CPU time of each kind of task on a full core, in microseconds. The first request to a keeper
/// opens a connection, and the reply has the changes of a thousand upstreams.
const STEP_COST_US: u64 = 60;
const TICK_COST_US: u64 = 10;
const FIRST_REQUEST_COST_US: u64 = 1_500;
const REQUEST_COST_US: u64 = 80;
const HEDGED_REQUEST_COST_US: u64 = 300;
const ROUND_COST_US: u64 = 150;
const FIND_LEADER_COST_US: u64 = 40;

const MS: u64 = 1_000;

/// Network latency between two hosts, one way.
const NETWORK_LATENCY_US: u64 = MS;

/// Time after a reply at which a host sends its next request, and time-outs of a request to the
/// leader and to a keeper that relays it.
const REQUEST_INTERVAL_US: u64 = 500 * MS;
const REQUEST_TIMEOUT_US: u64 = 800 * MS;
const RELAYED_REQUEST_TIMEOUT_US: u64 = 1_300 * MS;

/// Time without a reply after which a host sends a hedged request to another keeper, and interval
/// of the further hedged requests.
const HEDGE_DELAY_US: u64 = 800 * MS;
const HEDGE_INTERVAL_US: u64 = 250 * MS;
const MAX_HEDGES: usize = 2;

/// Maximum random delay of a host's first request to a new leader, and of its retries.
const MAX_NEW_LEADER_DELAY_US: u64 = 250 * MS;
const MAX_RETRY_DELAY_US: u64 = 100 * MS;

/// Minimum interval between two confirmation rounds that a keeper requests from the leader.
const MIN_ROUND_INTERVAL_US: u64 = 50 * MS;

const RUN_DURATION_US: u64 = 10_000 * MS;

/// Keepers to which the hosts send their requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FollowMode {
    /// Every host sends its requests to the leader.
    Leader,
    /// Any keeper, which requests one confirmation from the leader for all of its hosts.
    AnyKeeper,
}

/// Kind of a host's request, which determines its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestKind {
    /// First request to a keeper: it opens a connection and includes what the host knows.
    First,
    /// Further request to the same keeper.
    Repeated,
    /// Hedged request, sent while another keeper is unresponsive: it only opens a connection.
    Hedge,
}

/// Task in the queue of a keeper.
#[derive(Clone, Debug)]
enum Task {
    Step(Envelope),
    Tick,
    /// Request of a host for the current leader.
    FindLeader(usize),
    FindLeaderReply(usize),
    /// Request of a host for a confirmation, with the number of the request.
    Confirm {
        host: usize,
        number: u64,
        kind: RequestKind,
    },
    /// Request of another keeper to confirm all requests that it received before a time.
    Round {
        from: usize,
        requested_us: u64,
    },
    RoundReply {
        requested_us: u64,
    },
}

impl Task {
    fn cost_us(&self) -> u64 {
        match self {
            Self::Step(_) => STEP_COST_US,
            Self::Tick => TICK_COST_US,
            Self::FindLeader(_) | Self::FindLeaderReply(_) => FIND_LEADER_COST_US,
            Self::Confirm { kind: RequestKind::First, .. } => FIRST_REQUEST_COST_US,
            Self::Confirm { kind: RequestKind::Repeated, .. } => REQUEST_COST_US,
            Self::Confirm { kind: RequestKind::Hedge, .. } => HEDGED_REQUEST_COST_US,
            Self::Round { .. } | Self::RoundReply { .. } => ROUND_COST_US,
        }
    }
}

/// Event of the simulation.
#[derive(Clone, Debug)]
enum Event {
    TaskArrived(usize, Task),
    TaskDone(usize),
    /// A host sends a request to its keeper, or looks for the leader if it has none.
    RequestDue(usize),
    /// A host has found the leader.
    LeaderFound(usize, usize),
    Confirmed {
        host: usize,
        number: u64,
    },
    RequestFailed {
        host: usize,
        number: u64,
    },
    /// A host sends a hedged request; `queried` keepers have received the request so far.
    HedgeDue {
        host: usize,
        number: u64,
        queried: usize,
    },
}

struct Keeper {
    replica: Replica,
    queue: VecDeque<Task>,
    is_busy: bool,
    /// Hosts that wait for the name of the leader, each with the time of its request.
    leader_queries: Vec<(usize, u64)>,
    /// Requests that wait for a confirmation: host, request number and time of arrival.
    requests: Vec<(usize, u64, u64)>,
    /// Time of the last round that this keeper requested from the leader.
    last_round_us: u64,
}

#[derive(Clone, Debug, Default)]
struct Host {
    keeper: Option<usize>,
    /// Keeper to which it has a connection.
    connected_keeper: Option<usize>,
    number: u64,
    /// Times of the first and the last confirmation.
    confirmed_us: Option<(u64, u64)>,
}

impl Host {
    /// Whether the last confirmation is recent enough: the next request may still be in progress.
    fn is_confirmed_at_end(&self) -> bool {
        self.confirmed_us.is_some_and(|(_, last_us)| {
            last_us + REQUEST_INTERVAL_US + RELAYED_REQUEST_TIMEOUT_US > RUN_DURATION_US
        })
    }
}

struct Simulation {
    follow_mode: FollowMode,
    cpu_share: f64,
    now_us: u64,
    event_count: u64,
    /// Time and number of each scheduled event.
    schedule: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    keepers: Vec<Keeper>,
    hosts: Vec<Host>,
    rng: SmallRng,
}

/// Result of a run.
struct Outcome {
    /// Number of terms after the initial one.
    terms: u64,
    /// Time from the start until every host was confirmed at least once.
    all_confirmed_ms: Option<u64>,
    /// Number of hosts that are still confirmed at the end.
    confirmed_at_end: usize,
}

fn keeper_name(keeper: usize) -> String {
    format!("keeper-{keeper}")
}

fn keeper_index(id: &ReplicaId) -> usize {
    id.host["keeper-".len()..].parse().unwrap()
}

impl Simulation {
    fn new(
        follow_mode: FollowMode,
        keepers: usize,
        hosts: usize,
        cpu_share: f64,
        seed: u64,
    ) -> Self {
        let options =
            Options { election_timeout_ms: 350, heartbeat_interval_ms: 80, ..Options::default() };
        let ids: Vec<_> = (0..keepers)
            .map(|keeper| ReplicaId::new(keeper_name(keeper), seed * 100 + keeper as u64))
            .collect();
        let configuration = Configuration::from_voters(ids.clone());
        let start = |id: ReplicaId| Keeper {
            replica: Replica::new(
                id,
                StoredState::genesis(configuration.clone(), Vec::new()),
                options,
                0,
            ),
            queue: VecDeque::new(),
            is_busy: false,
            leader_queries: Vec::new(),
            requests: Vec::new(),
            last_round_us: 0,
        };
        let mut simulation = Self {
            follow_mode,
            cpu_share,
            now_us: 0,
            event_count: 0,
            schedule: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            keepers: ids.into_iter().map(start).collect(),
            hosts: vec![Host::default(); hosts],
            rng: SmallRng::seed_from_u64(seed),
        };
        for keeper in 0..keepers {
            simulation.schedule_tick(keeper);
        }
        for host in 0..hosts {
            let first_us = simulation.rng.random_range(0..MAX_RETRY_DELAY_US);
            simulation.schedule_in(first_us, Event::RequestDue(host));
        }
        simulation
    }

    fn schedule_in(&mut self, delay_us: u64, event: Event) {
        self.event_count += 1;
        self.schedule.push(Reverse((self.now_us + delay_us, self.event_count)));
        self.events.insert(self.event_count, event);
    }

    fn schedule_tick(&mut self, keeper: usize) {
        let delay_us = self.rng.random_range(8 * MS..28 * MS);
        self.schedule_in(delay_us, Event::TaskArrived(keeper, Task::Tick));
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at_us, event_number))) = self.schedule.pop() {
            if at_us > RUN_DURATION_US {
                break;
            }
            self.now_us = at_us;
            match self.events.remove(&event_number).unwrap() {
                Event::TaskArrived(keeper, task) => self.enqueue(keeper, task),
                Event::TaskDone(keeper) => self.finish(keeper),
                Event::RequestDue(host) => self.send_request(host),
                Event::LeaderFound(host, leader) => self.handle_leader_found(host, leader),
                Event::Confirmed { host, number } => self.handle_confirmation(host, number),
                Event::RequestFailed { host, number } => self.abandon_request(host, number),
                Event::HedgeDue { host, number, queried } => self.hedge(host, number, queried),
            }
        }
        Outcome {
            terms: self.keepers.iter().map(|keeper| keeper.replica.term()).max().unwrap() - 1,
            all_confirmed_ms: self.all_confirmed_us().map(|last_us| last_us / MS),
            confirmed_at_end: self.hosts.iter().filter(|host| host.is_confirmed_at_end()).count(),
        }
    }

    /// Time at which every host was confirmed at least once; `None` if a host never was.
    fn all_confirmed_us(&self) -> Option<u64> {
        let first = self.hosts.iter().map(|host| Some(host.confirmed_us?.0));
        first.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    fn enqueue(&mut self, keeper: usize, task: Task) {
        self.keepers[keeper].queue.push_back(task);
        self.start_next(keeper);
    }

    fn start_next(&mut self, keeper: usize) {
        let keeper_state = &mut self.keepers[keeper];
        if keeper_state.is_busy {
            return;
        }
        let Some(task) = keeper_state.queue.front() else {
            return;
        };
        keeper_state.is_busy = true;
        let cost_us = (task.cost_us() as f64 / self.cpu_share) as u64;
        self.schedule_in(cost_us, Event::TaskDone(keeper));
    }

    fn finish(&mut self, keeper: usize) {
        let task = self.keepers[keeper].queue.pop_front().unwrap();
        self.keepers[keeper].is_busy = false;
        let now_ms = self.now_us / MS;
        match task {
            Task::Step(envelope) => self.keepers[keeper].replica.receive(now_ms, envelope),
            Task::Tick => {
                self.keepers[keeper].replica.tick(now_ms);
                self.schedule_tick(keeper);
            }
            Task::FindLeader(host) => {
                let now_us = self.now_us;
                self.keepers[keeper].leader_queries.push((host, now_us));
            }
            Task::FindLeaderReply(host) => {
                if let Some(leader) = self.leader_of(keeper) {
                    self.schedule_in(NETWORK_LATENCY_US, Event::LeaderFound(host, leader));
                }
            }
            Task::Confirm { host, number, .. } => {
                let now_us = self.now_us;
                self.keepers[keeper].requests.push((host, number, now_us));
            }
            Task::Round { from, requested_us } => {
                if self.keepers[keeper].replica.is_leader() {
                    self.send(from, Task::RoundReply { requested_us });
                }
            }
            Task::RoundReply { requested_us } => self.confirm(keeper, requested_us),
        }
        self.process_ready(keeper);
        self.reply_to_leader_queries(keeper);
        self.confirm_requests(keeper);
        self.start_next(keeper);
    }

    fn process_ready(&mut self, keeper: usize) {
        let now_ms = self.now_us / MS;
        loop {
            let replica = &mut self.keepers[keeper].replica;
            let ready = replica.take_ready(now_ms);
            if ready.is_empty() {
                return;
            }
            replica.record_persisted(ready.written());
            for envelope in ready.messages {
                self.send(keeper_index(&envelope.to), Task::Step(envelope));
            }
        }
    }

    fn send(&mut self, keeper: usize, task: Task) {
        self.schedule_in(NETWORK_LATENCY_US, Event::TaskArrived(keeper, task));
    }

    fn leader_of(&self, keeper: usize) -> Option<usize> {
        self.keepers[keeper].replica.leader().map(keeper_index)
    }

    /// Replies to hosts that look for the leader, once the keeper has heard from it after their
    /// request.
    fn reply_to_leader_queries(&mut self, keeper: usize) {
        let keeper_state = &mut self.keepers[keeper];
        let replica = &keeper_state.replica;
        let answerable = keeper_state.leader_queries.extract_if(.., |(_, requested_us)| {
            replica.leader_heard_after(*requested_us / MS).is_some()
        });
        let answerable: Vec<_> = answerable.collect();
        for (host, _) in answerable {
            self.keepers[keeper].queue.push_back(Task::FindLeaderReply(host));
        }
    }

    /// Gets the waiting requests confirmed: at once if this keeper is the leader, otherwise with a
    /// request to the leader.
    fn confirm_requests(&mut self, keeper: usize) {
        if self.keepers[keeper].requests.is_empty() {
            return;
        }
        let now_us = self.now_us;
        if self.keepers[keeper].replica.is_leader() {
            self.confirm(keeper, now_us + 1);
            return;
        }
        if self.follow_mode == FollowMode::Leader {
            // This keeper is not the leader: the hosts look for the leader again.
            for (host, number, _) in std::mem::take(&mut self.keepers[keeper].requests) {
                self.schedule_in(NETWORK_LATENCY_US, Event::RequestFailed { host, number });
            }
            return;
        }
        let leader = self.leader_of(keeper);
        let keeper_state = &mut self.keepers[keeper];
        if let Some(leader) =
            leader.filter(|_| now_us >= keeper_state.last_round_us + MIN_ROUND_INTERVAL_US)
        {
            keeper_state.last_round_us = now_us;
            self.send(leader, Task::Round { from: keeper, requested_us: now_us });
        }
    }

    fn confirm(&mut self, keeper: usize, requested_us: u64) {
        let requests = &mut self.keepers[keeper].requests;
        let confirmed: Vec<_> =
            requests.extract_if(.., |(_, _, arrived_us)| *arrived_us < requested_us).collect();
        for (host, number, _) in confirmed {
            self.schedule_in(NETWORK_LATENCY_US, Event::Confirmed { host, number });
        }
    }

    fn send_request(&mut self, host: usize) {
        let keepers = self.keepers.len();
        let keeper = match self.follow_mode {
            FollowMode::AnyKeeper => Some(self.hosts[host].keeper.unwrap_or(host % keepers)),
            FollowMode::Leader => self.hosts[host].keeper,
        };
        let Some(keeper) = keeper else {
            let random_keeper = self.rng.random_range(0..keepers);
            self.send(random_keeper, Task::FindLeader(host));
            return;
        };
        let host_state = &mut self.hosts[host];
        host_state.keeper = Some(keeper);
        host_state.number += 1;
        let is_known = host_state.connected_keeper == Some(keeper);
        let kind = if is_known { RequestKind::Repeated } else { RequestKind::First };
        host_state.connected_keeper = Some(keeper);
        let number = host_state.number;
        self.send(keeper, Task::Confirm { host, number, kind });
        match self.follow_mode {
            FollowMode::Leader => {
                self.schedule_in(REQUEST_TIMEOUT_US, Event::RequestFailed { host, number })
            }
            FollowMode::AnyKeeper => {
                self.schedule_in(HEDGE_DELAY_US, Event::HedgeDue { host, number, queried: 1 });
            }
        }
    }

    /// Sends a hedged request to the next keeper. The time-out of the request starts with the last
    /// one.
    fn hedge(&mut self, host: usize, number: u64, queried: usize) {
        let keepers = self.keepers.len();
        let host_state = &self.hosts[host];
        let Some(first) = host_state.keeper.filter(|_| host_state.number == number) else {
            return;
        };
        let next = (first + queried) % keepers;
        self.send(next, Task::Confirm { host, number, kind: RequestKind::Hedge });
        if queried < MAX_HEDGES {
            self.schedule_in(
                HEDGE_INTERVAL_US,
                Event::HedgeDue { host, number, queried: queried + 1 },
            );
        } else {
            self.schedule_in(RELAYED_REQUEST_TIMEOUT_US, Event::RequestFailed { host, number });
        }
    }

    fn handle_leader_found(&mut self, host: usize, leader: usize) {
        self.hosts[host].keeper = Some(leader);
        let delay_us = self.rng.random_range(0..MAX_NEW_LEADER_DELAY_US);
        self.schedule_in(delay_us, Event::RequestDue(host));
    }

    fn handle_confirmation(&mut self, host: usize, number: u64) {
        let now_us = self.now_us;
        let host_state = &mut self.hosts[host];
        if host_state.number != number {
            return;
        }
        host_state.number += 1;
        let (first_us, _) = host_state.confirmed_us.unwrap_or((now_us, now_us));
        host_state.confirmed_us = Some((first_us, now_us));
        self.schedule_in(REQUEST_INTERVAL_US, Event::RequestDue(host));
    }

    /// Abandons a request, because it timed out or the keeper is not the leader.
    fn abandon_request(&mut self, host: usize, number: u64) {
        let keepers = self.keepers.len();
        let host_state = &mut self.hosts[host];
        if host_state.number != number {
            return;
        }
        host_state.number += 1;
        host_state.connected_keeper = None;
        host_state.keeper = match self.follow_mode {
            FollowMode::Leader => None,
            FollowMode::AnyKeeper => host_state.keeper.map(|keeper| (keeper + 1) % keepers),
        };
        let delay_us = self.rng.random_range(0..MAX_RETRY_DELAY_US);
        self.schedule_in(delay_us, Event::RequestDue(host));
    }
}

/// Shows the failure that following any keeper avoids: all hosts send their first, expensive
/// requests to each new leader at once, and the next leader is elected while it processes them.
#[test]
fn leader_that_all_hosts_follow_is_replaced_repeatedly() {
    let outcome = Simulation::new(FollowMode::Leader, 10, 984, 0.42, 1).run();
    assert!(outcome.terms > 5, "{} terms", outcome.terms);
    let few_hosts = Simulation::new(FollowMode::Leader, 5, 90, 0.42, 1).run();
    assert!(
        few_hosts.terms <= 2,
        "{} terms: a few hosts must not overload the leader",
        few_hosts.terms
    );
}

#[rstest]
#[case::full_fleet(10, 984, 0.42)]
#[case::double_fleet_with_half_the_cpu(20, 2_000, 0.21)]
#[case::five_keepers_and_three_hundred_hosts(5, 300, 0.3)]
fn keepers_restarted_together_elect_one_leader_and_confirm_all_hosts(
    #[case] keepers: usize,
    #[case] hosts: usize,
    #[case] cpu_share: f64,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let outcome = Simulation::new(FollowMode::AnyKeeper, keepers, hosts, cpu_share, seed).run();
    let confirmed_ms = outcome.all_confirmed_ms.unwrap_or(u64::MAX);
    assert!(confirmed_ms <= 3_000, "the last host after {confirmed_ms} ms");
    assert_eq!(outcome.confirmed_at_end, hosts);
    assert!(outcome.terms <= 2, "{} terms", outcome.terms);
}
