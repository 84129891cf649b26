//! Tells how well a host follows the keepers: log lines, bounded in number, and figures.

use std::fmt::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use clayplank_types::HostId;

use crate::process::clock::now_ms;
use crate::process::logging::part;

/// Lines on exchanges that failed, since the plan was last confirmed; more are counted.
const MAX_LINES: u64 = 8;

/// Between two lines that tell how many more failed, in ms.
const MORE_EVERY_MS: u64 = 5_000;

/// A host hears from its keeper about every half a second: a longer silence is told when it ends.
const TOLD_SILENCE_MS: u64 = 1_000;

/// What an exchange with a keeper came to, as it is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeOutcome {
    /// The keeper confirmed the plan.
    Confirmed,
    /// The keeper lives, and could not confirm it.
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

/// Figures of a host that follows.
#[derive(Debug, Default)]
pub(crate) struct FollowFigures {
    exchanges: [AtomicU64; ExchangeOutcome::ALL.len()],
    keepers: AtomicU64,
    plan_version: AtomicU64,
    confirmed_ms: AtomicU64,
    longest_silence_ms: AtomicU64,
}

impl FollowFigures {
    /// Counts an exchange.
    pub(crate) fn count(&self, exchange: ExchangeOutcome) {
        self.exchanges[exchange as usize].fetch_add(1, Ordering::SeqCst);
    }

    /// Notes how many keepers are known.
    pub(crate) fn set_keepers(&self, keepers: usize) {
        self.keepers.store(keepers as u64, Ordering::SeqCst);
    }

    /// Notes that the plan was confirmed, and how long it was not.
    fn note_confirmed(&self, plan_version: u64, silence_ms: u64) {
        self.plan_version.store(plan_version, Ordering::SeqCst);
        self.confirmed_ms.store(now_ms(), Ordering::SeqCst);
        self.longest_silence_ms.fetch_max(silence_ms, Ordering::SeqCst);
    }

    /// The figures in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let silence_ms = now_ms().saturating_sub(self.confirmed_ms.load(Ordering::SeqCst));
        let mut text = format!(
            "clayplank_follow_keepers {}\nclayplank_follow_plan_version {}\n\
             clayplank_follow_silence_ms {silence_ms}\n\
             clayplank_follow_longest_silence_ms {}\n",
            self.keepers.load(Ordering::SeqCst),
            self.plan_version.load(Ordering::SeqCst),
            self.longest_silence_ms.load(Ordering::SeqCst),
        );
        for exchange in ExchangeOutcome::ALL {
            let count = self.exchanges[exchange as usize].load(Ordering::SeqCst);
            let outcome = exchange.as_str();
            // Writing to a string cannot fail.
            writeln!(text, "clayplank_follow_exchanges_total{{outcome=\"{outcome}\"}} {count}")
                .ok();
        }
        text
    }
}

/// The log of a host that follows.
#[derive(Debug)]
pub(crate) struct FollowLog {
    figures: Arc<FollowFigures>,
    /// When the answer that confirmed the plan last was asked for, in ms.
    confirmed_ms: u64,
    leader: Option<HostId>,
    /// Exchanges that failed since then.
    failed: u64,
    /// Of these, how many were counted by the newest line, and when that was, in ms.
    told: u64,
    told_ms: u64,
}

impl FollowLog {
    pub(crate) fn new(figures: Arc<FollowFigures>) -> Self {
        Self { figures, confirmed_ms: now_ms(), leader: None, failed: 0, told: 0, told_ms: 0 }
    }

    /// Notes an exchange that confirmed nothing.
    pub(crate) fn note_failed(
        &mut self,
        exchange: ExchangeOutcome,
        keeper: &HostId,
        asked_ms: u64,
        cause: &str,
    ) {
        self.figures.count(exchange);
        self.failed += 1;
        let now_ms = now_ms();
        if self.failed > MAX_LINES && now_ms < self.told_ms + MORE_EVERY_MS {
            return;
        }
        log::warn!(target: part::SETTINGS,
            keeper = keeper.as_str(), cause = cause,
            waited_ms = now_ms.saturating_sub(asked_ms),
            silence_ms = now_ms.saturating_sub(self.confirmed_ms),
            more = self.failed - self.told - 1;
            "The plan is not confirmed");
        self.told = self.failed;
        self.told_ms = now_ms;
    }

    /// Notes an answer that confirmed the plan, and who leads.
    pub(crate) fn note_confirmed(
        &mut self,
        plan_version: u64,
        keeper: &HostId,
        leader: &HostId,
        asked_ms: u64,
    ) {
        self.figures.count(ExchangeOutcome::Confirmed);
        let lost_ms = asked_ms.saturating_sub(self.confirmed_ms);
        self.figures.note_confirmed(plan_version, lost_ms);
        let former = self.leader.replace(leader.clone());
        let is_other = former.as_ref().is_some_and(|former| former != leader);
        if is_other || (former.is_some() && lost_ms >= TOLD_SILENCE_MS) {
            log::info!(target: part::SETTINGS,
                version = plan_version, keeper = keeper.as_str(), leader = leader.as_str(),
                lost_ms = lost_ms, failed = self.failed;
                "The plan is confirmed again");
        }
        self.confirmed_ms = asked_ms;
        (self.failed, self.told, self.told_ms) = (0, 0, 0);
    }
}
