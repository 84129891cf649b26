//! Engines that lose a part of their answers, among others that lose none: a load is played, and what
//! its callers meet is counted.

mod common;

use clayplank_placement::{Ask, EngineModel, Event, Fleet, Placed, PlacementId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::common::{engine, with_engines};

/// Engines, and how many of them lose answers.
const ENGINES: usize = 60;
const LOSING: usize = 36;

/// Share of their answers that these lose.
const LOST_SHARE: f64 = 0.4;

/// Between two prompts, and until a lost or a whole answer is known, in ms.
const GAP_MS: f64 = 20.0;
const FIRST_TOKEN_MS: f64 = 100.0;
const ANSWER_MS: f64 = 1_600.0;

/// From when on engines lose answers, how long, and until when prompts come, in ms.
const LOSES_FROM_MS: f64 = 2_000.0;
const LOSES_UNTIL_MS: f64 = 14_000.0;
const END_MS: f64 = 28_000.0;

fn fleet() -> Fleet {
    with_engines(Fleet::default(), ENGINES, &EngineModel::default())
}

/// What happened in a run.
#[derive(Debug, Default)]
struct Played {
    /// Prompts that came while engines lost answers, and those of them that met a loss.
    asked: u32,
    lost: u32,
    /// Prompts of the last seconds, and those that went to engines that had lost answers before.
    asked_last: u32,
    on_recovered: u32,
}

/// Plays short prompts; what becomes of each is told to the fleet when a host would know it.
fn play(seed: u64) -> Played {
    let mut fleet = fleet();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut news: Vec<(f64, PlacementId, Event)> = Vec::new();
    let mut played = Played::default();
    for number in 0..(END_MS / GAP_MS) as u64 {
        let now_ms = number as f64 * GAP_MS;
        news.sort_by(|left, right| right.0.total_cmp(&left.0));
        while let Some((at_ms, id, event)) = news.pop_if(|one| one.0 <= now_ms) {
            fleet.note(at_ms, id, event);
        }
        let id = PlacementId { host: 1, number };
        let mut ask = Ask::new(id, "main", 5_000, 300.0);
        ask.pause_goal_ms = 250.0;
        let Placed::At(assignment) = fleet.place(now_ms, &ask) else {
            panic!("an engine is free");
        };
        let is_losing = (0..LOSING).any(|number| engine(number) == assignment.engine);
        let in_trouble = (LOSES_FROM_MS..LOSES_UNTIL_MS).contains(&now_ms);
        let is_lost = in_trouble && is_losing && rng.random::<f64>() < LOST_SHARE;
        if is_lost {
            news.push((now_ms + FIRST_TOKEN_MS, id, Event::Broken));
        } else {
            let started = Event::Started { took_ms: FIRST_TOKEN_MS };
            news.push((now_ms + FIRST_TOKEN_MS, id, started));
            news.push((now_ms + ANSWER_MS, id, Event::Ended));
        }
        played.asked += u32::from(in_trouble);
        played.lost += u32::from(is_lost);
        let is_last = now_ms > END_MS - 4_000.0;
        played.asked_last += u32::from(is_last);
        played.on_recovered += u32::from(is_last && is_losing);
    }
    played
}

/// Chosen at random, 144 of the 600 prompts of a run would meet a loss. An engine has to lose one
/// before it is known, and may lose one more when it is tried again after some seconds: twice as many
/// losses as engines that lose answers, at most.
#[test]
fn few_prompts_go_to_engines_that_lose_answers() {
    let runs: Vec<_> = (1..=5).map(play).collect();
    for run in runs {
        let (lost, asked) = (run.lost, run.asked);
        assert!(lost <= 2 * LOSING as u32, "{lost} of {asked} prompts met a lost answer");
    }
}

/// Ten seconds after the last loss they take work again.
#[test]
fn engines_that_lose_answers_no_more_are_used_again() {
    let runs: Vec<_> = (1..=5).map(play).collect();
    let asked: u32 = runs.iter().map(|run| run.asked_last).sum();
    let on_recovered: u32 = runs.iter().map(|run| run.on_recovered).sum();
    assert!(on_recovered * 3 >= asked, "{on_recovered} of {asked} prompts");
}
