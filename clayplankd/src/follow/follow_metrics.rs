//! Log lines, limited in number, and metrics on how an entry host follows the keepers.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clayplank_types::HostId;

use crate::process::clock::now_ms;
use crate::process::logging::log_target;

/// Number of failed exchanges, since the plan was last confirmed, that get a log line each. Further ones
/// are only counted in summary lines.
const MAX_FAILURE_LINES: u64 = 8;

/// Interval between two summary lines on failed exchanges, in ms.
const SUMMARY_INTERVAL_MS: u64 = 5_000;

/// Minimum time without a confirmation, in ms, whose end is logged. A host receives a confirmation about
/// every half a second.
const MIN_LOGGED_SILENCE_MS: u64 = 1_000;

/// Outcome of a request to a keeper, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeOutcome {
    /// The keeper confirmed the plan.
    Confirmed,
    /// The keeper answered, but could not confirm the plan.
    Unconfirmed,
    /// The keeper did not answer.
    Failed,
}

impl ExchangeOutcome {
    const ALL: [Self; 3] = [Self::Confirmed, Self::Unconfirmed, Self::Failed];

    fn as_str(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::Unconfirmed => "unconfirmed",
            Self::Failed => "failed",
        }
    }
}

/// Metrics of a host that follows the keepers.
#[derive(Debug, Default)]
pub(crate) struct FollowMetrics {
    exchanges: [AtomicU64; ExchangeOutcome::ALL.len()],
    keepers: AtomicU64,
    plan_version: AtomicU64,
    confirmed_ms: AtomicU64,
    max_silence_ms: AtomicU64,
}

impl FollowMetrics {
    /// Counts an outcome.
    pub(crate) fn count(&self, outcome: ExchangeOutcome) {
        self.exchanges[outcome as usize].fetch_add(1, Ordering::SeqCst);
    }

    /// Sets the number of known keepers.
    pub(crate) fn set_keepers(&self, keepers: usize) {
        self.keepers.store(keepers as u64, Ordering::SeqCst);
    }

    /// Records that the plan was confirmed, after `silence_ms` without a confirmation.
    fn record_confirmed(&self, plan_version: u64, silence_ms: u64) {
        self.plan_version.store(plan_version, Ordering::SeqCst);
        self.confirmed_ms.store(now_ms(), Ordering::SeqCst);
        self.max_silence_ms.fetch_max(silence_ms, Ordering::SeqCst);
    }

    /// The metrics in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let silence_ms = now_ms().saturating_sub(self.confirmed_ms.load(Ordering::SeqCst));
        let mut text = format!(
            "clayplank_follow_keepers {}\nclayplank_follow_plan_version {}\n\
             clayplank_follow_silence_ms {silence_ms}\n\
             clayplank_follow_longest_silence_ms {}\n",
            self.keepers.load(Ordering::SeqCst),
            self.plan_version.load(Ordering::SeqCst),
            self.max_silence_ms.load(Ordering::SeqCst),
        );
        for outcome in ExchangeOutcome::ALL {
            let count = self.exchanges[outcome as usize].load(Ordering::SeqCst);
            let label = outcome.as_str();
            // Writing to a string cannot fail.
            writeln!(text, "clayplank_follow_exchanges_total{{outcome=\"{label}\"}} {count}").ok();
        }
        text
    }
}

/// Writes the log lines of a host that follows the keepers.
#[derive(Debug)]
pub(crate) struct FollowLog {
    metrics: Arc<FollowMetrics>,
    /// Send time of the request whose answer last confirmed the plan, in ms.
    confirmed_ms: u64,
    leader: Option<HostId>,
    /// Number of requests that failed since then.
    failed: u64,
    /// Value of `failed` at the newest line on a failure.
    logged: u64,
    /// Time of that line, in ms.
    logged_ms: u64,
}

impl FollowLog {
    pub(crate) fn new(metrics: Arc<FollowMetrics>) -> Self {
        Self { metrics, confirmed_ms: now_ms(), leader: None, failed: 0, logged: 0, logged_ms: 0 }
    }

    /// Records a request that brought no confirmation.
    pub(crate) fn record_failed(
        &mut self,
        outcome: ExchangeOutcome,
        keeper: &HostId,
        requested_ms: u64,
        cause: &str,
    ) {
        self.metrics.count(outcome);
        self.failed += 1;
        let now_ms = now_ms();
        if self.failed > MAX_FAILURE_LINES && now_ms < self.logged_ms + SUMMARY_INTERVAL_MS {
            return;
        }
        log::warn!(target: log_target::SETTINGS,
            keeper = keeper.as_str(), cause = cause,
            waited_ms = now_ms.saturating_sub(requested_ms),
            silence_ms = now_ms.saturating_sub(self.confirmed_ms),
            more = self.failed - self.logged - 1;
            "The plan is not confirmed");
        self.logged = self.failed;
        self.logged_ms = now_ms;
    }

    /// Records an answer that confirmed the plan, and the leader that it named.
    pub(crate) fn record_confirmed(
        &mut self,
        plan_version: u64,
        keeper: &HostId,
        leader: &HostId,
        requested_ms: u64,
    ) {
        self.metrics.count(ExchangeOutcome::Confirmed);
        let unconfirmed_ms = requested_ms.saturating_sub(self.confirmed_ms);
        self.metrics.record_confirmed(plan_version, unconfirmed_ms);
        let former = self.leader.replace(leader.clone());
        let is_other_leader = former.as_ref().is_some_and(|former| former != leader);
        if is_other_leader || (former.is_some() && unconfirmed_ms >= MIN_LOGGED_SILENCE_MS) {
            log::info!(target: log_target::SETTINGS,
                version = plan_version, keeper = keeper.as_str(), leader = leader.as_str(),
                lost_ms = unconfirmed_ms, failed = self.failed;
                "The plan is confirmed again");
        }
        self.confirmed_ms = requested_ms;
        (self.failed, self.logged, self.logged_ms) = (0, 0, 0);
    }
}
