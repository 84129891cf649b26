//! Request rate limit and retry budget of one account at one entry host.

/// Maximum burst, in seconds of the allowed rate.
const BURST_S: u64 = 2;

/// Credit is counted in thousandths of a request: at 1 request per second, each
/// millisecond adds one.
const MILLIS_PER_REQUEST: u64 = 1_000;

/// Token bucket that limits requests per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestRateLimit {
    /// Available credit, in thousandths of a request.
    credit_milli: u64,
    last_refill_ms: u64,
}

impl RequestRateLimit {
    /// Creates a full bucket.
    pub fn new(requests_per_s: u64, now_ms: u64) -> Self {
        Self { credit_milli: requests_per_s * BURST_S * MILLIS_PER_REQUEST, last_refill_ms: now_ms }
    }

    /// Takes the credit for one request from the bucket.
    ///
    /// # Errors
    /// If there is too little credit: the time in ms until there is enough.
    pub fn try_acquire(&mut self, requests_per_s: u64, now_ms: u64) -> Result<(), u64> {
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

/// Budget that limits retries to a percentage of the first attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RetryBudget {
    /// Available credit, in hundredths of a retry.
    credit_percent: u64,
}

/// Maximum number of retries that can be saved up.
const MAX_SAVED_RETRIES: u64 = 10;

/// Retries available at the start, so that an account with few requests has one.
const INITIAL_RETRIES: u64 = 1;

impl RetryBudget {
    /// Creates a budget of one retry.
    pub fn new() -> Self {
        Self { credit_percent: INITIAL_RETRIES * 100 }
    }

    /// Adds `retry_percent` hundredths of a retry to the budget, for a first attempt.
    pub fn deposit(&mut self, retry_percent: u64) {
        self.credit_percent = (self.credit_percent + retry_percent).min(MAX_SAVED_RETRIES * 100);
    }

    /// Takes one retry from the budget; returns `false` if less than one is left.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.credit_percent >= 100;
        if enough {
            self.credit_percent -= 100;
        }
        enough
    }
}
