//! A simulation of keepers that bootstrap the log, restart, lose disks and are replaced.
//!
//! It models the processes around the replicas: which are running, which introduce themselves to
//! which, and which disks are lost. Delays and faults are drawn from a seeded generator.

mod checks;
mod faults;

use std::collections::BTreeMap;

use clayplank_agreement::{
    BlankKeeper, Configuration, Introduction, Join, Options, Payload, Replica, ReplicaId,
    StoredState, plan_join,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::disk::write;
use crate::network::Network;

/// Time step of the simulation, in ms.
const STEP_MS: u64 = 4;

/// Interval between two introductions of a keeper that is not an active voter, in ms.
const INTRODUCTION_INTERVAL_MS: u64 = 300;

/// Additional time until the next introduction if a keeper is unreachable, in ms.
const UNREACHABLE_DELAY_MS: u64 = 150;

/// Time for which a new leader with fewer voters than the target accepts no commands, in ms.
const VOTER_WAIT_MS: u64 = 4_000;

/// Time for which a keeper counts as failed after it has started or returned, in ms.
pub const CATCH_UP_MS: u64 = 4_000;

/// State of a keeper's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up,
    /// The process makes no progress, for example because its disk does not respond.
    Paused,
    Down,
    /// Stopped for good; another keeper replaces it.
    Replaced,
}

struct Keeper {
    id: ReplicaId,
    genesis: Option<Configuration>,
    replica: Option<Replica>,
    /// Synced state; `None` on an empty disk.
    disk: Option<StoredState>,
    state: ProcessState,
    is_partitioned: bool,
    /// Stored on its disk at the first start of the system, and lost with the disk.
    may_begin: bool,
    next_introduction_ms: u64,
    started_ms: u64,
    led_since_ms: Option<u64>,
}

impl Keeper {
    fn as_blank(&self) -> BlankKeeper {
        BlankKeeper { id: self.id.clone(), may_begin: self.may_begin }
    }

    fn is_reachable(&self) -> bool {
        self.state == ProcessState::Up && !self.is_partitioned
    }

    /// Whether this keeper counts towards the tolerated failures: it is unreachable, or is catching
    /// up.
    fn is_failed(&self, now_ms: u64) -> bool {
        !self.is_reachable() || now_ms < self.started_ms + CATCH_UP_MS
    }
}

pub struct Keepers {
    all: BTreeMap<String, Keeper>,
    bootstrap_hosts: Vec<String>,
    losses: usize,
    network: Network,
    pub now_ms: u64,
    rng: SmallRng,
    next_number: u64,
    /// Acknowledged commands by index.
    acknowledged: BTreeMap<u64, Vec<u8>>,
    /// Proposed commands: index, term and leader.
    proposed: Vec<(u64, u64, String)>,
    /// Time of the next power failure with the tolerated number of lost disks.
    power_failure_ms: u64,
    /// For each keeper that failed and has no successor yet, the time until which it counts as a
    /// failure.
    missing_until_ms: Vec<u64>,
    /// Events of the run, for the report of a failed seed.
    pub history: Vec<String>,
}

fn options(losses: usize) -> Options {
    Options {
        election_timeout_ms: 350,
        heartbeat_interval_ms: 80,
        retained_entries: 32,
        replace_unresponsive_ms: Some(1_500),
        tolerated_losses: losses,
        ..Options::default()
    }
}

impl Keepers {
    /// Keepers at the first start of the system, on empty disks. The first three are the bootstrap
    /// addresses.
    pub fn start(count: usize, losses: usize, seed: u64) -> Self {
        let mut keepers = Self {
            all: BTreeMap::new(),
            bootstrap_hosts: Vec::new(),
            losses,
            network: Network::default(),
            now_ms: CATCH_UP_MS,
            rng: SmallRng::seed_from_u64(seed),
            next_number: 0,
            acknowledged: BTreeMap::new(),
            proposed: Vec::new(),
            power_failure_ms: u64::MAX,
            missing_until_ms: Vec::new(),
            history: Vec::new(),
        };
        (0..count).for_each(|_| {
            keepers.add(true);
        });
        keepers.bootstrap_hosts = keepers.all.keys().take(3).cloned().collect();
        keepers
    }

    pub fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    fn record_event(&mut self, event: &str) {
        self.history.push(format!("{:>6} ms: {event}", self.now_ms));
    }

    /// Sets the time of the power failure. Events in progress at that time are cut short.
    pub fn schedule_power_failure(&mut self, at_ms: u64) {
        self.power_failure_ms = at_ms;
    }

    fn is_power_failure_due(&self) -> bool {
        self.now_ms >= self.power_failure_ms
    }

    /// Adds a keeper with an empty disk; returns its host.
    fn add(&mut self, may_begin: bool) -> String {
        self.next_number += 1;
        let host = format!("k{}", self.next_number);
        let keeper = Keeper {
            id: ReplicaId::new(host.clone(), self.next_number),
            genesis: None,
            replica: None,
            disk: None,
            state: ProcessState::Up,
            is_partitioned: false,
            may_begin,
            next_introduction_ms: self.now_ms,
            started_ms: self.now_ms,
            led_since_ms: None,
        };
        self.all.insert(host.clone(), keeper);
        host
    }

    /// A random keeper without a failure; `None` if no further failure is tolerated.
    fn pick_healthy(&mut self) -> Option<String> {
        if self.failed_count() >= self.losses {
            return None;
        }
        let healthy = self.healthy();
        let index = self.rng.random_range(0..healthy.len());
        Some(healthy[index].clone())
    }

    /// Hosts of the keepers that do not count as failed.
    fn healthy(&self) -> Vec<String> {
        let healthy = self.all.iter().filter(|(_, keeper)| !keeper.is_failed(self.now_ms));
        healthy.map(|(host, _)| host.clone()).collect()
    }

    /// Number of failures that count against the tolerated number.
    fn failed_count(&self) -> usize {
        let present = self.all.values().filter(|keeper| keeper.state != ProcessState::Replaced);
        let failed = present.filter(|keeper| keeper.is_failed(self.now_ms)).count();
        failed + self.missing_until_ms.iter().filter(|until_ms| self.now_ms < **until_ms).count()
    }

    /// Runs the simulation for a time, or until the power failure if that comes first.
    pub fn run_for(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms && !self.is_power_failure_due() {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        let hosts: Vec<_> = self.all.keys().cloned().collect();
        for host in &hosts {
            if self.all[host].state == ProcessState::Up {
                self.introduce(host);
                self.run_keeper(host);
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        for envelope in self.network.take_arrived(now_ms) {
            let Some(keeper) = self.all.get_mut(&envelope.to.host) else {
                continue;
            };
            if let (true, Some(replica)) = (keeper.is_reachable(), &mut keeper.replica) {
                replica.receive(now_ms, envelope);
            }
        }
    }

    /// Introduces a keeper that is not an active voter to all others, and bootstraps its log if it
    /// has none.
    fn introduce(&mut self, host: &str) {
        let now_ms = self.now_ms;
        let keeper = &self.all[host];
        let is_active_voter = keeper.replica.as_ref().is_some_and(|replica| {
            let has_leader_contact = replica.is_leader() || replica.has_leader_contact(now_ms);
            has_leader_contact && replica.configuration().voters.contains(&keeper.id)
        });
        if is_active_voter || now_ms < keeper.next_introduction_ms {
            return;
        }
        let (id, is_partitioned, has_log) =
            (keeper.id.clone(), keeper.is_partitioned, keeper.replica.is_some());
        let peers: Vec<_> = self.all.keys().filter(|peer| *peer != host).cloned().collect();
        let mut replies = BTreeMap::new();
        let mut has_unreachable = false;
        for peer in peers {
            let peer_keeper = self.all.get_mut(&peer).unwrap();
            if is_partitioned || !peer_keeper.is_reachable() {
                has_unreachable = true;
                continue;
            }
            let reply = match &mut peer_keeper.replica {
                None => Introduction::Blank(peer_keeper.as_blank()),
                Some(replica) => {
                    replica.admit(&id);
                    let members = replica.configuration().clone();
                    let genesis = peer_keeper.genesis.clone().unwrap_or_default();
                    Introduction::Member { genesis, members }
                }
            };
            replies.insert(peer, reply);
        }
        if !has_log {
            self.bootstrap(host, &replies);
        }
        let wait_ms =
            INTRODUCTION_INTERVAL_MS + if has_unreachable { UNREACHABLE_DELAY_MS } else { 0 };
        self.all.get_mut(host).unwrap().next_introduction_ms = now_ms + wait_ms;
    }

    /// Starts the replica of a keeper without a log, if the replies allow it.
    fn bootstrap(&mut self, host: &str, replies: &BTreeMap<String, Introduction>) {
        let peers: Vec<_> =
            self.bootstrap_hosts.iter().filter(|name| *name != host).cloned().collect();
        let is_bootstrap_host = self.bootstrap_hosts.iter().any(|name| name == host);
        let keeper = self.all.get_mut(host).unwrap();
        let local =
            BlankKeeper { may_begin: keeper.may_begin && is_bootstrap_host, ..keeper.as_blank() };
        let (state, genesis) = match plan_join(&local, &peers, replies) {
            Join::Bootstrap(genesis) => {
                (StoredState::genesis(genesis.clone(), Vec::new()), genesis)
            }
            Join::AsLearner => (StoredState::blank(), Configuration::default()),
            Join::Wait => return,
        };
        keeper.genesis = Some(genesis);
        keeper.disk = Some(state.clone());
        let options = options(self.losses);
        keeper.replica = Some(Replica::new(keeper.id.clone(), state, options, self.now_ms));
    }

    /// One step of a keeper: time-outs, membership changes, commands, writes and messages.
    fn run_keeper(&mut self, host: &str) {
        let now_ms = self.now_ms;
        let target_voters = 2 * self.losses + 1;
        let keeper = self.all.get_mut(host).unwrap();
        let Some(replica) = &mut keeper.replica else {
            return;
        };
        replica.tick(now_ms);
        replica.maintain_membership(now_ms);
        keeper.led_since_ms = match (replica.is_leader(), keeper.led_since_ms) {
            (true, since_ms) => Some(since_ms.unwrap_or(now_ms)),
            (false, _) => None,
        };
        let is_new_leader = keeper.led_since_ms.is_some_and(|at_ms| now_ms < at_ms + VOTER_WAIT_MS);
        let lacks_voters = is_new_leader && replica.configuration().voters.len() < target_voters;
        if replica.is_leader() && !lacks_voters && self.rng.random_range(0..20) == 0 {
            let command = now_ms.to_le_bytes().to_vec();
            if let Ok(id) = replica.propose(command) {
                self.proposed.push((id.index, id.term, host.to_owned()));
            }
        }
        let ready = replica.take_ready(now_ms);
        write(keeper.disk.as_mut().unwrap(), &ready, replica.hard_state());
        replica.record_persisted(ready.written());
        for entry in &ready.committed {
            let proposal = (entry.index, entry.term, host.to_owned());
            if let (Payload::Command(command), true) =
                (&entry.payload, self.proposed.contains(&proposal))
            {
                self.acknowledged.insert(entry.index, command.clone());
            }
        }
        if !keeper.is_partitioned {
            for message in ready.messages {
                let at_ms = now_ms + self.rng.random_range(0..12);
                self.network.send(at_ms, message);
            }
        }
    }
}
