//! Starts the parts of a seeded entry host, which serves callers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clayplank_forward::{
    BudgetLimits, CommandFormat, Entry, EntryBuilder, Gate, QueueLimits, RetryBudget,
    serve_callers, serve_small_requests,
};
use clayplank_routes::CallerLimits;
use clayplank_settings::{Bounds, Resources};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::doors::contract::SharedContract;
use crate::fleet::event_reports::run_event_reports;
use crate::fleet::limit_reports::{run_limit_refresh, run_limit_reports};
use crate::fleet::placement_client::{PlacementClient, run_awaited_turns, run_backoff_reset};
use crate::fleet::termination_reports::{TerminationReporter, run_termination_reports};
use crate::follow::follow_metrics::FollowMetrics;
use crate::follow::follow_task::{FollowTask, run_follow_task};
use crate::process::daemon::{StartError, bind, serve_inner};
use crate::process::logging::log_target;
use crate::process::peer_service::InnerService;
use crate::process::seeded::{StartContext, plain_text};

/// Length of the lease of a confirmation, as a share of the time within which a revoked key, or a
/// cordon, must be in effect. The remainder allows for requests that are already on their way.
const LEASE_SHARE: f64 = 0.8;

/// Handles to a running entry host, to change its bounds and to stop it.
pub(crate) struct EntryHost {
    /// Decides whether the host accepts requests.
    pub(crate) gate: Arc<Gate>,
    pub(crate) entry: Arc<Entry>,
    /// Metrics of how this host follows the keepers.
    pub(crate) follow_metrics: Arc<FollowMetrics>,
    apply_ms: Arc<AtomicU64>,
}

impl EntryHost {
    /// Applies changed bounds.
    pub(crate) fn set_bounds(&self, bounds: &Bounds) {
        self.gate.set_lease_ms(lease_ms(bounds));
        self.apply_ms.store(bounds.apply_ms, Ordering::SeqCst);
        self.entry.set_budget_limits(budget_limits(bounds));
        self.entry.set_drain_ms(bounds.drain_ms);
    }
}

impl StartContext {
    /// Serves peers on a host without a keeper. Deployments give a host at most three bootstrap
    /// addresses. They may all be those of entry hosts, through which it has to find the keepers.
    async fn serve_peers(&self) -> Result<(), StartError> {
        let inner = bind(self.settings.listen.inner).await?;
        let service = InnerService {
            owner: None,
            keeper: None,
            membership: None,
            peers: self.peers.clone(),
            keepers: Some(self.keepers.clone()),
            fleet: None,
            relay: None,
            heartbeat_relay: None,
        };
        let serve = serve_inner(inner, service, Some(Arc::clone(&self.tunnels)));
        self.tasks.spawn("peer listener", serve);
        Ok(())
    }

    /// Starts the entry host: listeners for callers and readiness checks, and the tasks that follow
    /// the keepers. `closing` turns true when connections of callers shall close.
    pub(crate) async fn start_entry(
        &self,
        closing: watch::Receiver<bool>,
    ) -> Result<EntryHost, StartError> {
        let listen = &self.settings.listen;
        let callers = bind(listen.callers.ok_or(StartError::NoListen("callers"))?).await?;
        let readiness = bind(listen.readiness.ok_or(StartError::NoListen("readiness"))?).await?;
        if !self.settings.is_keeper() {
            self.serve_peers().await?;
        }
        let bounds = &self.settings.bounds;
        let gate = Arc::new(Gate::new(lease_ms(bounds)));
        let directory = Arc::clone(&self.directory);
        let (placement_client, reports) =
            PlacementClient::new(self.peers.clone(), self.keepers.clone());
        let placement_client = Arc::new(placement_client);
        let (termination_reporter, observations) = TerminationReporter::new(self.keepers.clone());
        self.tasks.spawn(
            "termination reports",
            run_termination_reports(self.keepers.clone(), observations),
        );
        let mut entry = EntryBuilder::default()
            .names(self.contract.header_names())
            .budget(RetryBudget::new(budget_limits(bounds)))
            .command_format(Arc::clone(&self.contract) as Arc<dyn CommandFormat>)
            .quarantine_authority(Arc::new(termination_reporter))
            .data_centre(self.settings.data_centre.clone())
            .connector(Arc::clone(&self.connector));
        if let Some(limits) = self.settings.resources.as_ref().and_then(queue_limits) {
            entry = entry.queue_limits(limits);
        }
        let entry =
            entry.build(Arc::clone(&gate), Arc::clone(&directory), placement_client.clone());
        let entry = Arc::new(entry);
        let tasks = &self.tasks;
        let client = || Arc::clone(&placement_client);
        tasks.spawn("event reports", run_event_reports(client(), reports.events));
        tasks.spawn("limit reports", run_limit_reports(client(), reports.limits));
        tasks.spawn("limit refresh", run_limit_refresh(client(), Arc::clone(&directory)));
        tasks.spawn("backoff reset", run_backoff_reset(client()));
        tasks.spawn("awaited turns", run_awaited_turns(client()));
        let metrics = Arc::new(FollowMetrics::default());
        let apply_ms = Arc::new(AtomicU64::new(bounds.apply_ms));
        let follow = FollowTask {
            host: self.local_host.clone(),
            contract: Arc::clone(&self.contract),
            keepers: self.keepers.clone(),
            placement_client,
            gate: Arc::clone(&gate),
            directory,
            entry: Arc::clone(&entry),
            connector: Arc::clone(&self.connector),
            metrics: Arc::clone(&metrics),
            apply_ms: Arc::clone(&apply_ms),
        };
        tasks.spawn("follow", run_follow_task(follow));
        tasks.spawn("caller listener", serve_callers(callers, Arc::clone(&entry), closing));
        let ready = serve_readiness(readiness, Arc::clone(&self.contract), Arc::clone(&gate));
        tasks.spawn("readiness listener", ready);
        Ok(EntryHost { gate, entry, follow_metrics: metrics, apply_ms })
    }
}

fn lease_ms(bounds: &Bounds) -> u64 {
    (bounds.revoke_ms.min(bounds.cordon_ms) as f64 * LEASE_SHARE) as u64
}

/// Bounds of the requests that wait in the admission queue. No plan is in force yet at the start, so
/// the number of requests is for bodies of the default size; larger ones are bounded by their bytes.
fn queue_limits(resources: &Resources) -> Option<QueueLimits> {
    let max_body_bytes = CallerLimits::default().max_body_bytes;
    let limits = QueueLimits::of(resources.memory_mb, resources.max_files, max_body_bytes);
    log::info!(target: log_target::DAEMON,
        memory_mb = resources.memory_mb, max_files = resources.max_files,
        requests = limits.map_or(0, |limits| limits.requests),
        bytes = limits.map_or(0, |limits| limits.bytes);
        "Derived the bounds of queued requests");
    limits
}

fn budget_limits(bounds: &Bounds) -> BudgetLimits {
    BudgetLimits {
        ratio: bounds.retry_ratio,
        extra: bounds.retry_extra,
        window_ms: (bounds.retry_window_s * 1e3) as u64,
    }
}

/// Serves the balancer's readiness check, which asks whether to send new connections to this host.
async fn serve_readiness(listener: TcpListener, contract: SharedContract, gate: Arc<Gate>) {
    let answer = move |request| {
        let status = readiness_status(&contract, &gate, &request);
        async move { plain_text(status, String::new()) }
    };
    serve_small_requests(listener, answer).await;
}

fn readiness_status(
    contract: &SharedContract,
    gate: &Gate,
    request: &Request<Incoming>,
) -> StatusCode {
    if !contract.is_readiness_call(request.method(), request.uri().path()) {
        return StatusCode::NOT_FOUND;
    }
    if gate.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}
