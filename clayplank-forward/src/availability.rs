//! Upstreams that want no requests from this host, for a time or because they are leaving, and what
//! requests wait for when no upstream accepts them.

use std::time::Duration;

use clayplank_registry::{Record, UpstreamStatus};
use clayplank_types::UpstreamId;

use crate::clock::now_ms;
use crate::directory::{Directory, Inner};

/// What a request has to wait for when no upstream of its service accepts it at once.
#[derive(Clone, Debug, PartialEq)]
pub enum NextOpening {
    /// A permit for this upstream, which is available after this time at the earliest.
    Permit(Record, Duration),
    /// The end of a backoff that an upstream requested from this host.
    BackoffEnd(Duration),
}

impl NextOpening {
    fn wait(&self) -> Duration {
        match self {
            Self::Permit(_, wait) | Self::BackoffEnd(wait) => *wait,
        }
    }
}

/// Statements of an upstream by which it wants no requests from this host.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Unavailability {
    /// End of the backoff that it requested, in ms.
    backoff_until_ms: u64,
    /// Whether it stated that it is leaving. Later heartbeats and answers do not revoke this: they
    /// may have been sent before.
    is_leaving: bool,
}

impl Unavailability {
    fn backoff_left_ms(self, now_ms: u64) -> u64 {
        self.backoff_until_ms.saturating_sub(now_ms)
    }

    /// Whether the upstream still wants no requests.
    pub(crate) fn is_in_force(self, now_ms: u64) -> bool {
        self.is_leaving || self.backoff_left_ms(now_ms) > 0
    }

    /// Records a requested backoff. A shorter one does not end one that lasts longer: answers may
    /// arrive in another order than they were sent.
    fn record_backoff(&mut self, now_ms: u64, backoff_ms: u64) {
        self.backoff_until_ms = self.backoff_until_ms.max(now_ms.saturating_add(backoff_ms));
    }
}

impl Inner {
    fn unavailability(&self, id: &UpstreamId) -> Unavailability {
        self.unavailable.get(id).copied().unwrap_or_default()
    }

    /// Remaining time of the backoff that an upstream requested from this host, in ms.
    pub(crate) fn backoff_left_ms(&self, now_ms: u64, id: &UpstreamId) -> u64 {
        self.unavailability(id).backoff_left_ms(now_ms)
    }

    /// Whether an upstream stated in an answer that it is leaving.
    pub(crate) fn is_leaving(&self, id: &UpstreamId) -> bool {
        self.unavailability(id).is_leaving
    }

    /// Upstreams of a service that accept work, and what is left of their backoffs in ms.
    fn backoffs<'a>(
        &'a self,
        now_ms: u64,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a Record, u64)> {
        let usable = self.records.values().filter(move |record| {
            record.heartbeat.service == service && self.accepts_work(&record.heartbeat)
        });
        usable.map(move |record| (record, self.backoff_left_ms(now_ms, &record.heartbeat.id)))
    }

    /// What a request has to wait for at an upstream; `None` if that is unknown.
    fn next_opening(&self, now_ms: u64, record: &Record, backoff_ms: u64) -> Option<NextOpening> {
        let heartbeat = &record.heartbeat;
        if backoff_ms > 0 {
            return Some(NextOpening::BackoffEnd(Duration::from_millis(backoff_ms)));
        }
        if !self.needs_permit(now_ms, heartbeat) {
            return None;
        }
        let next_ms = self.stats.get(&heartbeat.id).map_or(0, |stats| stats.next_permit_ms);
        let wait = Duration::from_millis(next_ms.saturating_sub(now_ms));
        Some(NextOpening::Permit(record.clone(), wait))
    }
}

impl Directory {
    /// Records that an upstream requested a backoff from this host.
    pub fn record_backoff(&self, id: &UpstreamId, backoff_ms: u64) {
        let now_ms = now_ms();
        let mut inner = self.lock();
        inner.unavailable.entry(id.clone()).or_default().record_backoff(now_ms, backoff_ms);
    }

    /// Records that an upstream stated in an answer that it is leaving; returns whether this was
    /// unknown.
    pub fn record_leaving(&self, id: &UpstreamId) -> bool {
        let mut inner = self.lock();
        let unavailability = inner.unavailable.entry(id.clone()).or_default();
        let is_news = !std::mem::replace(&mut unavailability.is_leaving, true);
        drop(inner);
        self.notify_stopped_accepting();
        is_news
    }

    /// Remaining time of the backoff that an upstream requested from this host; zero without one.
    pub fn backoff_left(&self, id: &UpstreamId) -> Duration {
        Duration::from_millis(self.lock().backoff_left_ms(now_ms(), id))
    }

    /// Whether an upstream stated in an answer that it is leaving.
    pub fn is_leaving(&self, id: &UpstreamId) -> bool {
        self.lock().is_leaving(id)
    }

    /// Whether an upstream announced its departure, after which it may terminate at any time.
    pub(crate) fn has_announced_departure(&self, record: &Record) -> bool {
        record.heartbeat.standing != UpstreamStatus::Ready || self.is_leaving(&record.heartbeat.id)
    }

    /// Whether an upstream accepts a request from this host now.
    pub fn accepts_request(&self, id: &UpstreamId) -> bool {
        self.usable_record(id).is_some()
    }

    /// Upstreams of a service that want no requests from this host, and the remaining times of their
    /// backoffs in ms; `None` for those that are leaving.
    pub fn unavailable(&self, service: &str) -> Vec<(UpstreamId, Option<u64>)> {
        let now_ms = now_ms();
        let inner = self.lock();
        let in_force = inner.unavailable.iter().filter(|(_, one)| one.is_in_force(now_ms));
        let is_of_service = |id: &UpstreamId| {
            inner.records.get(id).is_some_and(|record| record.heartbeat.service == service)
        };
        let of_service = in_force.filter(|(id, _)| is_of_service(id));
        let left_ms = |one: &Unavailability| (!one.is_leaving).then(|| one.backoff_left_ms(now_ms));
        of_service.map(|(id, one)| (id.clone(), left_ms(one))).collect()
    }

    /// Time until the first upstream of a service ends its backoff; zero if one accepts requests
    /// now, or if none accepts work at all.
    pub fn shortest_backoff(&self, service: &str) -> Duration {
        let now_ms = now_ms();
        let inner = self.lock();
        if inner.unavailable.is_empty() {
            return Duration::ZERO;
        }
        let shortest_ms = inner.backoffs(now_ms, service).map(|(_, left_ms)| left_ms).min();
        Duration::from_millis(shortest_ms.unwrap_or_default())
    }

    /// What a request to a plain service can wait for, at the upstream with the shortest wait.
    /// Backoffs are left out if an upstream may accept requests sooner, at an unknown time.
    pub fn next_opening(&self, service: &str, excluded: &[UpstreamId]) -> Option<NextOpening> {
        let now_ms = now_ms();
        let inner = self.lock();
        let candidates = inner
            .backoffs(now_ms, service)
            .filter(|(record, _)| !excluded.contains(&record.heartbeat.id));
        let openings: Vec<_> = candidates
            .map(|(record, backoff_ms)| inner.next_opening(now_ms, record, backoff_ms))
            .collect();
        let is_one_unknown = openings.contains(&None);
        let is_known = |opening: &NextOpening| match opening {
            NextOpening::Permit(..) => true,
            NextOpening::BackoffEnd(_) => !is_one_unknown,
        };
        openings.into_iter().flatten().filter(is_known).min_by_key(NextOpening::wait)
    }

    /// Number of upstreams in a backoff.
    pub fn count_in_backoff(&self) -> usize {
        let now_ms = now_ms();
        let inner = self.lock();
        inner.unavailable.values().filter(|one| one.backoff_left_ms(now_ms) > 0).count()
    }

    /// Number of upstreams that stated that they are leaving and have not departed yet.
    pub fn count_leaving(&self) -> usize {
        let inner = self.lock();
        let is_running = |id: &UpstreamId| {
            let record = inner.records.get(id);
            record.is_some_and(|record| record.heartbeat.standing != UpstreamStatus::Gone)
        };
        inner.unavailable.iter().filter(|(id, one)| one.is_leaving && is_running(id)).count()
    }
}
