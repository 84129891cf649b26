//! Requests that end upstreams, at the project's own doors.
//!
//! An upstream of the settings keeps its id and its address when it starts again, so that an end is
//! known by the attempt that broke off there.

use std::net::SocketAddr;
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_forward::{Observation, is_refused};
use clayplank_types::{Refusal, RefusalReason, RequestFingerprint, SeenOutcome, UpstreamId};

use crate::host::Host;
use crate::logging::part;

/// From the break of a connection to the question whether somebody still listens.
const ASK_AFTER: Duration = Duration::from_millis(5);

/// A request, as it is known again.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) caller: String,
}

impl Host {
    /// Refuses a request that is held back, unless this host may try it: once, at its first try.
    pub(crate) async fn let_through(
        &self,
        identity: &Identity,
        is_first_try: bool,
    ) -> Result<(), Refusal> {
        let fingerprint = identity.fingerprint;
        let let_through = if is_first_try {
            self.suspicion.let_through(fingerprint).await.map(|_| ())
        } else {
            let held_for = self.suspicion.held_for(fingerprint);
            held_for.map_or(Ok(()), |held_for| Err(held_for.as_millis() as u64))
        };
        let_through.map_err(|retry_after_ms| {
            log::info!(target: part::CALLERS,
                fingerprint:% = fingerprint;
                "Does not send a request that is held back");
            Refusal::new(RefusalReason::HeldBack, retry_after_ms)
        })
    }

    /// Finds out whether an upstream ended when it broke off an attempt, and tells so.
    pub(crate) fn note_break(
        &self,
        identity: &Identity,
        upstream: &UpstreamId,
        address: SocketAddr,
        attempt: &str,
    ) {
        let Some(host) = self.shared() else {
            return;
        };
        let (identity, at) = (identity.clone(), Instant::now());
        let life = UpstreamId::new(format!("{upstream}@{attempt}"));
        tokio::spawn(async move {
            clayplank_clock::sleep(ASK_AFTER).await;
            if !is_refused(address).await {
                return;
            }
            log::info!(target: part::CALLERS,
                upstream = life.as_str(), fingerprints:% = identity.fingerprint;
                "An upstream ended under requests");
            host.suspicion.note_ended(Observation {
                fingerprint: identity.fingerprint,
                caller: identity.caller,
                outcome: SeenOutcome::Ended(life),
                at,
            });
        });
    }

    /// Notes that an upstream answered a request whole.
    pub(crate) fn note_answered(&self, identity: &Identity) {
        self.suspicion.note_answered(identity.fingerprint, &identity.caller);
    }
}
