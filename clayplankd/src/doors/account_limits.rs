//! Rate limits, in-progress limits and retry budgets of client accounts on this host.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use clayplank_schedule::{RequestRateLimit, RetryBudget};
use clayplank_settings::ClientAccount;
use clayplank_types::{AccountId, Refusal, RefusalReason};

use crate::process::clock::now_ms;

/// Retry delay for an account that has reached its limit of requests in progress.
const IN_PROGRESS_RETRY_MS: u64 = 250;

/// Limits of one account, and their current use.
#[derive(Debug)]
struct Limits {
    rate: RequestRateLimit,
    retries: RetryBudget,
    in_progress: u64,
}

/// Limits by account. Clones share one state.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountLimits {
    accounts: Arc<Mutex<HashMap<AccountId, Limits>>>,
}

/// Permit of an admitted request; counts it as in progress for its account until it is dropped.
#[derive(Debug)]
pub(crate) struct AccountPermit {
    accounts: AccountLimits,
    id: AccountId,
}

impl AccountLimits {
    /// Admits a request, or rejects it with a retry delay.
    pub(crate) fn admit(
        &self,
        id: &AccountId,
        account: &ClientAccount,
    ) -> Result<AccountPermit, Refusal> {
        let now_ms = now_ms();
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        let limits = accounts.entry(id.clone()).or_insert_with(|| Limits {
            rate: RequestRateLimit::new(account.requests_per_s, now_ms),
            retries: RetryBudget::new(),
            in_progress: 0,
        });
        if limits.in_progress >= account.max_in_progress {
            return Err(Refusal::new(RefusalReason::QueueFull, IN_PROGRESS_RETRY_MS));
        }
        let rate_check = limits.rate.try_acquire(account.requests_per_s, now_ms);
        rate_check.map_err(|retry_ms| Refusal::new(RefusalReason::RateLimit, retry_ms))?;
        limits.in_progress += 1;
        limits.retries.deposit(account.retry_percent);
        Ok(AccountPermit { accounts: self.clone(), id: id.clone() })
    }
}

impl AccountPermit {
    /// Takes one retry from the account's retry budget; false if the budget is used up.
    pub(crate) fn spend_retry(&self) -> bool {
        let mut accounts = self.accounts.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        accounts.get_mut(&self.id).is_some_and(|limits| limits.retries.try_withdraw())
    }
}

impl Drop for AccountPermit {
    fn drop(&mut self) {
        let mut accounts = self.accounts.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(limits) = accounts.get_mut(&self.id) {
            limits.in_progress -= 1;
        }
    }
}
