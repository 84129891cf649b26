//! State that the parts of an entry host share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use clayplank_forward::RequestQuarantine;
use clayplank_settings::HostSettings;
use clayplank_types::{Incarnation, UpstreamId};
use clayplank_upstream::{EngineClient, HttpClient};

use crate::doors::account_limits::AccountLimits;
use crate::doors::services::ServiceLoads;
use crate::follow::current_settings::CurrentSettings;
use crate::keepers::keeper_client::KeeperClient;
use crate::owners::leaving_upstreams::LeavingUpstreams;
use crate::owners::pool_directory::PoolDirectory;
use crate::owners::reservations::{OwnedGrants, PoolWaits};
use crate::process::membership::MembersView;
use crate::process::metrics::Metrics;
use crate::process::peers::Peers;

/// State, clients and limits used to serve a request.
#[derive(Debug)]
pub(crate) struct Host {
    /// Reference to this value, for tasks that outlive a call.
    pub(crate) weak_self: Weak<Self>,
    pub(crate) settings: Arc<HostSettings>,
    pub(crate) incarnation: Incarnation,
    pub(crate) peers: Peers,
    pub(crate) keepers: KeeperClient,
    /// Replicated settings, with the lease for which they are confirmed.
    pub(crate) replicated_settings: Arc<CurrentSettings>,
    pub(crate) members: Arc<MembersView>,
    pub(crate) engines: Arc<dyn EngineClient>,
    pub(crate) http: HttpClient,
    /// Addresses of the engines in the settings.
    pub(crate) addresses: HashMap<UpstreamId, SocketAddr>,
    pub(crate) pools: Arc<PoolDirectory>,
    pub(crate) upstreams: LeavingUpstreams,
    /// Grants that this host holds and renews at their owners.
    pub(crate) grants: OwnedGrants,
    pub(crate) pool_wait_estimates: PoolWaits,
    pub(crate) account_limits: AccountLimits,
    pub(crate) metrics: Metrics,
    pub(crate) progress: InProgress,
    pub(crate) service_loads: ServiceLoads,
    /// Requests suspected of ending upstreams.
    pub(crate) quarantine: Arc<RequestQuarantine>,
}

impl Host {
    /// An owning reference to this host, for a spawned task; `None` once the host was dropped.
    pub(crate) fn shared(&self) -> Option<Arc<Self>> {
        self.weak_self.upgrade()
    }
}

/// Number of requests that wait or run on this host, and whether more are accepted.
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

    /// Makes the health check fail from now on.
    pub(crate) fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// Rejects all new requests from now on.
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

/// Counts a request as in progress until its last byte was handed to the connection.
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
