//! Limits of one account at one entry host.

/// Bursts may use up this many seconds of the rate at once.
const BURST_S: u64 = 2;

const MILLIS_PER_REQUEST: u64 = 1_000;

/// A token bucket over requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Thousandths of a request that may pass now.
    credit_milli: u64,
    last_refill_ms: u64,
}

impl RateLimit {
    /// A full bucket.
    pub fn new(requests_per_s: u64, now_ms: u64) -> Self {
        Self { credit_milli: requests_per_s * BURST_S * MILLIS_PER_REQUEST, last_refill_ms: now_ms }
    }

    /// Lets a request pass.
    ///
    /// # Errors
    /// The time in milliseconds after which one will pass.
    pub fn pass(&mut self, requests_per_s: u64, now_ms: u64) -> Result<(), u64> {
        let elapsed_ms = now_ms.saturating_sub(self.last_refill_ms);
        let full_milli = requests_per_s * BURST_S * MILLIS_PER_REQUEST;
        self.credit_milli = (self.credit_milli + elapsed_ms * requests_per_s).min(full_milli);
        self.last_refill_ms = now_ms;
        if self.credit_milli < MILLIS_PER_REQUEST {
            let missing_milli = MILLIS_PER_REQUEST - self.credit_milli;
            return Err(missing_milli.div_ceil(requests_per_s.max(1)));
        }
        self.credit_milli -= MILLIS_PER_REQUEST;
        Ok(())
    }
}

/// Second tries are paid for by first tries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    /// Hundredths of a second try that may be spent.
    credit_percent: u64,
}

/// Second tries that may be saved up.
const MAX_SAVED_RETRIES: u64 = 10;

/// Second tries that are free at the start, so that a quiet account has one.
const INITIAL_RETRIES: u64 = 1;

impl RetryBudget {
    /// A budget of one second try.
    pub fn new() -> Self {
        Self { credit_percent: INITIAL_RETRIES * 100 }
    }

    /// Notes a first try.
    pub fn earn(&mut self, retry_percent: u64) {
        self.credit_percent = (self.credit_percent + retry_percent).min(MAX_SAVED_RETRIES * 100);
    }

    /// Pays for a second try; `false` if there is nothing left.
    pub fn spend(&mut self) -> bool {
        let enough = self.credit_percent >= 100;
        if enough {
            self.credit_percent -= 100;
        }
        enough
    }
}
