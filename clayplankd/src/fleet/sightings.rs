//! Tells the keepers of requests under which upstreams ended, and asks them for trials.

use std::time::Duration;

use clayplank_forward::{BoxFuture, Judge, Observation, now_ms};
use clayplank_state::{Body, Reply, Trial, Verdicts};
use clayplank_types::{HeldBack, HostMoment, RequestFingerprint, Sighting};
use tokio::sync::mpsc;

use crate::keepers::keeper_client::KeeperClient;
use crate::process::logging::part;

/// Observations are collected for this long: an upstream that ends has up to a few tens of requests.
const COLLECT: Duration = Duration::from_millis(5);

/// Observations in one command.
const MAX_BATCH: usize = 256;

/// Time for the keepers to take a command: beyond an election.
const PATIENCE: Duration = Duration::from_secs(2);

/// Time for the keepers to grant a trial, while the caller waits.
const TRIAL_PATIENCE: Duration = Duration::from_millis(500);

/// What the keepers did not take in this time is not told any more: by then the request was
/// seen elsewhere, or comes no more.
const MAX_AGE: Duration = Duration::from_secs(60);

/// Observations that wait for the keepers; what comes beyond is not told.
const MAX_WAITING: usize = 4_096;

/// What the requests of a host tell the keepers.
pub(crate) struct SightingLink {
    keepers: KeeperClient,
    observations: mpsc::Sender<Observation>,
}

impl SightingLink {
    /// A link, and the observations for [`run_sightings`].
    pub(crate) fn new(keepers: KeeperClient) -> (Self, mpsc::Receiver<Observation>) {
        let (observations, receiver) = mpsc::channel(MAX_WAITING);
        (Self { keepers, observations }, receiver)
    }
}

impl Judge for SightingLink {
    fn tell(&self, observation: Observation) {
        if let Err(error) = self.observations.try_send(observation) {
            log::warn!(target: part::KEEPER, cause:% = error; "An observation is not told");
        }
    }

    fn claim_trial(&self, fingerprint: RequestFingerprint) -> BoxFuture<'_, bool> {
        Box::pin(async move {
            match self.keepers.execute(&Body::ClaimTrial(fingerprint), TRIAL_PATIENCE).await {
                Ok(Reply::Trial(Trial::Granted | Trial::NotNeeded)) => true,
                Ok(_) => false,
                Err(error) => {
                    log::info!(target: part::KEEPER, cause:% = error; "No keeper grants a trial");
                    false
                }
            }
        })
    }
}

/// Tells the keepers what was observed, until the host stops.
pub(crate) async fn run_sightings(
    keepers: KeeperClient,
    mut observations: mpsc::Receiver<Observation>,
) {
    let life = rand::random();
    while let Some(first) = observations.recv().await {
        clayplank_clock::sleep(COLLECT).await;
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH
            && let Ok(next) = observations.try_recv()
        {
            batch.push(next);
        }
        tell(&keepers, life, batch).await;
    }
}

/// Tells one batch, again and again while no keeper takes it.
async fn tell(keepers: &KeeperClient, life: u64, mut batch: Vec<Observation>) {
    loop {
        batch.retain(|observation| observation.at.elapsed() < MAX_AGE);
        if batch.is_empty() {
            return;
        }
        // Keepers take each of them once, however often it is told.
        let sightings = batch.iter().map(|one| to_sighting(life, one)).collect();
        match keepers.execute(&Body::NoteSightings(sightings), PATIENCE).await {
            Ok(Reply::Noted(verdicts)) => {
                log_verdicts(&verdicts);
                return;
            }
            Ok(_) => {
                log::error!(target: part::KEEPER, "Keepers gave an answer of another kind.");
                return;
            }
            Err(error) => {
                log::info!(target: part::KEEPER,
                    cause:% = error, observations = batch.len();
                    "Keepers were not told of requests under which upstreams ended");
            }
        }
    }
}

fn to_sighting(life: u64, observation: &Observation) -> Sighting {
    let ago_ms = observation.at.elapsed().as_millis() as u64;
    let seen = HostMoment { life, at_ms: now_ms().saturating_sub(ago_ms) };
    Sighting {
        fingerprint: observation.fingerprint,
        caller: observation.caller.clone(),
        outcome: observation.outcome.clone(),
        ago_ms,
        seen: Some(seen),
    }
}

fn log_verdicts(verdicts: &Verdicts) {
    for HeldBack { fingerprint, caller, ended, .. } in &verdicts.held_back {
        let ended: Vec<_> = ended.iter().map(ToString::to_string).collect();
        log::warn!(target: part::KEEPER,
            fingerprint:% = fingerprint, caller = caller, ended = ended.join(" ");
            "A request has ended upstreams one after the other and is held back");
    }
    for fingerprint in &verdicts.lifted {
        log::info!(target: part::KEEPER,
            fingerprint:% = fingerprint;
            "A request that was held back is cleared");
    }
}
