//! Time-outs of the requests by which a host follows changes, derived from the time in which a
//! change must be in force.
//!
//! A host follows one keeper by long polling, and sends hedged requests to other keepers if that
//! one does not answer. [`FollowTimeouts::max_delay_ms`] bounds the delay when the tolerated number of
//! keepers is unresponsive and all of them are queried first.

/// Share of the bound after which a keeper answers a long poll without updates.
const LONG_POLL_SHARE: f64 = 0.25;

/// Share of the bound after which a hedged request goes to a second keeper.
const HEDGE_DELAY_SHARE: f64 = 0.4;

/// Share of the bound between further hedged requests.
const HEDGE_INTERVAL_SHARE: f64 = 0.125;

/// Maximum duration of a long poll, in ms, for large bounds. The same replies carry updates on
/// upstreams and renew the lease of the serving plan, so a large bound must not delay them.
const MAX_LONG_POLL_MS: f64 = 500.0;

/// Time in which a keeper that is in contact with the leader confirms its state, in ms. It covers
/// two read-index rounds: the one in progress when the request arrives, and the next one.
const CONFIRMATION_MS: u64 = 350;

/// Time-outs of a host that follows keepers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTimeouts {
    /// Duration of a long poll without updates, in ms.
    pub long_poll_ms: u64,
    /// Delay after which a hedged request is sent to a second keeper, in ms.
    pub hedge_delay_ms: u64,
    /// Interval between further hedged requests, in ms.
    pub hedge_interval_ms: u64,
}

impl FollowTimeouts {
    /// Computes the time-outs for changes that must be in force within `apply_ms`.
    pub fn for_bound(apply_ms: u64) -> Self {
        let long_poll_ms = (apply_ms as f64 * LONG_POLL_SHARE).min(MAX_LONG_POLL_MS);
        let scale = long_poll_ms / LONG_POLL_SHARE;
        Self {
            long_poll_ms: long_poll_ms as u64,
            hedge_delay_ms: (scale * HEDGE_DELAY_SHARE) as u64,
            hedge_interval_ms: (scale * HEDGE_INTERVAL_SHARE) as u64,
        }
    }

    /// Time-out of a request to one keeper, in ms. A keeper may be delayed for as long as an
    /// election takes.
    pub fn timeout_ms(&self) -> u64 {
        self.hedge_delay_ms + 2 * self.hedge_interval_ms
    }

    /// Maximum delay of a change, in ms, with this many unresponsive keepers, all of them queried
    /// before the one that answers.
    pub fn max_delay_ms(&self, unresponsive: u64) -> u64 {
        let until_queried_ms = match unresponsive {
            0 => 0,
            _ => self.hedge_delay_ms + (unresponsive - 1) * self.hedge_interval_ms,
        };
        until_queried_ms + CONFIRMATION_MS
    }
}
