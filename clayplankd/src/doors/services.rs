//! Requests to plain services.

use std::collections::HashMap;
use std::hash::Hasher;
use std::sync::{Arc, Mutex, PoisonError};

use crate::doors::suspects::Identity;
use bytes::Bytes;
use clayplank_clock::Instant;
use clayplank_settings::ServiceSettings;
use clayplank_state::Answer;
use clayplank_types::{AccountId, AttemptId, Outcome, Refusal, RefusalReason, UpstreamId};
use clayplank_upstream::{EdgeError, ServiceAnswer, ServiceRequest, forward};
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Response, StatusCode};
use siphasher::sip128::{Hasher128, SipHasher13};

use crate::doors::accounts::AccountPass;
use crate::doors::claims::{Claimed, claim, release, settle};
use crate::doors::replies::{Body, Problem, full, set_outcome};
use crate::process::host::Host;

/// A busy service may have room after this time.
const BUSY_RETRY_MS: u64 = 200;

/// Tries of one request, the first among them.
const MAX_TRIES: usize = 3;

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

/// Requests that this host has open at each service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceLoads {
    open: Arc<Mutex<HashMap<UpstreamId, u64>>>,
}

/// Counts one open request until it is dropped.
#[derive(Debug)]
struct OpenCall {
    loads: ServiceLoads,
    id: UpstreamId,
}

impl ServiceLoads {
    fn open(&self, id: &UpstreamId) -> u64 {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).get(id).copied().unwrap_or(0)
    }

    fn enter(&self, id: &UpstreamId) -> OpenCall {
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

/// Runs a call, at most once unless it is repeatable.
pub(crate) async fn run_call(
    host: &Host,
    call: &ServiceCall,
    pass: &AccountPass,
) -> Result<Response<Body>, Problem> {
    let key = match &call.idempotency_key {
        Some(key) if !call.is_repeatable => key,
        Some(_) | None => {
            return run_unclaimed(host, call, pass).await.map(|answer| to_response(&answer));
        }
    };
    let held =
        match claim(host, &call.account, key, fingerprint(&call.request), call.deadline).await? {
            Claimed::Run(held) => held,
            Claimed::Repeated(answer) => return Ok(repeat_response(answer)),
        };
    match run_unclaimed(host, call, pass).await {
        Ok(answer) => {
            settle(host, held, Some(to_kept(&answer))).await;
            Ok(to_response(&answer))
        }
        Err(problem) => {
            match problem.outcome() {
                Outcome::NotRun => release(host, held),
                Outcome::Failed | Outcome::Unknown | Outcome::Answered => {
                    settle(host, held, None).await
                }
            }
            Err(problem)
        }
    }
}

/// Tries again only what is repeatable, or what is proven not to have begun.
async fn run_unclaimed(
    host: &Host,
    call: &ServiceCall,
    pass: &AccountPass,
) -> Result<ServiceAnswer, Problem> {
    let mut avoid: Vec<UpstreamId> = Vec::new();
    let mut may_have_run = false;
    for tries in 1..=MAX_TRIES {
        let service = match choose_service(host, &call.request.path, &avoid) {
            Ok(service) => service,
            Err(_) if may_have_run => break,
            Err(refusal) => return Err(refusal.into()),
        };
        match host.let_through(&call.identity, tries == 1).await {
            Ok(()) => {}
            Err(_) if may_have_run => break,
            Err(refusal) => return Err(refusal.into()),
        }
        let _open = host.service_loads.enter(&service.id);
        let left = call.deadline.saturating_duration_since(Instant::now());
        let limit_bytes = host.settings.doors.max_body_bytes as usize;
        let error =
            match forward(&host.http, service.address, &call.request, left, limit_bytes).await {
                Ok(answer) => {
                    host.note_answered(&call.identity);
                    return Ok(answer);
                }
                Err(error) => error,
            };
        if !error.proves_not_begun() {
            let attempt = AttemptId::random().to_string();
            host.note_break(&call.identity, &service.id, service.address, &attempt);
        }
        avoid.push(service.id.clone());
        may_have_run |= !error.proves_not_begun();
        let is_safe = error.proves_not_begun() || call.is_repeatable;
        let in_time = Instant::now() < call.deadline;
        if !is_safe || !in_time || tries == MAX_TRIES || !pass.spend_retry() {
            return Err(explain(&error, may_have_run));
        }
    }
    Err(Problem::Unknown("no service gave an answer".to_owned()))
}

fn explain(error: &EdgeError, may_have_run: bool) -> Problem {
    match may_have_run {
        true => Problem::Unknown(error.to_string()),
        false => Problem::Refused(Refusal::new(RefusalReason::UpstreamRefused, BUSY_RETRY_MS)),
    }
}

/// Of the services with the longest fitting prefix, the one with the fewest open calls.
fn choose_service<'a>(
    host: &'a Host,
    path: &str,
    avoid: &[UpstreamId],
) -> Result<&'a ServiceSettings, Refusal> {
    let fitting =
        || host.settings.services().filter(|service| path.starts_with(&service.path_prefix));
    let longest = fitting().map(|service| service.path_prefix.len()).max().unwrap_or(0);
    let live = fitting().filter(|service| {
        service.path_prefix.len() == longest
            && !host.upstreams.is_leaving(&service.id)
            && !avoid.contains(&service.id)
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

/// Tells whether two calls under one key are the same request.
pub(crate) fn fingerprint(request: &ServiceRequest) -> u128 {
    let mut hasher = SipHasher13::new();
    hasher.write(request.method.as_str().as_bytes());
    hasher.write_u8(0);
    hasher.write(request.path.as_bytes());
    hasher.write_u8(0);
    hasher.write(&request.body);
    hasher.finish128().as_u128()
}

fn to_kept(answer: &ServiceAnswer) -> Answer {
    let content_type =
        answer.headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).map(str::to_owned);
    Answer { status: answer.status, content_type, body: Some(answer.body.to_vec()) }
}

fn to_response(answer: &ServiceAnswer) -> Response<Body> {
    let mut response = Response::new(full(answer.body.clone()));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = answer.headers.clone();
    set_outcome(&mut response, Outcome::Answered);
    response
}

/// Set on an answer that was kept from the first run.
const REPEATED_HEADER: &str = "x-clayplank-repeated";

/// The first answer again; without its body if that was too large to keep.
pub(crate) fn repeat_response(answer: Answer) -> Response<Body> {
    let mut response = Response::new(full(Bytes::from(answer.body.unwrap_or_default())));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    if let Some(value) = answer.content_type.and_then(|text| HeaderValue::from_str(&text).ok()) {
        response.headers_mut().insert(CONTENT_TYPE, value);
    }
    response.headers_mut().insert(REPEATED_HEADER, HeaderValue::from_static("true"));
    set_outcome(&mut response, Outcome::Answered);
    response
}
