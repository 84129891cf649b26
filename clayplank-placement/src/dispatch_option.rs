//! Finds the best engines for a given number of parts of one prompt.

use crate::candidate::{Candidate, assess};
use crate::losses::{Exposure, prompt_loss};
use crate::open_engine::OpenEngine;
use crate::request::{Assignment, HelperPart, PlacementRequest};

/// Loss for each helper, so that small gains do not use more engines.
const PART_LOSS: f64 = 0.01;

/// A possible assignment for a prompt, with its losses.
pub(crate) struct DispatchOption {
    pub(crate) assignment: Assignment,
    /// Loss of the prompt itself by its wait and by the failure risk of its primary engine.
    pub(crate) prompt_loss: f64,
    /// Loss and risk that it causes to other requests.
    pub(crate) harm: f64,
    /// Estimated time for which it occupies a slot, in ms: until the first token and for the stream
    /// after it.
    pub(crate) slot_ms: f64,
}

impl DispatchOption {
    pub(crate) fn loss(&self) -> f64 {
        self.prompt_loss + self.harm
    }
}

/// Finds the option with the smallest loss for a number of parts.
pub(crate) fn choose_parts(
    exposure: Exposure,
    open: &[OpenEngine<'_>],
    now_ms: f64,
    request: &PlacementRequest,
    parts: usize,
) -> Option<DispatchOption> {
    let mut candidates: Vec<_> =
        open.iter().map(|one| assess(exposure, one, now_ms, request, parts)).collect();
    candidates.retain(|one| one.has_slot || one.engine.helper_parts() < one.max_helper_parts());
    let is_unsplit = parts == 1;
    let score = |one: &Candidate<'_>| {
        let exposure = if is_unsplit { one.exposure } else { 0.0 };
        one.harm + exposure + prompt_loss(request, one.prefilled_in_ms)
    };
    candidates.sort_by(|left, right| score(left).total_cmp(&score(right)));
    let able = candidates.iter().enumerate().filter(|(_, one)| one.has_slot && one.fits(request));
    let cost = |one: &Candidate<'_>| score(one) + one.risk;
    let first = able.min_by(|(_, left), (_, right)| cost(left).total_cmp(&cost(right)));
    let first = match first {
        Some((first, _)) => first,
        None => return choose_with_reservations(candidates, request, parts),
    };
    let primary = candidates.remove(first);
    let chosen: Vec<_> = candidates.into_iter().take(parts - 1).collect();
    let helpers = chosen.iter().map(|one| HelperPart { engine: one.id.clone(), reserve_tokens: 0 });
    let helpers = helpers.collect();
    Some(assemble(request, &primary, &chosen, helpers))
}

/// Finds an option for a prompt that exceeds the free memory of every single engine. Helpers
/// reserve the memory that the primary engine lacks.
fn choose_with_reservations(
    mut candidates: Vec<Candidate<'_>>,
    request: &PlacementRequest,
    parts: usize,
) -> Option<DispatchOption> {
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
    let even_share = request.memory_tokens().div_ceil(parts as u64);
    let primary_tokens = even_share.max(request.output_tokens).min(primary.memory_usable());
    let mut missing = request.memory_tokens().saturating_sub(primary_tokens);
    // Candidates are sorted by cost; only those that can reserve memory remain.
    candidates
        .retain(|one| one.may_reserve() && one.engine.helper_parts() < one.max_helper_parts());
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
        helpers.push(HelperPart { engine: candidate.id.clone(), reserve_tokens: tokens });
        chosen.push(candidate);
    }
    (missing == 0).then(|| assemble(request, &primary, &chosen, helpers))
}

fn assemble(
    request: &PlacementRequest,
    primary: &Candidate<'_>,
    chosen: &[Candidate<'_>],
    helpers: Vec<HelperPart>,
) -> DispatchOption {
    let prefilled_in_ms = chosen
        .iter()
        .fold(primary.prefilled_in_ms, |longest, one| longest.max(one.prefilled_in_ms));
    let first_token_ms = prefilled_in_ms + primary.engine.pass_ms();
    let part_harm: f64 = primary.harm + chosen.iter().map(|one| one.harm).sum::<f64>();
    DispatchOption {
        prompt_loss: prompt_loss(request, first_token_ms) + primary.risk,
        harm: part_harm + primary.exposure + PART_LOSS * chosen.len() as f64,
        slot_ms: first_token_ms + primary.engine.decode_ms(request.output_tokens),
        assignment: Assignment { engine: primary.id.clone(), helpers, first_token_ms },
    }
}
