//! Keepers that start blank, find each other, lose disks and are replaced.
//!
//! A model of the processes around the replicas: who is up, who makes itself known to whom, and
//! which disks are lost. Time, delays and faults come from a seed.

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

/// One step of time, in ms.
const STEP_MS: u64 = 4;

/// Between two introductions of a keeper that does not vote, in ms.
const INTRODUCE_EVERY_MS: u64 = 300;

/// What an introduction waits longer if a keeper cannot be reached, in ms.
const UNREACHED_MS: u64 = 150;

/// How long a new leader waits for enough voters before it takes commands with fewer, in ms.
const VOTERS_GRACE_MS: u64 = 4_000;

/// A keeper that is back, or new, counts as lost for this long, in ms.
pub const CATCH_UP_MS: u64 = 4_000;

/// What a keeper's process can do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    /// It runs, but does nothing, or its disk answers nothing.
    Paused,
    Down,
    /// It was replaced.
    Gone,
}

struct Keeper {
    id: ReplicaId,
    genesis: Option<Configuration>,
    replica: Option<Replica>,
    /// What is synced; `None` on an empty disk.
    disk: Option<StoredState>,
    life: Life,
    is_cut: bool,
    /// Noted on its disk at the first start.
    may_begin: bool,
    introduce_ms: u64,
    back_ms: u64,
    led_since_ms: Option<u64>,
}

impl Keeper {
    fn as_blank(&self) -> BlankKeeper {
        BlankKeeper { id: self.id.clone(), may_begin: self.may_begin }
    }

    fn is_reached(&self) -> bool {
        self.life == Life::Up && !self.is_cut
    }

    /// Whether the loss of this keeper is still being borne.
    fn is_lost(&self, now_ms: u64) -> bool {
        !self.is_reached() || now_ms < self.back_ms + CATCH_UP_MS
    }
}

pub struct Keepers {
    all: BTreeMap<String, Keeper>,
    seeds: Vec<String>,
    losses: usize,
    network: Network,
    pub now_ms: u64,
    rng: SmallRng,
    next: u64,
    /// Commands that were acknowledged, by index.
    acknowledged: BTreeMap<u64, Vec<u8>>,
    /// Commands under way: index, term and leader.
    proposed: Vec<(u64, u64, String)>,
    /// When all that can be borne at once happens.
    strike_ms: u64,
    /// A loss that has no keeper of its own: one that was replaced, until this time.
    replaced_until_ms: Vec<u64>,
    /// What happened, for a seed that fails.
    pub told: Vec<String>,
}

fn options(losses: usize) -> Options {
    Options {
        election_ms: 350,
        heartbeat_ms: 80,
        keep_entries: 32,
        replace_silent_ms: Some(1_500),
        tolerated_losses: losses,
        ..Options::default()
    }
}

impl Keepers {
    /// Keepers that start for the first time on empty disks; the first three are told to all.
    pub fn start(count: usize, losses: usize, seed: u64) -> Self {
        let mut keepers = Self {
            all: BTreeMap::new(),
            seeds: Vec::new(),
            losses,
            network: Network::default(),
            now_ms: CATCH_UP_MS,
            rng: SmallRng::seed_from_u64(seed),
            next: 0,
            acknowledged: BTreeMap::new(),
            proposed: Vec::new(),
            strike_ms: u64::MAX,
            replaced_until_ms: Vec::new(),
            told: Vec::new(),
        };
        (0..count).for_each(|_| {
            keepers.add(true);
        });
        keepers.seeds = keepers.all.keys().take(3).cloned().collect();
        keepers
    }

    pub fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.rng.random_range(range)
    }

    fn tell(&mut self, what: &str) {
        self.told.push(format!("{:>6} ms: {what}", self.now_ms));
    }

    /// Sets when the losses that are tolerated happen, whatever else goes on.
    pub fn strike_at(&mut self, at_ms: u64) {
        self.strike_ms = at_ms;
    }

    fn is_struck(&self) -> bool {
        self.now_ms >= self.strike_ms
    }

    /// Adds a keeper with an empty disk; returns its host.
    fn add(&mut self, may_begin: bool) -> String {
        self.next += 1;
        let host = format!("k{}", self.next);
        let keeper = Keeper {
            id: ReplicaId::new(host.clone(), self.next),
            genesis: None,
            replica: None,
            disk: None,
            life: Life::Up,
            is_cut: false,
            may_begin,
            introduce_ms: self.now_ms,
            back_ms: self.now_ms,
            led_since_ms: None,
        };
        self.all.insert(host.clone(), keeper);
        host
    }

    /// A keeper whose loss is not being borne, if one more may be lost.
    fn pick(&mut self) -> Option<String> {
        if self.lost_count() >= self.losses {
            return None;
        }
        let sound = self.sound();
        let number = self.rng.random_range(0..sound.len());
        Some(sound[number].clone())
    }

    fn sound(&self) -> Vec<String> {
        let sound = self.all.iter().filter(|(_, keeper)| !keeper.is_lost(self.now_ms));
        sound.map(|(host, _)| host.clone()).collect()
    }

    fn lost_count(&self) -> usize {
        let present = self.all.values().filter(|keeper| keeper.life != Life::Gone);
        let lost = present.filter(|keeper| keeper.is_lost(self.now_ms)).count();
        lost + self.replaced_until_ms.iter().filter(|until_ms| self.now_ms < **until_ms).count()
    }

    /// Lets time pass, until the strike at most.
    pub fn run_for(&mut self, for_ms: u64) {
        let end_ms = self.now_ms + for_ms;
        while self.now_ms < end_ms && !self.is_struck() {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.deliver();
        let hosts: Vec<_> = self.all.keys().cloned().collect();
        for host in &hosts {
            if self.all[host].life == Life::Up {
                self.introduce(host);
                self.serve(host);
            }
        }
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        for envelope in self.network.take_arrived(now_ms) {
            let Some(keeper) = self.all.get_mut(&envelope.to.host) else {
                continue;
            };
            if let (true, Some(replica)) = (keeper.is_reached(), &mut keeper.replica) {
                replica.receive(now_ms, envelope);
            }
        }
    }

    /// What a keeper does that does not vote: it makes itself known to all others.
    fn introduce(&mut self, host: &str) {
        let now_ms = self.now_ms;
        let keeper = &self.all[host];
        let votes = keeper.replica.as_ref().is_some_and(|replica| {
            let hears = replica.is_leader() || replica.hears_leader(now_ms);
            hears && replica.configuration().voters.contains(&keeper.id)
        });
        if votes || now_ms < keeper.introduce_ms {
            return;
        }
        let (id, is_cut, has_log) = (keeper.id.clone(), keeper.is_cut, keeper.replica.is_some());
        let others: Vec<_> = self.all.keys().filter(|other| *other != host).cloned().collect();
        let mut answers = BTreeMap::new();
        let mut is_waiting = false;
        for other in others {
            let asked = self.all.get_mut(&other).unwrap();
            if is_cut || !asked.is_reached() {
                is_waiting = true;
                continue;
            }
            let answer = match &mut asked.replica {
                None => Introduction::Blank(asked.as_blank()),
                Some(replica) => {
                    replica.admit(&id);
                    let members = replica.configuration().clone();
                    let genesis = asked.genesis.clone().unwrap_or_default();
                    Introduction::Member { genesis, members }
                }
            };
            answers.insert(other, answer);
        }
        if !has_log {
            self.begin(host, &answers);
        }
        let wait_ms = INTRODUCE_EVERY_MS + if is_waiting { UNREACHED_MS } else { 0 };
        self.all.get_mut(host).unwrap().introduce_ms = now_ms + wait_ms;
    }

    fn begin(&mut self, host: &str, answers: &BTreeMap<String, Introduction>) {
        let names: Vec<_> = self.seeds.iter().filter(|seed| *seed != host).cloned().collect();
        let is_seed = self.seeds.iter().any(|seed| seed == host);
        let keeper = self.all.get_mut(host).unwrap();
        let own = BlankKeeper { may_begin: keeper.may_begin && is_seed, ..keeper.as_blank() };
        let (state, genesis) = match plan_join(&own, &names, answers) {
            Join::Begin(genesis) => (StoredState::genesis(genesis.clone(), Vec::new()), genesis),
            Join::Learn => (StoredState::blank(), Configuration::default()),
            Join::Wait => return,
        };
        keeper.genesis = Some(genesis);
        keeper.disk = Some(state.clone());
        let options = options(self.losses);
        keeper.replica = Some(Replica::new(keeper.id.clone(), state, options, self.now_ms));
    }

    /// One round of a keeper: time, commands, the disk, messages.
    fn serve(&mut self, host: &str) {
        let now_ms = self.now_ms;
        let wanted = 2 * self.losses + 1;
        let keeper = self.all.get_mut(host).unwrap();
        let Some(replica) = &mut keeper.replica else {
            return;
        };
        replica.tick(now_ms);
        replica.keep_members(now_ms);
        keeper.led_since_ms = match (replica.is_leader(), keeper.led_since_ms) {
            (true, held) => Some(held.unwrap_or(now_ms)),
            (false, _) => None,
        };
        let is_young = keeper.led_since_ms.is_some_and(|at_ms| now_ms < at_ms + VOTERS_GRACE_MS);
        let lacks_voters = is_young && replica.configuration().voters.len() < wanted;
        if replica.is_leader() && !lacks_voters && self.rng.random_range(0..20) == 0 {
            let command = now_ms.to_le_bytes().to_vec();
            if let Ok(id) = replica.propose(command) {
                self.proposed.push((id.index, id.term, host.to_owned()));
            }
        }
        let ready = replica.take_ready(now_ms);
        write(keeper.disk.as_mut().unwrap(), &ready, replica.hard_state());
        replica.note_persisted(ready.last_written());
        for entry in &ready.committed {
            let own = (entry.index, entry.term, host.to_owned());
            if let (Payload::Command(command), true) =
                (&entry.payload, self.proposed.contains(&own))
            {
                self.acknowledged.insert(entry.index, command.clone());
            }
        }
        if !keeper.is_cut {
            for message in ready.messages {
                let at_ms = now_ms + self.rng.random_range(0..12);
                self.network.send(at_ms, message);
            }
        }
    }
}
