//! Forwards calls to plain services, chosen by path prefix.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::{Arc, Mutex, PoisonError};

use crate::doors::quarantine::Identity;
use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_settings::ServiceSettings;
use clayplank_state::StoredAnswer;
use clayplank_types::{AccountId, AttemptId, Outcome, Refusal, RefusalReason, UpstreamId};
use clayplank_upstream::{ServiceAnswer, ServiceRequest, UpstreamError, forward};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::doors::account_limits::AccountPermit;
use crate::doors::claims::{Claimed, claim, release, settle};
use crate::doors::replies::{Body, Problem, full, set_outcome};
use crate::process::host_state::Host;

/// Retry delay while no service can take a call.
const BUSY_RETRY_MS: u64 = 200;

/// Limit of attempts of one request, including the first.
const MAX_ATTEMPTS: usize = 3;

/// A call to a plain service.
#[derive(Debug)]
pub(crate) struct ServiceCall {
    pub(crate) account: AccountId,
    pub(crate) request: ServiceRequest,
    pub(crate) is_repeatable: bool,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) deadline: Instant,
    pub(crate) identity: Identity,
}

/// Number of calls that this host has open at each service. Clones share one state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceLoads {
    open: Arc<Mutex<HashMap<UpstreamId, u64>>>,
}

/// Counts one open call at a service until it is dropped.
#[derive(Debug)]
struct OpenCall {
    loads: ServiceLoads,
    id: UpstreamId,
}

impl ServiceLoads {
    fn open(&self, id: &UpstreamId) -> u64 {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).get(id).copied().unwrap_or(0)
    }

    fn start_call(&self, id: &UpstreamId) -> OpenCall {
        *self.open.lock().unwrap_or_else(PoisonError::into_inner).entry(id.clone()).or_default() +=
            1;
        OpenCall { loads: self.clone(), id: id.clone() }
    }
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let mut open = self.loads.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = open.get_mut(&self.id) {
            *count -= 1;
        }
    }
}

/// Whether a path belongs to a service.
pub(crate) fn is_service_path(host: &Host, path: &str) -> bool {
    host.settings.services().any(|service| path.starts_with(&service.path_prefix))
}

/// Runs a call; one with an idempotency key runs at most once unless it is repeatable.
pub(crate) async fn run_call(
    host: &Host,
    call: &ServiceCall,
    permit: &AccountPermit,
) -> Result<Response<Body>, Problem> {
    let key = match &call.idempotency_key {
        Some(key) if !call.is_repeatable => key,
        Some(_) | None => {
            return run_unclaimed(host, call, permit).await.map(|answer| to_response(&answer));
        }
    };
    let held_claim =
        match claim(host, &call.account, key, fingerprint(&call.request), call.deadline).await? {
            Claimed::Run(held_claim) => held_claim,
            Claimed::Repeated(answer) => return Ok(repeat_response(answer)),
        };
    match run_unclaimed(host, call, permit).await {
        Ok(answer) => {
            settle(host, held_claim, Some(to_stored(&answer))).await;
            Ok(to_response(&answer))
        }
        Err(problem) => {
            match problem.outcome() {
                Outcome::NotRun => release(host, held_claim),
                Outcome::Failed | Outcome::Unknown | Outcome::Answered => {
                    settle(host, held_claim, None).await
                }
            }
            Err(problem)
        }
    }
}

/// Runs a call without a claim. Retries it only if it is repeatable or has provably not started.
async fn run_unclaimed(
    host: &Host,
    call: &ServiceCall,
    permit: &AccountPermit,
) -> Result<ServiceAnswer, Problem> {
    let mut excluded: Vec<UpstreamId> = Vec::new();
    let mut may_have_run = false;
    for attempt_count in 1..=MAX_ATTEMPTS {
        let service = match choose_service(host, &call.request.path, &excluded) {
            Ok(service) => service,
            Err(_) if may_have_run => break,
            Err(refusal) => return Err(refusal.into()),
        };
        match host.check_quarantine(&call.identity, attempt_count == 1).await {
            Ok(()) => {}
            Err(_) if may_have_run => break,
            Err(refusal) => return Err(refusal.into()),
        }
        let _open_call = host.service_loads.start_call(&service.id);
        let remaining = call.deadline.saturating_duration_since(Instant::now());
        let limit_bytes = host.settings.doors.max_body_bytes as usize;
        let error =
            match forward(&host.http, service.address, &call.request, remaining, limit_bytes).await
            {
                Ok(answer) => {
                    host.record_answered(&call.identity);
                    return Ok(answer);
                }
                Err(error) => error,
            };
        if !error.proves_not_started() {
            let attempt_id = AttemptId::random().to_string();
            host.record_break(&call.identity, &service.id, service.address, &attempt_id);
        }
        excluded.push(service.id.clone());
        may_have_run |= !error.proves_not_started();
        let is_safe = error.proves_not_started() || call.is_repeatable;
        let in_time = Instant::now() < call.deadline;
        if !is_safe || !in_time || attempt_count == MAX_ATTEMPTS || !permit.spend_retry() {
            return Err(to_problem(&error, may_have_run));
        }
    }
    Err(Problem::Unknown("no service gave an answer".to_owned()))
}

fn to_problem(error: &UpstreamError, may_have_run: bool) -> Problem {
    match may_have_run {
        true => Problem::Unknown(error.to_string()),
        false => Problem::Refused(Refusal::new(RefusalReason::UpstreamRefused, BUSY_RETRY_MS)),
    }
}

/// Chooses the service with the fewest open calls of those with the longest matching prefix.
fn choose_service<'a>(
    host: &'a Host,
    path: &str,
    excluded: &[UpstreamId],
) -> Result<&'a ServiceSettings, Refusal> {
    let matching =
        || host.settings.services().filter(|service| path.starts_with(&service.path_prefix));
    let longest_prefix_bytes =
        matching().map(|service| service.path_prefix.len()).max().unwrap_or(0);
    let live = matching().filter(|service| {
        service.path_prefix.len() == longest_prefix_bytes
            && !host.upstreams.is_leaving(&service.id)
            && !excluded.contains(&service.id)
    });
    let open = |service: &&ServiceSettings| host.service_loads.open(&service.id);
    match live.min_by_key(open) {
        None => Err(Refusal::new(RefusalReason::NoEngine, BUSY_RETRY_MS)),
        Some(service) if open(&service) >= service.max_in_flight => {
            Err(Refusal::new(RefusalReason::ServiceBusy, BUSY_RETRY_MS))
        }
        Some(service) => Ok(service),
    }
}

/// Fingerprint of a request, to detect another request under the same idempotency key.
pub(crate) fn fingerprint(request: &ServiceRequest) -> u128 {
    let mut hasher = SipHasher13::new();
    hasher.write(request.method.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(request.path.as_bytes());
    hasher.write_u8(0);
    hasher.write(&request.body);
    hasher.finish128().as_u128()
}

fn to_stored(answer: &ServiceAnswer) -> StoredAnswer {
    let content_type =
        answer.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).map(str::to_owned);
    StoredAnswer { status: answer.status, content_type, body: Some(answer.body.to_vec()) }
}

fn to_response(answer: &ServiceAnswer) -> Response<Body> {
    let mut response = Response::new(full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = answer.headers.clone();
    set_outcome(&mut response, Outcome::Answered);
    response
}

/// Header set on an answer that was stored from the first run.
const REPEATED_HEADER: &str = "x-clayplank-repeated";

/// The stored answer of the first run; without its body if that was too large to store.
pub(crate) fn repeat_response(answer: StoredAnswer) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from(answer.body.unwrap_or_default())));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Some(value) = answer.content_type.and_then(|text| HeaderValue::from_str(&text).ok()) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response.headers_mut().insert(REPEATED_HEADER, HeaderValue::from_static("true"));
    set_outcome(&mut response, Outcome::Answered);
    response
}
