//! The bound against all orders of small cases, and against what the placement earns.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::placement_bound::{Offer, most_gained};

/// The most that any order of whole, uninterrupted reads on one engine gains: each in turn, as soon as
/// it has come, and only if it ends in time.
fn best_order(offers: &[Offer], left: &mut Vec<usize>, now_ms: f64) -> f64 {
    let mut best: f64 = 0.0;
    for position in 0..left.len() {
        let offer = offers[left[position]];
        let done_ms = now_ms.max(offer.from_ms) + offer.work_ms;
        if done_ms > offer.until_ms {
            continue;
        }
        let taken = left.remove(position);
        best = best.max(offer.gain + best_order(offers, left, done_ms));
        left.insert(position, taken);
    }
    best
}

fn draw_offer(rng: &mut SmallRng) -> Offer {
    let from_ms = 3_000.0 * rng.random::<f64>();
    let work_ms = 50.0 + 1_500.0 * rng.random::<f64>();
    let spare_ms = 2_000.0 * rng.random::<f64>();
    Offer {
        from_ms,
        until_ms: from_ms + work_ms + spare_ms,
        work_ms,
        gain: 1.0 + 10.0 * rng.random::<f64>(),
    }
}

#[test]
fn no_order_of_whole_reads_gains_more_than_the_bound() {
    let mut rng = SmallRng::seed_from_u64(7);
    let (mut reached, mut bounds) = (0.0, 0.0);
    for case in 0..300 {
        let offers: Vec<_> = (0..6).map(|_| draw_offer(&mut rng)).collect();
        let best = best_order(&offers, &mut (0..offers.len()).collect(), 0.0);
        let bound = most_gained(1.0, offers.clone());
        assert!(best <= bound + 1e-6, "case {case}: {best} of {bound}, {offers:?}");
        assert!(bound <= offers.iter().map(|offer| offer.gain).sum::<f64>() + 1e-6);
        reached += best;
        bounds += bound;
    }
    // A bound that everything stays far below would say nothing.
    assert!(reached > 0.7 * bounds, "{reached} of {bounds}");
}

#[test]
fn work_for_which_there_is_no_time_earns_in_part() {
    let offer = Offer { from_ms: 0.0, until_ms: 1_000.0, work_ms: 1_000.0, gain: 2.0 };
    let better = Offer { gain: 3.0, ..offer };
    assert_eq!(most_gained(1.0, vec![offer, better]), 3.0);
    assert_eq!(most_gained(1.5, vec![offer, better]), 4.0);
    assert_eq!(most_gained(2.0, vec![offer, better]), 5.0);
}
