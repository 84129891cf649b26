//! Reports to the keepers which requests and prompt parts were running when an upstream terminated,
//! and claims trials.
//!
//! The keepers quarantine a request that terminates several upstreams in succession. A trial is the
//! permission to run a quarantined request once, which shows whether upstreams survive it now.

use std::time::Duration;

use clayplank_forward::{BoxFuture, Observation, QuarantineAuthority, now_ms};
use clayplank_state::{CommandBody, QuarantineChanges, Reply, TrialReply};
use clayplank_types::{Fingerprint, HostTimestamp, QuarantineEntry, SuspectObservation};
use tokio::sync::mpsc;

use crate::keepers::keeper_client::KeeperClient;
use crate::process::logging::log_target;

/// Time for which observations are collected into one command: an upstream that terminates runs up
/// to a few tens of requests, each of which yields an observation.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Maximum number of observations in one command.
const MAX_BATCH_OBSERVATIONS: usize = 256;

/// Time-out of a command to the keepers. It is longer than a leader election.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);

/// Time-out of a trial claim. The caller waits meanwhile.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Age at which an observation that the keepers did not accept is discarded: by then the request
/// was observed on another host, or it is not sent again.
const MAX_OBSERVATION_AGE: Duration = Duration::from_secs(60);

/// Capacity of the queue of observations for the keepers. Observations beyond it are discarded.
const MAX_QUEUED_OBSERVATIONS: usize = 4_096;

/// Connects the requests of a host to the keepers: queues their observations and claims trials.
pub(crate) struct TerminationReporter {
    keepers: KeeperClient,
    observations: mpsc::Sender<Observation>,
}

impl TerminationReporter {
    /// Returns the link and the receiving end of its queue, for [`run_termination_reports`].
    pub(crate) fn new(keepers: KeeperClient) -> (Self, mpsc::Receiver<Observation>) {
        let (observations, receiver) = mpsc::channel(MAX_QUEUED_OBSERVATIONS);
        (Self { keepers, observations }, receiver)
    }
}

impl QuarantineAuthority for TerminationReporter {
    fn report(&self, observation: Observation) {
        if let Err(error) = self.observations.try_send(observation) {
            log::warn!(target: log_target::KEEPER, cause:% = error; "Discarded an observation of a request before it was reported to the keepers");
        }
    }

    fn claim_trial(&self, fingerprint: Fingerprint) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            match self.keepers.execute(&CommandBody::ClaimTrial(fingerprint), TRIAL_TIMEOUT).await {
                Ok(Reply::Trial(TrialReply::Granted | TrialReply::NotNeeded)) => true,
                Ok(_) => false,
                Err(error) => {
                    log::info!(target: log_target::KEEPER, cause:% = error; "The keepers did not answer a trial claim");
                    false
                }
            }
        })
    }
}

/// Reports observations to the keepers until the host stops.
pub(crate) async fn run_termination_reports(
    keepers: KeeperClient,
    mut observations: mpsc::Receiver<Observation>,
) {
    let incarnation = rand::random();
    while let Some(first) = observations.recv().await {
        clayplank_clock::sleep(BATCH_DELAY).await;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_OBSERVATIONS
            && let Ok(next) = observations.try_recv()
        {
            batch.push(next);
        }
        report(&keepers, incarnation, batch).await;
    }
}

/// Reports one batch. Repeats it until a keeper accepts it or all observations have expired.
async fn report(keepers: &KeeperClient, incarnation: u64, mut batch: Vec<Observation>) {
    loop {
        batch.retain(|observation| observation.at.elapsed() < MAX_OBSERVATION_AGE);
        if batch.is_empty() {
            return;
        }
        // Repeating is safe: for each request, the keepers count a terminated upstream only once.
        let observations = batch.iter().map(|one| to_observation(incarnation, one)).collect();
        match keepers.execute(&CommandBody::NoteSightings(observations), COMMAND_TIMEOUT).await {
            Ok(Reply::Noted(changes)) => {
                log_quarantine_changes(&changes);
                return;
            }
            Ok(_) => {
                log::error!(target: log_target::KEEPER, "The keepers answered a report of observations with a reply of another type.");
                return;
            }
            Err(error) => {
                log::info!(target: log_target::KEEPER,
                    cause:% = error, observations = batch.len();
                    "Could not report the requests of terminated upstreams to the keepers; retries");
            }
        }
    }
}

/// Converts an observation to its form in keeper commands. `incarnation` is that of this task.
fn to_observation(incarnation: u64, observation: &Observation) -> SuspectObservation {
    let ago_ms = observation.at.elapsed().as_millis() as u64;
    let observed = HostTimestamp { life: incarnation, at_ms: now_ms().saturating_sub(ago_ms) };
    SuspectObservation {
        kind: observation.kind,
        fingerprint: observation.fingerprint,
        request: observation.request,
        caller: observation.caller.clone(),
        has_survived: observation.has_survived,
        outcome: observation.outcome.clone(),
        ago_ms,
        seen: Some(observed),
    }
}

fn log_quarantine_changes(changes: &QuarantineChanges) {
    for QuarantineEntry { kind, fingerprint, caller, ended, .. } in &changes.held_back {
        let ended: Vec<_> = ended.iter().map(ToString::to_string).collect();
        log::warn!(target: log_target::KEEPER,
            fingerprint:% = fingerprint, kind = kind.as_str(), caller = caller,
            ended = ended.join(" ");
            "A request terminated several upstreams in succession and is quarantined");
    }
    for fingerprint in &changes.lifted {
        log::info!(target: log_target::KEEPER,
            fingerprint:% = fingerprint;
            "The quarantine of a request was lifted");
    }
}
