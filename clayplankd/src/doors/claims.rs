//! Claims on idempotency keys, which the keepers replicate, for requests that must run at most
//! once.

use clayplank_clock::Instant;
use clayplank_state::{Claim, ClaimHolder, ClaimKey, CommandBody, Reply, StoredAnswer};
use clayplank_types::{AccountId, AttemptId, Refusal, RefusalReason};

use crate::doors::replies::Problem;
use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::millis;
use crate::process::host_state::Host;
use crate::process::logging::log_target;

/// Retry delay for a request whose claim the keepers did not grant.
const CLAIM_RETRY_MS: u64 = 1_000;

/// Time-out of settling or releasing a claim in the background after its request has ended.
const SETTLE_TIMEOUT_MS: u64 = 60_000;

/// Result of a claim.
#[derive(Debug)]
pub(crate) enum Claimed {
    /// The claim is granted: the request may be dispatched once.
    Run(HeldClaim),
    /// The request ran before, with this answer.
    Repeated(StoredAnswer),
}

/// A granted claim that this host has to settle or release.
#[derive(Clone, Debug)]
pub(crate) struct HeldClaim {
    key: ClaimKey,
    attempt_id: AttemptId,
}

/// Claims the idempotency key of a request before its dispatch.
pub(crate) async fn claim(
    host: &Host,
    account: &AccountId,
    key: &str,
    fingerprint: u128,
    deadline: Instant,
) -> Result<Claimed, Problem> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let attempt_id = AttemptId::random();
    let key = ClaimKey { account: account.clone(), key: key.to_owned() };
    let held_claim = HeldClaim { key: key.clone(), attempt_id };
    let body = CommandBody::Claim(Claim {
        key,
        fingerprint,
        holder: ClaimHolder { host: host.settings.host.clone(), incarnation: host.incarnation },
        attempt_id,
        deadline_in_ms: remaining.as_millis() as u64,
        keep_ms: host.settings.timing.claim_keep_ms,
    });
    let timeout = remaining.min(KeeperClient::default_timeout(host.settings.timing.election_ms));
    match host.keepers.execute(&body, timeout).await {
        Ok(Reply::Claimed) if Instant::now() < deadline => Ok(Claimed::Run(held_claim)),
        Ok(Reply::Repeated(answer)) => Ok(Claimed::Repeated(answer)),
        Ok(Reply::InProgress { retry_after_ms }) => Err(Problem::InProgress { retry_after_ms }),
        Ok(Reply::Unknown) => {
            Err(Problem::Unknown("the request may have run; its answer is not known".to_owned()))
        }
        Ok(Reply::OtherRequest) => {
            Err(Problem::Conflict("the idempotency key was used for another request".to_owned()))
        }
        // Nothing was dispatched under this claim, and nothing will be.
        Ok(_) | Err(_) => {
            release(host, held_claim);
            Err(Problem::Refused(Refusal::new(RefusalReason::NoClaim, CLAIM_RETRY_MS)))
        }
    }
}

/// Settles a claim. A repeat of the request gets the stored answer from then on, or an error that
/// the answer is not known.
pub(crate) async fn settle(host: &Host, held_claim: HeldClaim, answer: Option<StoredAnswer>) {
    let body =
        CommandBody::Settle { key: held_claim.key, attempt_id: held_claim.attempt_id, answer };
    let timeout = KeeperClient::default_timeout(host.settings.timing.election_ms);
    if host.keepers.execute(&body, timeout).await.is_err() {
        // The caller still gets its answer; repeats wait until the claim is settled.
        execute_in_background(host, body);
    }
}

/// Releases the key of a claim under which nothing was sent.
pub(crate) fn release(host: &Host, held_claim: HeldClaim) {
    execute_in_background(
        host,
        CommandBody::Release { key: held_claim.key, attempt_id: held_claim.attempt_id },
    );
}

fn execute_in_background(host: &Host, body: CommandBody) {
    let keepers = host.keepers.clone();
    tokio::spawn(async move {
        if let Err(error) = keepers.execute(&body, millis(SETTLE_TIMEOUT_MS)).await {
            log::warn!(target: log_target::CALLERS, "Could not settle or release a claim, which stays open: {error}.");
        }
    });
}
