//! Host list of the platform, which is out of date by a fixed delay.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::http_server::{Body, ServeError, json, read_body, serve};

/// Status of each host, by name.
type States = BTreeMap<String, String>;

/// All versions of the list, with the time of each.
type Shared = Arc<Mutex<Vec<(Instant, States)>>>;

/// Serves until the task is dropped.
///
/// `GET /hosts` returns the list as of `lag` ago, `{"name": "live" | "leaving"}`;
/// `POST /hosts` with such an object updates the entries that it names.
pub async fn serve_platform(listener: TcpListener, hosts: Vec<String>, lag: Duration) {
    let live = hosts.into_iter().map(|name| (name, "live".to_owned())).collect();
    let shared = Arc::new(Mutex::new(vec![(Instant::now(), live)]));
    serve(listener, move |request| answer(Arc::clone(&shared), request, lag)).await;
}

async fn answer(
    shared: Shared,
    request: Request<Incoming>,
    lag: Duration,
) -> Result<Response<Body>, ServeError> {
    if request.method() == Method::POST {
        let changes: States =
            serde_json::from_slice(&read_body(request.into_body()).await).unwrap_or_default();
        let mut versions = shared.lock().unwrap_or_else(PoisonError::into_inner);
        let mut newest = versions.last().map(|(_, states)| states.clone()).unwrap_or_default();
        newest.extend(changes);
        versions.push((Instant::now(), newest.clone()));
        return Ok(json(StatusCode::OK, &newest));
    }
    let versions = shared.lock().unwrap_or_else(PoisonError::into_inner);
    let visible = versions.iter().rev().find(|(at, _)| at.elapsed() >= lag).or(versions.first());
    Ok(json(StatusCode::OK, &visible.map(|(_, states)| states)))
}
