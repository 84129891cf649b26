//! The placement of prompts against engines of the published cost model.
//!
//! The mix swings as the users' days do: for eleven seconds long prompts come at
//! 2.8 times their mean, then short ones at 2.45 times theirs. Nothing fails and
//! nothing is sent: what is measured is the decision alone.

use std::num::NonZero;
use std::ops::Range;

use crate::placement_bound::{Prompt, most_earned};
use crate::placement_requests::{LARGE, Mix, SIX_PLACES, SLOW_READERS, SMALL, WIDE, draw_requests};
use crate::placement_world::{Trouble, World};
use crate::placement_worth::{Account, CAUSES, LONGEST_TOKENS, late_cause, settle, size_factor};

/// Worth is also told by windows of arrival: their length, in ms, and how many a run has.
const WINDOW_MS: f64 = 2_000.0;
const WINDOWS: usize = 17;

/// Loads of the whole account, as factors of all rates.
const LOADS: [f64; 4] = [0.7, 1.0, 1.2, 1.4];

/// What is wrong with the small fleet of 18 engines, beside runs without trouble.
const TROUBLES: [(&str, Trouble); 5] = [
    ("three are slow, learned from answers alone", Trouble::Slow),
    ("three are slow, and are asked as well", Trouble::SlowAndAsked),
    ("three are limited", Trouble::Limited(3)),
    ("nine are limited", Trouble::Limited(9)),
    ("15 are limited", Trouble::Limited(15)),
];

/// Prints the share of worth that is earned, by kind, over seeds.
pub(crate) fn run(first_seed: u64, seeds: u64, only: Option<&str>) {
    let seeds = first_seed..first_seed + seeds;
    let is_asked = |mix: &&Mix| only.is_none_or(|part| mix.name.contains(part));
    for mix in [&SMALL, &LARGE, &SIX_PLACES, &SLOW_READERS, &WIDE].into_iter().filter(is_asked) {
        let names: Vec<_> = mix.kinds.iter().map(|kind| kind.name).collect();
        println!("{}:", mix.name);
        let names = names.join("  ");
        println!("load  seeds  whole  bound  {names}  worst 2 s  refused  refused again");
        for load in LOADS {
            Tally::of(mix, seeds.clone(), load, Trouble::None).print(load);
        }
    }
    let is_asked = |name: &str| only.is_none_or(|part| name.contains(part));
    for (name, trouble) in TROUBLES.into_iter().filter(|(name, _)| is_asked(name)) {
        println!("{name}:");
        Tally::of(&SMALL, seeds.clone(), 1.0, trouble).print(1.0);
    }
}

/// The prompts of a run as the bound sees them.
fn drawn_prompts(mix: &Mix, seed: u64, load: f64) -> Vec<Prompt> {
    let requests = draw_requests(mix, seed, load);
    let prompts = requests.iter().map(|request| Prompt {
        kind: request.kind,
        arrives_ms: request.first_try_ms,
        tokens: request.tokens as u64,
        factor: size_factor(mix, request),
    });
    prompts.collect()
}

/// What the runs of several seeds came to.
struct Tally {
    mix: &'static Mix,
    seeds: u64,
    whole: Account,
    /// The most that could have been earned.
    bound: f64,
    kinds: [Account; 3],
    /// Mean of the two worst windows, summed over the seeds.
    worst: f64,
    refused: u64,
    refused_again: u64,
    longest: Account,
    causes: [[u64; CAUSES.len()]; 3],
}

impl Tally {
    fn new(mix: &'static Mix, seeds: u64) -> Self {
        Self {
            mix,
            seeds,
            whole: Account::default(),
            bound: 0.0,
            kinds: Default::default(),
            worst: 0.0,
            refused: 0,
            refused_again: 0,
            longest: Account::default(),
            causes: Default::default(),
        }
    }

    /// Plays the seeds beside one another; they are added up in their order.
    fn of(mix: &'static Mix, seeds: Range<u64>, load: f64, trouble: Trouble) -> Self {
        let mut tally = Self::new(mix, seeds.end - seeds.start);
        let seeds: Vec<_> = seeds.collect();
        let threads = std::thread::available_parallelism().map_or(1, NonZero::get);
        for batch in seeds.chunks(threads) {
            let play = |seed| move || World::played(mix, draw_requests(mix, seed, load), trouble);
            let bounded = |seed| move || most_earned(mix, &drawn_prompts(mix, seed, load));
            let bounds: Vec<_> = std::thread::scope(|scope| {
                let running: Vec<_> =
                    batch.iter().map(|&seed| scope.spawn(bounded(seed))).collect();
                running.into_iter().filter_map(|thread| thread.join().ok()).collect()
            });
            tally.bound += bounds.iter().sum::<f64>();
            let worlds: Vec<_> = std::thread::scope(|scope| {
                let running: Vec<_> = batch.iter().map(|&seed| scope.spawn(play(seed))).collect();
                running.into_iter().filter_map(|thread| thread.join().ok()).collect()
            });
            worlds.iter().for_each(|world| tally.add(world));
        }
        tally
    }

    fn add(&mut self, world: &World) {
        let mut windows = [Account::default(); WINDOWS];
        for request in &world.requests {
            self.causes[request.kind][late_cause(self.mix, request) as usize] += 1;
            let (earned, owed) = settle(self.mix, request);
            if request.tokens > LONGEST_TOKENS {
                self.longest.owed += 1.0;
                self.longest.earned += f64::from(u8::from(earned > 0.0));
            }
            let window = ((request.first_try_ms / WINDOW_MS) as usize).min(WINDOWS - 1);
            for account in [&mut self.whole, &mut self.kinds[request.kind], &mut windows[window]] {
                account.earned += earned;
                account.owed += owed;
            }
        }
        let mut shares: Vec<_> = windows.iter().map(|window| window.share()).collect();
        shares.sort_by(f64::total_cmp);
        self.worst += (shares[0] + shares[1]) / 2.0;
        self.refused += world.refused;
        let again = world.requests.iter().filter(|request| request.refusals > 1);
        self.refused_again += again.count() as u64;
    }

    fn print(&self, load: f64) {
        let seeds = self.seeds;
        let kinds: Vec<_> = self.kinds.iter().map(|kind| format!("{:.3}", kind.share())).collect();
        println!(
            "{load:.1}   {seeds:5}  {:.3}  {:.3}  {}  {:.3}  {}  {}",
            self.whole.share(),
            self.bound / self.whole.owed.max(1e-9),
            kinds.join("  "),
            self.worst / seeds as f64,
            self.refused,
            self.refused_again
        );
        println!(
            "      share of the longest prompts, above {LONGEST_TOKENS} tokens, that are served: {:.2}",
            self.longest.share()
        );
        for (kind, counts) in self.mix.kinds.iter().zip(self.causes) {
            println!("      {}: {CAUSES:?} {counts:?}", kind.name);
        }
    }
}
