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

impl Inner {
    /// Remaining time of the backoff that an upstream requested from this host, in ms.
    pub(crate) fn backoff_left_ms(&self, now_ms: u64, id: &UpstreamId) -> u64 {
        self.stats.get(id).map_or(0, |stats| stats.backoff_left_ms(now_ms))
    }

    /// Whether an upstream stated in an answer that it is leaving. Later heartbeats and answers do
    /// not revoke this: they may have been sent before.
    pub(crate) fn is_leaving(&self, id: &UpstreamId) -> bool {
        self.stats.get(id).is_some_and(|stats| stats.is_leaving)
    }

    /// Whether an upstream wants no requests from this host.
    fn is_unavailable(&self, now_ms: u64, id: &UpstreamId) -> bool {
        self.is_leaving(id) || self.backoff_left_ms(now_ms, id) > 0
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
        self.lock().stats.entry(id.clone()).or_default().record_backoff(now_ms, backoff_ms);
    }

    /// Remaining time of the backoff that an upstream requested from this host; zero without one.
    pub fn backoff_left(&self, id: &UpstreamId) -> Duration {
        Duration::from_millis(self.lock().backoff_left_ms(now_ms(), id))
    }

    /// Time until the first upstream of a service ends its backoff; zero if one accepts requests
    /// now, or if none accepts work at all.
    pub fn shortest_backoff(&self, service: &str) -> Duration {
        let now_ms = now_ms();
        let inner = self.lock();
        let shortest_ms = inner.backoffs(now_ms, service).map(|(_, left_ms)| left_ms).min();
        Duration::from_millis(shortest_ms.unwrap_or_default())
    }

    /// Whether an upstream wants no requests from this host.
    pub fn is_unavailable(&self, id: &UpstreamId) -> bool {
        self.lock().is_unavailable(now_ms(), id)
    }

    /// Upstreams of a service that want no requests from this host.
    pub fn unavailable(&self, service: &str) -> Vec<UpstreamId> {
        let now_ms = now_ms();
        let inner = self.lock();
        let of_service = inner.records.iter().filter(|(_, one)| one.heartbeat.service == service);
        let unavailable = of_service.filter(|(id, _)| inner.is_unavailable(now_ms, id));
        unavailable.map(|(id, _)| id.clone()).collect()
    }

    /// Number of upstreams in a backoff.
    pub fn count_in_backoff(&self) -> usize {
        let now_ms = now_ms();
        let inner = self.lock();
        inner.stats.values().filter(|stats| stats.backoff_left_ms(now_ms) > 0).count()
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

    /// Records that an upstream stated in an answer that it is leaving; returns whether this was
    /// unknown.
    pub fn record_leaving(&self, id: &UpstreamId) -> bool {
        let mut inner = self.lock();
        let stats = inner.stats.entry(id.clone()).or_default();
        !std::mem::replace(&mut stats.is_leaving, true)
    }

    /// Whether an upstream stated in an answer that it is leaving.
    pub fn is_leaving(&self, id: &UpstreamId) -> bool {
        self.lock().is_leaving(id)
    }

    /// Number of upstreams that stated that they are leaving and have not departed yet.
    pub fn count_leaving(&self) -> usize {
        let inner = self.lock();
        let running =
            inner.records.values().filter(|one| one.heartbeat.standing != UpstreamStatus::Gone);
        running.filter(|one| inner.is_leaving(&one.heartbeat.id)).count()
    }
}
