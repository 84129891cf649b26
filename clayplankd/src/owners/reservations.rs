//! Requests grants from the owners of pools, renews them, and reports their end.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_schedule::{
    GrantId, GrantPart, PoolLoad, RenewedGrant, ReservationRequest, Usage, choose_pool,
};
use clayplank_types::{
    AttemptId, EnginePriority, HostId, Incarnation, PoolId, Refusal, RefusalReason, RequestId,
    UpstreamId,
};
use clayplank_wire::{
    FinishRequest, FirstTokenRequest, GrantedEngine, HeldGrant as WireGrant, RenewRequest,
    ReserveReply, ReserveRequest, reserve_reply,
};

use crate::process::clock::millis;
use crate::process::host_state::Host;
use crate::process::logging::log_target;
use crate::process::peers::PeerError;

/// Delay before a request is repeated while the owner cannot be reached or has just changed.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time-out of a notification or renewal sent to an owner.
const OWNER_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Retry hint for the caller when no pool serves the model or no owner could be reached, in ms.
const OWNER_UNREACHABLE_RETRY_MS: u64 = 500;

/// Distance of a pool in another data centre, in ms. It is added to the wait when pools are
/// compared.
const REMOTE_POOL_DISTANCE_MS: u64 = 3;

/// A grant that this entry host holds.
#[derive(Clone, Debug)]
pub(crate) struct OwnedGrant {
    pub(crate) pool: PoolId,
    pub(crate) account: String,
    pub(crate) grant: RenewedGrant,
    pub(crate) engine_priority: EnginePriority,
}

/// All grants that this host holds, by attempt.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnedGrants {
    grants: Arc<Mutex<HashMap<AttemptId, OwnedGrant>>>,
}

impl OwnedGrants {
    fn insert(&self, owned_grant: OwnedGrant) {
        self.grants
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(owned_grant.grant.attempt_id, owned_grant);
    }

    fn remove(&self, attempt_id: AttemptId) {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner).remove(&attempt_id);
    }

    fn all(&self) -> Vec<OwnedGrant> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }
}

/// Current wait in each pool, as its owner reported it last.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolWaits {
    waits_ms: Arc<Mutex<HashMap<PoolId, u64>>>,
}

impl PoolWaits {
    fn set(&self, pool: &PoolId, wait_ms: u64) {
        self.waits_ms.lock().unwrap_or_else(PoisonError::into_inner).insert(pool.clone(), wait_ms);
    }

    fn get(&self, pool: &PoolId) -> u64 {
        self.waits_ms.lock().unwrap_or_else(PoisonError::into_inner).get(pool).copied().unwrap_or(0)
    }
}

/// Requests engines until a grant or a refusal arrives, or the deadline has passed.
pub(crate) async fn reserve(
    host: &Host,
    reservation_request: &ReservationRequest,
    deadline: Instant,
) -> Result<OwnedGrant, Refusal> {
    let pools = host.pools.of_model(&reservation_request.model);
    let loads: Vec<_> = pools.iter().map(|pool| pool_load(host, pool)).collect();
    let Some(chosen) = choose_pool(&loads, &mut rand::rng()) else {
        return Err(Refusal::new(RefusalReason::NoEngine, OWNER_UNREACHABLE_RETRY_MS));
    };
    let mut pool = chosen.pool.clone();
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(Refusal::new(RefusalReason::OwnerUnreachable, OWNER_UNREACHABLE_RETRY_MS));
        }
        match reserve_in(host, &pool, reservation_request, remaining).await {
            Ok(ReserveOutcome::Granted(owned_grant)) => {
                host.grants.insert(owned_grant.clone());
                return Ok(owned_grant);
            }
            Ok(ReserveOutcome::Refused(refusal)) => match next_pool(pools, &pool, refusal) {
                Some(next) => pool = next,
                None => return Err(refusal),
            },
            // Nothing was dispatched yet, so repeating the request is safe.
            Ok(ReserveOutcome::NotOwner) | Err(_) => {
                clayplank_clock::sleep(OWNER_RETRY_DELAY.min(remaining)).await
            }
        }
    }
}

/// Returns the next pool of the model if the tried one has no live engine for it.
fn next_pool(pools: &[PoolId], tried: &PoolId, refusal: Refusal) -> Option<PoolId> {
    let position = pools.iter().position(|pool| pool == tried)?;
    let has_next = refusal.reason == RefusalReason::NoEngine && position + 1 < pools.len();
    has_next.then(|| pools[position + 1].clone())
}

fn pool_load(host: &Host, pool: &PoolId) -> PoolLoad {
    let local_data_centre = host.settings.local_entry().map(|entry| &entry.data_centre);
    let is_local = host.pools.data_centre(pool) == local_data_centre;
    let round_trip_ms = if is_local { 0 } else { REMOTE_POOL_DISTANCE_MS };
    PoolLoad { pool: pool.clone(), wait_ms: host.pool_wait_estimates.get(pool), round_trip_ms }
}

/// Result of one reservation request to an owner.
enum ReserveOutcome {
    Granted(OwnedGrant),
    Refused(Refusal),
    NotOwner,
}

async fn reserve_in(
    host: &Host,
    pool: &PoolId,
    reservation_request: &ReservationRequest,
    remaining: Duration,
) -> Result<ReserveOutcome, PeerError> {
    let Some(owner) = host.members.owner_of(pool) else {
        return Ok(ReserveOutcome::NotOwner);
    };
    let request = to_wire(host, pool, reservation_request, remaining);
    let reply = host
        .peers
        .call(&owner, remaining, |mut client| async move { client.reserve(request).await })
        .await?;
    host.pool_wait_estimates.set(pool, reply.pool_wait_ms);
    Ok(from_wire(pool, reservation_request, reply))
}

fn to_wire(
    host: &Host,
    pool: &PoolId,
    reservation_request: &ReservationRequest,
    remaining: Duration,
) -> ReserveRequest {
    ReserveRequest {
        pool: pool.to_string(),
        from_host: host.settings.host.to_string(),
        from_incarnation: host.incarnation.0,
        attempt_id: reservation_request.attempt_id.to_string(),
        account: reservation_request.account.to_string(),
        share: reservation_request.weight,
        priority_rank: reservation_request.priority.rank() as u32,
        model: reservation_request.model.clone(),
        adapter: reservation_request.adapter.clone().unwrap_or_default(),
        prompt_tokens: reservation_request.prompt_tokens,
        max_output_tokens: reservation_request.max_output_tokens,
        deadline_in_ms: remaining.as_millis() as u64,
        prefix_hashes: reservation_request.prefix_hashes.clone(),
        avoid_engines: reservation_request
            .avoided_engines
            .iter()
            .map(ToString::to_string)
            .collect(),
    }
}

fn from_wire(
    pool: &PoolId,
    reservation_request: &ReservationRequest,
    reply: ReserveReply,
) -> ReserveOutcome {
    let granted = match reply.result {
        Some(reserve_reply::Result::Granted(granted)) => granted,
        Some(reserve_reply::Result::Refused(refused)) => {
            return ReserveOutcome::Refused(Refusal::new(
                parse_reason(&refused.reason),
                refused.retry_after_ms,
            ));
        }
        Some(reserve_reply::Result::NotOwner(_)) | None => return ReserveOutcome::NotOwner,
    };
    let grant = RenewedGrant {
        grant_id: GrantId(granted.grant_id),
        owner: Incarnation(granted.owner_incarnation),
        attempt_id: reservation_request.attempt_id,
        parts: granted.engines.into_iter().map(part_from_wire).collect(),
    };
    let engine_priority =
        EnginePriority(u8::try_from(granted.engine_priority_rank).unwrap_or(u8::MAX));
    ReserveOutcome::Granted(OwnedGrant {
        pool: pool.clone(),
        account: reservation_request.account.to_string(),
        grant,
        engine_priority,
    })
}

pub(crate) fn part_from_wire(engine: GrantedEngine) -> GrantPart {
    GrantPart {
        engine: UpstreamId::new(engine.engine),
        reserved_tokens: engine.reserved_tokens,
        prompt_tokens: engine.prompt_tokens,
    }
}

pub(crate) fn part_to_wire(part: &GrantPart) -> GrantedEngine {
    GrantedEngine {
        engine: part.engine.to_string(),
        reserved_tokens: part.reserved_tokens,
        prompt_tokens: part.prompt_tokens,
    }
}

/// Parses a refusal reason. An owner of a newer version may send reasons that are unknown here.
fn parse_reason(text: &str) -> RefusalReason {
    serde_json::from_value(serde_json::Value::from(text))
        .unwrap_or(RefusalReason::DeadlineOutOfReach)
}

/// Notifies the owner that the first token arrived, which means that the prefill is complete.
pub(crate) async fn notify_first_token(host: &Host, owned_grant: &OwnedGrant) {
    let request = FirstTokenRequest {
        pool: owned_grant.pool.to_string(),
        grant_id: owned_grant.grant.grant_id.0,
        owner_incarnation: owned_grant.grant.owner.0,
    };
    if let Some(owner) = host.members.owner_of(&owned_grant.pool) {
        // If the notification is lost, the end of the grant tells the owner the same.
        host.peers
            .call(&owner, OWNER_CALL_TIMEOUT, |mut client| async move {
                client.first_token(request).await
            })
            .await
            .ok();
    }
}

/// Ends a grant and notifies the owner. If the notification is lost, the grant expires at the
/// owner.
pub(crate) async fn finish_grant(host: &Host, owned_grant: &OwnedGrant, usage: Usage) {
    host.grants.remove(owned_grant.grant.attempt_id);
    let request = FinishRequest {
        grant_id: owned_grant.grant.grant_id.0,
        owner_incarnation: owned_grant.grant.owner.0,
        pool: owned_grant.pool.to_string(),
        attempt_id: owned_grant.grant.attempt_id.to_string(),
        engine_ended: usage.engine_ended,
        engine_failed: usage.engine_failed,
        output_tokens: usage.output_tokens,
        decode_ms: usage.decode_ms,
    };
    let Some(owner) = host.members.owner_of(&owned_grant.pool) else {
        return;
    };
    let call = host
        .peers
        .call(&owner, OWNER_CALL_TIMEOUT, |mut client| async move { client.finish(request).await });
    if let Err(error) = call.await {
        log::debug!(target: log_target::CALLERS, "Failed to notify the owner of the end of attempt {}: {error}.", owned_grant.grant.attempt_id);
    }
}

/// Renews all held grants periodically, with one message to each owner.
pub(crate) async fn run_renewals(host: Arc<Host>) {
    let interval = millis(host.settings.timing.grant_lease_ms / 4);
    loop {
        clayplank_clock::sleep(interval).await;
        for (owner, request) in plan_renewals(&host) {
            let host = Arc::clone(&host);
            tokio::spawn(async move {
                let call = |mut client: clayplank_wire::inner_client::InnerClient<_>| async move {
                    client.renew(request).await
                };
                if let Err(error) = host.peers.call(&owner, OWNER_CALL_TIMEOUT, call).await {
                    log::debug!(target: log_target::CALLERS, "Failed to renew grants at {owner}: {error}.");
                }
            });
        }
    }
}

fn plan_renewals(host: &Host) -> BTreeMap<HostId, RenewRequest> {
    let mut requests: BTreeMap<HostId, RenewRequest> = BTreeMap::new();
    for owned_grant in host.grants.all() {
        let Some(owner) = host.members.owner_of(&owned_grant.pool) else {
            continue;
        };
        let request = requests.entry(owner).or_insert_with(|| RenewRequest {
            from_host: host.settings.host.to_string(),
            from_incarnation: host.incarnation.0,
            grants: Vec::new(),
        });
        request.grants.push(WireGrant {
            grant_id: owned_grant.grant.grant_id.0,
            owner_incarnation: owned_grant.grant.owner.0,
            pool: owned_grant.pool.to_string(),
            attempt_id: owned_grant.grant.attempt_id.to_string(),
            account: owned_grant.account,
            engines: owned_grant.grant.parts.iter().map(part_to_wire).collect(),
        });
    }
    requests
}

/// Creates a reservation request. The owner assigns the request id, and the caller sets the
/// deadline.
pub(crate) fn new_request(
    attempt_id: AttemptId,
    account: clayplank_types::AccountId,
    model: &str,
    prompt_tokens: u64,
) -> ReservationRequest {
    ReservationRequest::new(RequestId(0), attempt_id, account, model, prompt_tokens, 0)
}
