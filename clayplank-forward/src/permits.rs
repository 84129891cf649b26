//! Chooses an upstream of a plain service, and waits for a permit if the upstream has a rate limit.

use std::time::Duration;

use clayplank_registry::Record;

use crate::availability::NextOpening;
use crate::call::Call;
use crate::choice::{Chosen, NO_UPSTREAM_RETRY_MS};
use crate::directory::Choice;
use crate::entry::Entry;
use crate::load::LoadGuard;
use crate::placer::PermitReply;
use crate::refusal::Refusal;

/// While no host grants permits, the hosts that may send are drawn by chance, anew in each interval
/// of this length.
const REDRAW_INTERVAL: Duration = Duration::from_secs(1);

/// Result of waiting for a permit.
enum PermitWait {
    /// The request may be sent, and has been counted at the upstream.
    Granted,
    /// No permit is available before this time.
    NotBefore(Duration),
    /// The upstream no longer accepts new work.
    Unusable,
}

impl Call {
    /// Chooses an upstream of a plain service: one that accepts the request at once, or else the
    /// one with the earliest permit or end of a backoff if that is in time. A request that cannot be
    /// sent in time is rejected at once.
    pub(crate) async fn choose_service(&self) -> Result<Chosen, Refusal> {
        let directory = &self.entry.directory;
        loop {
            if let Some(record) = self.choose_immediately().await {
                return Ok(self.chosen(record));
            }
            let Some(opening) = directory.next_opening(&self.service, &self.tried) else {
                return Err(Refusal::NotRun { retry_after_ms: NO_UPSTREAM_RETRY_MS });
            };
            match opening {
                NextOpening::BackoffEnd(wait) if wait <= self.max_backoff_wait() => {
                    clayplank_clock::sleep(wait).await;
                }
                NextOpening::Permit(record, wait) if wait <= self.remaining_goal() => {
                    let timeout = self.remaining_goal();
                    match self.acquire_permit(&record, timeout).await {
                        PermitWait::Granted => return Ok(self.chosen(record)),
                        PermitWait::NotBefore(wait) => return Err(not_before(wait)),
                        PermitWait::Unusable => {}
                    }
                }
                NextOpening::BackoffEnd(wait) | NextOpening::Permit(_, wait) => {
                    return Err(not_before(wait));
                }
            }
        }
    }

    /// Returns an upstream that accepts the request without a wait.
    async fn choose_immediately(&self) -> Option<Record> {
        let Entry { directory, data_centre, .. } = &*self.entry;
        loop {
            match directory.choose(&self.service, data_centre, &self.tried)? {
                Choice::Counted(record) => return Some(record),
                Choice::NeedsPermit(record) => {
                    match self.acquire_permit(&record, Duration::ZERO).await {
                        PermitWait::Granted => return Some(record),
                        PermitWait::NotBefore(_) | PermitWait::Unusable => {}
                    }
                }
            }
        }
    }

    fn chosen(&self, record: Record) -> Chosen {
        let load = LoadGuard::new(&self.entry, &record.heartbeat, None);
        Chosen { record, helpers: String::new(), expected_ms: 0.0, load }
    }

    /// Requests a permit within the time-out and waits for it.
    async fn acquire_permit(&self, record: &Record, timeout: Duration) -> PermitWait {
        let (directory, id) = (&self.entry.directory, &record.heartbeat.id);
        let Some(limit) = directory.limit(id) else {
            directory.count_permitted(id);
            return PermitWait::Granted;
        };
        let wait = match self.entry.placer.request_permit(&limit, timeout).await {
            PermitReply::After(wait) => {
                clayplank_clock::sleep(wait).await;
                // By now the upstream may have departed, its data centre may be cordoned, or it may have
                // requested a backoff.
                if !directory.accepts_request(id) {
                    return PermitWait::Unusable;
                }
                directory.count_permitted(id);
                return PermitWait::Granted;
            }
            PermitReply::Unknown if directory.count_without_permit(&record.heartbeat) => {
                return PermitWait::Granted;
            }
            PermitReply::Unknown => REDRAW_INTERVAL,
            PermitReply::NotBefore(wait) => wait,
        };
        directory.record_no_permit(id, wait);
        PermitWait::NotBefore(wait)
    }
}

/// Refusal of a request that no upstream accepts before a time.
fn not_before(wait: Duration) -> Refusal {
    Refusal::NotRun { retry_after_ms: wait.as_millis() as u64 }
}
