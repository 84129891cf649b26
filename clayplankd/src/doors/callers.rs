//! The callers' endpoint: authenticates callers, applies limits, and routes their requests.

use std::sync::Arc;
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_settings::EffectiveSettings;
use clayplank_state::SettingsView;
use clayplank_types::{AccountId, Fingerprint, Refusal, RefusalReason, RequestIdentity};
use clayplank_upstream::ServiceRequest;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;

use crate::doors::account_limits::AccountPermit;
use crate::doors::completions::{Call, CallBody, Style, run_completion};
use crate::doors::dispatch::PromptJob;
use crate::doors::quarantine::Identity;
use crate::doors::replies::{Body, Problem, json, text};
use crate::doors::serve::{bearer_key, read_body};
use crate::doors::services::{ServiceCall, is_service_path, run_call};
use crate::process::clock::millis;
use crate::process::host_state::{Host, InProgressGuard};

/// Header with the name of the request's template.
const TEMPLATE_HEADER: &str = "x-clayplank-template";

/// Header that shortens the request's deadline, in ms from its arrival.
const DEADLINE_HEADER: &str = "x-clayplank-deadline-ms";

/// Header with the idempotency key of a request that must run at most once.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// Retry delay of requests rejected because the host's settings are not confirmed, or the host is
/// full or leaving.
const HOST_RETRY_MS: u64 = 500;

/// An admitted caller, with its settings and permits.
#[derive(Debug)]
struct Caller {
    account: AccountId,
    share: u64,
    view: Arc<SettingsView>,
    permit: AccountPermit,
    guard: InProgressGuard,
    arrived: Instant,
}

/// Answers a request of a caller.
pub(crate) async fn answer(host: Arc<Host>, request: Request<Incoming>) -> Response<Body> {
    let arrived = Instant::now();
    if request.method() == Method::GET && request.uri().path() == "/health" {
        return health(&host);
    }
    let account = identify(&host, &request)
        .map_or_else(|| "unknown".to_owned(), |account| account.to_string());
    let answered = tokio::select! {
        biased;
        answered = run(&host, request, arrived) => answered,
        () = host.progress.wait_until_abandoned() => {
            Err(Problem::Unknown("the host stopped before the answer".to_owned()))
        }
    };
    match answered {
        Ok(response) => {
            host.metrics.count(&account, clayplank_types::Outcome::Answered);
            response
        }
        Err(problem) => {
            host.metrics.count(&account, problem.outcome());
            problem.to_response()
        }
    }
}

fn identify(host: &Host, request: &Request<Incoming>) -> Option<AccountId> {
    let view = host.replicated_settings.view();
    view.find_account(bearer_key(request)?).map(|(id, _)| id)
}

/// Answers the health check; it fails while this host should get no requests.
pub(crate) fn health(host: &Host) -> Response<Body> {
    match (host.progress.is_leaving(), host.replicated_settings.is_confirmed()) {
        (true, _) => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n".to_owned()),
        (false, false) => {
            text(StatusCode::SERVICE_UNAVAILABLE, "settings not confirmed\n".to_owned())
        }
        (false, true) => text(StatusCode::OK, "ok\n".to_owned()),
    }
}

async fn run(
    host: &Arc<Host>,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<Body>, Problem> {
    let caller = admit(host, &request, arrived)?;
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions") => complete(host, caller, request, Style::Text).await,
        (&Method::POST, "/v1/chat/completions") => {
            complete(host, caller, request, Style::Chat).await
        }
        (&Method::GET, "/v1/models") => Ok(models(host)),
        _ if is_service_path(host, &path) => call_service(host, caller, request).await,
        _ => Err(Problem::NotFound(format!("nothing is served under {path}"))),
    }
}

/// Admits a request: checks the state of the host, the key and the limits, in this order.
fn admit(
    host: &Arc<Host>,
    request: &Request<Incoming>,
    arrived: Instant,
) -> Result<Caller, Problem> {
    let reject = |reason| Err(Problem::Refused(Refusal::new(reason, HOST_RETRY_MS)));
    if host.progress.is_closed() {
        return reject(RefusalReason::Leaving);
    }
    let Some(view) = host.replicated_settings.confirmed() else {
        return reject(RefusalReason::SettingsStale);
    };
    let key = bearer_key(request).ok_or(Problem::Unauthorized)?;
    let (id, account) = view.find_account(key).ok_or(Problem::Unauthorized)?;
    if host.progress.count() >= host.settings.doors.max_in_progress {
        return reject(RefusalReason::QueueFull);
    }
    let permit = host.account_limits.admit(&id, account)?;
    let guard = InProgressGuard::new(host);
    let (account, share) = (id, account.share);
    Ok(Caller { account, share, view, permit, guard, arrived })
}

impl Caller {
    /// The effective settings of the request, and its deadline.
    fn settings_and_deadline(
        &self,
        headers: &HeaderMap,
    ) -> Result<(EffectiveSettings, Instant), Problem> {
        let template = header(headers, TEMPLATE_HEADER)?;
        let effective = self.view.effective_settings(&self.account, template);
        let effective = effective.ok_or_else(|| {
            Problem::Malformed(format!(
                "{TEMPLATE_HEADER}: there is no template `{}`",
                template.unwrap_or_default()
            ))
        })?;
        let deadline_ms = match header(headers, DEADLINE_HEADER)? {
            None => effective.deadline_ms,
            Some(value) => parse_deadline(value)?.min(effective.deadline_ms),
        };
        Ok((effective, self.arrived + millis(deadline_ms)))
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Problem> {
    let value = headers.get(name).map(http::HeaderValue::to_str).transpose();
    value.map_err(|_| Problem::Malformed(format!("{name}: must be visible ASCII text")))
}

fn parse_deadline(value: &str) -> Result<u64, Problem> {
    let deadline_ms = value.parse().ok().filter(|&deadline_ms: &u64| deadline_ms > 0);
    deadline_ms.ok_or_else(|| {
        Problem::Malformed(format!("{DEADLINE_HEADER}: must be a number of milliseconds"))
    })
}

fn parse_idempotency_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    match header(headers, IDEMPOTENCY_HEADER)? {
        Some(key) if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES => {
            Err(Problem::Malformed(format!(
                "{IDEMPOTENCY_HEADER}: must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} characters"
            )))
        }
        key => Ok(key.map(str::to_owned)),
    }
}

fn read_timeout(host: &Host) -> Duration {
    millis(host.settings.doors.read_timeout_ms)
}

async fn complete(
    host: &Arc<Host>,
    caller: Caller,
    request: Request<Incoming>,
    style: Style,
) -> Result<Response<Body>, Problem> {
    let (head, body) = request.into_parts();
    let (effective, deadline) = caller.settings_and_deadline(&head.headers)?;
    let idempotency_key = parse_idempotency_key(&head.headers)?;
    let body = read_body(body, host.settings.doors.max_body_bytes, read_timeout(host)).await?;
    let call_body = CallBody::parse(&body)?;
    let identity = identity(&caller, style.path(), &body);
    let prompt = call_body.to_prompt(style)?;
    // A model set by the account or template takes precedence over the request's.
    let model = effective.model.clone().or_else(|| call_body.model.clone());
    let model = model.ok_or_else(|| Problem::Malformed("/model: must name a model".to_owned()))?;
    if host.pools.of_model(&model).is_empty() {
        return Err(Problem::NotFound(format!("no engine serves the model `{model}`")));
    }
    let prompt_tokens = host.settings.bytes_per_token.tokens(prompt.len());
    let bands = &host.settings.length_bands;
    let job = PromptJob {
        account: caller.account,
        share: caller.share,
        max_tokens: call_body.max_tokens.unwrap_or(u64::MAX).clamp(1, effective.max_output_tokens),
        effective,
        model,
        prompt_tokens,
        arrived: caller.arrived,
        deadline,
        band: bands.name(bands.index_of(prompt_tokens)),
        prompt,
        identity,
    };
    let call = Call { job, style, is_streamed: call_body.stream, idempotency_key, body };
    run_completion(host, call, caller.permit, caller.guard).await
}

/// The identity by which a repeat of the request is recognized.
fn identity(caller: &Caller, path: &str, body: &[u8]) -> Identity {
    let caller = caller.account.to_string();
    let fingerprint = Fingerprint::of(&RequestIdentity { caller: &caller, host: "", path, body });
    Identity { fingerprint, caller }
}

fn models(host: &Host) -> Response<Body> {
    let data: Vec<_> = host
        .pools
        .models()
        .map(|name| serde_json::json!({ "id": name, "object": "model" }))
        .collect();
    json(StatusCode::OK, &serde_json::json!({ "object": "list", "data": data }))
}

async fn call_service(
    host: &Arc<Host>,
    caller: Caller,
    request: Request<Incoming>,
) -> Result<Response<Body>, Problem> {
    let (head, body) = request.into_parts();
    let (effective, deadline) = caller.settings_and_deadline(&head.headers)?;
    let names_template = head.headers.contains_key(TEMPLATE_HEADER);
    let idempotency_key = parse_idempotency_key(&head.headers)?;
    let body = read_body(body, host.settings.doors.max_body_bytes, read_timeout(host)).await?;
    let path = head.uri.path_and_query().map_or_else(|| "/".to_owned(), ToString::to_string);
    let call = ServiceCall {
        identity: identity(&caller, &path, &body),
        account: caller.account,
        // Safe methods change nothing at the service (RFC 9110, section 9.2.1); any
        // other may be run twice only if its template says so by name.
        is_repeatable: head.method.is_safe() || (names_template && effective.repeatable),
        request: ServiceRequest { method: head.method, path, headers: head.headers, body },
        idempotency_key,
        deadline,
    };
    // Runs in a separate task, so that the claim is settled even if the caller disconnects.
    let (host, permit, guard) = (Arc::clone(host), caller.permit, caller.guard);
    let task = tokio::spawn(async move {
        let _guard = guard;
        run_call(&host, &call, &permit).await
    });
    task.await.unwrap_or_else(|_| Err(Problem::Unknown("the request failed inside".to_owned())))
}
