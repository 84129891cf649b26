//! Claims of requests that must run at most once.

use clayplank_clock::Instant;
use clayplank_state::{Answer, Body, Claim, ClaimHolder, ClaimKey, Reply};
use clayplank_types::{AccountId, AttemptId, Refusal, RefusalReason};

use crate::doors::replies::Problem;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::millis;
use crate::process::host::Host;
use crate::process::logging::part;

/// When no claim could be had, one may be had after this time.
const NO_CLAIM_RETRY_MS: u64 = 1_000;

/// How long the keepers are asked to settle or release a claim after the request has ended.
const SETTLE_FOR_MS: u64 = 60_000;

/// What a claim led to.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The request may be dispatched, once.
    Run(HeldClaim),
    /// It ran before.
    Repeated(Answer),
}

/// A claim that this host has to settle or release.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    key: ClaimKey,
    attempt_id: AttemptId,
}

/// Claims a request before its dispatch.
pub(crate) async fn claim(
    host: &Host,
    account: &AccountId,
    key: &str,
    fingerprint: u128,
    deadline: Instant,
) -> Result<Claimed, Problem> {
    let left = deadline.saturating_duration_since(Instant::now());
    let attempt_id = AttemptId::random();
    let key = ClaimKey { account: account.clone(), key: key.to_owned() };
    let held = HeldClaim { key: key.clone(), attempt_id };
    let body = Body::Claim(Claim {
        key,
        fingerprint,
        holder: ClaimHolder { host: host.settings.host.clone(), incarnation: host.incarnation },
        attempt_id,
        deadline_in_ms: left.as_millis() as u64,
        keep_ms: host.settings.timing.claim_keep_ms,
    });
    let patience = left.min(KeeperClient::usual_patience(host.settings.timing.election_ms));
    match host.keepers.execute(&body, patience).await {
        Ok(Reply::Claimed) if Instant::now() < deadline => Ok(Claimed::Run(held)),
        Ok(Reply::Repeated(answer)) => Ok(Claimed::Repeated(answer)),
        Ok(Reply::InProgress { retry_after_ms }) => Err(Problem::InProgress { retry_after_ms }),
        Ok(Reply::Unknown) => {
            Err(Problem::Unknown("the request may have run; its answer is not known".to_owned()))
        }
        Ok(Reply::OtherRequest) => {
            Err(Problem::Conflict("the idempotency key was used for another request".to_owned()))
        }
        // Nothing was dispatched, and nothing will be under this claim.
        Ok(_) | Err(_) => {
            release(host, held);
            Err(Problem::Refused(Refusal::new(RefusalReason::NoClaim, NO_CLAIM_RETRY_MS)))
        }
    }
}

/// Settles a claim; a repeat is told the answer from then on, or that it is not known.
pub(crate) async fn settle(host: &Host, held: HeldClaim, answer: Option<Answer>) {
    let body = Body::Settle { key: held.key, attempt_id: held.attempt_id, answer };
    let patience = KeeperClient::usual_patience(host.settings.timing.election_ms);
    if host.keepers.execute(&body, patience).await.is_err() {
        // The caller gets its answer all the same; repeats wait until this is through.
        execute_in_background(host, body);
    }
}

/// Frees the key: nothing was sent under this claim.
pub(crate) fn release(host: &Host, held: HeldClaim) {
    execute_in_background(host, Body::Release { key: held.key, attempt_id: held.attempt_id });
}

fn execute_in_background(host: &Host, body: Body) {
    let keepers = host.keepers.clone();
    tokio::spawn(async move {
        if let Err(error) = keepers.execute(&body, millis(SETTLE_FOR_MS)).await {
            log::warn!(target: part::CALLERS, "A claim stays open: {error}.");
        }
    });
}
