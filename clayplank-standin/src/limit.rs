//! The limit that an upstream names in its answers, and the requests that it got.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use http::{HeaderName, HeaderValue, Response};

use crate::http_util::Body;

/// Requests a second that it takes from all hosts.
const LIMIT_HEADER: HeaderName = HeaderName::from_static("x-clayplank-limit");

#[derive(Debug, Default)]
struct State {
    requests_per_s: Option<f64>,
    arrivals: Vec<Instant>,
}

/// The limit of one upstream, which a test names and takes back.
#[derive(Clone, Debug, Default)]
pub struct SharedLimit(Arc<Mutex<State>>);

impl SharedLimit {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Names a limit in all answers from now on; `None` for none.
    pub fn set(&self, requests_per_s: Option<f64>) {
        self.lock().requests_per_s = requests_per_s;
    }

    /// When requests came.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    pub(crate) fn note_arrival(&self) {
        self.lock().arrivals.push(Instant::now());
    }

    /// The answer with the limit in its head.
    pub(crate) fn named_in(&self, mut response: Response<Body>) -> Response<Body> {
        let limit = self.lock().requests_per_s;
        if let Some(value) = limit.and_then(|limit| HeaderValue::from_str(&limit.to_string()).ok())
        {
            response.headers_mut().insert(LIMIT_HEADER, value);
        }
        response
    }
}
