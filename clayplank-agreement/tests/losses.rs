//! At any step of a restart, a repair or a replacement, the losses that are tolerated leave a
//! leader, and all that was acknowledged.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod disk;
mod keepers;
mod network;

use keepers::{CATCH_UP_MS, Keepers};
use rstest::rstest;

/// Seeds of a usual run; `CLAYPLANK_LOSSES_SEEDS` asks for more.
const SEEDS: u64 = 150;

/// Time in which service is to be back after all have come back, in ms.
const RECOVERY_MS: u64 = 8_000;

fn seeds() -> std::ops::Range<u64> {
    let count = std::env::var("CLAYPLANK_LOSSES_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(SEEDS)
}

/// One thing that happens to keepers; some begin before the former ones are repaired.
fn play_event(keepers: &mut Keepers) {
    let long_ms = keepers.draw(50..5_000);
    match keepers.draw(0..9) {
        0 => keepers.restart(long_ms, false),
        1 => keepers.restart(long_ms.min(1_500), false),
        2 | 3 => keepers.restart(long_ms, true),
        4 => keepers.silence(long_ms, false),
        5 => keepers.silence(long_ms, true),
        6 => keepers.power_off_all(long_ms.min(1_500)),
        7 => keepers.replace_suddenly(long_ms),
        _ => keepers.replace_as_planned(long_ms.max(1_000)),
    }
    let is_calm = keepers.draw(0..2) == 0;
    let rest_ms = if is_calm { CATCH_UP_MS } else { 0 };
    let more_ms = keepers.draw(0..1_500);
    keepers.run_for(rest_ms + more_ms);
}

fn play(count: usize, losses: usize, seed: u64) -> Result<usize, String> {
    let mut keepers = Keepers::start(count, losses, seed);
    let begins_early = keepers.draw(0..4) == 0;
    let first_ms = if begins_early { keepers.draw(200..3_000) } else { 8_000 };
    keepers.run_for(first_ms);
    for _ in 0..3 {
        let strike_ms = keepers.now_ms + keepers.draw(0..25_000);
        keepers.strike_at(strike_ms);
        while keepers.now_ms < strike_ms {
            play_event(&mut keepers);
        }
        keepers.strike();
        keepers.run_for(RECOVERY_MS);
        keepers.check_led()?;
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
            Err(why) => failed.push((seed, why)),
        }
    }
    let numbers: Vec<_> = failed.iter().map(|(seed, _)| seed).collect();
    assert!(failed.is_empty(), "{} seeds {numbers:?}; the first: {}", failed.len(), failed[0].1);
    assert!(acknowledged > 1_000, "only {acknowledged} commands were acknowledged");
}

/// A keeper that is named in the first configuration, but ended before it had begun its log, is
/// no longer told that this is the first start when it comes back: it would stay blank for good,
/// and count as a voter.
#[rstest]
fn a_first_keeper_that_ends_before_its_log_begins_votes_later(
    #[values("k1", "k2", "k3")] host: &str,
    #[values(3, 5)] count: usize,
) {
    for at_ms in (0..600).step_by(4) {
        let mut keepers = Keepers::start(count, (count - 1) / 2, at_ms);
        keepers.run_for(at_ms);
        keepers.restart_host(host, 400, false);
        keepers.run_for(RECOVERY_MS);
        let checked = keepers.check_led().and_then(|()| keepers.check_all_vote());
        assert!(checked.is_ok(), "ended after {at_ms} ms: {}", checked.unwrap_err());
    }
}
