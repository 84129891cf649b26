//! Discovery of the keepers by a host.
//!
//! A host starts with a few bootstrap addresses. These hosts need not be keepers, may be down, or
//! may know no keeper either. Each queried host therefore returns the hosts that it knows and
//! remembers the sender as a contact, and a host that has found a keeper reports it to its
//! bootstrap hosts.

use std::collections::{HashSet, VecDeque};

use clayplank_types::HostId;
use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

/// Maximum number of contacts that are remembered beside the keepers and the bootstrap hosts.
const MAX_CONTACTS: usize = 16;

/// Maximum number of keepers learned from other hosts before a keeper confirms the list; far more
/// than the voters of any deployment.
const MAX_KEEPERS: usize = 64;

/// Maximum number of keepers that one search queries.
const MAX_QUERIED_KEEPERS: usize = 16;

/// Maximum number of contacts that one search queries beside the bootstrap hosts. A search that
/// finds no keeper is followed by another one with other contacts.
const MAX_QUERIED_CONTACTS: usize = 2;

/// Maximum number of contacts sent to another host, beside the keepers.
const MAX_SENT_CONTACTS: usize = 8;

/// The keepers that a host knows, and the hosts that may know more of them.
#[derive(Clone, Debug, Default)]
pub struct KnownKeepers {
    /// The local host; `None` if the settings list all keepers.
    local: Option<HostId>,
    keepers: Vec<HostId>,
    leader: Option<HostId>,
    /// Bootstrap hosts from the settings, as of the start or their last change.
    bootstrap_hosts: Vec<HostId>,
    /// Other known hosts, the most recently learned last.
    contacts: VecDeque<HostId>,
}

impl KnownKeepers {
    /// Creates the view of host `local` from bootstrap hosts, which need not be keepers.
    pub fn from_bootstrap_hosts(
        local: HostId,
        bootstrap_hosts: impl IntoIterator<Item = HostId>,
    ) -> Self {
        let mut known = Self { local: Some(local), ..Self::default() };
        known.set_bootstrap_hosts(bootstrap_hosts);
        known
    }

    /// Creates the view of a host whose settings list all keepers.
    pub fn from_keepers(keepers: impl IntoIterator<Item = HostId>) -> Self {
        Self { keepers: keepers.into_iter().collect(), ..Self::default() }
    }

    /// Replaces the bootstrap hosts after a change of the settings. The previous ones remain
    /// contacts.
    pub fn set_bootstrap_hosts(&mut self, bootstrap_hosts: impl IntoIterator<Item = HostId>) {
        let local = self.local.clone();
        let bootstrap_hosts =
            bootstrap_hosts.into_iter().filter(|host| Some(host) != local.as_ref()).collect();
        let previous = std::mem::replace(&mut self.bootstrap_hosts, bootstrap_hosts);
        previous.into_iter().for_each(|host| self.add_contact(host));
    }

    /// The bootstrap hosts from the settings.
    pub fn bootstrap_hosts(&self) -> &[HostId] {
        &self.bootstrap_hosts
    }

    /// The known keepers; the local host may be one of them.
    pub fn keepers(&self) -> &[HostId] {
        &self.keepers
    }

    /// Replaces the keepers by the list that one of them confirmed; an empty list is ignored.
    /// Keepers that are no longer listed remain contacts.
    pub fn set_keepers(&mut self, keepers: impl IntoIterator<Item = HostId>) {
        let keepers: Vec<_> = keepers.into_iter().collect();
        if keepers.is_empty() || keepers == self.keepers {
            return;
        }
        let previous = std::mem::replace(&mut self.keepers, keepers);
        previous.into_iter().for_each(|host| self.add_contact(host));
        self.contacts.retain(|contact| !self.keepers.contains(contact));
    }

    /// Adds keepers reported by other hosts; returns whether one of them was new.
    pub fn add_keepers(&mut self, hosts: impl IntoIterator<Item = HostId>) -> bool {
        let before = self.keepers.len();
        for host in hosts {
            if self.keepers.len() < MAX_KEEPERS && !self.keepers.contains(&host) {
                self.contacts.retain(|contact| *contact != host);
                self.keepers.push(host);
            }
        }
        self.keepers.len() > before
    }

    /// Adds a host that may know keepers. The oldest contact is evicted if there are too many.
    pub fn add_contact(&mut self, host: HostId) {
        let is_known = self.local.as_ref() == Some(&host)
            || self.bootstrap_hosts.contains(&host)
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

    /// Hosts that may know keepers, the bootstrap hosts first.
    pub fn contacts(&self) -> impl Iterator<Item = &HostId> {
        self.bootstrap_hosts
            .iter()
            .chain(&self.contacts)
            .filter(|host| !self.keepers.contains(host))
    }

    /// A random selection of hosts that may know keepers, to send to a host that searches. Empty if
    /// keepers are known, as those are sent instead.
    pub fn sample_contacts(&self, rng: &mut impl Rng) -> Vec<HostId> {
        if !self.keepers.is_empty() {
            return Vec::new();
        }
        self.contacts().cloned().sample(rng, MAX_SENT_CONTACTS)
    }

    /// The last known leader.
    pub fn leader(&self) -> Option<&HostId> {
        self.leader.as_ref()
    }

    /// Sets the leader, and adds it to the keepers; returns the previous leader.
    pub fn set_leader(&mut self, leader: HostId) -> Option<HostId> {
        self.add_keepers([leader.clone()]);
        self.leader.replace(leader)
    }

    /// The next host to query for the leader: keepers in random order with the last known leader
    /// after the others, then bootstrap hosts, then other contacts. Hosts learned from earlier
    /// queries of the same search are included.
    pub fn next_to_query(&self, queried: &HashSet<HostId>, rng: &mut impl Rng) -> Option<HostId> {
        let was_queried = |host: &&HostId| queried.contains(*host);
        let mut keepers: Vec<_> = self.keepers.iter().filter(|host| !was_queried(host)).collect();
        let queried_keepers = self.keepers.len() - keepers.len();
        keepers.shuffle(rng);
        keepers.truncate(MAX_QUERIED_KEEPERS.saturating_sub(queried_keepers));
        keepers.sort_by_key(|host| Some(*host) == self.leader.as_ref());
        let mut bootstrap_hosts: Vec<_> =
            self.bootstrap_hosts.iter().filter(|host| !was_queried(host)).collect();
        bootstrap_hosts.shuffle(rng);
        let is_contact =
            |host: &&HostId| !self.keepers.contains(host) && !self.bootstrap_hosts.contains(host);
        let queried_contacts = queried.iter().filter(is_contact).count();
        let may_query_contact = queried_contacts < MAX_QUERIED_CONTACTS;
        let contact = self.contacts.iter().filter(|host| !was_queried(host)).choose(rng);
        let next = keepers.into_iter().chain(bootstrap_hosts).next();
        next.or(contact.filter(|_| may_query_contact)).cloned()
    }
}
