//! Bootstrap addresses that the hosts of a run have at a restart, and the number of hosts.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::schedule::{ENTRIES, KEEPERS};
use crate::host::Host;
use crate::system::{Shape, System};

/// One in this many runs is large.
const LARGE_RUN_EVERY: u64 = 10;

/// Entry hosts that receive no requests, beside those that do.
const BYSTANDERS: usize = 2;

/// Number of idle entry hosts in a large run.
const MANY_BYSTANDERS: usize = 50;

/// Choice of the bootstrap addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// All keepers.
    Keepers,
    /// For each host, any three hosts with a control listener.
    AnyThree,
    /// Entry hosts, none of which is a keeper.
    EntriesAlone,
}

/// Configuration of a run, drawn from its seed.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub told: Told,
    /// Whether the final restart kills all hosts instead of only the keepers.
    pub ends_all: bool,
    pub bystanders: usize,
}

pub fn draw_setup(seed: u64) -> Setup {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let told = match rng.random_range(0..3) {
        0 => Told::Keepers,
        1 => Told::AnyThree,
        _ => Told::EntriesAlone,
    };
    let is_large = seed % LARGE_RUN_EVERY == LARGE_RUN_EVERY - 1;
    let bystanders = if is_large { MANY_BYSTANDERS } else { BYSTANDERS };
    Setup { told, ends_all: rng.random_bool(0.5), bystanders }
}

impl Setup {
    pub fn shape(&self) -> Shape {
        Shape {
            keepers: KEEPERS,
            entries: ENTRIES,
            has_proxies: true,
            all_serve: self.told != Told::Keepers,
            bystanders: self.bystanders,
            ..Shape::default()
        }
    }

    /// Writes the settings for all starts after the first.
    pub fn tell(&self, system: &mut System, seed: u64) {
        let keepers = system.keepers.iter().map(Host::control);
        let entries = system.entries.iter().map(Host::control);
        let doors: Vec<_> = match self.told {
            Told::Keepers => return system.write_settings(false),
            Told::AnyThree => keepers.chain(entries).collect(),
            Told::EntriesAlone => entries.collect(),
        };
        system.tell_of(doors, &mut SmallRng::seed_from_u64(seed));
    }
}
