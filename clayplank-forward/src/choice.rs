//! Chooses the upstream of an attempt and reserves memory at helpers where needed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use clayplank_placement::{Assignment, Event, MIN_GOAL_MS, PlacementOutcome, PlacementRequest};
use clayplank_registry::Record;
use clayplank_types::UpstreamId;

use crate::attempt::BUSY_RETRY_MS;
use crate::call::Call;
use crate::clock::millis;
use crate::gate::SHUTDOWN_REFUSAL;
use crate::load::LoadGuard;
use crate::queue_quota::QueuePermit;
use crate::refusal::Refusal;
use crate::request_metadata::RequestMetadata;
use crate::reserve::{CommandSender, Reservation, Ticket};

/// Retry time sent to callers if no upstream is known, in ms; about one heartbeat interval of
/// upstreams.
pub(crate) const NO_UPSTREAM_RETRY_MS: u64 = 1_500;

/// Minimum retry time sent to callers if all engines are full, in ms; an earlier attempt is not
/// worthwhile.
pub(crate) const MIN_FULL_RETRY_MS: u64 = 700;

/// Interval between two attempts to place a stream that has started and has to continue, in ms.
pub(crate) const PLACEMENT_RETRY_INTERVAL_MS: u64 = 40;

/// Time for which the placer avoids an engine that it knows to accept requests and this host does
/// not, in ms. They learn of an engine within some ms of each other.
const NOT_ACCEPTING_MS: f64 = 300.0;

/// An upstream chosen for an attempt.
pub(crate) struct Chosen {
    pub(crate) record: Record,
    /// Helpers as sent to the upstream, separated by commas; empty if there are none.
    pub(crate) helpers: String,
    /// Expected time until the first event, in ms; 0 for plain services.
    pub(crate) expected_ms: f64,
    pub(crate) load: LoadGuard,
}

/// An engine that prefills a part of the prompt, and the ticket if it reserves memory for that.
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
    /// Chooses an upstream for the next attempt; stops waiting for one as soon as the request is
    /// quarantined, or the host closes and no upstream may have run the request.
    pub(crate) async fn choose(&self) -> Result<Chosen, Refusal> {
        tokio::select! {
            biased;
            () = self.entry.gate.wait_until_closed(), if self.may_be_rejected() => {
                Err(SHUTDOWN_REFUSAL)
            }
            chosen = self.choose_upstream() => chosen,
            () = self.wait_until_quarantined() => {
                Err(Refusal::NotRun { retry_after_ms: BUSY_RETRY_MS })
            }
        }
    }

    /// Whether no upstream may have run the request, so that its caller may send it elsewhere.
    fn may_be_rejected(&self) -> bool {
        !self.may_have_run && self.last_event_at.is_none()
    }

    async fn choose_upstream(&self) -> Result<Chosen, Refusal> {
        if self.is_engine { self.choose_engine().await } else { self.choose_service().await }
    }

    /// Places the request on engines. A request that cannot be served in time is rejected at once.
    /// One that is expected to be served in time, but not yet, waits in the admission queue if it
    /// may; otherwise it is deferred: placement is requested again after a pause.
    async fn choose_engine(&self) -> Result<Chosen, Refusal> {
        let mut deferred_ms = 0;
        // Engines that this host knows not to accept the request, while the placer does not.
        let mut not_accepting: Vec<UpstreamId> = Vec::new();
        loop {
            deferred_ms += self.wait_for_backoff().await?;
            let queue_permit = self.queue_permit();
            let mut request = self.placement_request(queue_permit.as_ref());
            not_accepting.retain(|engine| !self.entry.directory.accepts_request(engine));
            for engine in &not_accepting {
                request.avoid_for(engine.clone(), NOT_ACCEPTING_MS);
            }
            let placed = self.place(&request).await;
            // A deferred request does not wait in the queue.
            self.release_queue_permit(queue_permit);
            if deferred_ms > 0
                && !request.has_begun
                && !matches!(placed, PlacementOutcome::Soon { .. })
            {
                self.log_deferred(deferred_ms, &placed);
            }
            let pause_ms = match placed {
                // The caller has time for an answer through another host.
                PlacementOutcome::At(assignment)
                    if self.may_be_rejected()
                        && self.entry.gate.ends_within(self.expected_answer(&assignment)) =>
                {
                    self.entry.placer.record_event(request.id, Event::Ended);
                    return Err(SHUTDOWN_REFUSAL);
                }
                PlacementOutcome::At(assignment) => {
                    let outdated = self.not_accepting(&assignment);
                    if outdated.is_empty() {
                        return self.prepare_assignment(&request, &assignment).await;
                    }
                    self.entry.placer.record_event(request.id, Event::Ended);
                    not_accepting.extend(outdated);
                    continue;
                }
                PlacementOutcome::Soon { again_in_ms: pause_ms }
                | PlacementOutcome::Queued { expected_ms: pause_ms } => {
                    // A request that may wait in the queue is answered before its caller leaves.
                    // Rounded up, so that it may not wait again after the pause.
                    let max_pause = match request.queue_terms {
                        Some(_) => self.max_queue_wait() + millis(1),
                        None => self.caller_timeout(),
                    };
                    pause_ms.min(max_pause.as_millis() as u64)
                }
                // A started stream is not rejected: it continues or breaks off.
                PlacementOutcome::Full { .. }
                    if request.has_begun && !self.caller_timeout().is_zero() =>
                {
                    PLACEMENT_RETRY_INTERVAL_MS
                }
                // The retry time of a request that may wait in the queue is an appointment, with
                // capacity reserved for that moment.
                PlacementOutcome::Full { retry_after_ms } if request.queue_terms.is_some() => {
                    return Err(Refusal::NotRun { retry_after_ms });
                }
                PlacementOutcome::Full { retry_after_ms } => {
                    let retry_after_ms = retry_after_ms.max(MIN_FULL_RETRY_MS);
                    return Err(Refusal::NotRun { retry_after_ms });
                }
            };
            clayplank_clock::sleep(millis(pause_ms)).await;
            deferred_ms += pause_ms;
        }
    }

    /// Waits while all engines are in a backoff, if one of them accepts the request in time
    /// afterwards; returns the time waited, in ms.
    async fn wait_for_backoff(&self) -> Result<u64, Refusal> {
        let backoff = self.entry.directory.shortest_backoff(&self.service);
        if backoff.is_zero() {
            return Ok(0);
        }
        let backoff_ms = backoff.as_millis() as u64;
        if backoff > self.max_backoff_wait() {
            return Err(Refusal::NotRun { retry_after_ms: backoff_ms });
        }
        clayplank_clock::sleep(backoff).await;
        Ok(backoff_ms)
    }

    /// Engines of an assignment that do not accept the request: this host may learn earlier than the
    /// placer that they drain, are cordoned or requested a backoff.
    fn not_accepting(&self, assignment: &Assignment) -> Vec<UpstreamId> {
        let helpers = assignment.helpers.iter().map(|part| &part.engine);
        let engines = helpers.chain([&assignment.engine]);
        engines.filter(|engine| !self.entry.directory.accepts_request(engine)).cloned().collect()
    }

    /// Time from now until the end of the answer, as all streams of the engine take when each of its
    /// slots is in use.
    fn expected_answer(&self, assignment: &Assignment) -> Duration {
        let plan = self.entry.gate.plan();
        let model = plan.as_ref().and_then(|plan| plan.engine_model(&self.service));
        let decode_ms = model.map_or(0.0, |model| {
            let RequestMetadata { prompt_tokens, output_tokens, .. } = self.metadata;
            let passes = output_tokens as f64 / f64::from(model.steps_per_event);
            passes * model.pass_ms(model.slots as usize, prompt_tokens + output_tokens)
        });
        millis((assignment.first_token_ms + decode_ms) as u64)
    }

    /// Logs, once per request, that it was deferred and whether it was placed.
    fn log_deferred(&self, deferred_ms: u64, placed: &PlacementOutcome) {
        let is_placed = matches!(placed, PlacementOutcome::At(_));
        log::info!(target: "forward",
            request = self.metadata.attempt_id, held_ms = deferred_ms, placed = is_placed,
            prompt_tokens = self.metadata.prompt_tokens;
            "Decided the placement of a deferred request");
    }

    /// Builds the placement request; it carries queue terms if there is a permit to wait.
    fn placement_request(&self, queue_permit: Option<&QueuePermit>) -> PlacementRequest {
        let pause_goal_ms = self.pause_goal_ms() as f64;
        let has_begun = self.last_event_at.is_some();
        let goal_ms = if has_begun { pause_goal_ms } else { self.route.goal_ms as f64 };
        let waited_ms = self.waited().as_secs_f64() * 1e3;
        let mut request = PlacementRequest::new(
            self.entry.placer.next_id(),
            &self.service,
            self.metadata.prompt_tokens,
            (goal_ms - waited_ms).max(MIN_GOAL_MS),
        );
        request.waited_ms = waited_ms;
        request.output_tokens = self.metadata.output_tokens;
        let timeout = match queue_permit {
            Some(_) => self.queue_timeout(),
            None => self.caller_timeout(),
        };
        request.limit_ms = timeout.as_secs_f64() * 1e3;
        request.pause_goal_ms = pause_goal_ms;
        request.has_begun = has_begun;
        request.data_centre = self.entry.data_centre.clone();
        request.avoid = [self.tried.as_slice(), &self.failed_helpers].concat();
        request.is_returning = !request.avoid.is_empty();
        for (engine, left_ms) in self.entry.directory.unavailable(&self.service) {
            match left_ms {
                Some(left_ms) => request.avoid_for(engine, left_ms as f64),
                None => request.avoid.push(engine),
            }
        }
        request.route = self.route.name.clone();
        request.route_limit_ms = self.route.time_limit_ms as f64;
        request.sent_limit_ms =
            self.metadata.deadline_ms.unwrap_or(self.route.time_limit_ms) as f64;
        request.queue_terms = queue_permit.map(|_| self.queue_terms());
        request
    }

    /// Prepares an assignment: looks up its engine, counts its load and reserves memory at its
    /// helpers.
    async fn prepare_assignment(
        &self,
        request: &PlacementRequest,
        assignment: &Assignment,
    ) -> Result<Chosen, Refusal> {
        let unavailable = Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS };
        let Some(record) = self.entry.directory.usable_record(&assignment.engine) else {
            self.entry.placer.record_event(request.id, Event::Ended);
            return Err(unavailable);
        };
        let mut load = LoadGuard::new(&self.entry, &record.heartbeat, Some(request.id));
        load.set_helpers(assignment.helpers.iter().map(|part| part.engine.clone()).collect());
        let helpers = self.helpers(request, assignment);
        self.reserve(&mut load, &helpers).await.ok_or(unavailable)?;
        let helpers = helpers.iter().map(Helper::to_string).collect::<Vec<_>>().join(",");
        Ok(Chosen { record, helpers, expected_ms: assignment.first_token_ms, load })
    }

    /// Reserves memory at helpers for the duration of the attempt; `None` if one of them has no
    /// room.
    async fn reserve(&self, load: &mut LoadGuard, helpers: &[Helper]) -> Option<()> {
        let tickets: Vec<_> = helpers.iter().filter_map(|helper| helper.ticket.clone()).collect();
        if !tickets.is_empty() {
            let format = self.entry.commands.clone()?;
            let commands = CommandSender { connector: Arc::clone(&self.entry.connector), format };
            load.set_reservation(Reservation::make(commands, tickets).await?);
        }
        Some(())
    }

    /// Helpers of the assignment, each with a ticket if it reserves memory.
    fn helpers(&self, request: &PlacementRequest, assignment: &Assignment) -> Vec<Helper> {
        let parts = assignment.helpers.iter().enumerate();
        let helpers = parts.filter_map(|(number, part)| {
            let address = self.entry.directory.record(&part.engine)?.heartbeat.address;
            let ticket = (part.reserve_tokens > 0).then(|| Ticket {
                address,
                name: format!("{:x}-{:x}-{number}", request.id.host, request.id.number),
                tokens: part.reserve_tokens,
            });
            Some(Helper { address, ticket })
        });
        helpers.collect()
    }
}
