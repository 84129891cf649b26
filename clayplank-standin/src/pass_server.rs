//! HTTP server of an engine that runs in batch passes ([`crate::PassEngine`]); hosts forward requests to it.

use std::sync::Arc;
use std::time::Duration;

use clayplank_placement::EngineModel;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::net::TcpListener;

use crate::http_server::{Body, ServeError, empty, json, read_body, serve};
use crate::pass_response::generate;
use crate::pass_runner::PassRunner;
use crate::signals::SharedSignals;

/// Path at which an engine asks another one to prefill a part of a prompt.
pub(crate) const PARTS_PATH: &str = "/engine/parts";

const RESERVATIONS_PATH: &str = "/v1/reservations";
const REPORT_PATH: &str = "/v1/report";

/// Request to another engine to prefill one of `parts` equal parts of a prompt.
///
/// `ticket` names memory that was reserved there for this prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PartRequest {
    pub(crate) prompt_tokens: u64,
    pub(crate) parts: usize,
    pub(crate) ticket: Option<String>,
}

/// Reserves KV-cache memory under a ticket, or releases it. `hold_ms` is the time until the
/// reservation expires.
#[derive(Clone, Debug, Deserialize)]
struct ReservationRequest {
    ticket: String,
    #[serde(default)]
    tokens: u64,
    #[serde(default)]
    hold_ms: u64,
}

/// Serves one incarnation of an engine until the task is dropped.
pub async fn serve_pass_engine(
    listener: TcpListener,
    id: String,
    model: EngineModel,
    signals: SharedSignals,
) {
    let runner = Arc::new(PassRunner::new(model));
    tokio::spawn(Arc::clone(&runner).run_passes());
    let answer = move |request| answer(id.clone(), Arc::clone(&runner), signals.clone(), request);
    serve(listener, answer).await;
}

async fn answer(
    id: String,
    runner: Arc<PassRunner>,
    signals: SharedSignals,
    request: Request<Incoming>,
) -> Result<Response<Body>, ServeError> {
    let (head, body) = request.into_parts();
    let body = read_body(body).await;
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, REPORT_PATH) => report(&runner),
        (&Method::PUT, RESERVATIONS_PATH) => reserve(&runner, &body),
        (&Method::DELETE, RESERVATIONS_PATH) => release(&runner, &body),
        (&Method::POST, PARTS_PATH) => prefill_part(&runner, &body).await,
        _ => match signals.receive(&head.headers) {
            Some(refusal) => refusal,
            None => signals.with_headers(generate(&id, &runner, &head).await),
        },
    })
}

fn report(runner: &PassRunner) -> Response<Body> {
    let running = runner.running();
    let mut state = runner.lock();
    let reserved_tokens = state.memory.reserved_tokens();
    let used_tokens = state.memory.used_tokens();
    json(
        StatusCode::OK,
        &json!({
            "running": running,
            "pace": 1.0,
            "memory_tokens": runner.model.memory_tokens,
            "used_tokens": used_tokens,
            "reserved_tokens": reserved_tokens,
        }),
    )
}

fn reserve(runner: &PassRunner, body: &[u8]) -> Response<Body> {
    let Ok(call) = serde_json::from_slice::<ReservationRequest>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let hold = Duration::from_millis(call.hold_ms);
    let is_reserved = runner.lock().memory.reserve(&call.ticket, call.tokens, hold);
    empty(if is_reserved { StatusCode::OK } else { StatusCode::CONFLICT })
}

fn release(runner: &PassRunner, body: &[u8]) -> Response<Body> {
    let Ok(call) = serde_json::from_slice::<ReservationRequest>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    runner.lock().memory.release(&call.ticket);
    empty(StatusCode::OK)
}

/// Prefills a part for another engine; the response is the number of tokens reserved by the ticket.
async fn prefill_part(runner: &Arc<PassRunner>, body: &[u8]) -> Response<Body> {
    let Ok(call) = serde_json::from_slice::<PartRequest>(body) else {
        return empty(StatusCode::BAD_REQUEST);
    };
    let ticket_tokens = match &call.ticket {
        Some(ticket) => runner.lock().memory.ticket_tokens(ticket),
        None => 0,
    };
    let lacks_ticket = call.ticket.is_some() && ticket_tokens == 0;
    let Some(mut admission) = runner.admit(0).filter(|_| !lacks_ticket) else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    admission.prefill(call.prompt_tokens, call.parts).await;
    json(StatusCode::OK, &ticket_tokens)
}
