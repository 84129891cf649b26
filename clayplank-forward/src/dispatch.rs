//! An entry host's way of a request: from its head to the choice of an upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use clayplank_placement::{Ask, Assignment, Event, Placed, PlacementId};
use clayplank_registry::{Record, Standing};
use clayplank_routes::{PlanIndex, RequestKind, Route};
use clayplank_types::{DataCentre, UpstreamId};
use http::request::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::answer::{Verdict, judge, scan_load};
use crate::budget::RetryBudget;
use crate::clock::{millis, now_ms};
use crate::directory::Directory;
use crate::exchange::{Connection, ExchangeError, exchange};
use crate::facts::RequestFacts;
use crate::figures::Figures;
use crate::gate::Gate;
use crate::headers::{Told, for_upstream};
use crate::names::HeaderNames;
use crate::placer::Placer;
use crate::refusal::{AnswerBody, Refusal};
use crate::reserve::{OrderFormat, Reservation, Ticket};

/// When to come back if the host has no confirmed plan, in ms: after a restart of all
/// keepers, an election and the first heartbeats of upstreams. Callers come back once
/// or twice, so an early time is worse than a late one.
const NO_PLAN_RETRY_MS: u64 = 2_500;

/// When to come back if no upstream is known, in ms: about a heartbeat of upstreams.
const NO_UPSTREAM_RETRY_MS: u64 = 1_500;

/// When to come back if this host is stopping, in ms: the balancer sends the caller to another.
const CLOSED_RETRY_MS: u64 = 50;

/// The least time, in ms, after which engines that are full are worth another try.
const FULL_RETRY_MS: u64 = 700;

/// Share of its goal for which a request waits for engines that are full; slots come
/// free within some tens of ms, and a refusal after that comes too late to be of use.
const FULL_WAIT_SHARE: f64 = 0.22;

/// Between two tries to place a request that waits, in ms.
const FULL_PAUSE_MS: u64 = 15;

/// An event stream whose route has no goal for pauses is given this one, in ms.
const USUAL_PAUSE_GOAL_MS: u64 = 1_000;

/// What an entry host needs to forward requests.
pub struct Entry {
    pub(crate) names: HeaderNames,
    pub(crate) gate: Arc<Gate>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) placer: Arc<dyn Placer>,
    /// How engines are told to hold memory; `None` where no engine can.
    pub(crate) orders: Option<Arc<dyn OrderFormat>>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) figures: Arc<Figures>,
    pub(crate) data_centre: DataCentre,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").field("data_centre", &self.data_centre).finish_non_exhaustive()
    }
}

/// Builds an [`Entry`].
#[derive(Default)]
pub struct EntryBuilder {
    names: HeaderNames,
    budget: Option<RetryBudget>,
    orders: Option<Arc<dyn OrderFormat>>,
    figures: Arc<Figures>,
    data_centre: DataCentre,
}

impl std::fmt::Debug for EntryBuilder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryBuilder").finish_non_exhaustive()
    }
}

impl EntryBuilder {
    /// Sets the names of headers.
    pub fn names(mut self, names: HeaderNames) -> Self {
        self.names = names;
        self
    }

    /// Sets the retry budget.
    pub fn budget(mut self, budget: RetryBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Sets how engines are told to hold memory.
    pub fn orders(mut self, orders: Arc<dyn OrderFormat>) -> Self {
        self.orders = Some(orders);
        self
    }

    /// Sets where figures go.
    pub fn figures(mut self, figures: Arc<Figures>) -> Self {
        self.figures = figures;
        self
    }

    /// Sets where the host stands.
    pub fn data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centre = data_centre;
        self
    }

    /// Builds it.
    pub fn build(
        self,
        gate: Arc<Gate>,
        directory: Arc<Directory>,
        placer: Arc<dyn Placer>,
    ) -> Entry {
        let budget = self.budget.unwrap_or_else(|| RetryBudget::new(Default::default()));
        Entry {
            names: self.names,
            gate,
            directory,
            placer,
            orders: self.orders,
            budget: Mutex::new(budget),
            figures: self.figures,
            data_centre: self.data_centre,
        }
    }
}

/// A request that was taken in whole, on its way to upstreams.
pub(crate) struct Call {
    pub(crate) entry: Arc<Entry>,
    pub(crate) facts: RequestFacts,
    pub(crate) head: Parts,
    pub(crate) body: Bytes,
    pub(crate) route: Route,
    pub(crate) service: String,
    pub(crate) is_engine: bool,
    pub(crate) account: Option<String>,
    pub(crate) rank: u8,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    /// Upstreams that it was sent to, or that could not be reached.
    pub(crate) tried: Vec<UpstreamId>,
    /// How often it was written to an upstream.
    pub(crate) sent_count: u32,
    /// Whether one of them may have run it.
    pub(crate) may_have_run: bool,
}

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

/// Gives back what an attempt takes of an upstream, however it ends.
pub(crate) struct LoadGuard {
    entry: Arc<Entry>,
    upstream: UpstreamId,
    placement: Option<PlacementId>,
    sent: Instant,
    outcome: Option<bool>,
    /// Memory that other engines hold for the prompt.
    _reservation: Option<Reservation>,
}

impl LoadGuard {
    /// The first event came.
    pub(crate) fn note_started(&self) {
        if let Some(id) = self.placement {
            let took_ms = self.sent.elapsed().as_secs_f64() * 1e3;
            self.entry.placer.note(id, Event::Started { took_ms });
        }
    }

    /// Notes whether the upstream did its work.
    pub(crate) fn note_outcome(&mut self, is_good: bool) {
        self.outcome = Some(is_good);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let is_good = self.outcome.unwrap_or(true);
        match self.placement {
            Some(id) => {
                self.entry.placer.note(id, if is_good { Event::Ended } else { Event::Failed });
            }
            None => {
                let took_ms = self.sent.elapsed().as_millis() as u64;
                self.entry.directory.note_end(&self.upstream, took_ms, is_good);
            }
        }
    }
}

/// How one attempt ended, as far as the head of its answer.
pub(crate) enum Attempt {
    /// The upstream's own answer.
    Answered(Box<Response<Incoming>>, Connection, LoadGuard),
    /// It was not run there.
    NotRun,
    /// It may have run there.
    Lost,
}

impl Entry {
    /// Answers a request of a caller.
    pub async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let guard = self.gate.enter();
        let (head, body) = request.into_parts();
        let facts = RequestFacts::scan(&head, &self.names);
        let attempt_id = facts.attempt_id.clone();
        let call = match self.admit(arrived, head, facts, body).await {
            Ok(call) => call,
            Err(refusal) => {
                log::info!(target: "forward", request = attempt_id, outcome = refusal.as_str();
                    "Refused at the door");
                self.figures.count("none", refusal.as_str());
                return refusal.to_response();
            }
        };
        if call.route.kind.is_stream() {
            crate::stream::run(call, guard).await
        } else {
            crate::plain::run(call, guard).await
        }
    }

    /// Finds the route and the account, and reads the body.
    async fn admit(
        self: &Arc<Self>,
        arrived: Instant,
        head: Parts,
        facts: RequestFacts,
        body: Incoming,
    ) -> Result<Call, Refusal> {
        if self.gate.is_closed() {
            return Err(Refusal::NotRun { retry_after_ms: CLOSED_RETRY_MS });
        }
        let no_plan = Refusal::NoPlan { retry_after_ms: NO_PLAN_RETRY_MS };
        let limits = self.gate.plan().ok_or(no_plan)?.plan().limits.clone();
        let body = read_body(body, limits.max_body_bytes, millis(limits.read_timeout_ms)).await?;
        // The plan counts that is in force once the request is whole.
        let plan = self.gate.plan().ok_or(no_plan)?;
        if !self.gate.is_confirmed() {
            return Err(no_plan);
        }
        let path = head.uri.path();
        let route = plan.find_route(&facts.host, path).ok_or(Refusal::NoRoute)?.clone();
        let (account, rank) = find_account(&plan, &route, &facts)?;
        let draw = rand::random::<f64>();
        let service = plan.choose_target(&route, draw).ok_or(Refusal::NoRoute)?.to_owned();
        let limit_ms = facts.deadline_ms.unwrap_or(u64::MAX).min(route.time_limit_ms);
        let is_engine = plan.engine_model(&service).is_some();
        self.lock_budget().note_first_try(now_ms(), &service);
        Ok(Call {
            entry: Arc::clone(self),
            facts,
            head,
            body,
            route,
            service,
            is_engine,
            account,
            rank,
            arrived,
            deadline: arrived + millis(limit_ms),
            tried: Vec::new(),
            sent_count: 0,
            may_have_run: false,
        })
    }

    pub(crate) fn lock_budget(&self) -> std::sync::MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in how many hosts share the retry budget.
    pub fn set_hosts(&self, hosts: u64) {
        self.lock_budget().set_hosts(hosts);
    }
}

fn find_account(
    plan: &PlanIndex,
    route: &Route,
    facts: &RequestFacts,
) -> Result<(Option<String>, u8), Refusal> {
    if route.allows_anonymous || !plan.has_accounts() {
        let account = facts.key.as_deref().and_then(|key| plan.find_account(key));
        return Ok((account.map(|account| account.name.clone()), route.rank));
    }
    let key = facts.key.as_deref().ok_or(Refusal::NoAccount)?;
    let account = plan.find_account(key).ok_or(Refusal::NoAccount)?;
    Ok((Some(account.name.clone()), account.rank.unwrap_or(route.rank)))
}

/// Reads a whole body, in time and up to a limit.
async fn read_body(body: Incoming, max_bytes: u64, patience: Duration) -> Result<Bytes, Refusal> {
    let limited = Limited::new(body, max_bytes as usize);
    match tokio::time::timeout(patience, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::Malformed),
        Err(_) => Err(Refusal::TooSlow),
    }
}

impl Call {
    /// Whether another attempt may be made, and pays for it.
    pub(crate) fn may_try(&self) -> bool {
        if self.sent_count == 0 {
            // Nothing was written yet, but each connection that failed took time.
            return self.tried.len() <= MAX_UNREACHED;
        }
        let is_allowed = !self.may_have_run || self.route.kind.may_repeat();
        is_allowed
            && self.sent_count < self.route.max_attempts
            && Instant::now() < self.deadline
            && self.entry.lock_budget().take_retry(now_ms(), &self.service)
    }

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
        let load = self.guard(&record, None);
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
        // Callers give a stream up after four goals, or after eight pauses that are too long.
        let patience_ms = (4.0 * goal_ms).max(8.0 * pause_goal_ms).max(MIN_PATIENCE_MS);
        ask.limit_ms = left_ms.min(patience_ms - spent_ms).max(0.0);
        ask.pause_goal_ms = pause_goal_ms;
        ask.data_centre = self.entry.data_centre.clone();
        ask.avoid = self.tried.clone();
        let asked_ms = self.facts.deadline_ms.unwrap_or(u64::MAX) as f64;
        ask.is_returning =
            asked_ms < RETURNING_SHARE * self.route.time_limit_ms as f64 || !self.tried.is_empty();
        ask
    }

    async fn take_assignment(&self, ask: &Ask, assignment: &Assignment) -> Result<Chosen, Refusal> {
        let gone = Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS };
        let found = self.entry.directory.record(&assignment.engine);
        let Some(record) = found.filter(|one| one.heartbeat.standing == Standing::Ready) else {
            self.entry.placer.note(ask.id, Event::Ended);
            return Err(gone);
        };
        let mut load = self.guard(&record, Some(ask.id));
        let helpers = self.helpers(ask, assignment);
        let tickets: Vec<_> = helpers.iter().filter_map(|helper| helper.ticket.clone()).collect();
        if !tickets.is_empty() {
            let orders = self.entry.orders.clone().ok_or(gone)?;
            load._reservation = Some(Reservation::make(orders, tickets).await.ok_or(gone)?);
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

    fn guard(&self, record: &Record, placement: Option<PlacementId>) -> LoadGuard {
        LoadGuard {
            entry: Arc::clone(&self.entry),
            upstream: record.heartbeat.id.clone(),
            placement,
            sent: Instant::now(),
            outcome: None,
            _reservation: None,
        }
    }

    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Sends the request to an upstream, and judges the head of its answer.
    pub(crate) async fn attempt(
        &mut self,
        chosen: Chosen,
        last_event_id: Option<u64>,
        patience: Duration,
    ) -> Attempt {
        let Chosen { record, helpers, mut load, .. } = chosen;
        let upstream = record.heartbeat.id.clone();
        let request = self.request_for(&upstream, &helpers, last_event_id);
        self.tried.push(upstream.clone());
        let sent = exchange(record.heartbeat.address, request);
        let (response, connection) = match tokio::time::timeout(patience, sent).await {
            Ok(Ok(answered)) => answered,
            Ok(Err(ExchangeError::Connect(error))) => {
                load.note_outcome(false);
                self.log_attempt(&upstream, "unreached", &error.to_string());
                return Attempt::NotRun;
            }
            Ok(Err(ExchangeError::Failed(error))) => {
                load.note_outcome(false);
                self.note_sent(true);
                self.log_attempt(&upstream, "lost", &error.to_string());
                return Attempt::Lost;
            }
            Err(_) => {
                load.note_outcome(false);
                self.note_sent(true);
                self.log_attempt(&upstream, "silent", "no answer in time");
                return Attempt::Lost;
            }
        };
        let (head, body) = response.into_parts();
        let names = &self.entry.names;
        if let Some((running, waiting)) = scan_load(&head.headers, names) {
            self.entry.directory.note_load(&upstream, running, waiting);
        }
        match judge(&head, names, &self.facts.attempt_id) {
            Verdict::Own => {
                self.note_sent(true);
                let response = Box::new(Response::from_parts(head, body));
                Attempt::Answered(response, connection, load)
            }
            Verdict::NotRun => {
                self.note_sent(false);
                load.note_outcome(false);
                self.log_attempt(&upstream, "not_run", head.status.as_str());
                Attempt::NotRun
            }
            Verdict::Replaced => {
                self.note_sent(false);
                self.entry.directory.note_replaced(&upstream);
                self.log_attempt(&upstream, "replaced", head.status.as_str());
                Attempt::NotRun
            }
            Verdict::Foreign => {
                self.note_sent(true);
                load.note_outcome(false);
                self.log_attempt(&upstream, "foreign", head.status.as_str());
                Attempt::Lost
            }
        }
    }

    fn note_sent(&mut self, may_have_run: bool) {
        self.sent_count += 1;
        self.may_have_run |= may_have_run;
    }

    fn request_for(
        &self,
        upstream: &UpstreamId,
        helpers: &str,
        last_event_id: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let told = Told {
            account: self.account.as_deref(),
            upstream: upstream.as_str(),
            left_ms: self.left().as_millis() as u64,
            last_event_id,
            helpers,
            rank: self.is_engine.then_some(self.rank.min(MAX_RANK)),
        };
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = for_upstream(&self.head.headers, &self.entry.names, &told);
        request
    }

    fn log_attempt(&self, upstream: &UpstreamId, outcome: &'static str, cause: &str) {
        self.entry.figures.count_attempt(outcome);
        log::info!(target: "forward",
            request = self.facts.attempt_id, route = self.route.name, upstream = upstream.as_str(),
            outcome = outcome, cause = cause, waited_ms = self.waited_ms();
            "An attempt ended without an answer");
    }

    pub(crate) fn waited_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// The answer to a caller whose request got none.
    pub(crate) fn give_up(&self, refusal: Refusal) -> Response<AnswerBody> {
        let is_over = Instant::now() >= self.deadline;
        let may_have_run = self.may_have_run;
        let told = match refusal {
            _ if may_have_run && is_over => Refusal::TimedOut,
            _ if may_have_run => Refusal::Failed,
            _ if is_over => Refusal::TimedOut,
            other => other,
        };
        log::info!(target: "forward",
            request = self.facts.attempt_id, route = self.route.name, outcome = told.as_str(),
            tried = self.tried.len(), sent = self.sent_count, waited_ms = self.waited_ms();
            "Gave a request up");
        self.entry.figures.count(&self.route.name, told.as_str());
        told.to_response()
    }

    pub(crate) fn kind(&self) -> RequestKind {
        self.route.kind
    }
}

/// Connections that may fail, beyond the first, before a request is given up.
const MAX_UNREACHED: usize = 3;

/// A caller that has less than this share of its route's time has spent the rest on
/// an attempt that was refused.
const RETURNING_SHARE: f64 = 0.93;

/// Callers of streams wait this long at least, in ms.
const MIN_PATIENCE_MS: f64 = 2_000.0;

/// The least urgent rank that engines know.
const MAX_RANK: u8 = 9;
