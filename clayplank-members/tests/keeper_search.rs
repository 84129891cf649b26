//! How hosts find the keepers that are told of others, which may know as little.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::HashSet;

use clayplank_members::KnownKeepers;
use clayplank_types::HostId;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

const KEEPERS: usize = 6;

/// Rounds of searches in which all hosts have to find a keeper.
const ROUNDS: usize = 8;

/// Questions of a host in a round.
const MAX_QUESTIONS: usize = 12;

/// Whom hosts are told of when they start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    /// All of the same three that are no keepers.
    SameThree,
    /// Keepers of three hosts, all hosts of three others.
    Apart,
    /// Each of any three.
    AnyThree,
    /// Each of any three hosts that are no keepers.
    AnyHosts,
}

struct Model {
    rng: SmallRng,
    /// The keepers first.
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

fn draw_seeds(rng: &mut SmallRng, told: Told, at: usize, hosts: usize) -> Vec<HostId> {
    let first = if told == Told::AnyThree { 0 } else { KEEPERS };
    let of = |numbers: [usize; 3]| numbers.map(host).to_vec();
    match told {
        Told::SameThree => of([KEEPERS, KEEPERS + 1, KEEPERS + 2]),
        Told::Apart if at < KEEPERS => of([KEEPERS, KEEPERS + 1, KEEPERS + 2]),
        Told::Apart => of([KEEPERS + 3, KEEPERS + 4, KEEPERS + 5]),
        Told::AnyThree | Told::AnyHosts => of([(); 3].map(|()| rng.random_range(first..hosts))),
    }
}

impl Model {
    fn new(seed: u64, told: Told, hosts: usize, down_share: f64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let known = (0..hosts)
            .map(|at| KnownKeepers::of_seeds(host(at), draw_seeds(&mut rng, told, at, hosts)))
            .collect();
        let is_down = (0..hosts).map(|at| at >= KEEPERS && rng.random_bool(down_share)).collect();
        Self { rng, known, is_down }
    }

    /// Whether a host was told of a living one, or a living one was told of it.
    fn is_connected(&self, own: usize) -> bool {
        let knows_living = self.known[own].seeds().iter().any(|seed| !self.is_down[number(seed)]);
        knows_living
            || (0..self.known.len())
                .any(|at| !self.is_down[at] && self.known[at].seeds().contains(&host(own)))
    }

    /// Keepers make themselves known to those that they were told of.
    fn announce(&mut self) {
        for keeper in 0..KEEPERS {
            let told: Vec<_> = self.known[keeper].contacts().map(number).collect();
            for at in told.into_iter().filter(|at| *at >= KEEPERS) {
                self.known[at].learn_keepers([host(keeper)]);
            }
        }
    }

    /// A host that has found its first keeper makes it known to those that it was told of.
    fn tell_seeds(&mut self, own: usize) {
        let keepers = self.known[own].keepers().to_vec();
        for seed in self.known[own].seeds().to_vec() {
            let at = number(&seed);
            if !self.is_down[at] {
                self.known[at].learn_keepers(keepers.iter().cloned());
            }
        }
    }

    /// One search of a host; returns whether it found a keeper, and how many hosts it asked.
    fn search(&mut self, own: usize) -> (bool, usize) {
        let mut asked = HashSet::new();
        while let Some(other) = self.known[own].next_to_ask(&asked, &mut self.rng) {
            asked.insert(other.clone());
            let at = number(&other);
            if self.is_down[at] {
                continue;
            }
            if at < KEEPERS {
                self.known[own].set_leader(other);
                self.tell_seeds(own);
                return (true, asked.len());
            }
            self.known[at].learn_contact(host(own));
            let keepers = self.known[at].keepers().to_vec();
            let contacts = self.known[at].named_contacts(&mut self.rng);
            self.known[own].learn_keepers(keepers);
            contacts.into_iter().for_each(|contact| self.known[own].learn_contact(contact));
        }
        (false, asked.len())
    }
}

#[rstest]
#[case::same_three(Told::SameThree, 0.0)]
#[case::apart(Told::Apart, 0.0)]
#[case::any_three(Told::AnyThree, 0.0)]
#[case::any_three_with_some_down(Told::AnyThree, 0.1)]
#[case::any_hosts(Told::AnyHosts, 0.0)]
fn every_host_finds_the_keepers_with_few_questions(
    #[case] told: Told,
    #[case] down_share: f64,
    #[values(46, 100, 984, 10_000)] hosts: usize,
) {
    let seeds = if hosts > 1_000 { 1 } else { 4 };
    for seed in 0..seeds {
        let mut model = Model::new(seed, told, hosts, down_share);
        let mut lost: Vec<_> =
            (KEEPERS..hosts).filter(|at| !model.is_down[*at] && model.is_connected(*at)).collect();
        for _ in 0..ROUNDS {
            lost.retain(|at| {
                let (has_found, questions) = model.search(*at);
                assert!(questions <= MAX_QUESTIONS, "{questions} questions");
                !has_found
            });
            model.announce();
        }
        assert!(lost.is_empty(), "seed {seed}: {} of {hosts} found no keeper", lost.len());
    }
}

#[test]
fn contacts_are_bounded_and_seeds_are_kept() {
    let mut known = KnownKeepers::of_seeds(host(0), [host(0), host(1), host(2)]);
    (3..500).for_each(|at| known.learn_contact(host(at)));
    let contacts: Vec<_> = known.contacts().map(number).collect();
    assert_eq!(contacts[..2], [1, 2], "without the host itself");
    assert_eq!(contacts.last(), Some(&499));
    assert!(contacts.len() < 20, "{}", contacts.len());
    known.set_seeds([host(9)]);
    let contacts: Vec<_> = known.contacts().map(number).collect();
    assert_eq!(contacts[0], 9);
    assert!(contacts.contains(&1), "a former seed stays a contact");
}

#[test]
fn keepers_are_asked_before_others_and_the_last_leader_after_them() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut known = KnownKeepers::of_seeds(host(0), [host(1)]);
    known.learn_keepers([host(2), host(3)]);
    known.set_leader(host(4));
    known.learn_contact(host(5));
    let mut asked = HashSet::new();
    let mut order = Vec::new();
    while let Some(next) = known.next_to_ask(&asked, &mut rng) {
        order.push(number(&next));
        asked.insert(next);
    }
    order[..2].sort_unstable();
    assert_eq!(order, [2, 3, 4, 1, 5]);
}

#[test]
fn keepers_that_were_replaced_are_known_as_contacts_alone() {
    let mut known = KnownKeepers::of_seeds(host(0), [host(1)]);
    for newest in 10..500 {
        known.learn_keepers([host(newest)]);
        known.set_keepers([host(newest - 2), host(newest - 1), host(newest)]);
    }
    let keepers: Vec<_> = known.keepers().iter().map(number).collect();
    assert_eq!(keepers, [497, 498, 499]);
    assert!(known.contacts().count() < 20);
    known.set_keepers([]);
    assert_eq!(known.keepers().len(), 3, "an empty list says nothing");
}

/// Word of many keepers may be old: each search asks some of them.
#[test]
fn each_of_many_keepers_is_asked_in_one_search_or_another() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut known = KnownKeepers::of_seeds(host(0), []);
    known.learn_keepers((1..=60).map(host));
    let mut found = HashSet::new();
    for _ in 0..40 {
        let mut asked = HashSet::new();
        while let Some(next) = known.next_to_ask(&asked, &mut rng) {
            asked.insert(next);
        }
        assert!(asked.len() <= 16, "{}", asked.len());
        found.extend(asked);
    }
    assert_eq!(found.len(), 60);
}
