//! An upstream for forwarded requests: it runs them, streams events, and injects the fault that a
//! header of the request names.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::channel::{Channel, Sender};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::http_server::{Body, ServeError, serve};
use crate::signals::SharedSignals;

/// Fault to inject for this request.
const FAULT_HEADER: &str = "x-standin-fault";

pub(crate) const ATTEMPT_HEADER: &str = "x-clayplank-attempt-id";
pub(crate) const EXPECT_HEADER: &str = "x-clayplank-expect-upstream";
const SEAL_HEADER: &str = "x-clayplank-seal";
const NOT_RUN_HEADER: &str = "x-clayplank-not-run";
const ACCOUNT_HEADER: &str = "x-clayplank-account";
const PROMPT_PARTS_HEADER: &str = "x-clayplank-prompt-parts";

/// Requests below this path get a stream; the rest of the path is its number of events.
const EVENTS_PATH: &str = "/events/";

/// Pause of a stalled stream: longer than the time after which hosts try another upstream.
const STALL_PAUSE: Duration = Duration::from_millis(1_700);

/// Record of the attempts that all upstreams of a test ran.
#[derive(Debug, Default)]
pub struct Runs {
    /// Upstreams that ran each attempt, in order.
    pub by_attempt: BTreeMap<String, Vec<String>>,
    /// Accounts that requests named.
    pub accounts: BTreeSet<String>,
    /// Headers that reached an upstream although hosts must remove them.
    pub leaked: Vec<String>,
    /// Attempts whose fault was already injected.
    failed_once: BTreeSet<String>,
}

/// [`Runs`] shared by several upstreams.
#[derive(Clone, Debug, Default)]
pub struct SharedRuns(Arc<Mutex<Runs>>);

impl SharedRuns {
    /// Locks the record, to read it or to add to it.
    pub fn lock(&self) -> MutexGuard<'_, Runs> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of times that an attempt ran.
    pub fn count(&self, attempt: &str) -> usize {
        self.lock().by_attempt.get(attempt).map_or(0, Vec::len)
    }
}

/// Fault that a request asks for; it applies at the first upstream that receives the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestedFault {
    None,
    /// Responds that the request was not run.
    Refuse,
    /// Runs the request and closes the connection without a response.
    Lose,
    /// Breaks off inside the third event.
    Break,
    /// Responds with the id of another attempt.
    WrongAttempt,
    /// Responds without the seal, the header in which an upstream states its id.
    Unsealed,
    /// Responds after a second.
    Slow,
    /// Pauses after the second event, sends the third, and breaks off inside the fourth.
    Stall,
    /// Sends no response. Applies at the upstreams that receive an attempt after the one that stalled.
    NoResponse,
}

fn parse_fault(headers: &HeaderMap) -> RequestedFault {
    match headers.get(FAULT_HEADER).map(HeaderValue::as_bytes) {
        Some(b"refuse") => RequestedFault::Refuse,
        Some(b"lose") => RequestedFault::Lose,
        Some(b"break") => RequestedFault::Break,
        Some(b"foreign") => RequestedFault::WrongAttempt,
        Some(b"unsealed") => RequestedFault::Unsealed,
        Some(b"slow") => RequestedFault::Slow,
        Some(b"falter") => RequestedFault::Stall,
        _ => RequestedFault::None,
    }
}

/// Property by which a request terminates its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashTrigger {
    /// Its body.
    Body,
    /// A part of its prompt.
    PromptPart,
}

/// Requests that terminate every upstream that starts to run them.
#[derive(Clone, Debug)]
pub struct CrashingRequest {
    /// Body by which the request is recognised.
    pub body: Bytes,
    /// Id of a prompt part by which it is recognised too, once an answer to it begins; may be empty.
    pub prompt_part: String,
    /// Receives a message each time such a request starts to run; the receiver terminates the
    /// upstream.
    pub started: mpsc::UnboundedSender<CrashTrigger>,
}

/// Serves one incarnation of an upstream until the task is dropped.
pub async fn serve_upstream(
    listener: TcpListener,
    id: String,
    runs: SharedRuns,
    crashing: Option<CrashingRequest>,
    signals: SharedSignals,
) {
    let answer = move |request: Request<Incoming>| {
        let signals = signals.clone();
        let refusal = signals.receive(request.headers());
        let response = answer(id.clone(), runs.clone(), crashing.clone(), request);
        async move {
            match refusal {
                Some(refusal) => Ok(refusal),
                None => Ok(signals.with_headers(response.await?)),
            }
        }
    };
    serve(listener, answer).await;
}

async fn answer(
    id: String,
    runs: SharedRuns,
    crashing: Option<CrashingRequest>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ServeError> {
    let (head, body) = request.into_parts();
    let text = |name: &str| header_text(&head.headers, name);
    let attempt = text(ATTEMPT_HEADER);
    if text(EXPECT_HEADER) != id {
        return Ok(full_response(StatusCode::MISDIRECTED_REQUEST, &attempt, Bytes::new(), None));
    }
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let fault = next_fault(&runs, &attempt, parse_fault(&head.headers));
    if fault == RequestedFault::Refuse {
        return Ok(not_run(&attempt));
    }
    record_run(&runs, &id, &attempt, &head.headers);
    if let Some(crashing) = crashing {
        if crashing.body == body {
            crashing.started.send(CrashTrigger::Body).ok();
            // There is no response: the upstream is terminated first.
            std::future::pending::<()>().await;
        }
        if has_part(&text(PROMPT_PARTS_HEADER), &crashing.prompt_part) {
            crashing.started.send(CrashTrigger::PromptPart).ok();
        }
    }
    match fault {
        RequestedFault::Lose => return Err(ServeError::Broken),
        RequestedFault::Slow => tokio::time::sleep(Duration::from_secs(1)).await,
        RequestedFault::NoResponse => std::future::pending().await,
        RequestedFault::None
        | RequestedFault::Refuse
        | RequestedFault::Break
        | RequestedFault::Stall
        | RequestedFault::WrongAttempt
        | RequestedFault::Unsealed => {}
    }
    if let Some(count) = head.uri.path().split(EVENTS_PATH).nth(1) {
        let from = text("last-event-id").parse().unwrap_or(0);
        return Ok(stream(&id, &attempt, from, count.parse().unwrap_or(0), fault));
    }
    let seal = (fault != RequestedFault::Unsealed).then_some(id.as_str());
    let echoed = if fault == RequestedFault::WrongAttempt { "another" } else { &attempt };
    Ok(full_response(StatusCode::OK, echoed, body, seal))
}

/// Fault to inject now: each attempt fails once.
fn next_fault(runs: &SharedRuns, attempt: &str, fault: RequestedFault) -> RequestedFault {
    let is_first =
        fault == RequestedFault::None || runs.lock().failed_once.insert(attempt.to_owned());
    match fault {
        fault if is_first => fault,
        RequestedFault::Stall => RequestedFault::NoResponse,
        _ => RequestedFault::None,
    }
}

/// Whether a prompt has this part, not counting the last one, which belongs to the request alone.
fn has_part(prompt_parts: &str, id: &str) -> bool {
    let mut parts: Vec<_> = prompt_parts.split(',').collect();
    parts.pop();
    !id.is_empty() && parts.iter().any(|part| part.split(':').next() == Some(id))
}

fn record_run(runs: &SharedRuns, id: &str, attempt: &str, headers: &HeaderMap) {
    let mut runs = runs.lock();
    runs.by_attempt.entry(attempt.to_owned()).or_default().push(id.to_owned());
    if let Some(account) = headers.get(ACCOUNT_HEADER).and_then(|value| value.to_str().ok()) {
        runs.accounts.insert(account.to_owned());
    }
    if headers.contains_key(http::header::AUTHORIZATION) {
        runs.leaked.push("authorization".to_owned());
    }
}

fn full_response(
    status: StatusCode,
    attempt: &str,
    body: Bytes,
    seal: Option<&str>,
) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    sealed_response(status, attempt, body, seal)
}

/// Response to an attempt that was not run.
pub(crate) fn not_run(attempt: &str) -> Response<Body> {
    let mut response = full_response(StatusCode::SERVICE_UNAVAILABLE, attempt, Bytes::new(), None);
    response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    response
}

/// Value of a header; empty if it is missing or not valid text.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Response with the attempt id and, if `seal` is given, the seal header.
pub(crate) fn sealed_response(
    status: StatusCode,
    attempt: &str,
    body: Body,
    seal: Option<&str>,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(attempt) {
        headers.insert(ATTEMPT_HEADER, value);
    }
    if let Some(value) = seal.and_then(|seal| HeaderValue::from_str(seal).ok()) {
        headers.insert(SEAL_HEADER, value);
    }
    response
}

fn stream(id: &str, attempt: &str, from: u64, count: u64, fault: RequestedFault) -> Response<Body> {
    let (sender, channel) = Channel::<Bytes, ServeError>::new(1);
    tokio::spawn(send_events(sender, id.to_owned(), from, count, fault));
    sealed_response(StatusCode::OK, attempt, channel.boxed_unsync(), Some(id))
}

async fn send_events(
    mut sender: Sender<Bytes, ServeError>,
    upstream: String,
    from: u64,
    count: u64,
    fault: RequestedFault,
) {
    for id in from + 1..=count {
        if fault == RequestedFault::Stall && id == from + 3 {
            tokio::time::sleep(STALL_PAUSE).await;
        }
        let breaks_at = match fault {
            RequestedFault::Break => Some(from + 3),
            RequestedFault::Stall => Some(from + 4),
            _ => None,
        };
        if breaks_at == Some(id) {
            sender.send_data(Bytes::from(format!("id: {id}\nda"))).await.ok();
            sender.abort(ServeError::Broken);
            return;
        }
        let event = format!("id: {id}\ndata: {upstream}\n\n");
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
