//! Plan in force at a host, and whether the host accepts requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use clayplank_clock::Instant;
use clayplank_routes::PlanIndex;
use tokio::sync::watch;

use crate::clock::now_ms;
use crate::refusal::Refusal;

/// Retry time sent to callers while this host shuts down, in ms; the load balancer routes the retry
/// to another host.
pub(crate) const SHUTDOWN_RETRY_MS: u64 = 50;

/// Refusal of requests that no upstream may have run while this host shuts down.
pub(crate) const SHUTDOWN_REFUSAL: Refusal = Refusal::NotRun { retry_after_ms: SHUTDOWN_RETRY_MS };

/// Phase of a host's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Open,
    /// The host reports that it is not ready; the load balancer may still send new connections.
    ShuttingDown {
        closes_at: Instant,
        /// Time at which all requests without an answer are abandoned.
        ends_at: Instant,
    },
    /// Requests that no upstream may have run are rejected.
    Closed,
    /// All requests without an answer are abandoned.
    Ending,
}

/// The plan in force, its lease, and the number of requests in progress.
#[derive(Debug)]
pub struct Gate {
    plan: ArcSwapOption<PlanIndex>,
    /// Time until which accounts may be admitted under the plan, in ms; counted from the request to
    /// the keeper.
    confirmed_until_ms: AtomicU64,
    lease_ms: AtomicU64,
    /// Whether a plan has ever been confirmed at this host.
    has_been_confirmed: watch::Sender<bool>,
    phase: watch::Sender<Phase>,
    is_full: AtomicBool,
    is_overloaded: AtomicBool,
    in_progress: AtomicU64,
    /// Number of open connections on which a caller has sent a request.
    used_connections: AtomicU64,
}

impl Gate {
    /// Creates a gate without a plan; a confirmation is valid for `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            plan: ArcSwapOption::empty(),
            confirmed_until_ms: AtomicU64::new(0),
            lease_ms: AtomicU64::new(lease_ms),
            has_been_confirmed: watch::Sender::new(false),
            phase: watch::Sender::new(Phase::Open),
            is_full: AtomicBool::new(false),
            is_overloaded: AtomicBool::new(false),
            in_progress: AtomicU64::new(0),
            used_connections: AtomicU64::new(0),
        }
    }

    /// Puts a plan in force unless a newer one is.
    pub fn set_plan(&self, plan: PlanIndex) {
        let current = self.plan.load();
        if current.as_ref().is_none_or(|current| current.plan().version < plan.plan().version) {
            self.plan.store(Some(Arc::new(plan)));
        }
    }

    /// Records that a keeper confirmed the plan in reply to a request sent at this time.
    pub fn confirm(&self, requested_ms: u64) {
        let lease_ms = self.lease_ms.load(Ordering::SeqCst);
        self.confirmed_until_ms.fetch_max(requested_ms + lease_ms, Ordering::SeqCst);
        self.has_been_confirmed
            .send_if_modified(|has_been_confirmed| !std::mem::replace(has_been_confirmed, true));
    }

    /// Waits, up to a time-out, for the first confirmed plan of a newly started host.
    pub async fn wait_for_first_plan(&self, timeout: Duration) {
        if *self.has_been_confirmed.borrow() {
            return;
        }
        let mut has_been_confirmed = self.has_been_confirmed.subscribe();
        // Without a plan in time the request is rejected, as by a host whose plan is no longer
        // confirmed.
        clayplank_clock::timeout(
            timeout,
            has_been_confirmed.wait_for(|has_been_confirmed| *has_been_confirmed),
        )
        .await
        .ok();
    }

    /// Sets a new lease duration, which applies from the next confirmation.
    pub fn set_lease_ms(&self, lease_ms: u64) {
        self.lease_ms.store(lease_ms, Ordering::SeqCst);
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<Arc<PlanIndex>> {
        self.plan.load_full()
    }

    /// Version of the plan in force; 0 for none.
    pub(crate) fn plan_version(&self) -> u64 {
        self.plan.load().as_ref().map_or(0, |plan| plan.plan().version)
    }

    /// Whether the plan was confirmed within the lease.
    pub fn is_confirmed(&self) -> bool {
        now_ms() < self.confirmed_until_ms.load(Ordering::SeqCst)
    }

    /// Whether the load balancer should send new connections to this host.
    pub fn is_ready(&self) -> bool {
        let has_plan = self.is_confirmed() && self.plan.load().is_some();
        let has_room =
            !self.is_full.load(Ordering::SeqCst) && !self.is_overloaded.load(Ordering::SeqCst);
        has_plan && !self.is_shutting_down() && has_room
    }

    /// Sets whether no further connection can be accepted. A full host that still reported itself
    /// ready would be sent callers that wait until one of its connections exceeds the idle
    /// time-out.
    pub(crate) fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    /// Sets whether this host has more work than it can process. The load balancer should then send
    /// new connections to another one.
    pub(crate) fn set_overloaded(&self, is_overloaded: bool) {
        self.is_overloaded.store(is_overloaded, Ordering::SeqCst);
    }

    /// Marks the host as not ready, permanently. It is to be closed at `closes_at`, and requests without
    /// an answer are to be abandoned at `ends_at`.
    pub fn start_shutdown(&self, closes_at: Instant, ends_at: Instant) {
        self.phase.send_replace(Phase::ShuttingDown { closes_at, ends_at });
    }

    /// Whether the host shuts down, and ends before an answer that takes this long from now.
    pub(crate) fn ends_within(&self, answer: Duration) -> bool {
        match *self.phase.borrow() {
            Phase::Open => false,
            Phase::ShuttingDown { ends_at, .. } => Instant::now() + answer > ends_at,
            Phase::Closed | Phase::Ending => true,
        }
    }

    /// Whether the host is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        *self.phase.borrow() != Phase::Open
    }

    /// Rejects all requests that no upstream may have run, and all further ones, as they could not be
    /// completed any more.
    pub fn close(&self) {
        self.phase.send_replace(Phase::Closed);
    }

    /// Whether requests are rejected.
    pub fn is_closed(&self) -> bool {
        match *self.phase.borrow() {
            Phase::Open | Phase::ShuttingDown { .. } => false,
            Phase::Closed | Phase::Ending => true,
        }
    }

    /// Abandons all requests whose answer has not begun: the process is about to end, and a closed
    /// connection would not tell their callers whether they have run.
    pub fn abandon_requests(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Waits until the host shuts down; returns the time at which it closes.
    pub(crate) async fn wait_until_shutting_down(&self) -> Instant {
        match self.wait_for_phase(|phase| *phase != Phase::Open).await {
            Phase::ShuttingDown { closes_at, .. } => closes_at,
            Phase::Open | Phase::Closed | Phase::Ending => Instant::now(),
        }
    }

    /// Waits until requests that no upstream may have run are rejected.
    pub(crate) async fn wait_until_closed(&self) {
        self.wait_for_phase(|phase| matches!(phase, Phase::Closed | Phase::Ending)).await;
    }

    /// Awaits the answer to a request; a refusal once all requests are abandoned.
    pub(crate) async fn unless_ending<T>(
        &self,
        answer: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        tokio::select! {
            biased;
            answer = answer => answer,
            _ = self.wait_for_phase(|phase| *phase == Phase::Ending) => Err(SHUTDOWN_REFUSAL),
        }
    }

    async fn wait_for_phase(&self, is_reached: impl Fn(&Phase) -> bool) -> Phase {
        let mut phase = self.phase.subscribe();
        let reached = phase.wait_for(is_reached).await.map(|reached| *reached);
        // The sender lives as long as `self`.
        let Ok(reached) = reached else { std::future::pending().await };
        reached
    }

    /// Number of requests between their head and the end of their answer.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::SeqCst)
    }

    /// Number of open connections on which a caller has sent a request. An answer may not be written
    /// completely while its connection is open.
    pub fn used_connections(&self) -> u64 {
        self.used_connections.load(Ordering::SeqCst)
    }

    /// Counts a connection on which a request was received until the guard is dropped.
    pub(crate) fn enter_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.used_connections.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard(Arc::clone(self))
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn enter(self: &Arc<Self>) -> ProgressGuard {
        self.in_progress.fetch_add(1, Ordering::SeqCst);
        ProgressGuard(Arc::clone(self))
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct ProgressGuard(Arc<Gate>);

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

/// One open connection on which a request was received.
#[derive(Debug)]
pub(crate) struct ConnectionGuard(Arc<Gate>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.used_connections.fetch_sub(1, Ordering::SeqCst);
    }
}
