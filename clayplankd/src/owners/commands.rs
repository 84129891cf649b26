//! Commands to engines, protected by fencing tokens that the keepers issue.

use std::net::SocketAddr;
use std::sync::Arc;

use clayplank_schedule::Grant;
use clayplank_settings::{FenceCheck, HostSettings};
use clayplank_state::{CommandBody, Reply};
use clayplank_types::{HostId, Refusal, RefusalReason, UpstreamId};
use clayplank_upstream::{EngineClient, EngineCommand};

use crate::keepers::keeper_client::KeeperClient;
use crate::process::clock::millis;
use crate::process::logging::log_target;

/// Lease of a fencing token, in ms. It is longer than a command takes.
const COMMAND_LEASE_MS: u64 = 5_000;

/// Maximum wait for another host's lease, in ms. A request that would wait longer is refused.
const MAX_LEASE_WAIT_MS: u64 = 1_000;

/// Retry hint for the caller after a failed command, in ms.
const COMMAND_RETRY_MS: u64 = 1_000;

/// An engine that receives the command.
#[derive(Clone, Debug)]
struct CommandTarget {
    engine: UpstreamId,
    address: SocketAddr,
    fence: FenceCheck,
}

/// The adapter that a grant needs, and the engines of the grant, which are to load it.
#[derive(Clone, Debug)]
pub(crate) struct AdapterLoadPlan {
    adapter: String,
    targets: Vec<CommandTarget>,
    host: HostId,
    keepers: KeeperClient,
    engine_client: Arc<dyn EngineClient>,
}

impl AdapterLoadPlan {
    pub(crate) fn new(
        settings: &HostSettings,
        grant: &Grant,
        keepers: &KeeperClient,
        engine_client: &Arc<dyn EngineClient>,
    ) -> Self {
        let is_granted =
            |engine: &UpstreamId| grant.parts.iter().any(|part| part.engine == *engine);
        let targets = settings.engines().filter(|engine| is_granted(&engine.id)).map(|engine| {
            CommandTarget {
                engine: engine.id.clone(),
                address: engine.address,
                fence: engine.fence,
            }
        });
        Self {
            adapter: grant.load_adapter.clone().unwrap_or_default(),
            targets: targets.collect(),
            host: settings.host.clone(),
            keepers: keepers.clone(),
            engine_client: Arc::clone(engine_client),
        }
    }

    pub(crate) fn adapter(&self) -> &str {
        &self.adapter
    }

    pub(crate) fn engines(&self) -> impl Iterator<Item = &UpstreamId> {
        self.targets.iter().map(|target| &target.engine)
    }
}

/// Commands the engines of a plan, one after the other, to load its adapter. Stops at the first
/// failure.
pub(crate) async fn load_adapter(plan: &AdapterLoadPlan) -> Result<(), Refusal> {
    for target in &plan.targets {
        let token = acquire_token(plan, target).await?;
        let command = EngineCommand::LoadAdapter { adapter: plan.adapter.clone() };
        if let Err(error) = plan.engine_client.send_command(target.address, token, &command).await {
            log::warn!(target: log_target::OWNER, "Engine {} failed to load adapter {}: {error}.", target.engine, plan.adapter);
            return Err(Refusal::new(RefusalReason::UpstreamRefused, COMMAND_RETRY_MS));
        }
    }
    Ok(())
}

/// Acquires a fencing token. Where the engine does not check tokens, waits until the lease of
/// another host has expired.
async fn acquire_token(plan: &AdapterLoadPlan, target: &CommandTarget) -> Result<u64, Refusal> {
    let body = CommandBody::Fence {
        upstream: target.engine.clone(),
        host: plan.host.clone(),
        lease_ms: COMMAND_LEASE_MS,
    };
    let reply = plan.keepers.execute(&body, millis(MAX_LEASE_WAIT_MS)).await;
    let Ok(Reply::Fenced { token, wait_ms }) = reply else {
        return Err(Refusal::new(RefusalReason::NoClaim, COMMAND_RETRY_MS));
    };
    match target.fence {
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
