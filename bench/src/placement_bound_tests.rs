//! Tests of the bound: it is not below the best order of any small case, which is found by trying all.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::placement_bound::{Job, max_gain};

/// Maximum gain over all orders of complete, non-preemptive jobs on one engine. Each starts once it is
/// released and the previous one has ended, and is left out if it would miss its deadline.
fn best_order(jobs: &[Job], left: &mut Vec<usize>, now_ms: f64) -> f64 {
    let mut best: f64 = 0.0;
    for position in 0..left.len() {
        let job = jobs[left[position]];
        let done_ms = now_ms.max(job.release_ms) + job.work_ms;
        if done_ms > job.deadline_ms {
            continue;
        }
        let taken = left.remove(position);
        best = best.max(job.gain + best_order(jobs, left, done_ms));
        left.insert(position, taken);
    }
    best
}

fn sample_job(rng: &mut SmallRng) -> Job {
    let release_ms = 3_000.0 * rng.random::<f64>();
    let work_ms = 50.0 + 1_500.0 * rng.random::<f64>();
    let slack_ms = 2_000.0 * rng.random::<f64>();
    Job {
        release_ms,
        deadline_ms: release_ms + work_ms + slack_ms,
        work_ms,
        gain: 1.0 + 10.0 * rng.random::<f64>(),
    }
}

#[test]
fn bound_is_not_below_best_order_of_complete_jobs() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut best_total, mut bound_total) = (0.0, 0.0);
    for case in 0..300 {
        let jobs: Vec<_> = (0..6).map(|_| sample_job(&mut rng)).collect();
        let best = best_order(&jobs, &mut (0..jobs.len()).collect(), 0.0);
        let bound = max_gain(1.0, jobs.clone());
        assert!(best <= bound + 1e-6, "case {case}: {best} of {bound}, {jobs:?}");
        assert!(bound <= jobs.iter().map(|job| job.gain).sum::<f64>() + 1e-6);
        best_total += best;
        bound_total += bound;
    }
    // A bound far above the best order would be useless.
    assert!(best_total > 0.7 * bound_total, "{best_total} of {bound_total}");
}

#[test]
fn jobs_that_do_not_fit_earn_in_proportion() {
    let job = Job { release_ms: 0.0, deadline_ms: 1_000.0, work_ms: 1_000.0, gain: 2.0 };
    let better = Job { gain: 3.0, ..job };
    assert_eq!(max_gain(1.0, vec![job, better]), 3.0);
    assert_eq!(max_gain(1.5, vec![job, better]), 4.0);
    assert_eq!(max_gain(2.0, vec![job, better]), 5.0);
}
