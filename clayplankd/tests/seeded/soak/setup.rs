//! Bootstrap addresses that the hosts of a run have at a restart, and the number of hosts.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::schedule::{ENTRIES, KEEPERS};
use crate::host::Host;
use crate::system::{System, Topology};

/// One in this many runs is large.
const LARGE_RUN_INTERVAL: u64 = 10;

/// Entry hosts that receive no requests, beside those that do.
const IDLE_ENTRIES: usize = 2;

/// Number of idle entry hosts in a large run.
const LARGE_RUN_IDLE_ENTRIES: usize = 50;

/// Choice of the bootstrap addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BootstrapChoice {
    /// All keepers.
    Keepers,
    /// For each host, any three hosts with a control listener.
    AnyThree,
    /// Entry hosts, none of which is a keeper.
    EntriesOnly,
}

/// Configuration of a run, drawn from its seed.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub bootstrap_choice: BootstrapChoice,
    /// Whether the final restart kills all hosts instead of only the keepers.
    pub restarts_all_hosts: bool,
    pub idle_entries: usize,
}

pub fn draw_setup(seed: u64) -> Setup {
    let mut rng = SmallRng::seed_from_u64(!seed);
    let bootstrap_choice = match rng.random_range(0..3) {
        0 => BootstrapChoice::Keepers,
        1 => BootstrapChoice::AnyThree,
        _ => BootstrapChoice::EntriesOnly,
    };
    let is_large = seed % LARGE_RUN_INTERVAL == LARGE_RUN_INTERVAL - 1;
    let idle_entries = if is_large { LARGE_RUN_IDLE_ENTRIES } else { IDLE_ENTRIES };
    Setup { bootstrap_choice, restarts_all_hosts: rng.random_bool(0.5), idle_entries }
}

impl Setup {
    pub fn topology(&self) -> Topology {
        Topology {
            keepers: KEEPERS,
            entries: ENTRIES,
            has_proxies: true,
            has_upstream_proxies: true,
            has_combined_roles: self.bootstrap_choice != BootstrapChoice::Keepers,
            idle_entries: self.idle_entries,
            ..Topology::default()
        }
    }

    /// Writes the settings for all starts after the first.
    pub fn write_restart_settings(&self, system: &mut System, seed: u64) {
        let keepers = system.keepers.iter().map(Host::control);
        let entries = system.entries.iter().map(Host::control);
        let addresses: Vec<_> = match self.bootstrap_choice {
            BootstrapChoice::Keepers => return system.write_settings(false),
            BootstrapChoice::AnyThree => keepers.chain(entries).collect(),
            BootstrapChoice::EntriesOnly => entries.collect(),
        };
        system.set_bootstrap_addresses(addresses, &mut SmallRng::seed_from_u64(seed));
    }
}
