//! What an entry host needs to forward requests, and how it is put together.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use clayplank_types::{DataCentre, HeldBack};

use crate::budget::{BudgetLimits, RetryBudget};
use crate::directory::Directory;
use crate::ends::Ends;
use crate::figures::Figures;
use crate::gate::Gate;
use crate::held_bytes::HeldBytes;
use crate::names::HeaderNames;
use crate::placer::Placer;
use crate::reserve::OrderFormat;
use crate::suspicion::{Judge, NoJudge, Suspicion};

/// Connections of callers that are open at once unless the builder says otherwise; each holds a
/// descriptor and some memory.
const MAX_CONNECTIONS: usize = 2_000;

/// Bytes of requests and answers that are held at once unless the builder says otherwise.
const MAX_HELD_BYTES: usize = 48 << 20;

/// What an entry host needs to forward requests.
pub struct Entry {
    /// Connections of callers that are open at once.
    pub(crate) max_connections: usize,
    /// Bytes of requests and answers.
    pub(crate) held_bytes: HeldBytes,
    pub(crate) names: HeaderNames,
    pub(crate) gate: Arc<Gate>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) placer: Arc<dyn Placer>,
    /// How engines are told to hold memory; `None` where no engine can.
    pub(crate) orders: Option<Arc<dyn OrderFormat>>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) figures: Figures,
    pub(crate) data_centre: DataCentre,
    /// Upstreams that may have ended under requests.
    pub(crate) ends: Ends,
    /// Requests that end upstreams.
    pub(crate) suspicion: Suspicion,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").field("data_centre", &self.data_centre).finish_non_exhaustive()
    }
}

/// Builds an [`Entry`].
#[derive(Default)]
pub struct EntryBuilder {
    names: HeaderNames,
    budget: Option<RetryBudget>,
    orders: Option<Arc<dyn OrderFormat>>,
    data_centre: DataCentre,
    judge: Option<Arc<dyn Judge>>,
    max_connections: Option<usize>,
    max_held_bytes: Option<usize>,
}

impl std::fmt::Debug for EntryBuilder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryBuilder").finish_non_exhaustive()
    }
}

impl EntryBuilder {
    /// Sets the names of headers.
    pub fn names(mut self, names: HeaderNames) -> Self {
        self.names = names;
        self
    }

    /// Sets the retry budget.
    pub fn budget(mut self, budget: RetryBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Sets how engines are told to hold memory.
    pub fn orders(mut self, orders: Arc<dyn OrderFormat>) -> Self {
        self.orders = Some(orders);
        self
    }

    /// Sets where the host stands.
    pub fn data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centre = data_centre;
        self
    }

    /// Sets who decides which requests are held back; without one, none is.
    pub fn judge(mut self, judge: Arc<dyn Judge>) -> Self {
        self.judge = Some(judge);
        self
    }

    /// Sets how many connections of callers are open at once.
    pub fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = Some(max_connections);
        self
    }

    /// Sets how many bytes of requests and answers are held at once, for all callers and upstreams.
    pub fn max_held_bytes(mut self, max_held_bytes: usize) -> Self {
        self.max_held_bytes = Some(max_held_bytes);
        self
    }

    /// Builds it.
    pub fn build(
        self,
        gate: Arc<Gate>,
        directory: Arc<Directory>,
        placer: Arc<dyn Placer>,
    ) -> Entry {
        let budget = self.budget.unwrap_or_else(|| RetryBudget::new(Default::default()));
        Entry {
            max_connections: self.max_connections.unwrap_or(MAX_CONNECTIONS),
            held_bytes: HeldBytes::new(self.max_held_bytes.unwrap_or(MAX_HELD_BYTES)),
            names: self.names,
            gate,
            directory,
            placer,
            orders: self.orders,
            budget: Mutex::new(budget),
            figures: Figures::default(),
            data_centre: self.data_centre,
            ends: Ends::default(),
            suspicion: Suspicion::new(self.judge.unwrap_or_else(|| Arc::new(NoJudge))),
        }
    }
}

impl Entry {
    pub(crate) fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in changed limits of the retry budget.
    pub fn set_budget_limits(&self, limits: BudgetLimits) {
        self.lock_budget().set_limits(limits);
    }

    /// Takes in how many hosts share the retry budget.
    pub fn set_hosts(&self, hosts: u64) {
        self.lock_budget().set_hosts(hosts);
    }

    /// Takes in all requests that are held back.
    pub fn set_held_back(&self, held_back: Vec<HeldBack>) {
        self.suspicion.set_held_back(held_back);
    }

    /// All figures in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let held_back = self.suspicion.count();
        let held_bytes = self.held_bytes.count();
        let limited = self.directory.count_limited();
        format!(
            "{}clayplank_entry_held_back {held_back}\nclayplank_entry_held_bytes {held_bytes}\n\
             clayplank_entry_limited_upstreams {limited}\n",
            self.figures.to_text()
        )
    }
}
