//! Which faults a seed brings, and when.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::proxy::Fault;

/// Faults come over this time, in ms.
pub const SPAN_MS: u64 = 12_000;

/// Hosts of a run.
pub const KEEPERS: usize = 5;
pub const ENTRIES: usize = 3;

/// Between two lost disks, in ms: the keepers have to repair the first one.
const DISK_GAP_MS: u64 = 7_000;

/// Something that happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blow {
    /// SIGKILL; it comes back.
    Kill,
    /// SIGTERM; it comes back once it has ended.
    Stop,
    /// SIGSTOP, and SIGCONT later.
    Pause,
    /// Its settings file changes, and it is told so.
    Reload,
    /// SIGKILL, and its disk is empty when it comes back.
    LoseDisk,
    /// It cannot write to its disk any more, and ends over it.
    FillDisk,
    /// An empty keeper starts; this one gets SIGTERM afterwards, and is gone for good.
    ReplaceAsPlanned,
    /// SIGKILL, and it is gone for good; an empty keeper starts afterwards.
    ReplaceSuddenly,
}

impl Blow {
    /// Whether a disk is lost with it.
    fn takes_disk(self) -> bool {
        matches!(self, Self::LoseDisk | Self::ReplaceAsPlanned | Self::ReplaceSuddenly)
    }
}

/// What a step is done to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Keeper(usize),
    Entry(usize),
    AllKeepers,
    /// The proxy before a process, by the last byte of its address.
    Link(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    Blow(Blow),
    Network(Fault),
}

/// One fault: from when on, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub at_ms: u64,
    pub for_ms: u64,
    pub target: Target,
    pub act: Act,
}

impl Step {
    /// Whether callers may notice: a planned stop and a reload must cut off nothing.
    pub fn is_planned(&self) -> bool {
        matches!(self.act, Act::Blow(Blow::Stop | Blow::Reload | Blow::ReplaceAsPlanned))
    }
}

/// The schedule of a seed, in the order of time.
pub fn draw_schedule(seed: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed);
    // Some runs are all planned work, so that a planned stop is seen without other faults.
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

/// The keepers whose disks are lost when all of them end at once, after everything else.
pub fn draw_closing(seed: u64) -> [usize; 2] {
    let mut rng = SmallRng::seed_from_u64(seed);
    let first = rng.random_range(0..KEEPERS);
    [first, (first + rng.random_range(1..KEEPERS)) % KEEPERS]
}

/// A keeper, an entry host or an upstream.
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

/// Lost disks that come too soon after one another become kills.
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
