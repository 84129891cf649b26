//! State that the parts of an entry host share.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Weak};

use clayplank_forward::RequestQuarantine;
use clayplank_settings::HostSettings;
use clayplank_types::{Incarnation, UpstreamId};
use clayplank_upstream::{EngineClient, HttpClient};
use tokio::sync::watch;

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

/// Phase of a host's life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Open,
    /// The health check fails; the load balancer may still send requests.
    Leaving,
    /// New requests are rejected.
    Closed,
    /// The process is about to end, and abandons the requests in progress.
    Ending,
}

/// Number of requests that wait or run on this host, and whether more are accepted.
#[derive(Debug, Default)]
pub(crate) struct InProgress {
    count: AtomicU64,
    phase: watch::Sender<Phase>,
}

impl InProgress {
    pub(crate) fn count(&self) -> u64 {
        self.count.load(Ordering::SeqCst)
    }

    /// Makes the health check fail from now on.
    pub(crate) fn leave(&self) {
        self.phase.send_replace(Phase::Leaving);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        *self.phase.borrow() != Phase::Open
    }

    /// Rejects all new requests from now on.
    pub(crate) fn close(&self) {
        self.phase.send_replace(Phase::Closed);
    }

    pub(crate) fn is_closed(&self) -> bool {
        match *self.phase.borrow() {
            Phase::Open | Phase::Leaving => false,
            Phase::Closed | Phase::Ending => true,
        }
    }

    /// Abandons the requests in progress whose answer has not begun: a closed connection would not tell
    /// their callers whether they have run.
    pub(crate) fn abandon(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Waits until the requests in progress are abandoned.
    pub(crate) async fn wait_until_abandoned(&self) {
        let mut phase = self.phase.subscribe();
        if phase.wait_for(|phase| *phase == Phase::Ending).await.is_err() {
            // The sender lives as long as `self`.
            std::future::pending().await
        }
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
