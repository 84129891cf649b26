//! Asks owners for grants, keeps them renewed, and ends them.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use clayplank_clock::Instant;
use clayplank_schedule::{Ask, GrantId, GrantPart, HeldGrant, PoolLoad, Usage, choose_pool};
use clayplank_types::{
    AttemptId, EnginePriority, HostId, Incarnation, PoolId, Refusal, RefusalReason, RequestId,
    UpstreamId,
};
use clayplank_wire::{
    FinishRequest, FirstTokenRequest, GrantedEngine, HeldGrant as WireGrant, RenewRequest,
    ReserveReply, ReserveRequest, reserve_reply,
};

use crate::process::clock::millis;
use crate::process::host::Host;
use crate::process::logging::part;
use crate::process::peers::PeerError;

/// Between two asks while an owner cannot be reached or has just changed.
const OWNER_RETRY: Duration = Duration::from_millis(100);

/// Time for a small message to an owner.
const SHORT_PATIENCE: Duration = Duration::from_millis(1_000);

/// When no owner could be reached, one may be there after this time.
const UNREACHABLE_RETRY_MS: u64 = 500;

/// A pool in another data centre counts as this much further away.
const FAR_POOL_MS: u64 = 3;

/// What an entry host remembers of a grant.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    pub(crate) pool: PoolId,
    pub(crate) account: String,
    pub(crate) grant: HeldGrant,
    pub(crate) engine_priority: EnginePriority,
}

/// Every grant that this host holds.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldGrants {
    grants: Arc<Mutex<HashMap<AttemptId, Held>>>,
}

impl HeldGrants {
    fn insert(&self, held: Held) {
        self.grants
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(held.grant.attempt_id, held);
    }

    fn remove(&self, attempt_id: AttemptId) {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner).remove(&attempt_id);
    }

    fn all(&self) -> Vec<Held> {
        self.grants.lock().unwrap_or_else(PoisonError::into_inner).values().cloned().collect()
    }
}

/// The wait in each pool, as its owner told last.
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

/// Asks for engines until a grant or a refusal comes, or the deadline is over.
pub(crate) async fn reserve(host: &Host, ask: &Ask, deadline: Instant) -> Result<Held, Refusal> {
    let pools = host.pools.of_model(&ask.model);
    let loads: Vec<_> = pools.iter().map(|pool| pool_load(host, pool)).collect();
    let Some(chosen) = choose_pool(&loads, &mut rand::rng()) else {
        return Err(Refusal::new(RefusalReason::NoEngine, UNREACHABLE_RETRY_MS));
    };
    let mut pool = chosen.pool.clone();
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Refusal::new(RefusalReason::OwnerUnreachable, UNREACHABLE_RETRY_MS));
        }
        match reserve_in(host, &pool, ask, left).await {
            Ok(Answer::Granted(held)) => {
                host.held.insert(held.clone());
                return Ok(held);
            }
            Ok(Answer::Refused(refusal)) => match next_pool(pools, &pool, refusal) {
                Some(other) => pool = other,
                None => return Err(refusal),
            },
            // Nothing was dispatched yet: asking again is safe.
            Ok(Answer::NotOwner) | Err(_) => clayplank_clock::sleep(OWNER_RETRY.min(left)).await,
        }
    }
}

/// A pool without a live engine for the model is not the only one, perhaps.
fn next_pool(pools: &[PoolId], tried: &PoolId, refusal: Refusal) -> Option<PoolId> {
    let position = pools.iter().position(|pool| pool == tried)?;
    let is_elsewhere = refusal.reason == RefusalReason::NoEngine && position + 1 < pools.len();
    is_elsewhere.then(|| pools[position + 1].clone())
}

fn pool_load(host: &Host, pool: &PoolId) -> PoolLoad {
    let own = host.settings.own_entry().map(|entry| &entry.data_centre);
    let is_near = host.pools.data_centre(pool) == own;
    let distance_ms = if is_near { 0 } else { FAR_POOL_MS };
    PoolLoad { pool: pool.clone(), wait_ms: host.pool_waits.get(pool), distance_ms }
}

enum Answer {
    Granted(Held),
    Refused(Refusal),
    NotOwner,
}

async fn reserve_in(
    host: &Host,
    pool: &PoolId,
    ask: &Ask,
    left: Duration,
) -> Result<Answer, PeerError> {
    let Some(owner) = host.members.owner_of(pool) else {
        return Ok(Answer::NotOwner);
    };
    let request = to_wire(host, pool, ask, left);
    let reply = host
        .peers
        .call(&owner, left, |mut client| async move { client.reserve(request).await })
        .await?;
    host.pool_waits.set(pool, reply.pool_wait_ms);
    Ok(from_wire(pool, ask, reply))
}

fn to_wire(host: &Host, pool: &PoolId, ask: &Ask, left: Duration) -> ReserveRequest {
    ReserveRequest {
        pool: pool.to_string(),
        from_host: host.settings.host.to_string(),
        from_incarnation: host.incarnation.0,
        attempt_id: ask.attempt_id.to_string(),
        account: ask.account.to_string(),
        share: ask.share,
        priority_rank: ask.priority.rank() as u32,
        model: ask.model.clone(),
        adapter: ask.adapter.clone().unwrap_or_default(),
        prompt_tokens: ask.prompt_tokens,
        max_output_tokens: ask.max_output_tokens,
        deadline_in_ms: left.as_millis() as u64,
        prefix_hashes: ask.prefix_hashes.clone(),
        avoid_engines: ask.avoid.iter().map(ToString::to_string).collect(),
    }
}

fn from_wire(pool: &PoolId, ask: &Ask, reply: ReserveReply) -> Answer {
    let granted = match reply.result {
        Some(reserve_reply::Result::Granted(granted)) => granted,
        Some(reserve_reply::Result::Refused(refused)) => {
            return Answer::Refused(Refusal::new(
                read_reason(&refused.reason),
                refused.retry_after_ms,
            ));
        }
        Some(reserve_reply::Result::NotOwner(_)) | None => return Answer::NotOwner,
    };
    let grant = HeldGrant {
        grant_id: GrantId(granted.grant_id),
        owner: Incarnation(granted.owner_incarnation),
        attempt_id: ask.attempt_id,
        parts: granted.engines.into_iter().map(part_from_wire).collect(),
    };
    let engine_priority =
        EnginePriority(u8::try_from(granted.engine_priority_rank).unwrap_or(u8::MAX));
    Answer::Granted(Held {
        pool: pool.clone(),
        account: ask.account.to_string(),
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

/// Reads what an owner wrote; one of a newer version may have other reasons.
fn read_reason(text: &str) -> RefusalReason {
    serde_json::from_value(serde_json::Value::from(text))
        .unwrap_or(RefusalReason::DeadlineOutOfReach)
}

/// Tells the owner that the prompt was read.
pub(crate) async fn tell_first_token(host: &Host, held: &Held) {
    let request = FirstTokenRequest {
        pool: held.pool.to_string(),
        grant_id: held.grant.grant_id.0,
        owner_incarnation: held.grant.owner.0,
    };
    if let Some(owner) = host.members.owner_of(&held.pool) {
        // If it is lost, the owner learns the same from the end of the grant.
        host.peers
            .call(
                &owner,
                SHORT_PATIENCE,
                |mut client| async move { client.first_token(request).await },
            )
            .await
            .ok();
    }
}

/// Ends a grant. If the owner does not hear of it, the grant lapses there.
pub(crate) async fn finish(host: &Host, held: &Held, usage: Usage) {
    host.held.remove(held.grant.attempt_id);
    let request = FinishRequest {
        grant_id: held.grant.grant_id.0,
        owner_incarnation: held.grant.owner.0,
        pool: held.pool.to_string(),
        attempt_id: held.grant.attempt_id.to_string(),
        engine_ended: usage.engine_ended,
        engine_failed: usage.engine_failed,
        output_tokens: usage.output_tokens,
        decode_ms: usage.decode_ms,
    };
    let Some(owner) = host.members.owner_of(&held.pool) else {
        return;
    };
    let call = host
        .peers
        .call(&owner, SHORT_PATIENCE, |mut client| async move { client.finish(request).await });
    if let Err(error) = call.await {
        log::debug!(target: part::CALLERS, "The end of {} was not told: {error}.", held.grant.attempt_id);
    }
}

/// Renews all grants, with one message for each owner.
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
                if let Err(error) = host.peers.call(&owner, SHORT_PATIENCE, call).await {
                    log::debug!(target: part::CALLERS, "Grants were not renewed: {error}.");
                }
            });
        }
    }
}

fn plan_renewals(host: &Host) -> BTreeMap<HostId, RenewRequest> {
    let mut requests: BTreeMap<HostId, RenewRequest> = BTreeMap::new();
    for held in host.held.all() {
        let Some(owner) = host.members.owner_of(&held.pool) else {
            continue;
        };
        let request = requests.entry(owner).or_insert_with(|| RenewRequest {
            from_host: host.settings.host.to_string(),
            from_incarnation: host.incarnation.0,
            grants: Vec::new(),
        });
        request.grants.push(WireGrant {
            grant_id: held.grant.grant_id.0,
            owner_incarnation: held.grant.owner.0,
            pool: held.pool.to_string(),
            attempt_id: held.grant.attempt_id.to_string(),
            account: held.account,
            engines: held.grant.parts.iter().map(part_to_wire).collect(),
        });
    }
    requests
}

/// An ask as the request itself knows it.
pub(crate) fn new_ask(
    attempt_id: AttemptId,
    account: clayplank_types::AccountId,
    model: &str,
    prompt_tokens: u64,
) -> Ask {
    Ask::new(RequestId(0), attempt_id, account, model, prompt_tokens, 0)
}
