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

/// When to come back at the earliest with a request that is held back, in ms: another host may be
/// trying it.
const HELD_RETRY_MS: u64 = 1_000;

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
        let Some(held_for) = self.suspicion.held_for(identity.fingerprint) else {
            return Ok(());
        };
        let is_due = is_first_try && held_for.is_zero();
        if is_due && self.suspicion.claim_trial(identity.fingerprint).await {
            return Ok(());
        }
        let retry_after_ms = (held_for.as_millis() as u64).max(HELD_RETRY_MS);
        log::info!(target: part::CALLERS,
            fingerprint:% = identity.fingerprint;
            "Does not send a request that is held back");
        Err(Refusal::new(RefusalReason::HeldBack, retry_after_ms))
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
