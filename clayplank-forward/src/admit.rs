//! Takes a caller's request in: its whole body, its route and its account.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clayplank_clock::Instant;
use clayplank_routes::{PlanIndex, Route};
use clayplank_types::{RequestFingerprint, RequestIdentity};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::call::Call;
use crate::clock::{millis, now_ms};
use crate::entry::Entry;
use crate::facts::RequestFacts;
use crate::held_bytes::Held;
use crate::refusal::{AnswerBody, Refusal};
use crate::suspicion::Passage;

/// When to come back if the host has no confirmed plan, in ms: after a restart of all
/// keepers, an election and the first heartbeats of upstreams. Callers come back once
/// or twice, so an early time is worse than a late one.
const NO_PLAN_RETRY_MS: u64 = 2_500;

/// A host that has just started lets its callers wait for its first plan for so long: after a
/// loss of power all come back at once, most of them for the last time, and keepers elect a
/// leader within about this time.
const FIRST_PLAN_WAIT: Duration = Duration::from_millis(800);

/// When to come back if this host holds as much as it may, in ms: others are done with by then, and
/// the balancer may choose another host.
const HELD_RETRY_MS: u64 = 500;

/// When to come back if this host is stopping, in ms: the balancer sends the caller to another.
const CLOSED_RETRY_MS: u64 = 50;

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
                log::info!(target: "forward",
                    request = attempt_id, outcome = refusal.as_str(),
                    retry_after_ms = refusal.retry_after_ms().unwrap_or_default(),
                    plan = self.gate.plan_version(), confirmed = self.gate.is_confirmed(),
                    closed = self.gate.is_closed(),
                    waited_ms = arrived.elapsed().as_millis() as u64;
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
        self.gate.wait_for_first_plan(FIRST_PLAN_WAIT).await;
        let no_plan = Refusal::NoPlan { retry_after_ms: NO_PLAN_RETRY_MS };
        let limits = self.gate.plan().ok_or(no_plan)?.plan().limits.clone();
        let patience = millis(limits.read_timeout_ms);
        let mut held = Held::default();
        let read = self.read_body(body, limits.max_body_bytes as usize, &mut held);
        let read = clayplank_clock::timeout(patience, read).await;
        let body = read.map_err(|_| Refusal::TooSlow)??;
        // The plan counts that is in force once the request is whole.
        let plan = self.gate.plan().ok_or(no_plan)?;
        if !self.gate.is_confirmed() {
            return Err(no_plan);
        }
        let path = head.uri.path();
        let route = plan.find_route(&facts.host, path).ok_or(Refusal::NoRoute)?.clone();
        let (account, rank) = find_account(&plan, &route, &facts)?;
        let caller = caller(account.as_deref(), &facts);
        let fingerprint = fingerprint(&head, &facts, &caller, &body);
        let is_trial = self.let_in(&facts.attempt_id, fingerprint).await?;
        let draw = rand::random::<f64>();
        let service = plan.choose_target(&route, draw).ok_or(Refusal::NoRoute)?.to_owned();
        let limit_ms = facts.deadline_ms.unwrap_or(u64::MAX).min(route.time_limit_ms);
        let is_engine = plan.engine_model(&service).is_some();
        self.lock_budget().note_first_try(now_ms(), &service);
        Ok(Call {
            entry: Arc::clone(self),
            facts,
            caller,
            fingerprint,
            head,
            body,
            _held: held,
            route,
            service,
            is_engine,
            account,
            rank,
            arrived,
            waits_since: None,
            deadline: arrived + millis(limit_ms),
            tried: Vec::new(),
            unfit_helpers: Vec::new(),
            sent_count: 0,
            may_have_run: false,
            is_answered: false,
            is_trial,
        })
    }

    /// Reads a whole body, up to a limit, and counts it.
    async fn read_body(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        held: &mut Held,
    ) -> Result<Bytes, Refusal> {
        let mut read = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Refusal::Malformed)?;
            let Some(bytes) = frame.data_ref() else {
                continue;
            };
            if read.len() + bytes.len() > max_bytes {
                return Err(Refusal::TooLarge);
            }
            if !self.held_bytes.try_hold(held, bytes.len()) {
                return Err(Refusal::NotRun { retry_after_ms: HELD_RETRY_MS });
            }
            read.extend_from_slice(bytes);
        }
        Ok(read.freeze())
    }

    /// Refuses a request that is held back, unless this host may try it; returns whether it does.
    async fn let_in(
        &self,
        attempt_id: &str,
        fingerprint: RequestFingerprint,
    ) -> Result<bool, Refusal> {
        match self.suspicion.let_through(fingerprint).await {
            Ok(passage) => Ok(passage == Passage::Trial),
            Err(retry_after_ms) => {
                log::info!(target: "forward",
                    request = attempt_id, fingerprint:% = fingerprint;
                    "Does not send a request that is held back");
                Err(Refusal::HeldBack { retry_after_ms })
            }
        }
    }
}

/// The account; callers without one are told apart by a digest of the key that they send, if any: the
/// key itself must not stand in logs.
fn caller(account: Option<&str>, facts: &RequestFacts) -> String {
    match (account, facts.key.as_deref()) {
        (Some(account), _) => account.to_owned(),
        (None, Some(key)) => {
            let key = RequestIdentity { caller: key, host: "", path: "", body: &[] };
            format!("key {}", RequestFingerprint::of(&key))
        }
        (None, None) => String::new(),
    }
}

fn fingerprint(
    head: &Parts,
    facts: &RequestFacts,
    caller: &str,
    body: &[u8],
) -> RequestFingerprint {
    let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    RequestFingerprint::of(&RequestIdentity { caller, host: &facts.host, path, body })
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
