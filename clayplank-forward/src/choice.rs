//! Chooses the upstream of an attempt, and has memory set aside where it is needed.

use std::net::SocketAddr;

use clayplank_placement::{Ask, Assignment, Event, Placed};
use clayplank_registry::{Record, Standing};

use crate::call::Call;
use crate::clock::millis;
use crate::load::LoadGuard;
use crate::refusal::Refusal;
use crate::reserve::{Reservation, Ticket};

/// When to come back if no upstream is known, in ms: about a heartbeat of upstreams.
const NO_UPSTREAM_RETRY_MS: u64 = 1_500;

/// The least time, in ms, after which engines that are full are worth another try.
const FULL_RETRY_MS: u64 = 700;

/// Share of its goal for which a request waits for engines that are full; slots come
/// free within some tens of ms, and a refusal after that comes too late to be of use.
const FULL_WAIT_SHARE: f64 = 0.22;

/// Between two tries to place a request that waits, in ms.
const FULL_PAUSE_MS: u64 = 15;

/// An event stream whose route has no goal for pauses is given this one, in ms.
const USUAL_PAUSE_GOAL_MS: u64 = 1_000;

/// A caller that has less than this share of its route's time has spent the rest on
/// an attempt that was refused.
const RETURNING_SHARE: f64 = 0.93;

/// Callers give a stream up after this many goals,
const PATIENCE_GOALS: f64 = 4.0;

/// or after this many pause goals, whichever is later.
const PATIENCE_PAUSE_GOALS: f64 = 8.0;

/// Callers of streams wait this long at least, in ms.
const MIN_PATIENCE_MS: f64 = 2_000.0;

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
        if self.is_engine { self.choose_engine().await } else { self.choose_service() }
    }

    fn choose_service(&self) -> Result<Chosen, Refusal> {
        let entry = &self.entry;
        let record = entry
            .directory
            .choose(&self.service, &entry.data_centre, &self.tried)
            .ok_or(Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS })?;
        let load = LoadGuard::new(entry, &record.heartbeat.id, None);
        Ok(Chosen { record, helpers: String::new(), expected_ms: 0.0, load })
    }

    async fn choose_engine(&self) -> Result<Chosen, Refusal> {
        let wait = millis((self.route.goal_ms as f64 * FULL_WAIT_SHARE) as u64);
        loop {
            let ask = self.ask();
            match self.entry.placer.place(&ask).await {
                Placed::At(assignment) => return self.take_assignment(&ask, &assignment).await,
                Placed::Full { retry_after_ms } if self.arrived.elapsed() >= wait => {
                    let retry_after_ms = retry_after_ms.max(FULL_RETRY_MS);
                    return Err(Refusal::NotRun { retry_after_ms });
                }
                Placed::Full { .. } => tokio::time::sleep(millis(FULL_PAUSE_MS)).await,
            }
        }
    }

    fn ask(&self) -> Ask {
        let goal_ms = self.route.goal_ms as f64;
        let spent_ms = self.arrived.elapsed().as_secs_f64() * 1e3;
        let left_ms = self.left().as_secs_f64() * 1e3;
        let pause_goal_ms = self.route.pause_goal_ms.unwrap_or(USUAL_PAUSE_GOAL_MS) as f64;
        let mut ask = Ask::new(
            self.entry.placer.next_id(),
            &self.service,
            self.facts.prompt_tokens,
            (goal_ms - spent_ms).max(1.0),
        );
        ask.output_tokens = self.facts.output_tokens;
        let patience_ms = (PATIENCE_GOALS * goal_ms)
            .max(PATIENCE_PAUSE_GOALS * pause_goal_ms)
            .max(MIN_PATIENCE_MS);
        ask.limit_ms = left_ms.min(patience_ms - spent_ms).max(0.0);
        ask.pause_goal_ms = pause_goal_ms;
        ask.data_centre = self.entry.data_centre.clone();
        ask.avoid = [self.tried.as_slice(), &self.unfit_helpers].concat();
        let asked_ms = self.facts.deadline_ms.unwrap_or(u64::MAX) as f64;
        ask.is_returning =
            asked_ms < RETURNING_SHARE * self.route.time_limit_ms as f64 || !ask.avoid.is_empty();
        ask
    }

    async fn take_assignment(&self, ask: &Ask, assignment: &Assignment) -> Result<Chosen, Refusal> {
        let gone = Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS };
        let found = self.entry.directory.record(&assignment.engine);
        let Some(record) = found.filter(|one| one.heartbeat.standing == Standing::Ready) else {
            self.entry.placer.note(ask.id, Event::Ended);
            return Err(gone);
        };
        let mut load = LoadGuard::new(&self.entry, &record.heartbeat.id, Some(ask.id));
        load.set_helpers(assignment.helpers.iter().map(|part| part.engine.clone()).collect());
        let helpers = self.helpers(ask, assignment);
        let tickets: Vec<_> = helpers.iter().filter_map(|helper| helper.ticket.clone()).collect();
        if !tickets.is_empty() {
            let orders = self.entry.orders.clone().ok_or(gone)?;
            load.hold(Reservation::make(orders, tickets).await.ok_or(gone)?);
        }
        let helpers = helpers.iter().map(Helper::to_string).collect::<Vec<_>>().join(",");
        Ok(Chosen { record, helpers, expected_ms: assignment.first_token_ms, load })
    }

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
