//! An engine of the pass model behind HTTP, as hosts forward requests to it.

use std::sync::Arc;
use std::time::Duration;

use clayplank_placement::EngineModel;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use crate::http_util::{Body, ServeError, empty, json, read_body, serve};
use crate::limit::SharedLimit;
use crate::pass_answer::generate;
use crate::pass_run::PassRun;

/// Calls among the engines themselves.
pub(crate) const PARTS_PATH: &str = "/engine/parts";

const RESERVATIONS_PATH: &str = "/v1/reservations";
const REPORT_PATH: &str = "/v1/report";

/// A part of a prompt that another engine should read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PartCall {
    pub(crate) prompt_tokens: u64,
    pub(crate) parts: usize,
    pub(crate) ticket: Option<String>,
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

/// Serves one life of an engine until the task is dropped.
pub async fn serve_pass_engine(
    listener: TcpListener,
    id: String,
    model: EngineModel,
    limit: SharedLimit,
) {
    let run = Arc::new(PassRun::new(model));
    tokio::spawn(Arc::clone(&run).play());
    let answer = move |request| answer(id.clone(), Arc::clone(&run), limit.clone(), request);
    serve(listener, answer).await;
}

async fn answer(
    id: String,
    run: Arc<PassRun>,
    limit: SharedLimit,
    request: Request<Incoming>,
) -> Result<Response<Body>, ServeError> {
    let (head, body) = request.into_parts();
    let body = read_body(body).await;
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, REPORT_PATH) => report(&run),
        (&Method::PUT, RESERVATIONS_PATH) => reserve(&run, &body),
        (&Method::DELETE, RESERVATIONS_PATH) => release(&run, &body),
        (&Method::POST, PARTS_PATH) => read_part(&run, &body).await,
        _ => {
            limit.note_arrival();
            limit.named_in(generate(&id, &run, &head).await)
        }
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
