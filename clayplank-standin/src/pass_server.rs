//! An engine of the pass model behind HTTP, as hosts forward requests to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clayplank_placement::EngineModel;
use http::request::Parts;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use http_body_util::channel::{Channel, Sender};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use crate::call::post_json;
use crate::http_util::{Body, ServeError, empty, json, read_body, serve};
use crate::pass_run::{PassRun, Place};
use crate::upstream::{ATTEMPT_HEADER, EXPECT_HEADER, header_text, marked, not_run};

/// Tokens of the prompt and the most of the answer.
const TOKENS_HEADER: &str = "x-clayplank-tokens";

/// Engines that read with this one, each with the name of what it holds.
const HELPERS_HEADER: &str = "x-clayplank-helpers";

/// Requests running, waiting, and slots.
const LOAD_HEADER: &str = "x-clayplank-load";

const AT_FAULT_HEADER: &str = "x-clayplank-at-fault";

/// Calls among the engines themselves.
const PARTS_PATH: &str = "/engine/parts";

const RESERVATIONS_PATH: &str = "/v1/reservations";
const REPORT_PATH: &str = "/v1/report";

/// Time for another engine to read its part.
const PART_PATIENCE: Duration = Duration::from_secs(30);

/// A part of a prompt that another engine should read.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PartCall {
    prompt_tokens: u64,
    parts: usize,
    ticket: Option<String>,
}

/// Memory to be set aside or given back.
#[derive(Clone, Debug, Deserialize)]
struct ReservationCall {
    ticket: String,
    #[serde(default)]
    tokens: u64,
    #[serde(default)]
    hold_ms: u64,
}

/// An engine that reads a part.
#[derive(Clone, Debug)]
struct Helper {
    address: SocketAddr,
    ticket: Option<String>,
}

/// Serves one life of an engine until the task is dropped.
pub async fn serve_pass_engine(listener: TcpListener, id: String, model: EngineModel) {
    let run = Arc::new(PassRun::new(model));
    tokio::spawn(Arc::clone(&run).play());
    serve(listener, move |request| answer(id.clone(), Arc::clone(&run), request)).await;
}

async fn answer(
    id: String,
    run: Arc<PassRun>,
    request: Request<Incoming>,
) -> Result<Response<Body>, ServeError> {
    let (head, body) = request.into_parts();
    let body = read_body(body).await;
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, REPORT_PATH) => report(&run),
        (&Method::PUT, RESERVATIONS_PATH) => reserve(&run, &body),
        (&Method::DELETE, RESERVATIONS_PATH) => release(&run, &body),
        (&Method::POST, PARTS_PATH) => read_part(&run, &body).await,
        _ => generate(&id, &run, &head).await,
    })
}

fn report(run: &PassRun) -> Response<Body> {
    let running = run.running();
    let mut state = run.lock();
    let reserved_tokens = state.memory.reserved_tokens();
    let used_tokens = state.memory.used_tokens();
    json(
        StatusCode::OK,
        &json!({
            "running": running,
            "pace": 1.0,
            "memory_tokens": run.model.memory_tokens,
            "used_tokens": used_tokens,
            "reserved_tokens": reserved_tokens,
        }),
    )
}

fn reserve(run: &PassRun, body: &[u8]) -> Response<Body> {
    let Ok(call) = serde_json::from_slice::<ReservationCall>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let hold = Duration::from_millis(call.hold_ms);
    let is_held = run.lock().memory.reserve(&call.ticket, call.tokens, hold);
    empty(if is_held { StatusCode::OK } else { StatusCode::CONFLICT })
}

fn release(run: &PassRun, body: &[u8]) -> Response<Body> {
    let Ok(call) = serde_json::from_slice::<ReservationCall>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    run.lock().memory.release(&call.ticket);
    empty(StatusCode::OK)
}

/// Reads a part for another engine, and tells how much of the prompt is held here.
async fn read_part(run: &Arc<PassRun>, body: &[u8]) -> Response<Body> {
    let Ok(call) = serde_json::from_slice::<PartCall>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let held_tokens = match &call.ticket {
        Some(ticket) => run.lock().memory.held_tokens(ticket),
        None => 0,
    };
    let lacks_ticket = call.ticket.is_some() && held_tokens == 0;
    let Some(mut place) = run.admit(0).filter(|_| !lacks_ticket) else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    place.read(call.prompt_tokens, call.parts).await;
    json(StatusCode::OK, &held_tokens)
}

/// Reads a prompt, with helpers if some are named, and streams the answer.
async fn generate(id: &str, run: &Arc<PassRun>, head: &Parts) -> Response<Body> {
    let attempt = header_text(&head.headers, ATTEMPT_HEADER);
    if header_text(&head.headers, EXPECT_HEADER) != id {
        return empty(StatusCode::MISDIRECTED_REQUEST);
    }
    let (prompt_tokens, output_tokens) = scan_tokens(&header_text(&head.headers, TOKENS_HEADER));
    let helpers = scan_helpers(&header_text(&head.headers, HELPERS_HEADER));
    let has_slot = run.running() < run.model.slots as usize;
    let ticket_tokens = if helpers.iter().any(|helper| helper.ticket.is_some()) {
        prompt_tokens - prompt_tokens / (helpers.len() as u64 + 1)
    } else {
        0
    };
    let memory_tokens = prompt_tokens + output_tokens - ticket_tokens;
    let Some(mut place) = run.admit(memory_tokens).filter(|_| has_slot) else {
        return not_run(&attempt);
    };
    let parts = helpers.len() + 1;
    let read_elsewhere = futures_util::future::join_all(helpers.iter().map(|helper| {
        let call = PartCall { prompt_tokens, parts, ticket: helper.ticket.clone() };
        post_json(helper.address, PARTS_PATH, call, PART_PATIENCE)
    }));
    let (answers, ()) = tokio::join!(read_elsewhere, place.read(prompt_tokens, parts));
    let is_read = |status: &Option<StatusCode>| status.is_some_and(|status| status.is_success());
    if let Some(failed) = answers.iter().position(|status| !is_read(status)) {
        return not_run_for(&attempt, helpers[failed].address);
    }
    place.write(prompt_tokens / parts as u64);
    let first = header_text(&head.headers, "last-event-id").parse().unwrap_or(0_u64);
    let events = output_tokens.div_ceil(u64::from(run.model.steps_per_event)).max(1);
    let (sender, channel) = Channel::<Bytes, ServeError>::new(1);
    tokio::spawn(send_events(sender, place, id.to_owned(), first, events));
    let mut response = marked(StatusCode::OK, &attempt, channel.boxed_unsync(), Some(id));
    let load = format!("{},0,{}", run.running(), run.model.slots);
    if let Ok(load) = load.parse() {
        response.headers_mut().insert(LOAD_HEADER, load);
    }
    response
}

/// Names the helper that is at fault that a request was not run.
fn not_run_for(attempt: &str, helper: SocketAddr) -> Response<Body> {
    let mut response = not_run(attempt);
    if let Ok(address) = helper.to_string().parse() {
        response.headers_mut().insert(AT_FAULT_HEADER, address);
    }
    response
}

/// Sends events as passes bring them; those up to `first` are known to the caller.
async fn send_events(
    mut sender: Sender<Bytes, ServeError>,
    mut place: Place,
    engine: String,
    first: u64,
    events: u64,
) {
    for number in first + 1..=events {
        let is_written = place.progress.wait_for(|progress| progress.events >= number - first);
        if is_written.await.is_err() {
            return;
        }
        let event = format!("id: {number}\ndata: {engine}\n\n");
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
    }
}

fn scan_tokens(text: &str) -> (u64, u64) {
    let (prompt, output) = text.split_once(',').unwrap_or((text, "0"));
    let read = |part: &str| part.trim().parse().unwrap_or(0);
    (read(prompt), read(output))
}

fn scan_helpers(text: &str) -> Vec<Helper> {
    let scan = |part: &str| {
        let (address, ticket) = part.split_once('/').unwrap_or((part, ""));
        let ticket = (!ticket.is_empty()).then(|| ticket.to_owned());
        Some(Helper { address: address.trim().parse().ok()?, ticket })
    };
    text.split(',').filter_map(scan).collect()
}
