//! The rate limit that an upstream declares in its responses, and the times of the requests it received.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use http::{HeaderName, HeaderValue, Response};

use crate::http_server::Body;

/// Requests per second that the upstream accepts from all hosts together.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-clayplank-limit");

#[derive(Debug, Default)]
struct State {
    requests_per_s: Option<f64>,
    arrivals: Vec<Instant>,
}

/// Rate limit of one upstream; a test sets and removes it while the upstream runs.
#[derive(Clone, Debug, Default)]
pub struct SharedLimit(Arc<Mutex<State>>);

impl SharedLimit {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Declares a limit in all later responses; `None` declares no limit.
    pub fn set(&self, requests_per_s: Option<f64>) {
        self.lock().requests_per_s = requests_per_s;
    }

    /// Arrival times of all requests so far.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    pub(crate) fn record_arrival(&self) {
        self.lock().arrivals.push(Instant::now());
    }

    /// Adds the header with the limit to a response, if a limit is set.
    pub(crate) fn with_limit_header(&self, mut response: Response<Body>) -> Response<Body> {
        let limit = self.lock().requests_per_s;
        if let Some(value) = limit.and_then(|limit| HeaderValue::from_str(&limit.to_string()).ok())
        {
            response.headers_mut().insert(LIMIT_HEADER, value);
        }
        response
    }
}
