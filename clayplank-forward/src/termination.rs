//! Determines whether an upstream terminated when requests that it ran broke off.
//!
//! A connection may break because it was cut or reset, or because the upstream sent a malformed
//! response. The upstream has terminated if nothing listens at its address any more, or if a new
//! incarnation of it appears.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_connect::Connector;
use clayplank_registry::Record;
use clayplank_types::{Fingerprint, ObservedOutcome, SuspectKind, UpstreamId};

use crate::call::Call;
use crate::entry::Entry;
use crate::exchange::is_refused;
use crate::quarantine::{Observation, QuarantineKeys, RequestQuarantine};
use crate::survivals::{AnswerProgress, SURVIVAL_TIME};

/// Delay between a broken connection and the check whether the upstream still listens: nearly all
/// connections of a terminating upstream break within this time.
const LISTEN_CHECK_DELAY: Duration = Duration::from_millis(5);

/// Delays before the checks for a successor. Where a terminated upstream listened, its next
/// incarnation may already be listening; it becomes known by its first heartbeats.
const SUCCESSOR_CHECK_DELAYS: [Duration; 2] =
    [Duration::from_millis(1_000), Duration::from_millis(3_000)];

/// Maximum number of fingerprints in one log line.
const MAX_LOGGED_FINGERPRINTS: usize = 16;

/// A request that ran at an upstream when its connection broke or its time-out passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenRequest {
    /// Fingerprints of the request, and of those parts of its prompt that may have terminated the
    /// upstream.
    pub keys: QuarantineKeys,
    /// Caller of the request; empty if unknown.
    pub caller: String,
    /// Time of the break.
    pub at: Instant,
}

/// Evidence that an upstream has terminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TerminationEvidence {
    /// Connections to its address are refused.
    Refused,
    /// A new incarnation of it is running.
    Replaced,
}

impl TerminationEvidence {
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
        }
    }
}

/// Whether nothing listens any more at an address where a connection has just broken.
pub async fn has_stopped_listening(connector: &Connector, address: SocketAddr) -> bool {
    clayplank_clock::sleep(LISTEN_CHECK_DELAY).await;
    is_refused(connector, address).await
}

/// The first fingerprints as text for a log line.
fn loggable(fingerprints: &BTreeSet<Fingerprint>) -> String {
    let logged: Vec<_> =
        fingerprints.iter().take(MAX_LOGGED_FINGERPRINTS).map(ToString::to_string).collect();
    logged.join(" ")
}

impl RequestQuarantine {
    /// Logs that an upstream terminated under requests, and reports each of them.
    pub fn report_termination(
        &self,
        upstream: &UpstreamId,
        cause: TerminationEvidence,
        breaks: Vec<BrokenRequest>,
    ) {
        let requests = breaks.iter().map(|one| one.keys.request).collect();
        let parts = breaks.iter().flat_map(|one| one.keys.prompt_parts.iter().copied()).collect();
        log::info!(target: "forward",
            upstream = upstream.as_str(), cause = cause.as_str(), requests = breaks.len(),
            fingerprints = loggable(&requests), prompt_parts = loggable(&parts);
            "An upstream ended under requests");
        for BrokenRequest { keys, caller, at } in breaks {
            let request = keys.request;
            let parts = keys.prompt_parts.into_iter().map(|part| (SuspectKind::PromptPart, part));
            for (kind, fingerprint) in parts.chain([(SuspectKind::Request, request)]) {
                let (caller, outcome) = (caller.clone(), ObservedOutcome::Ended(upstream.clone()));
                self.record_terminated(Observation {
                    kind,
                    fingerprint,
                    request,
                    caller,
                    has_survived: self.has_survived(fingerprint),
                    outcome,
                    at,
                });
            }
        }
    }
}

/// Broken requests by upstream, while it is unknown whether the upstream terminated.
#[derive(Debug, Default)]
pub(crate) struct PendingBreaks {
    pending: Mutex<HashMap<UpstreamId, Vec<BrokenRequest>>>,
}

impl PendingBreaks {
    /// Adds a broken request; returns whether it is the only one pending at its upstream.
    fn add(&self, upstream: &UpstreamId, broken: BrokenRequest) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let breaks = pending.entry(upstream.clone()).or_default();
        breaks.push(broken);
        breaks.len() == 1
    }

    fn take(&self, upstream: &UpstreamId) -> Vec<BrokenRequest> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.remove(upstream).unwrap_or_default()
    }
}

impl Call {
    /// Records that an upstream did not complete its answer to this request, which had come this far.
    pub(crate) fn record_break(&self, upstream: &UpstreamId, progress: AnswerProgress) {
        let entry = &self.entry;
        let Some(record) = entry.directory.record(upstream) else {
            return;
        };
        if entry.directory.has_announced_departure(&record) {
            return;
        }
        let keys = if progress.is_suspicious() {
            self.keys.clone()
        } else {
            QuarantineKeys::of_request(self.keys.request)
        };
        let broken = BrokenRequest { keys, caller: self.caller.clone(), at: Instant::now() };
        if entry.pending_breaks.add(upstream, broken) {
            tokio::spawn(check_terminated(Arc::clone(entry), record));
        }
    }

    /// Checks in the background whether an upstream survives a request that it has answered, if a
    /// part of its prompt is a suspect. Without the check, a part whose prompts are no longer sent
    /// would remain one.
    pub(crate) fn confirm_survival(&self, upstream: &UpstreamId, begun_at: Instant) {
        let parts = &self.keys.prompt_parts;
        if !self.entry.quarantine.has_suspects(parts) {
            return;
        }
        let Some(record) = self.entry.directory.record(upstream) else {
            return;
        };
        let (entry, parts) = (Arc::clone(&self.entry), parts.clone());
        tokio::spawn(async move {
            clayplank_clock::sleep(SURVIVAL_TIME).await;
            if entry.connector.connect(record.heartbeat.address).await.is_ok() {
                entry.quarantine.record_parts_survived(&parts, begun_at);
            }
        });
    }
}

/// Determines whether an upstream terminated after requests broke off, and reports it if so.
async fn check_terminated(entry: Arc<Entry>, record: Record) {
    let has_stopped = has_stopped_listening(&entry.connector, record.heartbeat.address).await;
    // A later break starts a new check: an upstream that is running now may terminate a moment
    // later.
    let breaks = entry.pending_breaks.take(&record.heartbeat.id);
    let cause = if has_stopped {
        TerminationEvidence::Refused
    } else if has_successor_soon(&entry, &record).await {
        TerminationEvidence::Replaced
    } else {
        return;
    };
    entry.metrics.count_attempt("upstream_ended");
    entry.quarantine.report_termination(&record.heartbeat.id, cause, breaks);
}

/// Whether a new incarnation of an upstream appears soon.
async fn has_successor_soon(entry: &Entry, record: &Record) -> bool {
    for delay in SUCCESSOR_CHECK_DELAYS {
        clayplank_clock::sleep(delay).await;
        if entry.directory.has_successor(&record.heartbeat) {
            return true;
        }
    }
    false
}
