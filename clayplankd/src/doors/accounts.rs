//! Limits of each client account at this host.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use clayplank_schedule::{RateLimit, RetryBudget};
use clayplank_settings::ClientAccount;
use clayplank_types::{AccountId, Refusal, RefusalReason};

use crate::process::clock::now_ms;

/// An account whose limit of open requests is reached may come back after this time.
const FULL_RETRY_MS: u64 = 250;

#[derive(Debug)]
struct Door {
    rate: RateLimit,
    retries: RetryBudget,
    in_progress: u64,
}

/// Limits by account.
#[derive(Clone, Debug, Default)]
pub(crate) struct AccountDoors {
    doors: Arc<Mutex<HashMap<AccountId, Door>>>,
}

/// Counts one request of an account until it is dropped.
#[derive(Debug)]
pub(crate) struct AccountPass {
    doors: AccountDoors,
    id: AccountId,
}

impl AccountDoors {
    /// Lets a request in, or says when to come back.
    pub(crate) fn enter(
        &self,
        id: &AccountId,
        account: &ClientAccount,
    ) -> Result<AccountPass, Refusal> {
        let now_ms = now_ms();
        let mut doors = self.doors.lock().unwrap_or_else(PoisonError::into_inner);
        let door = doors.entry(id.clone()).or_insert_with(|| Door {
            rate: RateLimit::new(account.requests_per_s, now_ms),
            retries: RetryBudget::new(),
            in_progress: 0,
        });
        if door.in_progress >= account.max_in_progress {
            return Err(Refusal::new(RefusalReason::QueueFull, FULL_RETRY_MS));
        }
        let passed = door.rate.pass(account.requests_per_s, now_ms);
        passed.map_err(|retry_ms| Refusal::new(RefusalReason::RateLimit, retry_ms))?;
        door.in_progress += 1;
        door.retries.earn(account.retry_percent);
        Ok(AccountPass { doors: self.clone(), id: id.clone() })
    }
}

impl AccountPass {
    /// Pays for one more try of this request.
    pub(crate) fn spend_retry(&self) -> bool {
        let mut doors = self.doors.doors.lock().unwrap_or_else(PoisonError::into_inner);
        doors.get_mut(&self.id).is_some_and(|door| door.retries.spend())
    }
}

impl Drop for AccountPass {
    fn drop(&mut self) {
        let mut doors = self.doors.doors.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(door) = doors.get_mut(&self.id) {
            door.in_progress -= 1;
        }
    }
}
