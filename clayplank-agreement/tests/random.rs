//! Long randomised runs of the log under all faults at once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod cluster;
mod disk;
mod network;

use cluster::{Cluster, Faults};
use proptest::prelude::*;
use rstest::rstest;

/// Steps of a run; `CLAYPLANK_STEPS` asks for longer ones.
fn steps() -> u64 {
    std::env::var("CLAYPLANK_STEPS").ok().and_then(|text| text.parse().ok()).unwrap_or(100_000)
}

#[rstest]
#[case::three(&["a", "b", "c"])]
#[case::five(&["a", "b", "c", "d", "e"])]
fn no_committed_entry_is_lost_or_replaced(#[case] names: &[&str], #[values(1, 2)] seed: u64) {
    let mut cluster = Cluster::new(names, seed, Faults::All);
    cluster.run(steps() / 4);
    cluster.settle();
    cluster.check_all_agree();
    let tally = cluster.tally;
    eprintln!("{names:?} seed {seed}: {tally:?}");
    assert!(tally.committed > 1_000 && tally.crashes > 10 && tally.lost_disks > 2, "{tally:?}");
    assert!(
        tally.cuts > 0 && tally.compactions > 0 && tally.reads > 50 && tally.elections > 5,
        "{tally:?}"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, max_shrink_iters: 0, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn short_runs_from_any_seed_agree(seed in any::<u64>()) {
        let mut cluster = Cluster::new(&["a", "b", "c"], seed, Faults::All);
        cluster.run(4_000);
        cluster.settle();
        cluster.check_all_agree();
    }
}
