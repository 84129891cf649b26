//! Admits callers' requests: reads the complete body and finds the route and the account.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use clayplank_clock::Instant;
use clayplank_routes::{PlanIndex, Route};
use clayplank_types::{Fingerprint, RequestIdentity};
use http::request::Parts;
use http::uri::PathAndQuery;
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::buffer_quota::BufferPermit;
use crate::call::{BodyPermit, Call};
use crate::clock::{millis, now_ms};
use crate::entry::Entry;
use crate::gate::SHUTDOWN_REFUSAL;
use crate::quarantine::{Admission, QuarantineKeys};
use crate::refusal::{AnswerBody, Refusal};
use crate::request_metadata::RequestMetadata;

/// Retry time sent to callers while the host has no confirmed plan, in ms. It covers an election
/// and the first heartbeats of upstreams after a restart of all keepers. Callers retry only once or
/// twice, so a time that is too short is worse than one that is too long.
const NO_PLAN_RETRY_MS: u64 = 2_500;

/// Maximum time for which a newly started host lets callers wait for its first plan. After a power
/// failure all callers return at once, most of them for their last attempt, and the keepers elect a
/// leader within about this time.
const FIRST_PLAN_TIMEOUT: Duration = Duration::from_millis(800);

/// Retry time sent to callers when this host buffers as many bytes as allowed, in ms. By then other
/// requests have finished, and the load balancer may choose another host.
const BUFFER_FULL_RETRY_MS: u64 = 500;

/// A refusal before the request is forwarded, with what is known of the request by then.
struct DoorRefusal {
    refusal: Refusal,
    fingerprint: Option<Fingerprint>,
    /// Time from the request's arrival until its deadline, in ms.
    limit_ms: Option<u64>,
}

impl From<Refusal> for DoorRefusal {
    fn from(refusal: Refusal) -> Self {
        Self { refusal, fingerprint: None, limit_ms: None }
    }
}

impl Entry {
    /// Handles a caller's request and returns the response.
    pub async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived = Instant::now();
        let guard = self.gate.enter();
        let (head, body) = request.into_parts();
        let metadata = RequestMetadata::parse(&head, &self.names);
        let attempt_id = metadata.attempt_id.clone();
        let deadline_ms = metadata.deadline_ms;
        let call = match self.admit(arrived, head, metadata, body).await {
            Ok(call) => call,
            Err(DoorRefusal { refusal, fingerprint, limit_ms }) => {
                let waited_ms = arrived.elapsed().as_millis() as u64;
                let limit_ms = limit_ms.or(deadline_ms);
                log::info!(target: "forward",
                    request = attempt_id, outcome = refusal.as_str(),
                    retry_after_ms = refusal.retry_after_ms().unwrap_or_default(),
                    plan = self.gate.plan_version(), confirmed = self.gate.is_confirmed(),
                    closed = self.gate.is_closed(), waited_ms = waited_ms,
                    fingerprint = fingerprint.map(|known| known.to_string()).unwrap_or_default(),
                    left_ms = limit_ms.unwrap_or_default().saturating_sub(waited_ms);
                    "Refused at the door");
                self.metrics.count("none", refusal.as_str());
                return refusal.to_response();
            }
        };
        if call.route.kind.is_stream() {
            crate::stream::run(call, guard).await
        } else {
            crate::unary::run(call, guard).await
        }
    }

    /// Finds the route and the account, reads the body, and checks whether the request is
    /// quarantined.
    async fn admit(
        self: &Arc<Self>,
        arrived: Instant,
        head: Parts,
        metadata: RequestMetadata,
        body: Incoming,
    ) -> Result<Call, DoorRefusal> {
        if self.gate.is_closed() {
            return Err(SHUTDOWN_REFUSAL.into());
        }
        self.gate.wait_for_first_plan(FIRST_PLAN_TIMEOUT).await;
        let no_plan = Refusal::NoPlan { retry_after_ms: NO_PLAN_RETRY_MS };
        let limits = self.gate.plan().ok_or(no_plan)?.plan().limits.clone();
        let timeout = millis(limits.read_timeout_ms);
        let mut buffer_permit = BufferPermit::default();
        let read = self.read_body(body, limits.max_body_bytes as usize, &mut buffer_permit);
        let read = clayplank_clock::timeout(timeout, read).await;
        let body = read.map_err(|_| Refusal::TooSlow)??;
        // Uses the plan that is in force once the request has been received completely.
        let plan = self.gate.plan().ok_or(no_plan)?;
        if !self.gate.is_confirmed() {
            return Err(no_plan.into());
        }
        let path = head.uri.path();
        let route = plan.find_route(&metadata.host, path).ok_or(Refusal::NoRoute)?.clone();
        let (account, rank) = find_account(&plan, &route, &metadata)?;
        let caller = caller_name(account.as_deref(), &metadata);
        let fingerprint = fingerprint(&head, &metadata, &caller, &body);
        let limit_ms = metadata.deadline_ms.unwrap_or(u64::MAX).min(route.time_limit_ms);
        let refuse = |refusal| DoorRefusal {
            refusal,
            fingerprint: Some(fingerprint),
            limit_ms: Some(limit_ms),
        };
        if metadata.has_too_many_parts {
            return Err(refuse(Refusal::TooManyParts));
        }
        let prompt_parts = metadata.prompt_parts.clone();
        let keys = QuarantineKeys { request: fingerprint, prompt_parts };
        let is_trial = self.check_quarantine(&metadata.attempt_id, &keys).await;
        let is_trial = is_trial.map_err(refuse)?;
        let draw = rand::random::<f64>();
        let service = plan.choose_target(&route, draw).ok_or(refuse(Refusal::NoRoute))?.to_owned();
        let is_engine = plan.engine_model(&service).is_some();
        self.lock_budget().record_first_attempt(now_ms(), &service);
        Ok(Call {
            entry: Arc::clone(self),
            metadata,
            caller,
            keys,
            head,
            body,
            body_permit: Mutex::new(BodyPermit { buffer: buffer_permit, queue: None }),
            route,
            service,
            is_engine,
            account,
            rank,
            arrived,
            last_event_at: None,
            deadline: arrived + millis(limit_ms),
            tried: Vec::new(),
            failed_helpers: Vec::new(),
            longest_cut_off: Duration::ZERO,
            sent_count: 0,
            may_have_run: false,
            is_answered: false,
            is_trial,
        })
    }

    /// Reads a complete body of at most `max_bytes` and counts it towards the buffer quota.
    async fn read_body(
        &self,
        mut body: Incoming,
        max_bytes: usize,
        buffer_permit: &mut BufferPermit,
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
            if !self.buffer_quota.try_acquire(buffer_permit, bytes.len()) {
                return Err(Refusal::NotRun { retry_after_ms: BUFFER_FULL_RETRY_MS });
            }
            read.extend_from_slice(bytes);
        }
        Ok(read.freeze())
    }

    /// Rejects a request that is quarantined, or has a quarantined part, unless this host may try it
    /// once; returns whether this is such a trial.
    async fn check_quarantine(
        &self,
        attempt_id: &str,
        keys: &QuarantineKeys,
    ) -> Result<bool, Refusal> {
        match self.quarantine.admit(keys).await {
            Ok(admission) => Ok(admission == Admission::Trial),
            Err(retry_after_ms) => {
                log::info!(target: "forward",
                    request = attempt_id, fingerprint:% = keys.request;
                    "Does not send a request that is held back");
                Err(Refusal::Quarantined { retry_after_ms })
            }
        }
    }
}

/// Returns the account's name. Callers without an account are told apart by a digest of their key,
/// if they send one: the key itself must not appear in logs.
fn caller_name(account: Option<&str>, metadata: &RequestMetadata) -> String {
    match (account, metadata.key.as_deref()) {
        (Some(account), _) => account.to_owned(),
        (None, Some(key)) => {
            let key = RequestIdentity { caller: key, host: "", path: "", body: &[] };
            format!("key {}", Fingerprint::of(&key))
        }
        (None, None) => String::new(),
    }
}

fn fingerprint(head: &Parts, metadata: &RequestMetadata, caller: &str, body: &[u8]) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", PathAndQuery::as_str);
    Fingerprint::of(&RequestIdentity { caller, host: &metadata.host, path, body })
}

/// Finds the account of a request, and the rank that it gets. A key that is not known is refused on all
/// routes: its owner may be unaware that it was taken away.
fn find_account(
    plan: &PlanIndex,
    route: &Route,
    metadata: &RequestMetadata,
) -> Result<(Option<String>, u8), Refusal> {
    let account = match metadata.key.as_deref() {
        Some(key) if plan.has_accounts() => Some(plan.find_account(key).ok_or(Refusal::NoAccount)?),
        Some(_) | None => None,
    };
    match account {
        None if plan.requires_key(route) => Err(Refusal::NoAccount),
        Some(account) if plan.requires_key(route) => {
            Ok((Some(account.name.clone()), account.rank.unwrap_or(route.rank)))
        }
        Some(_) | None => Ok((account.map(|account| account.name.clone()), route.rank)),
    }
}
