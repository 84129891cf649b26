//! Requests that end upstreams, at the project's own doors.
//!
//! An upstream of the settings keeps its id and its address when it starts again, so that an end is
//! known by the attempt that broke off there.

use std::net::SocketAddr;

use clayplank_clock::Instant;
use clayplank_forward::{Break, EndCause, has_stopped_listening};
use clayplank_types::{Refusal, RefusalReason, RequestFingerprint, UpstreamId};

use crate::process::host::Host;
use crate::process::logging::part;

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
        let held_for_ms = match is_first_try {
            true => self.suspicion.let_through(fingerprint).await.err(),
            false => self.suspicion.held_for(fingerprint).map(|span| span.as_millis() as u64),
        };
        let Some(retry_after_ms) = held_for_ms else {
            return Ok(());
        };
        log::info!(target: part::CALLERS,
            fingerprint:% = fingerprint;
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
        let Identity { fingerprint, caller } = identity.clone();
        let one = Break { fingerprint, caller, at: Instant::now() };
        let life = UpstreamId::new(format!("{upstream}@{attempt}"));
        tokio::spawn(async move {
            if has_stopped_listening(address).await {
                host.suspicion.note_upstream_ended(&life, EndCause::Refused, vec![one]);
            }
        });
    }

    /// Notes that an upstream answered a request whole.
    pub(crate) fn note_answered(&self, identity: &Identity) {
        self.suspicion.note_answered(identity.fingerprint, &identity.caller);
    }
}
