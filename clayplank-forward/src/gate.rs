//! What a host serves under, and whether it takes requests at all.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use clayplank_routes::PlanIndex;
use tokio::sync::watch;

use crate::clock::now_ms;

/// The plan in force, how long it may be used, and the requests in progress.
#[derive(Debug)]
pub struct Gate {
    plan: ArcSwapOption<PlanIndex>,
    /// Until when accounts may be admitted under the plan; counted from when a keeper was asked.
    confirmed_until_ms: AtomicU64,
    lease_ms: AtomicU64,
    /// Whether a plan was ever confirmed here.
    has_served: watch::Sender<bool>,
    is_leaving: AtomicBool,
    is_closed: AtomicBool,
    is_full: AtomicBool,
    in_progress: AtomicU64,
}

impl Gate {
    /// A gate without a plan; a confirmation holds for `lease_ms`.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            plan: ArcSwapOption::empty(),
            confirmed_until_ms: AtomicU64::new(0),
            lease_ms: AtomicU64::new(lease_ms),
            has_served: watch::Sender::new(false),
            is_leaving: AtomicBool::new(false),
            is_closed: AtomicBool::new(false),
            is_full: AtomicBool::new(false),
            in_progress: AtomicU64::new(0),
        }
    }

    /// Puts a plan in force, unless a newer one is.
    pub fn set_plan(&self, plan: PlanIndex) {
        let held = self.plan.load();
        if held.as_ref().is_none_or(|held| held.plan().version < plan.plan().version) {
            self.plan.store(Some(Arc::new(plan)));
        }
    }

    /// Notes that a keeper, asked at this time, confirmed the plan.
    pub fn confirm(&self, asked_ms: u64) {
        let lease_ms = self.lease_ms.load(Ordering::SeqCst);
        self.confirmed_until_ms.fetch_max(asked_ms + lease_ms, Ordering::SeqCst);
        self.has_served.send_if_modified(|has_served| !std::mem::replace(has_served, true));
    }

    /// Waits for the first confirmed plan of a host that has just started, but not for long.
    pub async fn wait_for_first_plan(&self, patience: Duration) {
        if *self.has_served.borrow() {
            return;
        }
        let mut has_served = self.has_served.subscribe();
        // Without one in time the caller is refused, as by a host that has lost its plan.
        clayplank_clock::timeout(patience, has_served.wait_for(|has_served| *has_served))
            .await
            .ok();
    }

    /// Takes in a changed lease; it counts from the next confirmation on.
    pub fn set_lease_ms(&self, lease_ms: u64) {
        self.lease_ms.store(lease_ms, Ordering::SeqCst);
    }

    /// The plan in force.
    pub fn plan(&self) -> Option<Arc<PlanIndex>> {
        self.plan.load_full()
    }

    /// The version of the plan in force; 0 for none.
    pub(crate) fn plan_version(&self) -> u64 {
        self.plan.load().as_ref().map_or(0, |plan| plan.plan().version)
    }

    /// Whether the plan was confirmed within the lease.
    pub fn is_confirmed(&self) -> bool {
        now_ms() < self.confirmed_until_ms.load(Ordering::SeqCst)
    }

    /// Whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        let is_served = self.is_confirmed() && self.plan.load().is_some();
        is_served && !self.is_leaving() && !self.is_full.load(Ordering::SeqCst)
    }

    /// Notes whether no further connection can be taken. A host that says it is ready all the same is
    /// sent callers whom it leaves waiting until one of its connections has rested for too long.
    pub(crate) fn set_full(&self, is_full: bool) {
        self.is_full.store(is_full, Ordering::SeqCst);
    }

    /// From now on the host is not ready.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Whether the host is stopping.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::SeqCst)
    }

    /// From now on requests are refused: they could not be served to their end.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
    }

    /// Whether requests are refused.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::SeqCst)
    }

    /// Requests between their head and the end of their answer.
    pub fn in_progress(&self) -> u64 {
        self.in_progress.load(Ordering::SeqCst)
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
