//! Detection and quarantine of requests that end upstreams, on hosts whose settings list their
//! upstreams.
//!
//! Such an upstream keeps its id and its address when it restarts. Each of its ends is therefore
//! identified by the attempt that broke off there.

use std::net::SocketAddr;

use clayplank_clock::Instant;
use clayplank_connect::Connector;
use clayplank_forward::{
    BrokenRequest, QuarantineKeys, TerminationEvidence, has_stopped_listening,
};
use clayplank_types::{Fingerprint, Refusal, RefusalReason, UpstreamId};

use crate::process::host_state::Host;
use crate::process::logging::log_target;

/// Identity of a request, by which a repeat of it is recognized.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) caller: String,
}

impl Host {
    /// Rejects a quarantined request, unless this host is granted a trial of it. Only the first
    /// attempt of a request can be a trial.
    pub(crate) async fn check_quarantine(
        &self,
        identity: &Identity,
        is_first_attempt: bool,
    ) -> Result<(), Refusal> {
        let keys = QuarantineKeys::of_request(identity.fingerprint);
        let quarantined_for_ms = match is_first_attempt {
            true => self.quarantine.admit(&keys).await.err(),
            false => self.quarantine.time_to_trial(&keys).map(|span| span.as_millis() as u64),
        };
        let Some(retry_after_ms) = quarantined_for_ms else {
            return Ok(());
        };
        log::info!(target: log_target::CALLERS,
            fingerprint:% = identity.fingerprint;
            "Does not send a request that is held back");
        Err(Refusal::new(RefusalReason::HeldBack, retry_after_ms))
    }

    /// Records a broken-off attempt if it ended the upstream: checks in the background whether the
    /// upstream still listens.
    pub(crate) fn record_break(
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
        let keys = QuarantineKeys::of_request(fingerprint);
        let broken_attempt = BrokenRequest { keys, caller, at: Instant::now() };
        let upstream_incarnation = UpstreamId::new(format!("{upstream}@{attempt}"));
        tokio::spawn(async move {
            if has_stopped_listening(&Connector::default(), address).await {
                host.quarantine.report_termination(
                    &upstream_incarnation,
                    TerminationEvidence::Refused,
                    vec![broken_attempt],
                );
            }
        });
    }

    /// Records that an upstream answered a request completely.
    pub(crate) fn record_answered(&self, identity: &Identity) {
        self.quarantine.record_answered(identity.fingerprint, &identity.caller);
    }
}
