//! If the tolerated number of disks is lost at any step of a restart, a repair or a replacement, a
//! leader is elected, and no acknowledged command is lost.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod disk;
mod keepers;
mod network;

use keepers::{CATCH_UP_MS, Keepers};
use rstest::rstest;

/// Default number of seeds; `CLAYPLANK_LOSSES_SEEDS` overrides it.
const SEEDS: u64 = 150;

/// Time after which a leader must have been elected and all keepers vote, once all are back, in ms.
const RECOVERY_MS: u64 = 8_000;

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("CLAYPLANK_LOSSES_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(SEEDS)
}

/// Plays a random event. In half of the cases, the next event starts before the keepers have
/// recovered from this one.
fn play_event(keepers: &mut Keepers) {
    let duration_ms = keepers.draw(50..5_000);
    match keepers.draw(0..9) {
        0 => keepers.restart(duration_ms, false),
        1 => keepers.restart(duration_ms.min(1_500), false),
        2 | 3 => keepers.restart(duration_ms, true),
        4 => keepers.make_unresponsive(duration_ms, false),
        5 => keepers.make_unresponsive(duration_ms, true),
        6 => keepers.power_off_all(duration_ms.min(1_500)),
        7 => keepers.replace_unplanned(duration_ms),
        _ => keepers.replace_planned(duration_ms.max(1_000)),
    }
    let recovers = keepers.draw(0..2) == 0;
    let recovery_ms = if recovers { CATCH_UP_MS } else { 0 };
    let extra_ms = keepers.draw(0..1_500);
    keepers.run_for(recovery_ms + extra_ms);
}

fn play(count: usize, losses: usize, seed: u64) -> Result<usize, String> {
    let mut keepers = Keepers::start(count, losses, seed);
    let starts_early = keepers.draw(0..4) == 0;
    let warm_up_ms = if starts_early { keepers.draw(200..3_000) } else { 8_000 };
    keepers.run_for(warm_up_ms);
    for _ in 0..3 {
        let power_failure_ms = keepers.now_ms + keepers.draw(0..25_000);
        keepers.schedule_power_failure(power_failure_ms);
        while keepers.now_ms < power_failure_ms {
            play_event(&mut keepers);
        }
        keepers.fail_power();
        keepers.run_for(RECOVERY_MS);
        keepers.check_leader()?;
        keepers.check_all_vote()?;
    }
    Ok(keepers.acknowledged_count())
}

#[rstest]
#[case::three_keepers_one_loss(3, 1)]
#[case::five_keepers_two_losses(5, 2)]
#[case::six_keepers_two_losses(6, 2)]
fn tolerated_losses_at_any_step_leave_a_leader(#[case] count: usize, #[case] losses: usize) {
    let mut failed = Vec::new();
    let mut acknowledged = 0;
    for seed in seeds() {
        match play(count, losses, seed) {
            Ok(count) => acknowledged += count,
            Err(reason) => failed.push((seed, reason)),
        }
    }
    let failed_seeds: Vec<_> = failed.iter().map(|(seed, _)| seed).collect();
    assert!(
        failed.is_empty(),
        "{} seeds {failed_seeds:?}; the first: {}",
        failed.len(),
        failed[0].1
    );
    assert!(acknowledged > 1_000, "only {acknowledged} commands were acknowledged");
}

/// Guards against a voter that never votes. A keeper of the initial configuration that stops before
/// its log is created no longer counts as started at the system's first start when it returns. It
/// must not remain without a log, since it counts as a voter.
#[rstest]
fn initial_keeper_that_stops_before_its_log_is_created_votes_later(
    #[values("k1", "k2", "k3")] host: &str,
    #[values(3, 5)] count: usize,
) {
    for stop_ms in (0..600).step_by(4) {
        let mut keepers = Keepers::start(count, (count - 1) / 2, stop_ms);
        keepers.run_for(stop_ms);
        keepers.restart_host(host, 400, false);
        keepers.run_for(RECOVERY_MS);
        let checked = keepers.check_leader().and_then(|()| keepers.check_all_vote());
        assert!(checked.is_ok(), "stopped after {stop_ms} ms: {}", checked.unwrap_err());
    }
}
