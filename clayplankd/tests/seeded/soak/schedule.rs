//! Schedule of faults drawn from a seed.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::proxy::{Cut, Fault};

/// Period in which faults start, in ms.
pub const FAULT_PERIOD_MS: u64 = 12_000;

/// Keepers and entry hosts of a run.
pub const KEEPERS: usize = 5;
pub const ENTRIES: usize = 3;

/// Minimum time between two disk losses, in ms. The keepers have to repair the first one.
const DISK_GAP_MS: u64 = 7_000;

/// Fault of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessFault {
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
    ReplacePlanned,
    /// SIGKILL without a return; then an empty keeper starts.
    ReplaceUnplanned,
}

impl ProcessFault {
    /// Whether the fault loses a disk.
    fn loses_disk(self) -> bool {
        matches!(self, Self::LoseDisk | Self::ReplacePlanned | Self::ReplaceUnplanned)
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
pub enum Action {
    ProcessFault(ProcessFault),
    Network(Fault),
    /// A host loses its links to upstreams.
    CutOff(Cut),
}

/// One fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub start_ms: u64,
    pub duration_ms: u64,
    pub target: Target,
    pub action: Action,
}

impl Step {
    /// Whether the step ends or pauses the process of this entry host.
    pub fn disturbs_entry(&self, entry: usize) -> bool {
        self.target == Target::Entry(entry)
            && self.action != Action::ProcessFault(ProcessFault::Reload)
    }

    /// Whether the step is planned work, such as a stop or a reload, which must not interrupt any
    /// request.
    pub fn is_planned(&self) -> bool {
        matches!(
            self.action,
            Action::ProcessFault(
                ProcessFault::Stop | ProcessFault::Reload | ProcessFault::ReplacePlanned
            )
        )
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
    if !is_planned_only {
        steps.extend(draw_cuts(seed));
    }
    steps.sort_by_key(|step| step.start_ms);
    space_disk_losses(&mut steps);
    steps
}

fn draw_step(rng: &mut SmallRng, is_planned_only: bool) -> Step {
    let start_ms = rng.random_range(0..FAULT_PERIOD_MS);
    let duration_ms = rng.random_range(200..4_000);
    let keeper = Target::Keeper(rng.random_range(0..KEEPERS));
    let entry = Target::Entry(rng.random_range(0..ENTRIES));
    let kind = if is_planned_only { rng.random_range(0..3) } else { rng.random_range(0..12) };
    let (target, action) = match kind {
        0 => (keeper, Action::ProcessFault(ProcessFault::Stop)),
        1 => (entry, Action::ProcessFault(ProcessFault::Stop)),
        2 => (entry, Action::ProcessFault(ProcessFault::Reload)),
        3 => (keeper, Action::ProcessFault(ProcessFault::Kill)),
        4 => (entry, Action::ProcessFault(ProcessFault::Kill)),
        5 => (keeper, Action::ProcessFault(ProcessFault::Pause)),
        6 => (entry, Action::ProcessFault(ProcessFault::Pause)),
        7 => (keeper, Action::ProcessFault(ProcessFault::LoseDisk)),
        8 => (keeper, Action::ProcessFault(ProcessFault::FillDisk)),
        9 if rng.random_range(0..3) == 0 => {
            (Target::AllKeepers, Action::ProcessFault(ProcessFault::Kill))
        }
        _ => (draw_link(rng), Action::Network(draw_network(rng))),
    };
    Step { start_ms, duration_ms, target, action }
}

fn draw_replacement(rng: &mut SmallRng, is_planned: bool) -> Step {
    let is_planned = is_planned || rng.random_range(0..2) == 0;
    let fault =
        if is_planned { ProcessFault::ReplacePlanned } else { ProcessFault::ReplaceUnplanned };
    Step {
        start_ms: rng.random_range(0..FAULT_PERIOD_MS),
        duration_ms: rng.random_range(200..4_000),
        target: Target::Keeper(rng.random_range(0..KEEPERS)),
        action: Action::ProcessFault(fault),
    }
}

/// Entry hosts that are cut off from upstreams, most of them at once in some runs. Draws from its own
/// generator, so that the other steps of earlier seeds remain.
fn draw_cuts(seed: u64) -> Vec<Step> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x0c07_0ff0);
    let count = rng.random_range(0..4);
    let cuts = (0..count).map(|_| Step {
        start_ms: rng.random_range(0..FAULT_PERIOD_MS),
        duration_ms: rng.random_range(500..6_000),
        target: Target::Entry(rng.random_range(0..ENTRIES)),
        action: Action::CutOff(match rng.random_range(0..3) {
            0 => Cut::Silent,
            1 => Cut::Reset,
            _ => Cut::NewConnections,
        }),
    });
    cuts.collect()
}

/// The two keepers that lose their disks in the final restart.
pub fn draw_final_disk_losses(seed: u64) -> [usize; 2] {
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
        2 => Fault::BlockInbound,
        3 => Fault::BlockOutbound,
        _ => Fault::Blackhole,
    }
}

/// Replaces disk losses by kills where they follow too closely.
fn space_disk_losses(steps: &mut [Step]) {
    let mut last_ms = None;
    let loses_disk =
        |step: &&mut Step| matches!(step.action, Action::ProcessFault(fault) if fault.loses_disk());
    for step in steps.iter_mut().filter(loses_disk) {
        let is_soon = last_ms.is_some_and(|last_ms| step.start_ms < last_ms + DISK_GAP_MS);
        if is_soon {
            step.action = Action::ProcessFault(ProcessFault::Kill);
        } else {
            last_ms = Some(step.start_ms + step.duration_ms);
        }
    }
}
