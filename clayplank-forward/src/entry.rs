//! State of an entry host that forwards requests, and its builder.

use std::fmt::Write as _;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use clayplank_connect::Connector;
use clayplank_types::{DataCentre, QuarantineEntry, SuspectKind};

use crate::budget::{BudgetLimits, RetryBudget};
use crate::buffer_quota::BufferQuota;
use crate::directory::Directory;
use crate::gate::Gate;
use crate::leaving_times::LeavingTimes;
use crate::loop_delay::LoopDelay;
use crate::metrics::Metrics;
use crate::names::HeaderNames;
use crate::placer::Placer;
use crate::quarantine::{NoAuthority, QuarantineAuthority, RequestQuarantine};
use crate::queue_quota::{QueueLimits, QueueQuota};
use crate::reserve::CommandFormat;
use crate::termination::PendingBreaks;

/// Default maximum number of open connections of callers; each takes a file descriptor and some
/// memory.
pub(crate) const DEFAULT_MAX_CONNECTIONS: usize = 2_000;

/// Default maximum number of buffered bytes of requests and answers.
pub(crate) const DEFAULT_MAX_BUFFERED_BYTES: usize = 48 << 20;

/// State that an entry host needs to forward requests.
pub struct Entry {
    /// Maximum number of open connections of callers.
    pub(crate) max_connections: usize,
    /// Quota of buffered bytes of requests and answers.
    pub(crate) buffer_quota: BufferQuota,
    /// Requests that may wait in the admission queue.
    pub(crate) queue_quota: QueueQuota,
    pub(crate) names: HeaderNames,
    pub(crate) gate: Arc<Gate>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) placer: Arc<dyn Placer>,
    /// Opens connections to upstreams.
    pub(crate) connector: Arc<Connector>,
    /// Format of commands by which engines reserve memory; `None` if no engine supports them.
    pub(crate) commands: Option<Arc<dyn CommandFormat>>,
    pub(crate) budget: Mutex<RetryBudget>,
    pub(crate) metrics: Metrics,
    pub(crate) loop_delay: LoopDelay,
    /// Times after which callers leave, by route.
    pub(crate) leaving_times: LeavingTimes,
    pub(crate) data_centre: DataCentre,
    /// Broken requests whose upstreams may have terminated.
    pub(crate) pending_breaks: PendingBreaks,
    /// Quarantine of requests and prompt parts under which upstreams terminate.
    pub(crate) quarantine: RequestQuarantine,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").field("data_centre", &self.data_centre).finish_non_exhaustive()
    }
}

/// Builder of an [`Entry`].
#[derive(Default)]
pub struct EntryBuilder {
    names: HeaderNames,
    budget: Option<RetryBudget>,
    command_format: Option<Arc<dyn CommandFormat>>,
    data_centre: DataCentre,
    quarantine_authority: Option<Arc<dyn QuarantineAuthority>>,
    max_connections: Option<usize>,
    max_buffered_bytes: Option<usize>,
    queue_limits: Option<QueueLimits>,
    connector: Arc<Connector>,
}

impl std::fmt::Debug for EntryBuilder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EntryBuilder").finish_non_exhaustive()
    }
}

impl EntryBuilder {
    /// Sets the header names.
    pub fn names(mut self, names: HeaderNames) -> Self {
        self.names = names;
        self
    }

    /// Sets the retry budget.
    pub fn budget(mut self, budget: RetryBudget) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Sets the format of commands by which engines reserve memory.
    pub fn command_format(mut self, orders: Arc<dyn CommandFormat>) -> Self {
        self.command_format = Some(orders);
        self
    }

    /// Sets the data centre of this host.
    pub fn data_centre(mut self, data_centre: DataCentre) -> Self {
        self.data_centre = data_centre;
        self
    }

    /// Sets the authority that decides which requests and prompt parts are quarantined; without one,
    /// none are.
    pub fn quarantine_authority(mut self, authority: Arc<dyn QuarantineAuthority>) -> Self {
        self.quarantine_authority = Some(authority);
        self
    }

    /// Sets the maximum number of open connections of callers.
    pub fn max_connections(mut self, max_connections: usize) -> Self {
        self.max_connections = Some(max_connections);
        self
    }

    /// Sets the maximum number of buffered bytes of requests and answers, over all callers and
    /// upstreams.
    pub fn max_buffered_bytes(mut self, max_buffered_bytes: usize) -> Self {
        self.max_buffered_bytes = Some(max_buffered_bytes);
        self
    }

    /// Sets the bounds of the requests that may wait in the admission queue; without them, none
    /// may.
    pub fn queue_limits(mut self, limits: impl Into<Option<QueueLimits>>) -> Self {
        self.queue_limits = limits.into();
        self
    }

    /// Sets the connector that opens connections to upstreams.
    pub fn connector(mut self, connector: Arc<Connector>) -> Self {
        self.connector = connector;
        self
    }

    /// Builds the entry host.
    pub fn build(
        self,
        gate: Arc<Gate>,
        directory: Arc<Directory>,
        placer: Arc<dyn Placer>,
    ) -> Entry {
        let budget = self.budget.unwrap_or_else(|| RetryBudget::new(Default::default()));
        Entry {
            max_connections: self.max_connections.unwrap_or(DEFAULT_MAX_CONNECTIONS),
            buffer_quota: BufferQuota::new(
                self.max_buffered_bytes.unwrap_or(DEFAULT_MAX_BUFFERED_BYTES),
            ),
            queue_quota: QueueQuota::new(self.queue_limits),
            names: self.names,
            gate,
            directory,
            placer,
            connector: self.connector,
            commands: self.command_format,
            budget: Mutex::new(budget),
            metrics: Metrics::default(),
            loop_delay: LoopDelay::default(),
            leaving_times: LeavingTimes::default(),
            data_centre: self.data_centre,
            pending_breaks: PendingBreaks::default(),
            quarantine: RequestQuarantine::new(
                self.quarantine_authority.unwrap_or_else(|| Arc::new(NoAuthority)),
            ),
        }
    }
}

impl Entry {
    pub(crate) fn lock_budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets new limits of the retry budget.
    pub fn set_budget_limits(&self, limits: BudgetLimits) {
        self.lock_budget().set_limits(limits);
    }

    /// Sets the time after which an upstream that drains or has departed receives no more requests,
    /// in ms.
    pub fn set_drain_ms(&self, drain_ms: u64) {
        self.connector.set_drain_ms(drain_ms);
    }

    /// Sets the number of hosts that share the retry budget.
    pub fn set_hosts(&self, hosts: u64) {
        self.lock_budget().set_hosts(hosts);
    }

    /// Sets new bounds of the requests that may wait in the admission queue; `None` if none may.
    /// Requests that wait already are not affected.
    pub fn set_queue_limits(&self, limits: impl Into<Option<QueueLimits>>) {
        self.queue_quota.set_limits(limits.into());
    }

    /// Replaces the set of quarantined requests and prompt parts.
    pub fn set_quarantined(&self, entries: Vec<QuarantineEntry>) {
        self.quarantine.set_quarantined(entries);
    }

    /// All metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> String {
        let quarantined = self.quarantine.count(SuspectKind::Request);
        let quarantined_parts = self.quarantine.count(SuspectKind::PromptPart);
        let buffered_bytes = self.buffer_quota.count();
        let limited = self.directory.count_limited();
        let in_backoff = self.directory.count_in_backoff();
        let leaving = self.directory.count_leaving();
        let loop_delay_ms = self.loop_delay.shortest().as_millis();
        let mut text = format!(
            "{}{}clayplank_entry_held_back {quarantined}\n\
             clayplank_entry_held_back_parts {quarantined_parts}\nclayplank_entry_held_bytes {buffered_bytes}\n\
             clayplank_entry_limited_upstreams {limited}\n\
             clayplank_entry_upstreams_in_backoff {in_backoff}\n\
             clayplank_entry_leaving_upstreams {leaving}\n\
             clayplank_entry_loop_delay_ms {loop_delay_ms}\n",
            self.metrics.to_text(),
            self.connector.metrics_text()
        );
        for (route, leaving_time) in self.leaving_times.learned() {
            let leaving_ms = leaving_time.as_millis();
            let labels = format!("route=\"{route}\"");
            writeln!(text, "clayplank_entry_callers_leave_after_ms{{{labels}}} {leaving_ms}").ok();
        }
        text
    }
}
