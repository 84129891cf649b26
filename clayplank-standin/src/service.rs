//! A plain service that records every request it runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::fault::{Fault, FaultKind};
use crate::http_server::{Body, ServeError, json, read_body, serve};

/// Record of all requests that the service ran; tests compare it with what callers received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRecord {
    /// Number of runs by idempotency key, or by path for requests without a key.
    pub runs: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    record: ServiceRecord,
    fault: Option<Fault>,
}

type Shared = Arc<Mutex<State>>;

/// Serves until the task is dropped; each request takes `work`.
///
/// `GET /record` returns the record, `POST /faults` sets the fault to inject, and any other request
/// is run.
pub async fn serve_service(listener: TcpListener, work: Duration) {
    let shared = Shared::default();
    serve(listener, move |request| answer(Arc::clone(&shared), request, work)).await;
}

async fn answer(
    shared: Shared,
    request: Request<Incoming>,
    work: Duration,
) -> Result<Response<Body>, ServeError> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/record") => Ok(json(StatusCode::OK, &lock(&shared).record)),
        (&Method::POST, "/faults") => {
            let fault = serde_json::from_slice(&read_body(request.into_body()).await).ok();
            lock(&shared).fault = fault;
            Ok(json(StatusCode::OK, &fault))
        }
        _ => run(shared, request, &path, work).await,
    }
}

async fn run(
    shared: Shared,
    request: Request<Incoming>,
    path: &str,
    work: Duration,
) -> Result<Response<Body>, ServeError> {
    let key = request.headers().get("idempotency-key").and_then(|value| value.to_str().ok());
    let key = key.unwrap_or(path).to_owned();
    let body = read_body(request.into_body()).await;
    let (run, fault) = record_run(&shared, &key);
    match fault.map(|fault| fault.kind) {
        Some(FaultKind::Die) => std::process::exit(1),
        Some(FaultKind::LoseAnswer | FaultKind::DropStream) => return Err(ServeError::Broken),
        Some(FaultKind::Freeze) => std::future::pending().await,
        Some(FaultKind::Late) => {
            tokio::time::sleep(Duration::from_millis(fault.map_or(0, |f| f.delay_ms))).await
        }
        Some(FaultKind::AnswerTwice | FaultKind::OutOfOrder) | None => {}
    }
    tokio::time::sleep(work).await;
    let answer =
        serde_json::json!({ "path": path, "run": run, "echo_bytes": body.len(), "key": key });
    Ok(json(StatusCode::OK, &answer))
}

/// Counts a run. Returns its number and the fault to inject.
fn record_run(shared: &Shared, key: &str) -> (u64, Option<Fault>) {
    let mut state = lock(shared);
    let runs = state.record.runs.entry(key.to_owned()).or_default();
    *runs += 1;
    let run = *runs;
    let active = state.fault.filter(|fault| fault.count > 0);
    if let Some(fault) = &mut state.fault {
        fault.count = fault.count.saturating_sub(1);
    }
    (run, active)
}

fn lock(shared: &Shared) -> std::sync::MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}
