//! The best engines for a number of parts of one prompt.

use crate::ask::{Ask, Assignment, Part};
use crate::candidate::{Candidate, Open, weigh};
use crate::costs::{Exposure, own_loss};

/// Loss for each further engine that reads, so that small gains take no more engines.
const PART_LOSS: f64 = 0.01;

/// A way to serve a prompt, and what is lost by it.
pub(crate) struct Way {
    pub(crate) assignment: Assignment,
    /// What the prompt itself loses by its wait, and by what its engine may fail.
    pub(crate) own_loss: f64,
    /// What others lose or risk by it.
    pub(crate) harm: f64,
    /// How long it takes a place, as far as can be told: until its first token, and for its events.
    pub(crate) held_ms: f64,
}

impl Way {
    pub(crate) fn loss(&self) -> f64 {
        self.own_loss + self.harm
    }
}

/// The way with a number of parts that loses least.
pub(crate) fn choose_parts(
    exposure: Exposure,
    open: &[Open<'_>],
    now_ms: f64,
    ask: &Ask,
    parts: usize,
) -> Option<Way> {
    let mut candidates: Vec<_> =
        open.iter().map(|one| weigh(exposure, one, now_ms, ask, parts)).collect();
    candidates.retain(|one| one.has_slot || one.engine.helped() < one.max_helped());
    let is_whole = parts == 1;
    let score = |one: &Candidate<'_>| {
        let exposure = if is_whole { one.exposure } else { 0.0 };
        one.harm + exposure + own_loss(ask, one.read_ms)
    };
    candidates.sort_by(|left, right| score(left).total_cmp(&score(right)));
    let able = candidates.iter().enumerate().filter(|(_, one)| one.has_slot && one.fits(ask));
    let cost = |one: &Candidate<'_>| score(one) + one.risk;
    let first = able.min_by(|(_, left), (_, right)| cost(left).total_cmp(&cost(right)));
    let first = match first {
        Some((first, _)) => first,
        None => return choose_with_memory(candidates, ask, parts),
    };
    let primary = candidates.remove(first);
    let chosen: Vec<_> = candidates.into_iter().take(parts - 1).collect();
    let helpers = chosen.iter().map(|one| Part { engine: one.id.clone(), reserve_tokens: 0 });
    let helpers = helpers.collect();
    Some(assemble(ask, &primary, &chosen, helpers))
}

/// No single engine has the memory: helpers hold what does not fit at the first.
fn choose_with_memory(mut candidates: Vec<Candidate<'_>>, ask: &Ask, parts: usize) -> Option<Way> {
    if parts < 2 {
        return None;
    }
    let first = candidates
        .iter()
        .enumerate()
        .filter(|(_, one)| one.has_slot)
        .max_by_key(|(_, one)| one.memory_free)
        .map(|(position, _)| position)?;
    let primary = candidates.remove(first);
    let spread = ask.memory_tokens().div_ceil(parts as u64);
    let own_tokens = spread.max(ask.output_tokens).min(primary.memory_usable());
    let mut missing = ask.memory_tokens().saturating_sub(own_tokens);
    // Most memory first among those that cost about the same.
    candidates.retain(|one| one.may_hold() && one.engine.helped() < one.max_helped());
    let mut chosen = Vec::new();
    let mut helpers = Vec::new();
    let share = missing.div_ceil(parts as u64 - 1);
    for candidate in candidates {
        if chosen.len() + 1 == parts {
            break;
        }
        let tokens = share.min(missing);
        if candidate.memory_usable() < tokens {
            continue;
        }
        missing -= tokens;
        helpers.push(Part { engine: candidate.id.clone(), reserve_tokens: tokens });
        chosen.push(candidate);
    }
    (missing == 0).then(|| assemble(ask, &primary, &chosen, helpers))
}

fn assemble(
    ask: &Ask,
    primary: &Candidate<'_>,
    chosen: &[Candidate<'_>],
    helpers: Vec<Part>,
) -> Way {
    let read_ms = chosen.iter().fold(primary.read_ms, |longest, one| longest.max(one.read_ms));
    let first_token_ms = read_ms + primary.engine.pass_ms();
    let part_harm: f64 = primary.harm + chosen.iter().map(|one| one.harm).sum::<f64>();
    Way {
        own_loss: own_loss(ask, first_token_ms) + primary.risk,
        harm: part_harm + primary.exposure + PART_LOSS * chosen.len() as f64,
        held_ms: first_token_ms + primary.engine.write_ms(ask.output_tokens),
        assignment: Assignment { engine: primary.id.clone(), helpers, first_token_ms },
    }
}
