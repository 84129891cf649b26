//! Log lines of the decisions of a placing keeper.

use clayplank_placement::{Fleet, PlacementOutcome, PlacementRequest};

use crate::process::line_limit::LineLimit;
use crate::process::logging::log_target;

/// Maximum number of lines on prompts with queue terms for each second. On the heaviest day that the
/// queue was designed for, about 60 prompts are refused in a second.
const MAX_LINES_PER_S: u64 = 100;

/// Writes one line for each decision on a prompt that is or was queued, up to a limit.
pub(crate) struct DecisionLog {
    limit: LineLimit,
}

impl Default for DecisionLog {
    fn default() -> Self {
        Self { limit: LineLimit::new(MAX_LINES_PER_S) }
    }
}

impl DecisionLog {
    /// Logs that a prompt was queued, or the decision on a queued prompt, with the figures that
    /// decided.
    pub(crate) fn log_queue_decision(
        &mut self,
        now_ms: f64,
        fleet: &Fleet,
        request: &PlacementRequest,
        outcome: &PlacementOutcome,
    ) {
        let Some(suppressed) = self.limit.permit(now_ms as u64) else {
            return;
        };
        // `in_ms` is the expected time to the first token, to the next try, to the caller's return
        // or to the decision.
        let (message, engine, in_ms) = match outcome {
            PlacementOutcome::At(assignment) => {
                let engine = assignment.engine.as_str();
                ("Placed a queued prompt", engine, assignment.first_token_ms as u64)
            }
            PlacementOutcome::Soon { again_in_ms } => {
                ("Deferred a queued prompt", "", *again_in_ms)
            }
            PlacementOutcome::Full { retry_after_ms } => {
                ("Refused a queued prompt", "", *retry_after_ms)
            }
            PlacementOutcome::Queued { expected_ms } => ("Queued a prompt", "", *expected_ms),
        };
        let terms = request.queue_terms.as_ref();
        let capacity = fleet.capacity(now_ms, &request.pool);
        log::info!(target: log_target::KEEPER,
            fingerprint = terms.map(|one| one.fingerprint.to_string()).unwrap_or_default(),
            account = terms.map_or("", |one| one.account.as_str()),
            rank = terms.map_or(0, |one| one.rank), host = request.id.host,
            number = request.id.number, prompt_tokens = request.prompt_tokens, engine = engine,
            in_ms = in_ms, waited_ms = request.waited_ms as u64, goal_ms = request.goal_ms as u64,
            limit_ms = request.limit_ms as u64,
            deadline_ms = terms.map_or(0, |one| one.deadline_ms as u64),
            engines = capacity.engines, slots = capacity.slots, free_slots = capacity.free_slots,
            queued_prefill_ms = capacity.queued_prefill_ms as u64, suppressed = suppressed;
            "{message}");
    }

    /// Logs that an arriving prompt was refused. Lines on prompts that may be queued are limited.
    pub(crate) fn log_rejection(
        &mut self,
        now_ms: f64,
        fleet: &Fleet,
        request: &PlacementRequest,
        retry_after_ms: u64,
    ) {
        let suppressed = match request.queue_terms {
            Some(_) => self.limit.permit(now_ms as u64),
            None => Some(0),
        };
        let Some(suppressed) = suppressed else {
            return;
        };
        let since_first_try_ms = fleet.since_first_try_ms(request);
        let summary = fleet.pool_summary(now_ms, &request.pool);
        log::info!(target: log_target::KEEPER,
            prompt_tokens = request.prompt_tokens, since_first_try_ms = since_first_try_ms as u64,
            retry_after_ms = retry_after_ms, engines = summary.engines,
            taken_slots = summary.taken_slots, helped_parts = summary.helped_parts,
            queued_ms = summary.queued_ms as u64, slowness = summary.slowness,
            avoided = summary.avoided, unreached = summary.unreached, doubtful = summary.doubtful,
            suppressed = suppressed;
            "Rejected a prompt: the pool has no capacity");
    }
}
