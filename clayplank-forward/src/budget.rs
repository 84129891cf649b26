//! Retry budget shared by all hosts; each host uses its share of it.

use std::collections::{HashMap, VecDeque};

/// Limits of the retry budget that the hosts share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Retries allowed in addition, over all hosts together.
    pub extra: f64,
    /// Length of the window in which both are counted, in ms.
    pub window_ms: u64,
}

impl Default for BudgetLimits {
    /// 20 % of the first attempts plus 100 retries, within 10 s.
    fn default() -> Self {
        Self { ratio: 0.2, extra: 100.0, window_ms: 10_000 }
    }
}

/// Number of hosts assumed to share the budget until it is known; more than a small site has.
const DEFAULT_HOSTS: u64 = 20;

/// Fraction of its share of the budget that a host uses, because the counting windows of the hosts
/// are not aligned.
const USABLE_SHARE: f64 = 0.8;

#[derive(Debug, Default)]
struct Window {
    first_attempts: VecDeque<u64>,
    retries: VecDeque<u64>,
}

impl Window {
    fn drop_before(&mut self, start_ms: u64) {
        for times in [&mut self.first_attempts, &mut self.retries] {
            while times.front().is_some_and(|&time_ms| time_ms < start_ms) {
                times.pop_front();
            }
        }
    }
}

/// Counts first attempts and retries per service.
#[derive(Debug)]
pub struct RetryBudget {
    limits: BudgetLimits,
    hosts: u64,
    windows: HashMap<String, Window>,
}

impl RetryBudget {
    /// Creates an empty budget; 20 hosts are assumed to share it until their number is set.
    pub fn new(limits: BudgetLimits) -> Self {
        Self { limits, hosts: DEFAULT_HOSTS, windows: HashMap::new() }
    }

    /// Sets new limits; what has been counted remains counted.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Sets the number of hosts that share the budget; at least 1.
    pub fn set_hosts(&mut self, hosts: u64) {
        self.hosts = hosts.max(1);
    }

    /// Counts a first attempt.
    pub fn record_first_attempt(&mut self, now_ms: u64, service: &str) {
        let window = self.windows.entry(service.to_owned()).or_default();
        window.drop_before(now_ms.saturating_sub(self.limits.window_ms));
        window.first_attempts.push_back(now_ms);
    }

    /// Takes one retry from the budget; `false` if none is left. At least one retry per window is
    /// allowed.
    pub fn take_retry(&mut self, now_ms: u64, service: &str) -> bool {
        let window = self.windows.entry(service.to_owned()).or_default();
        window.drop_before(now_ms.saturating_sub(self.limits.window_ms));
        let extra = self.limits.extra / self.hosts as f64;
        let allowed =
            (extra + self.limits.ratio * window.first_attempts.len() as f64) * USABLE_SHARE;
        let is_allowed = ((window.retries.len() + 1) as f64) <= allowed.max(1.0);
        if is_allowed {
            window.retries.push_back(now_ms);
        }
        is_allowed
    }
}
