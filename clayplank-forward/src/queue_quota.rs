//! Bounds the requests that wait in the admission queue on behalf of this host, and their bodies.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bounds of the requests of one host that may wait in the admission queue at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum number of bytes of their bodies.
    pub bytes: usize,
}

#[derive(Debug, Default)]
struct Usage {
    /// `None` if no request may wait.
    limits: Option<QueueLimits>,
    requests: usize,
    bytes: usize,
}

/// Counts the requests that may wait in the admission queue.
#[derive(Clone, Debug, Default)]
pub(crate) struct QueueQuota {
    usage: Arc<Mutex<Usage>>,
}

impl QueueQuota {
    pub(crate) fn new(limits: Option<QueueLimits>) -> Self {
        Self { usage: Arc::new(Mutex::new(Usage { limits, ..Usage::default() })) }
    }

    fn lock(&self) -> MutexGuard<'_, Usage> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets new limits. Requests that are counted already remain so, even beyond lower limits.
    pub(crate) fn set_limits(&self, limits: Option<QueueLimits>) {
        self.lock().limits = limits;
    }

    /// Counts a request until the permit is dropped; `None` if the limits do not allow it.
    pub(crate) fn try_acquire(&self, body_bytes: usize) -> Option<QueuePermit> {
        let mut usage = self.lock();
        let limits = usage.limits?;
        let is_allowed = usage.requests < limits.requests
            && usage.bytes.saturating_add(body_bytes) <= limits.bytes;
        if !is_allowed {
            return None;
        }
        usage.requests += 1;
        usage.bytes += body_bytes;
        Some(QueuePermit { quota: self.clone(), requests: 1, body_bytes })
    }
}

/// Permission of one request to wait in the admission queue.
#[derive(Debug)]
pub(crate) struct QueuePermit {
    quota: QueueQuota,
    requests: usize,
    body_bytes: usize,
}

impl QueuePermit {
    /// Ends the permission to wait; the body remains counted until the permit is dropped.
    pub(crate) fn keep_body_only(&mut self) {
        self.quota.lock().requests -= std::mem::take(&mut self.requests);
    }
}

impl Drop for QueuePermit {
    fn drop(&mut self) {
        let mut usage = self.quota.lock();
        usage.requests -= self.requests;
        usage.bytes -= self.body_bytes;
    }
}
