//! Starts the parts of an entry host that finds the others from seeds.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clayplank_forward::{
    BudgetLimits, Directory, Entry, EntryBuilder, Gate, OrderFormat, RetryBudget, serve_callers,
    serve_simple,
};
use clayplank_settings::Bounds;
use http::{Request, StatusCode};
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::doors::contract::SharedContract;
use crate::fleet::fleet_link::{FleetLink, run_reports, run_return_to_leader};
use crate::fleet::limit_reports::run_limit_reports;
use crate::fleet::sightings::{SightingLink, run_sightings};
use crate::follow::follow_log::FollowFigures;
use crate::follow::following::{Following, run_following};
use crate::process::daemon::{StartError, bind, serve_inner};
use crate::process::inner::InnerService;
use crate::process::seeded::{Parts, plain_text};

/// Share of the time until a revoked key, or a cordon, must be in effect for which a
/// confirmation holds; the rest is for requests that are on their way.
const LEASE_SHARE: f64 = 0.8;

/// What a running entry host is told later.
pub(crate) struct EntryHost {
    /// Whether it takes requests.
    pub(crate) gate: Arc<Gate>,
    pub(crate) entry: Arc<Entry>,
    /// How well it follows the keepers.
    pub(crate) following: Arc<FollowFigures>,
    apply_ms: Arc<AtomicU64>,
}

impl EntryHost {
    /// Takes in bounds that were changed.
    pub(crate) fn set_bounds(&self, bounds: &Bounds) {
        self.gate.set_lease_ms(lease_ms(bounds));
        self.apply_ms.store(bounds.apply_ms, Ordering::SeqCst);
        self.entry.set_budget_limits(budget_limits(bounds));
    }
}

impl Parts {
    /// Answers other hosts where there is no keeper to do so: a host is told of three others at
    /// most, which may all be entry hosts, and has to find the keepers from them.
    async fn serve_other_hosts(&self) -> Result<(), StartError> {
        let inner = bind(self.settings.listen.inner).await?;
        let service = InnerService {
            owner: None,
            keeper: None,
            membership: None,
            peers: self.peers.clone(),
            keepers: Some(self.keepers.clone()),
            fleet: None,
            relay: None,
            spread: None,
        };
        tokio::spawn(serve_inner(inner, service));
        Ok(())
    }

    /// Starts an entry host.
    pub(crate) async fn start_entry(
        &self,
        closing: watch::Receiver<bool>,
    ) -> Result<EntryHost, StartError> {
        let listen = &self.settings.listen;
        let callers = bind(listen.callers.ok_or(StartError::NoListen("callers"))?).await?;
        let readiness = bind(listen.readiness.ok_or(StartError::NoListen("readiness"))?).await?;
        if !self.settings.is_keeper() {
            self.serve_other_hosts().await?;
        }
        let bounds = &self.settings.bounds;
        let gate = Arc::new(Gate::new(lease_ms(bounds)));
        let directory = Arc::new(Directory::default());
        let (link, reports) = FleetLink::new(self.peers.clone(), self.keepers.clone());
        let link = Arc::new(link);
        let (judge, observations) = SightingLink::new(self.keepers.clone());
        tokio::spawn(run_sightings(self.keepers.clone(), observations));
        let entry = EntryBuilder::default()
            .names(self.contract.header_names())
            .budget(RetryBudget::new(budget_limits(bounds)))
            .orders(Arc::clone(&self.contract) as Arc<dyn OrderFormat>)
            .judge(Arc::new(judge))
            .data_centre(self.settings.data_centre.clone())
            .build(Arc::clone(&gate), Arc::clone(&directory), link.clone());
        let entry = Arc::new(entry);
        tokio::spawn(run_reports(Arc::clone(&link), reports.events));
        tokio::spawn(run_limit_reports(Arc::clone(&link), reports.limits));
        tokio::spawn(run_return_to_leader(Arc::clone(&link)));
        let figures = Arc::new(FollowFigures::default());
        let apply_ms = Arc::new(AtomicU64::new(bounds.apply_ms));
        tokio::spawn(run_following(Following {
            host: self.own.clone(),
            contract: Arc::clone(&self.contract),
            keepers: self.keepers.clone(),
            link,
            gate: Arc::clone(&gate),
            directory,
            entry: Arc::clone(&entry),
            figures: Arc::clone(&figures),
            apply_ms: Arc::clone(&apply_ms),
        }));
        tokio::spawn(serve_callers(callers, Arc::clone(&entry), closing));
        serve_readiness(readiness, Arc::clone(&self.contract), Arc::clone(&gate));
        Ok(EntryHost { gate, entry, following: figures, apply_ms })
    }
}

fn lease_ms(bounds: &Bounds) -> u64 {
    (bounds.revoke_ms.min(bounds.cordon_ms) as f64 * LEASE_SHARE) as u64
}

fn budget_limits(bounds: &Bounds) -> BudgetLimits {
    BudgetLimits {
        ratio: bounds.retry_ratio,
        extra: bounds.retry_extra,
        window_ms: (bounds.retry_window_s * 1e3) as u64,
    }
}

/// Answers the balancer, which asks whether new connections should come here.
fn serve_readiness(listener: TcpListener, contract: SharedContract, gate: Arc<Gate>) {
    tokio::spawn(serve_simple(listener, move |request| {
        let status = readiness_status(&contract, &gate, &request);
        async move { plain_text(status, String::new()) }
    }));
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
