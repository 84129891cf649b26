//! Randomised runs of the log with all kinds of faults combined.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod cluster;
mod disk;
mod network;

use cluster::{Cluster, Faults};
use proptest::prelude::*;
use rstest::rstest;

/// Number of steps of a run; `CLAYPLANK_STEPS` overrides the default.
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
    let counts = cluster.counts;
    eprintln!("{names:?} seed {seed}: {counts:?}");
    assert!(counts.committed > 1_000 && counts.crashes > 10 && counts.lost_disks > 2, "{counts:?}");
    assert!(
        counts.partitions > 0
            && counts.compactions > 0
            && counts.reads > 50
            && counts.elections > 5,
        "{counts:?}"
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
