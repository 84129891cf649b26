//! Schedule of faults drawn from a seed.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::proxy::Fault;

/// Period in which faults start, in ms.
pub const SPAN_MS: u64 = 12_000;

/// Keepers and entry hosts of a run.
pub const KEEPERS: usize = 5;
pub const ENTRIES: usize = 3;

/// Minimum time between two disk losses, in ms. The keepers have to repair the first one.
const DISK_GAP_MS: u64 = 7_000;

/// Fault of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    /// SIGKILL, then a restart.
    Kill,
    /// SIGTERM, then a restart once the process has exited.
    Stop,
    /// SIGSTOP, then SIGCONT.
    Pause,
    /// A change of the settings file, then SIGHUP.
    Reload,
    /// SIGKILL and deletion of the disk's contents, then a restart.
    LoseDisk,
    /// Writes to the disk fail, which ends the process; then a restart.
    FillDisk,
    /// An empty keeper starts; then this one gets SIGTERM and does not return.
    ReplaceAsPlanned,
    /// SIGKILL without a return; then an empty keeper starts.
    ReplaceSuddenly,
}

impl Blow {
    /// Whether the fault loses a disk.
    fn takes_disk(self) -> bool {
        matches!(self, Self::LoseDisk | Self::ReplaceAsPlanned | Self::ReplaceSuddenly)
    }
}

/// Target of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Keeper(usize),
    Entry(usize),
    AllKeepers,
    /// The proxy in front of a process, by the last byte of its address.
    Link(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Blow(Blow),
    Network(Fault),
}

/// One fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub at_ms: u64,
    pub for_ms: u64,
    pub target: Target,
    pub act: Act,
}

impl Step {
    /// Whether the step is planned work, such as a stop or a reload, which must not interrupt any
    /// request.
    pub fn is_planned(&self) -> bool {
        matches!(self.act, Act::Blow(Blow::Stop | Blow::Reload | Blow::ReplaceAsPlanned))
    }
}

/// Schedule of a seed, ordered by start time.
pub fn draw_schedule(seed: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Some runs consist of planned steps only, to test planned stops without other faults.
    let is_planned_only = rng.random_range(0..4) == 0;
    let count = rng.random_range(6..16);
    let mut steps: Vec<_> = (0..count).map(|_| draw_step(&mut rng, is_planned_only)).collect();
    let replaced = rng.random_range(0..3);
    steps.extend((0..replaced).map(|_| draw_replacement(&mut rng, is_planned_only)));
    steps.sort_by_key(|step| step.at_ms);
    space_disks(&mut steps);
    steps
}

fn draw_step(rng: &mut SmallRng, is_planned_only: bool) -> Step {
    let at_ms = rng.random_range(0..SPAN_MS);
    let for_ms = rng.random_range(200..4_000);
    let keeper = Target::Keeper(rng.random_range(0..KEEPERS));
    let entry = Target::Entry(rng.random_range(0..ENTRIES));
    let kind = if is_planned_only { rng.random_range(0..3) } else { rng.random_range(0..12) };
    let (target, act) = match kind {
        0 => (keeper, Act::Blow(Blow::Stop)),
        1 => (entry, Act::Blow(Blow::Stop)),
        2 => (entry, Act::Blow(Blow::Reload)),
        3 => (keeper, Act::Blow(Blow::Kill)),
        4 => (entry, Act::Blow(Blow::Kill)),
        5 => (keeper, Act::Blow(Blow::Pause)),
        6 => (entry, Act::Blow(Blow::Pause)),
        7 => (keeper, Act::Blow(Blow::LoseDisk)),
        8 => (keeper, Act::Blow(Blow::FillDisk)),
        9 if rng.random_range(0..3) == 0 => (Target::AllKeepers, Act::Blow(Blow::Kill)),
        _ => (draw_link(rng), Act::Network(draw_network(rng))),
    };
    Step { at_ms, for_ms, target, act }
}

fn draw_replacement(rng: &mut SmallRng, is_planned: bool) -> Step {
    let is_planned = is_planned || rng.random_range(0..2) == 0;
    let blow = if is_planned { Blow::ReplaceAsPlanned } else { Blow::ReplaceSuddenly };
    Step {
        at_ms: rng.random_range(0..SPAN_MS),
        for_ms: rng.random_range(200..4_000),
        target: Target::Keeper(rng.random_range(0..KEEPERS)),
        act: Act::Blow(blow),
    }
}

/// The two keepers that lose their disks in the final restart.
pub fn draw_closing(seed: u64) -> [usize; 2] {
    let mut rng = SmallRng::seed_from_u64(seed);
    let first = rng.random_range(0..KEEPERS);
    [first, (first + rng.random_range(1..KEEPERS)) % KEEPERS]
}

/// Draws a keeper, an entry host or an upstream.
fn draw_link(rng: &mut SmallRng) -> Target {
    let last = match rng.random_range(0..3) {
        0 => rng.random_range(1..=KEEPERS as u8),
        1 => rng.random_range(11..11 + ENTRIES as u8),
        _ => rng.random_range(21..=22),
    };
    Target::Link(last)
}

fn draw_network(rng: &mut SmallRng) -> Fault {
    match rng.random_range(0..5) {
        0 => Fault::Delay(rng.random_range(20..300)),
        1 => Fault::Reset,
        2 => Fault::CutIn,
        3 => Fault::CutOut,
        _ => Fault::Silence,
    }
}

/// Replaces disk losses by kills where they follow too closely.
fn space_disks(steps: &mut [Step]) {
    let mut last_ms = None;
    let takes_disk = |step: &&mut Step| matches!(step.act, Act::Blow(blow) if blow.takes_disk());
    for step in steps.iter_mut().filter(takes_disk) {
        let is_soon = last_ms.is_some_and(|last_ms| step.at_ms < last_ms + DISK_GAP_MS);
        if is_soon {
            step.act = Act::Blow(Blow::Kill);
        } else {
            last_ms = Some(step.at_ms + step.for_ms);
        }
    }
}
