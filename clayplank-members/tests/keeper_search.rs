//! Discovery of keepers from bootstrap hosts that may not know any keeper either.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashSet;

use clayplank_members::KnownKeepers;
use clayplank_types::HostId;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const KEEPERS: usize = 6;

/// Number of rounds of searches within which every host must find a keeper.
const ROUNDS: usize = 8;

/// Maximum number of queries of one host in a round.
const MAX_QUERIES: usize = 12;

/// Bootstrap hosts of the simulated hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bootstrap {
    /// The same three non-keepers for all hosts.
    SameNonKeepers,
    /// Three non-keepers for the keepers, and three other non-keepers for all other hosts.
    Disjoint,
    /// Three random hosts for each host.
    RandomHosts,
    /// Three random non-keepers for each host.
    RandomNonKeepers,
}

struct Model {
    rng: SmallRng,
    /// Views of all hosts, those of the keepers first.
    known: Vec<KnownKeepers>,
    is_down: Vec<bool>,
}

fn host(number: usize) -> HostId {
    HostId::new(format!("10.{}.{}.1", number / 250, number % 250))
}

fn number(host: &HostId) -> usize {
    let parts: Vec<usize> = host.as_str().split('.').map(|part| part.parse().unwrap()).collect();
    parts[1] * 250 + parts[2]
}

fn draw_bootstrap_hosts(
    rng: &mut SmallRng,
    bootstrap: Bootstrap,
    at: usize,
    hosts: usize,
) -> Vec<HostId> {
    let first = if bootstrap == Bootstrap::RandomHosts { 0 } else { KEEPERS };
    let of = |numbers: [usize; 3]| numbers.map(host).to_vec();
    match bootstrap {
        Bootstrap::SameNonKeepers => of([KEEPERS, KEEPERS + 1, KEEPERS + 2]),
        Bootstrap::Disjoint if at < KEEPERS => of([KEEPERS, KEEPERS + 1, KEEPERS + 2]),
        Bootstrap::Disjoint => of([KEEPERS + 3, KEEPERS + 4, KEEPERS + 5]),
        Bootstrap::RandomHosts | Bootstrap::RandomNonKeepers => {
            of([(); 3].map(|()| rng.random_range(first..hosts)))
        }
    }
}

impl Model {
    fn new(seed: u64, bootstrap: Bootstrap, hosts: usize, down_share: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let known = (0..hosts)
            .map(|at| {
                KnownKeepers::from_bootstrap_hosts(
                    host(at),
                    draw_bootstrap_hosts(&mut rng, bootstrap, at, hosts),
                )
            })
            .collect();
        let is_down = (0..hosts).map(|at| at >= KEEPERS && rng.random_bool(down_share)).collect();
        Self { rng, known, is_down }
    }

    /// Whether a host has a running bootstrap host, or is the bootstrap host of a running one.
    fn is_connected(&self, local: usize) -> bool {
        let knows_running_host = self.known[local]
            .bootstrap_hosts()
            .iter()
            .any(|bootstrap| !self.is_down[number(bootstrap)]);
        knows_running_host
            || (0..self.known.len()).any(|at| {
                !self.is_down[at] && self.known[at].bootstrap_hosts().contains(&host(local))
            })
    }

    /// Keepers announce themselves to their bootstrap hosts and contacts.
    fn announce(&mut self) {
        for keeper in 0..KEEPERS {
            let contacts: Vec<_> = self.known[keeper].contacts().map(number).collect();
            for at in contacts.into_iter().filter(|at| *at >= KEEPERS) {
                self.known[at].add_keepers([host(keeper)]);
            }
        }
    }

    /// A host that has found its first keeper reports it to its bootstrap hosts.
    fn report_keepers(&mut self, local: usize) {
        let keepers = self.known[local].keepers().to_vec();
        for bootstrap in self.known[local].bootstrap_hosts().to_vec() {
            let at = number(&bootstrap);
            if !self.is_down[at] {
                self.known[at].add_keepers(keepers.iter().cloned());
            }
        }
    }

    /// Runs one search of a host; returns whether it found a keeper, and the number of hosts
    /// queried.
    fn search(&mut self, local: usize) -> (bool, usize) {
        let mut queried = HashSet::new();
        while let Some(target) = self.known[local].next_to_query(&queried, &mut self.rng) {
            queried.insert(target.clone());
            let at = number(&target);
            if self.is_down[at] {
                continue;
            }
            if at < KEEPERS {
                self.known[local].set_leader(target);
                self.report_keepers(local);
                return (true, queried.len());
            }
            self.known[at].add_contact(host(local));
            let keepers = self.known[at].keepers().to_vec();
            let contacts = self.known[at].sample_contacts(&mut self.rng);
            self.known[local].add_keepers(keepers);
            contacts.into_iter().for_each(|contact| self.known[local].add_contact(contact));
        }
        (false, queried.len())
    }
}

#[rstest]
#[case::same_non_keepers(Bootstrap::SameNonKeepers, 0.0)]
#[case::disjoint(Bootstrap::Disjoint, 0.0)]
#[case::random_hosts(Bootstrap::RandomHosts, 0.0)]
#[case::random_hosts_with_some_down(Bootstrap::RandomHosts, 0.1)]
#[case::random_non_keepers(Bootstrap::RandomNonKeepers, 0.0)]
fn every_host_finds_a_keeper_with_few_queries(
    #[case] bootstrap: Bootstrap,
    #[case] down_share: f64,
    #[values(46, 100, 984, 10_000)] hosts: usize,
) {
    let seeds = if hosts > 1_000 { 1 } else { 4 };
    for seed in 0..seeds {
        let mut model = Model::new(seed, bootstrap, hosts, down_share);
        let mut searching: Vec<_> =
            (KEEPERS..hosts).filter(|at| !model.is_down[*at] && model.is_connected(*at)).collect();
        for _ in 0..ROUNDS {
            searching.retain(|at| {
                let (has_found, queries) = model.search(*at);
                assert!(queries <= MAX_QUERIES, "{queries} queries");
                !has_found
            });
            model.announce();
        }
        assert!(
            searching.is_empty(),
            "seed {seed}: {} of {hosts} found no keeper",
            searching.len()
        );
    }
}

#[test]
fn contacts_are_bounded_and_bootstrap_hosts_are_retained() {
    let mut known = KnownKeepers::from_bootstrap_hosts(host(0), [host(0), host(1), host(2)]);
    (3..500).for_each(|at| known.add_contact(host(at)));
    let contacts: Vec<_> = known.contacts().map(number).collect();
    assert_eq!(contacts[..2], [1, 2], "without the host itself");
    assert_eq!(contacts.last(), Some(&499));
    assert!(contacts.len() < 20, "{}", contacts.len());
    known.set_bootstrap_hosts([host(9)]);
    let contacts: Vec<_> = known.contacts().map(number).collect();
    assert_eq!(contacts[0], 9);
    assert!(contacts.contains(&1), "a former bootstrap host stays a contact");
}

#[test]
fn keepers_are_queried_first_and_the_last_leader_after_the_other_keepers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut known = KnownKeepers::from_bootstrap_hosts(host(0), [host(1)]);
    known.add_keepers([host(2), host(3)]);
    known.set_leader(host(4));
    known.add_contact(host(5));
    let mut queried = HashSet::new();
    let mut order = Vec::new();
    while let Some(next) = known.next_to_query(&queried, &mut rng) {
        order.push(number(&next));
        queried.insert(next);
    }
    order[..2].sort_unstable();
    assert_eq!(order, [2, 3, 4, 1, 5]);
}

#[test]
fn replaced_keepers_remain_only_as_contacts() {
    let mut known = KnownKeepers::from_bootstrap_hosts(host(0), [host(1)]);
    for newest in 10..500 {
        known.add_keepers([host(newest)]);
        known.set_keepers([host(newest - 2), host(newest - 1), host(newest)]);
    }
    let keepers: Vec<_> = known.keepers().iter().map(number).collect();
    assert_eq!(keepers, [497, 498, 499]);
    assert!(known.contacts().count() < 20);
    known.set_keepers([]);
    assert_eq!(known.keepers().len(), 3, "an empty list is ignored");
}

/// A reported list of many keepers may be outdated: each search queries only some of them.
#[test]
fn repeated_searches_query_each_of_many_keepers() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut known = KnownKeepers::from_bootstrap_hosts(host(0), []);
    known.add_keepers((1..=60).map(host));
    let mut found = HashSet::new();
    for _ in 0..40 {
        let mut queried = HashSet::new();
        while let Some(next) = known.next_to_query(&queried, &mut rng) {
            queried.insert(next);
        }
        assert!(queried.len() <= 16, "{}", queried.len());
        found.extend(queried);
    }
    assert_eq!(found.len(), 60);
}
