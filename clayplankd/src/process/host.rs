//! What the parts of an entry host share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use clayplank_forward::Suspicion;
use clayplank_settings::HostSettings;
use clayplank_types::{Incarnation, UpstreamId};
use clayplank_upstream::{EngineEdge, HttpClient};

use crate::doors::accounts::AccountDoors;
use crate::doors::services::ServiceLoads;
use crate::follow::settings_watch::CurrentSettings;
use crate::keepers::keeper_client::KeeperClient;
use crate::owners::pools::PoolDirectory;
use crate::owners::reserve::{HeldGrants, PoolWaits};
use crate::owners::upstreams::UpstreamStates;
use crate::process::membership::MembersView;
use crate::process::metrics::Metrics;
use crate::process::peers::Peers;

/// Everything that a request meets on its way.
#[derive(Debug)]
pub(crate) struct Host {
    /// This value itself, for tasks that outlive a call.
    pub(crate) own: Weak<Self>,
    pub(crate) settings: Arc<HostSettings>,
    pub(crate) incarnation: Incarnation,
    pub(crate) peers: Peers,
    pub(crate) keepers: KeeperClient,
    pub(crate) current: Arc<CurrentSettings>,
    pub(crate) members: Arc<MembersView>,
    pub(crate) engines: Arc<dyn EngineEdge>,
    pub(crate) http: HttpClient,
    pub(crate) addresses: HashMap<UpstreamId, SocketAddr>,
    pub(crate) pools: Arc<PoolDirectory>,
    pub(crate) upstreams: UpstreamStates,
    pub(crate) held: HeldGrants,
    pub(crate) pool_waits: PoolWaits,
    pub(crate) account_doors: AccountDoors,
    pub(crate) metrics: Metrics,
    pub(crate) progress: InProgress,
    pub(crate) service_loads: ServiceLoads,
    /// Requests that end upstreams.
    pub(crate) suspicion: Arc<Suspicion>,
}

impl Host {
    /// This value, for a task of its own.
    pub(crate) fn shared(&self) -> Option<Arc<Self>> {
        self.own.upgrade()
    }
}

/// How many requests wait or run here, and whether more are taken.
#[derive(Debug, Default)]
pub(crate) struct InProgress {
    count: AtomicU64,
    is_leaving: AtomicBool,
    is_closed: AtomicBool,
}

impl InProgress {
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// From now on the health check fails.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// From now on no request is taken.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    pub(crate) fn enter(&self) {
        self.count.fetch_add(1, Ordering::SeqCst);
    }

    pub(crate) fn exit(&self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts one request from its arrival until its last byte was handed over.
#[derive(Debug)]
pub(crate) struct InProgressGuard(Arc<Host>);

impl InProgressGuard {
    pub(crate) fn new(host: &Arc<Host>) -> Self {
        host.progress.enter();
        Self(Arc::clone(host))
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.progress.exit();
    }
}
