//! Chooses the upstream of an attempt, and has memory set aside where it is needed.

use std::net::SocketAddr;

use clayplank_placement::{Ask, Assignment, Event, PASSED_GOAL_MS, Part, Placed};
use clayplank_registry::Record;

use crate::call::Call;
use crate::clock::millis;
use crate::load::LoadGuard;
use crate::refusal::Refusal;
use crate::reserve::{Reservation, Ticket};

/// When to come back if no upstream is known, in ms: about a heartbeat of upstreams.
pub(crate) const NO_UPSTREAM_RETRY_MS: u64 = 1_500;

/// The least time, in ms, after which engines that are full are worth another try.
const FULL_RETRY_MS: u64 = 700;

/// Between two tries to place a stream that has begun and has to go on, in ms.
const FULL_PAUSE_MS: u64 = 40;

/// An upstream that was chosen for an attempt.
pub(crate) struct Chosen {
    pub(crate) record: Record,
    pub(crate) helpers: String,
    pub(crate) expected_ms: f64,
    pub(crate) load: LoadGuard,
}

/// An engine that reads a part of a prompt, and may hold a part of its memory.
struct Helper {
    address: SocketAddr,
    ticket: Option<Ticket>,
}

impl std::fmt::Display for Helper {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.ticket {
            Some(ticket) => write!(f, "{}/{}", self.address, ticket.name),
            None => write!(f, "{}", self.address),
        }
    }
}

impl Call {
    /// Chooses an upstream for the next attempt.
    pub(crate) async fn choose(&self) -> Result<Chosen, Refusal> {
        if self.is_engine { self.choose_engine().await } else { self.choose_service().await }
    }

    /// A request that cannot be served in time is told so at once. What is held asks again; it is
    /// told so only where it is expected in time.
    async fn choose_engine(&self) -> Result<Chosen, Refusal> {
        let mut held_ms = 0;
        loop {
            let ask = self.ask();
            let placed = self.entry.placer.place(&ask).await;
            if held_ms > 0 && !ask.has_begun && !matches!(placed, Placed::Soon { .. }) {
                self.tell_held(held_ms, &placed);
            }
            let pause_ms = match placed {
                Placed::At(assignment) => return self.take_assignment(&ask, &assignment).await,
                Placed::Soon { again_in_ms } => again_in_ms.min(self.patience().as_millis() as u64),
                // Its stream has begun: it is not refused, but goes on or breaks off.
                Placed::Full { .. } if ask.has_begun && !self.patience().is_zero() => FULL_PAUSE_MS,
                Placed::Full { retry_after_ms } => {
                    let retry_after_ms = retry_after_ms.max(FULL_RETRY_MS);
                    return Err(Refusal::NotRun { retry_after_ms });
                }
            };
            clayplank_clock::sleep(millis(pause_ms)).await;
            held_ms += pause_ms;
        }
    }

    /// Tells once that a request was held, and what became of it.
    fn tell_held(&self, held_ms: u64, placed: &Placed) {
        let is_placed = matches!(placed, Placed::At(_));
        log::info!(target: "forward",
            request = self.facts.attempt_id, held_ms = held_ms, placed = is_placed,
            prompt_tokens = self.facts.prompt_tokens;
            "Was held before engines were chosen");
    }

    /// What the placement has to know of this request.
    fn ask(&self) -> Ask {
        let pause_goal_ms = self.pause_goal_ms() as f64;
        let has_begun = self.waits_since.is_some();
        let goal_ms = if has_begun { pause_goal_ms } else { self.route.goal_ms as f64 };
        let waited_ms = self.waited().as_secs_f64() * 1e3;
        let mut ask = Ask::new(
            self.entry.placer.next_id(),
            &self.service,
            self.facts.prompt_tokens,
            (goal_ms - waited_ms).max(PASSED_GOAL_MS),
        );
        ask.waited_ms = waited_ms;
        ask.output_tokens = self.facts.output_tokens;
        ask.limit_ms = self.patience().as_secs_f64() * 1e3;
        ask.pause_goal_ms = pause_goal_ms;
        ask.has_begun = has_begun;
        ask.data_centre = self.entry.data_centre.clone();
        ask.avoid = [self.tried.as_slice(), &self.unfit_helpers].concat();
        ask.is_returning = !ask.avoid.is_empty();
        ask.route = self.route.name.clone();
        ask.route_limit_ms = self.route.time_limit_ms as f64;
        ask.sent_limit_ms = self.facts.deadline_ms.unwrap_or(self.route.time_limit_ms) as f64;
        ask
    }

    /// Makes an assignment ready to be used: its engine, its load, and memory at helpers.
    async fn take_assignment(&self, ask: &Ask, assignment: &Assignment) -> Result<Chosen, Refusal> {
        let gone = Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS };
        let Some(record) = self.usable_record(assignment) else {
            self.entry.placer.note(ask.id, Event::Ended);
            return Err(gone);
        };
        let mut load = LoadGuard::new(&self.entry, &record.heartbeat.id, Some(ask.id));
        load.set_helpers(assignment.helpers.iter().map(|part| part.engine.clone()).collect());
        let helpers = self.helpers(ask, assignment);
        self.reserve(&mut load, &helpers).await.ok_or(gone)?;
        let helpers = helpers.iter().map(Helper::to_string).collect::<Vec<_>>().join(",");
        Ok(Chosen { record, helpers, expected_ms: assignment.first_token_ms, load })
    }

    /// The engine of an assignment, if it and all that would help it take new work: the keeper may
    /// know of a cordon later than this host.
    fn usable_record(&self, assignment: &Assignment) -> Option<Record> {
        let directory = &self.entry.directory;
        let is_cordoned = |part: &Part| directory.is_cordoned(&part.engine);
        let is_usable = !assignment.helpers.iter().any(is_cordoned);
        directory.usable_record(&assignment.engine).filter(|_| is_usable)
    }

    /// Has memory set aside at helpers for as long as the attempt; `None` if one has no room.
    async fn reserve(&self, load: &mut LoadGuard, helpers: &[Helper]) -> Option<()> {
        let tickets: Vec<_> = helpers.iter().filter_map(|helper| helper.ticket.clone()).collect();
        if !tickets.is_empty() {
            let orders = self.entry.orders.clone()?;
            load.hold(Reservation::make(orders, tickets).await?);
        }
        Some(())
    }

    /// The engines that read with the first one, each with its ticket if it holds memory.
    fn helpers(&self, ask: &Ask, assignment: &Assignment) -> Vec<Helper> {
        let parts = assignment.helpers.iter().enumerate();
        let helpers = parts.filter_map(|(number, part)| {
            let address = self.entry.directory.record(&part.engine)?.heartbeat.address;
            let ticket = (part.reserve_tokens > 0).then(|| Ticket {
                address,
                name: format!("{:x}-{:x}-{number}", ask.id.host, ask.id.number),
                tokens: part.reserve_tokens,
            });
            Some(Helper { address, ticket })
        });
        helpers.collect()
    }
}
