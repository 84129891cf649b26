//! What an upstream states about itself in its responses, and the requests that it received.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, Response};

use crate::http_server::Body;
use crate::upstream::{ATTEMPT_HEADER, header_text, not_run};

/// Requests per second that the upstream accepts from all hosts together.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-clayplank-limit");

/// States, with the value 1, that the upstream is leaving.
const LEAVING_HEADER: HeaderName = HeaderName::from_static("x-clayplank-leaving");

/// Host that a request was sent through, as named by the caller.
const HOST_HEADER: &str = "x-standin-host";

/// A request that an upstream received.
#[derive(Clone, Debug)]
pub struct Received {
    /// Host that sent it, as named by the caller; empty if the caller named none.
    pub host: String,
    /// Time of arrival.
    pub at: Instant,
    /// Backoff that its refusal requested, if it was refused so.
    pub backoff: Option<Duration>,
}

/// Refusals that request a backoff.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    backoff: Duration,
    /// Requests of each host that are refused.
    per_host: usize,
}

#[derive(Debug, Default)]
struct State {
    limit_per_s: Option<f64>,
    refusals: Refusals,
    /// Number of refused requests by host.
    refused: HashMap<String, usize>,
    is_leaving: bool,
    received: Vec<Received>,
}

/// Statements of one upstream; a test changes them while the upstream runs.
#[derive(Clone, Debug, Default)]
pub struct SharedSignals(Arc<Mutex<State>>);

impl SharedSignals {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Declares a limit in all later responses; `None` declares no limit.
    pub fn set_limit(&self, requests_per_s: Option<f64>) {
        self.lock().limit_per_s = requests_per_s;
    }

    /// Refuses the next requests of each host and requests a backoff with each refusal.
    pub fn request_backoff(&self, backoff: Duration, refusals_per_host: usize) {
        let mut state = self.lock();
        state.refusals = Refusals { backoff, per_host: refusals_per_host };
        state.refused.clear();
    }

    /// States in all later responses that the upstream is leaving.
    pub fn set_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// Arrival times of all requests so far.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().received.iter().map(|received| received.at).collect()
    }

    /// All requests so far.
    pub fn received(&self) -> Vec<Received> {
        self.lock().received.clone()
    }

    /// Records a request; returns the response if it is refused.
    pub(crate) fn receive(&self, headers: &HeaderMap) -> Option<Response<Body>> {
        let host = header_text(headers, HOST_HEADER);
        let mut state = self.lock();
        let Refusals { backoff, per_host } = state.refusals;
        let refused = state.refused.entry(host.clone()).or_default();
        let is_refused = *refused < per_host;
        *refused += usize::from(is_refused);
        let backoff = is_refused.then_some(backoff);
        state.received.push(Received { host, at: Instant::now(), backoff });
        drop(state);
        let seconds = HeaderValue::from_str(&backoff?.as_secs_f64().to_string()).ok()?;
        let mut response = not_run(&header_text(headers, ATTEMPT_HEADER));
        response.headers_mut().insert(RETRY_AFTER, seconds);
        Some(self.with_headers(response))
    }

    /// Adds the headers of the current statements to a response.
    pub(crate) fn with_headers(&self, mut response: Response<Body>) -> Response<Body> {
        let state = self.lock();
        let headers = response.headers_mut();
        let limit = state.limit_per_s.map(|limit| HeaderValue::from_str(&limit.to_string()));
        if let Some(Ok(value)) = limit {
            headers.insert(LIMIT_HEADER, value);
        }
        if state.is_leaving {
            headers.insert(LEAVING_HEADER, HeaderValue::from_static("1"));
        }
        drop(state);
        response
    }
}
