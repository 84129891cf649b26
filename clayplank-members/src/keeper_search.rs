//! What a host knows of the keepers, and whom it asks when it has lost them.
//!
//! A host is told of a few others when it starts. They need not be keepers, may be down, or may know as
//! little themselves: so each host that is asked names those that it knows, and remembers who asked
//! it; and one that has found a keeper tells those that it was told of itself.

use std::collections::{HashSet, VecDeque};

use clayplank_types::HostId;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

/// Hosts that are remembered beside the keepers and those that this host was told of.
const MAX_CONTACTS: usize = 16;

/// Keepers that are taken from the word of others, until one of them confirms who they are: far more
/// than vote anywhere.
const MAX_KEEPERS: usize = 64;

/// Keepers that are asked in one search.
const MAX_ASKED_KEEPERS: usize = 16;

/// Contacts that are asked in one search, beside those that this host was told of: a host that finds
/// nobody goes on with others.
const MAX_ASKED_CONTACTS: usize = 2;

/// Contacts that are named to another host, beside the keepers.
const MAX_NAMED: usize = 8;

/// The keepers that a host knows, and hosts that may know more.
#[derive(Clone, Debug, Default)]
pub struct KnownKeepers {
    /// `None` where the settings name all keepers.
    own: Option<HostId>,
    keepers: Vec<HostId>,
    leader: Option<HostId>,
    /// Hosts that this one was told of, when it started or since.
    seeds: Vec<HostId>,
    /// Others that were heard of, the newest last.
    contacts: VecDeque<HostId>,
}

impl KnownKeepers {
    /// A host that is told of others, which need not be keepers.
    pub fn of_seeds(own: HostId, seeds: impl IntoIterator<Item = HostId>) -> Self {
        let mut known = Self { own: Some(own), ..Self::default() };
        known.set_seeds(seeds);
        known
    }

    /// A host whose settings name all keepers.
    pub fn of_keepers(keepers: impl IntoIterator<Item = HostId>) -> Self {
        Self { keepers: keepers.into_iter().collect(), ..Self::default() }
    }

    /// Takes in whom the settings name now; those that they named before stay contacts.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = HostId>) {
        let own = self.own.clone();
        let seeds = seeds.into_iter().filter(|seed| Some(seed) != own.as_ref()).collect();
        let former = std::mem::replace(&mut self.seeds, seeds);
        former.into_iter().for_each(|host| self.learn_contact(host));
    }

    /// Whom the settings name.
    pub fn seeds(&self) -> &[HostId] {
        &self.seeds
    }

    /// The keepers that are known, this host perhaps among them.
    pub fn keepers(&self) -> &[HostId] {
        &self.keepers
    }

    /// Takes in all keepers, as one of them confirmed them; those that were replaced stay contacts.
    pub fn set_keepers(&mut self, keepers: impl IntoIterator<Item = HostId>) {
        let keepers: Vec<_> = keepers.into_iter().collect();
        if keepers.is_empty() || keepers == self.keepers {
            return;
        }
        let former = std::mem::replace(&mut self.keepers, keepers);
        former.into_iter().for_each(|host| self.learn_contact(host));
        self.contacts.retain(|contact| !self.keepers.contains(contact));
    }

    /// Learns of keepers; returns whether one was new.
    pub fn learn_keepers(&mut self, hosts: impl IntoIterator<Item = HostId>) -> bool {
        let before = self.keepers.len();
        for host in hosts {
            if self.keepers.len() < MAX_KEEPERS && !self.keepers.contains(&host) {
                self.contacts.retain(|contact| *contact != host);
                self.keepers.push(host);
            }
        }
        self.keepers.len() > before
    }

    /// Learns of a host that may know keepers. The one that was learned of first is forgotten for it.
    pub fn learn_contact(&mut self, host: HostId) {
        let is_known = self.own.as_ref() == Some(&host)
            || self.seeds.contains(&host)
            || self.keepers.contains(&host);
        if is_known {
            return;
        }
        self.contacts.retain(|contact| *contact != host);
        self.contacts.push_back(host);
        if self.contacts.len() > MAX_CONTACTS {
            self.contacts.pop_front();
        }
    }

    /// Hosts that may know keepers, those first that this host was told of.
    pub fn contacts(&self) -> impl Iterator<Item = &HostId> {
        self.seeds.iter().chain(&self.contacts).filter(|host| !self.keepers.contains(host))
    }

    /// A few hosts that may know keepers, for one that asks; none where keepers are known.
    pub fn named_contacts(&self, rng: &mut impl Rng) -> Vec<HostId> {
        if !self.keepers.is_empty() {
            return Vec::new();
        }
        self.contacts().cloned().sample(rng, MAX_NAMED)
    }

    /// Who led when it was last heard.
    pub fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Takes in who leads; returns the former leader.
    pub fn set_leader(&mut self, leader: HostId) -> Option<HostId> {
        self.learn_keepers([leader.clone()]);
        self.leader.replace(leader)
    }

    /// The next host to ask who leads: keepers in an order of chance, the one that led last after
    /// them, then those that may know others. What was learned from the ones before counts.
    pub fn next_to_ask(&self, asked: &HashSet<HostId>, rng: &mut impl Rng) -> Option<HostId> {
        let was_asked = |host: &&HostId| asked.contains(*host);
        let mut keepers: Vec<_> = self.keepers.iter().filter(|host| !was_asked(host)).collect();
        let asked_keepers = self.keepers.len() - keepers.len();
        keepers.shuffle(rng);
        keepers.truncate(MAX_ASKED_KEEPERS.saturating_sub(asked_keepers));
        keepers.sort_by_key(|host| Some(*host) == self.leader.as_ref());
        let mut seeds: Vec<_> = self.seeds.iter().filter(|host| !was_asked(host)).collect();
        seeds.shuffle(rng);
        let is_contact =
            |host: &&HostId| !self.keepers.contains(host) && !self.seeds.contains(host);
        let asked_contacts = asked.iter().filter(is_contact).count();
        let may_ask_contact = asked_contacts < MAX_ASKED_CONTACTS;
        let contact = self.contacts.iter().filter(|host| !was_asked(host)).choose(rng);
        let next = keepers.into_iter().chain(seeds).next();
        next.or(contact.filter(|_| may_ask_contact)).cloned()
    }
}
