//! Orders to engines, under fencing tokens of the keepers.

use std::net::SocketAddr;
use std::sync::Arc;

use clayplank_schedule::Grant;
use clayplank_settings::{FenceCheck, HostSettings};
use clayplank_state::{Body, Reply};
use clayplank_types::{HostId, Refusal, RefusalReason, UpstreamId};
use clayplank_upstream::{EngineEdge, Order};

use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::millis;
use crate::process::logging::part;

/// How long a host may give orders under a token: longer than an order takes.
const ORDER_LEASE_MS: u64 = 5_000;

/// The longest wait for another host's lease before a request is refused instead.
const MAX_LEASE_WAIT_MS: u64 = 1_000;

/// When an order failed, the next one may succeed after this time.
const ORDER_RETRY_MS: u64 = 1_000;

/// One engine that is to be ordered.
#[derive(Clone, Debug)]
struct Ordered {
    engine: UpstreamId,
    address: SocketAddr,
    fence: FenceCheck,
}

/// The adapter of a grant, and the engines that lack it.
#[derive(Clone, Debug)]
pub(crate) struct OrderPlan {
    adapter: String,
    ordered: Vec<Ordered>,
    host: HostId,
    keepers: KeeperClient,
    edge: Arc<dyn EngineEdge>,
}

impl OrderPlan {
    pub(crate) fn new(
        settings: &HostSettings,
        grant: &Grant,
        keepers: &KeeperClient,
        edge: &Arc<dyn EngineEdge>,
    ) -> Self {
        let is_part = |engine: &UpstreamId| grant.parts.iter().any(|part| part.engine == *engine);
        let ordered = settings.engines().filter(|engine| is_part(&engine.id)).map(|engine| {
            Ordered { engine: engine.id.clone(), address: engine.address, fence: engine.fence }
        });
        Self {
            adapter: grant.load_adapter.clone().unwrap_or_default(),
            ordered: ordered.collect(),
            host: settings.host.clone(),
            keepers: keepers.clone(),
            edge: Arc::clone(edge),
        }
    }

    pub(crate) fn adapter(&self) -> &str {
        &self.adapter
    }

    pub(crate) fn engines(&self) -> impl Iterator<Item = &UpstreamId> {
        self.ordered.iter().map(|ordered| &ordered.engine)
    }
}

/// Orders every engine of a plan to load its adapter.
pub(crate) async fn load_adapter(plan: &OrderPlan) -> Result<(), Refusal> {
    for ordered in &plan.ordered {
        let token = take_token(plan, ordered).await?;
        let order = Order::LoadAdapter { adapter: plan.adapter.clone() };
        if let Err(error) = plan.edge.order(ordered.address, token, &order).await {
            log::warn!(target: part::OWNER, "Engine {} did not load {}: {error}.", ordered.engine, plan.adapter);
            return Err(Refusal::new(RefusalReason::UpstreamRefused, ORDER_RETRY_MS));
        }
    }
    Ok(())
}

/// Takes a token, and waits out another holder's lease where the engine checks none.
async fn take_token(plan: &OrderPlan, ordered: &Ordered) -> Result<u64, Refusal> {
    let body = Body::Fence {
        upstream: ordered.engine.clone(),
        host: plan.host.clone(),
        lease_ms: ORDER_LEASE_MS,
    };
    let reply = plan.keepers.execute(&body, millis(MAX_LEASE_WAIT_MS)).await;
    let Ok(Reply::Fenced { token, wait_ms }) = reply else {
        return Err(Refusal::new(RefusalReason::NoClaim, ORDER_RETRY_MS));
    };
    match ordered.fence {
        FenceCheck::Upstream => Ok(token),
        FenceCheck::Lease if wait_ms > MAX_LEASE_WAIT_MS => {
            Err(Refusal::new(RefusalReason::UpstreamRefused, wait_ms))
        }
        FenceCheck::Lease => {
            clayplank_clock::sleep(millis(wait_ms)).await;
            Ok(token)
        }
    }
}
