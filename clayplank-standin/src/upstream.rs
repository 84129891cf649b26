//! An upstream of forwarded requests: it runs what it gets, streams events, and
//! fails as a request's own header asks.

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

use crate::http_util::{Body, ServeError, serve};
use crate::limit::SharedLimit;

/// Names the fault that a request asks for.
const FAULT_HEADER: &str = "x-standin-fault";

pub(crate) const ATTEMPT_HEADER: &str = "x-clayplank-attempt-id";
pub(crate) const EXPECT_HEADER: &str = "x-clayplank-expect-upstream";
const SEAL_HEADER: &str = "x-clayplank-seal";
const NOT_RUN_HEADER: &str = "x-clayplank-not-run";
const ACCOUNT_HEADER: &str = "x-clayplank-account";

/// Paths under this answer with as many events as the rest of the path says.
const EVENTS_PATH: &str = "/events/";

/// How long a stream falters: longer than hosts wait before they ask another upstream.
const FALTER_PAUSE: Duration = Duration::from_millis(1_700);

/// What all upstreams of a test ran.
#[derive(Debug, Default)]
pub struct Runs {
    /// By attempt: the upstreams that ran it, in order.
    pub by_attempt: BTreeMap<String, Vec<String>>,
    /// Accounts that upstreams were told.
    pub accounts: BTreeSet<String>,
    /// Headers that must not reach an upstream, and did.
    pub leaked: Vec<String>,
    /// Attempts whose fault was played.
    faulty: BTreeSet<String>,
}

/// Runs that several upstreams share.
#[derive(Clone, Debug, Default)]
pub struct SharedRuns(Arc<Mutex<Runs>>);

impl SharedRuns {
    /// What was run so far.
    pub fn lock(&self) -> MutexGuard<'_, Runs> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How often an attempt ran.
    pub fn count(&self, attempt: &str) -> usize {
        self.lock().by_attempt.get(attempt).map_or(0, Vec::len)
    }
}

/// How a request wants to fail, at the first upstream that gets it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wish {
    None,
    /// Says that it did not run the request.
    Refuse,
    /// Runs it and closes without an answer.
    Lose,
    /// Breaks off inside the second event.
    Break,
    /// Answers with another attempt's id.
    Foreign,
    /// Answers without its mark.
    Unsealed,
    /// Takes a second until its answer.
    Slow,
    /// Is silent for a while after the second event, goes on, and breaks off inside the fourth.
    Falter,
    /// Gives no answer: the upstreams that get an attempt after the one that faltered.
    Silent,
}

fn scan_wish(headers: &HeaderMap) -> Wish {
    match headers.get(FAULT_HEADER).map(HeaderValue::as_bytes) {
        Some(b"refuse") => Wish::Refuse,
        Some(b"lose") => Wish::Lose,
        Some(b"break") => Wish::Break,
        Some(b"foreign") => Wish::Foreign,
        Some(b"unsealed") => Wish::Unsealed,
        Some(b"slow") => Wish::Slow,
        Some(b"falter") => Wish::Falter,
        _ => Wish::None,
    }
}

/// A request that ends the upstreams that begin to run it.
#[derive(Clone, Debug)]
pub struct CrashingRequest {
    /// Its body.
    pub body: Bytes,
    /// Told each time that it begins to run; whoever hears of it ends the upstream.
    pub begun: mpsc::UnboundedSender<()>,
}

/// Serves one life of an upstream until the task is dropped.
pub async fn serve_upstream(
    listener: TcpListener,
    id: String,
    runs: SharedRuns,
    crashing: Option<CrashingRequest>,
    limit: SharedLimit,
) {
    let answer = move |request| {
        let limit = limit.clone();
        let answered = answer(id.clone(), runs.clone(), crashing.clone(), request);
        async move {
            limit.note_arrival();
            Ok(limit.named_in(answered.await?))
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
        return Ok(whole(StatusCode::MISDIRECTED_REQUEST, &attempt, Bytes::new(), None));
    }
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let wish = take_wish(&runs, &attempt, scan_wish(&head.headers));
    if wish == Wish::Refuse {
        return Ok(not_run(&attempt));
    }
    note_run(&runs, &id, &attempt, &head.headers);
    if let Some(crashing) = crashing.filter(|crashing| crashing.body == body) {
        crashing.begun.send(()).ok();
        // It has no answer: the upstream ends first.
        std::future::pending::<()>().await;
    }
    match wish {
        Wish::Lose => return Err(ServeError::Broken),
        Wish::Slow => tokio::time::sleep(Duration::from_secs(1)).await,
        Wish::Silent => std::future::pending().await,
        Wish::None | Wish::Refuse | Wish::Break | Wish::Falter | Wish::Foreign | Wish::Unsealed => {
        }
    }
    if let Some(count) = head.uri.path().split(EVENTS_PATH).nth(1) {
        let from = text("last-event-id").parse().unwrap_or(0);
        return Ok(stream(&id, &attempt, from, count.parse().unwrap_or(0), wish));
    }
    let seal = (wish != Wish::Unsealed).then_some(id.as_str());
    let echoed = if wish == Wish::Foreign { "another" } else { &attempt };
    Ok(whole(StatusCode::OK, echoed, body, seal))
}

/// The fault to play now: each attempt fails once.
fn take_wish(runs: &SharedRuns, attempt: &str, wish: Wish) -> Wish {
    let is_first = wish == Wish::None || runs.lock().faulty.insert(attempt.to_owned());
    match wish {
        wish if is_first => wish,
        Wish::Falter => Wish::Silent,
        _ => Wish::None,
    }
}

fn note_run(runs: &SharedRuns, id: &str, attempt: &str, headers: &HeaderMap) {
    let mut runs = runs.lock();
    runs.by_attempt.entry(attempt.to_owned()).or_default().push(id.to_owned());
    if let Some(account) = headers.get(ACCOUNT_HEADER).and_then(|value| value.to_str().ok()) {
        runs.accounts.insert(account.to_owned());
    }
    if headers.contains_key(http::header::AUTHORIZATION) {
        runs.leaked.push("authorization".to_owned());
    }
}

fn whole(status: StatusCode, attempt: &str, body: Bytes, seal: Option<&str>) -> Response<Body> {
    let body = Full::new(body).map_err(|never| match never {}).boxed_unsync();
    marked(status, attempt, body, seal)
}

/// The answer to an attempt that was not run.
pub(crate) fn not_run(attempt: &str) -> Response<Body> {
    let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, attempt, Bytes::new(), None);
    response.headers_mut().insert(NOT_RUN_HEADER, HeaderValue::from_static("1"));
    response
}

/// A header's text; empty if it is missing or no text.
pub(crate) fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

pub(crate) fn marked(
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

fn stream(id: &str, attempt: &str, from: u64, count: u64, wish: Wish) -> Response<Body> {
    let (sender, channel) = Channel::<Bytes, ServeError>::new(1);
    tokio::spawn(send_events(sender, id.to_owned(), from, count, wish));
    marked(StatusCode::OK, attempt, channel.boxed_unsync(), Some(id))
}

async fn send_events(
    mut sender: Sender<Bytes, ServeError>,
    upstream: String,
    from: u64,
    count: u64,
    wish: Wish,
) {
    for id in from + 1..=count {
        if wish == Wish::Falter && id == from + 3 {
            tokio::time::sleep(FALTER_PAUSE).await;
        }
        let breaks_at = match wish {
            Wish::Break => Some(from + 3),
            Wish::Falter => Some(from + 4),
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
