//! The placement of prompts against engines of the published cost model.
//!
//! The mix swings as the users' days do: for eleven seconds long prompts come at
//! 2.8 times their mean, then short ones at 2.45 times theirs. Nothing fails and
//! nothing is sent: what is measured is the decision alone.

use crate::placement_requests::{KINDS, draw_requests};
use crate::placement_world::{Trouble, World};
use crate::placement_worth::{Account, CAUSES, LONGEST_TOKENS, late_cause, settle};

/// Worth is also told by windows of arrival: their length, in ms, and how many a run has.
const WINDOW_MS: f64 = 2_000.0;
const WINDOWS: usize = 17;

/// Prints the share of worth that is earned, by kind, over seeds.
pub(crate) fn run(first_seed: u64, seeds: u64) {
    println!("load  seeds  whole  short  medium  long  worst 2 s  refused");
    for load in [1.0, 1.2, 1.4] {
        Tally::of(first_seed..first_seed + seeds, load, Trouble::None).print(load, seeds);
    }
    println!("three slow engines, learned from answers alone, then asked as well:");
    for trouble in [Trouble::Slow, Trouble::SlowAndAsked] {
        Tally::of(first_seed..first_seed + seeds, 1.0, trouble).print(1.0, seeds);
    }
    let names: Vec<_> = KINDS.iter().map(|kind| kind.name).collect();
    println!("kinds in order: {}", names.join(", "));
}

/// What the runs of several seeds came to.
#[derive(Default)]
struct Tally {
    whole: Account,
    kinds: [Account; KINDS.len()],
    /// Mean of the two worst windows, summed over the seeds.
    worst: f64,
    refused: u64,
    longest: Account,
    causes: [[u64; CAUSES.len()]; KINDS.len()],
}

impl Tally {
    fn of(seeds: std::ops::Range<u64>, load: f64, trouble: Trouble) -> Self {
        let mut tally = Self::default();
        for seed in seeds {
            let mut world = World::new(draw_requests(seed, load), trouble);
            world.run();
            tally.add(&world);
        }
        tally
    }

    fn add(&mut self, world: &World) {
        let mut windows = [Account::default(); WINDOWS];
        for request in &world.requests {
            self.causes[request.kind][late_cause(request) as usize] += 1;
            let (earned, owed) = settle(request);
            if request.tokens > LONGEST_TOKENS {
                self.longest.owed += 1.0;
                self.longest.earned += f64::from(u8::from(earned > 0.0));
            }
            let window = ((request.arrives_ms / WINDOW_MS) as usize).min(WINDOWS - 1);
            for account in [&mut self.whole, &mut self.kinds[request.kind], &mut windows[window]] {
                account.earned += earned;
                account.owed += owed;
            }
        }
        let mut shares: Vec<_> = windows.iter().map(|window| window.share()).collect();
        shares.sort_by(f64::total_cmp);
        self.worst += (shares[0] + shares[1]) / 2.0;
        self.refused += world.refused;
    }

    fn print(&self, load: f64, seeds: u64) {
        let kinds: Vec<_> = self.kinds.iter().map(|kind| format!("{:.3}", kind.share())).collect();
        println!(
            "{load:.1}   {seeds:5}  {:.3}  {}  {:.3}  {}",
            self.whole.share(),
            kinds.join("  "),
            self.worst / seeds as f64,
            self.refused
        );
        println!(
            "      share of the longest prompts, above {LONGEST_TOKENS} tokens, that are served: {:.2}",
            self.longest.share()
        );
        for (kind, counts) in KINDS.iter().zip(self.causes) {
            println!("      {}: {CAUSES:?} {counts:?}", kind.name);
        }
    }
}
