//! Finds out whether an upstream ended when requests that it ran broke off.
//!
//! A connection that breaks may be a cut, a reset, or an answer that the upstream spoiled. It ended
//! if nobody listens at its address any more, or if another life of it follows.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_registry::{Record, Standing};
use clayplank_types::{RequestFingerprint, SeenOutcome, UpstreamId};

use crate::call::Call;
use crate::entry::Entry;
use crate::exchange::is_refused;
use crate::suspicion::{Observation, Suspicion};

/// From the break of a connection to the question whether somebody still listens: the connections
/// of an upstream that ends break within this time, nearly all.
const ASK_AFTER: Duration = Duration::from_millis(5);

/// Where an upstream listens that may have ended, its next life may listen already: it tells of
/// itself with its first heartbeats.
const NEXT_LIFE_AFTER: [Duration; 2] = [Duration::from_millis(1_000), Duration::from_millis(3_000)];

/// Fingerprints that one line of the log names.
const MAX_TOLD: usize = 16;

/// A request that ran at an upstream when its connection broke, or when nothing more came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Break {
    /// Which request.
    pub fingerprint: RequestFingerprint,
    /// Whose it is.
    pub caller: String,
    /// When.
    pub at: Instant,
}

/// By what it is known that an upstream has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// Nobody listens at its address.
    Refused,
    /// Another life of it follows.
    Replaced,
}

impl EndCause {
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Replaced => "replaced",
        }
    }
}

/// Whether nobody listens any more where a connection broke just now.
pub async fn has_stopped_listening(address: SocketAddr) -> bool {
    clayplank_clock::sleep(ASK_AFTER).await;
    is_refused(address).await
}

impl Suspicion {
    /// Tells that an upstream ended under requests.
    pub fn note_upstream_ended(&self, upstream: &UpstreamId, cause: EndCause, breaks: Vec<Break>) {
        let fingerprints: BTreeSet<_> = breaks.iter().map(|one| one.fingerprint).collect();
        let told: Vec<_> = fingerprints.iter().take(MAX_TOLD).map(ToString::to_string).collect();
        log::info!(target: "forward",
            upstream = upstream.as_str(), cause = cause.as_str(), requests = breaks.len(),
            fingerprints = told.join(" ");
            "An upstream ended under requests");
        for Break { fingerprint, caller, at } in breaks {
            let outcome = SeenOutcome::Ended(upstream.clone());
            self.note_ended(Observation { fingerprint, caller, outcome, at });
        }
    }
}

/// Breaks at upstreams of which is not known yet whether they ended.
#[derive(Debug, Default)]
pub(crate) struct Ends {
    pending: Mutex<HashMap<UpstreamId, Vec<Break>>>,
}

impl Ends {
    /// Adds a break; whether it is the first one at its upstream of which nothing is known yet.
    fn add(&self, upstream: &UpstreamId, one: Break) -> bool {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let breaks = pending.entry(upstream.clone()).or_default();
        breaks.push(one);
        breaks.len() == 1
    }

    fn take(&self, upstream: &UpstreamId) -> Vec<Break> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.remove(upstream).unwrap_or_default()
    }
}

impl Call {
    /// Notes that an upstream did not end its answer to this request.
    pub(crate) fn note_break(&self, upstream: &UpstreamId) {
        let entry = &self.entry;
        let Some(record) = entry.directory.record(upstream) else {
            return;
        };
        // One that said that it leaves may end as it likes.
        if record.heartbeat.standing != Standing::Ready {
            return;
        }
        let caller = self.caller.clone();
        let one = Break { fingerprint: self.fingerprint, caller, at: Instant::now() };
        if entry.ends.add(upstream, one) {
            tokio::spawn(find_out(Arc::clone(entry), record));
        }
    }
}

/// Finds out what became of an upstream at which requests broke off, and tells of its end.
async fn find_out(entry: Arc<Entry>, record: Record) {
    let is_over = has_stopped_listening(record.heartbeat.address).await;
    // From here on a further break asks anew: one that lives may end a moment later.
    let breaks = entry.ends.take(&record.heartbeat.id);
    let cause = if is_over {
        EndCause::Refused
    } else if is_replaced(&entry, &record).await {
        EndCause::Replaced
    } else {
        return;
    };
    entry.figures.count_attempt("upstream_ended");
    entry.suspicion.note_upstream_ended(&record.heartbeat.id, cause, breaks);
}

/// Whether another life of an upstream follows soon.
async fn is_replaced(entry: &Entry, record: &Record) -> bool {
    for pause in NEXT_LIFE_AFTER {
        clayplank_clock::sleep(pause).await;
        if entry.directory.has_successor(&record.heartbeat) {
            return true;
        }
    }
    false
}
