//! Times in which a host hears of a change, derived from the time in which it must be in force.
//!
//! A host follows one keeper, and asks another one as well where the first is silent. The worst case at
//! the tolerated losses, all of them silent and asked first, is [`FollowTimes::worst_ms`].

/// Share of the bound after which a follower without news is answered.
const HOLD_SHARE: f64 = 0.25;

/// Share of the bound after which another keeper is asked as well.
const HEDGE_SHARE: f64 = 0.4;

/// Share of the bound after which one more is asked, and again.
const STEP_SHARE: f64 = 0.125;

/// The longest time for which a follower without news is held, in ms, where changes may take long: the
/// same answers tell what is new of upstreams, and that the lease of the plan goes on.
const MAX_HOLD_MS: f64 = 500.0;

/// Time for a keeper that hears the leader to confirm what it holds, in ms: a round of questions to
/// the leader that is under way when a follower comes, and the one after it.
const CONFIRM_MS: u64 = 350;

/// When a host and its keepers ask and answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTimes {
    /// A follower without news is answered after this time.
    pub hold_ms: u64,
    /// A keeper that has not answered by then is asked beside another one.
    pub hedge_ms: u64,
    /// One more is asked after this time, and again.
    pub step_ms: u64,
}

impl FollowTimes {
    /// The times for changes that must be in force after `apply_ms`.
    pub fn of_bound(apply_ms: u64) -> Self {
        let hold_ms = (apply_ms as f64 * HOLD_SHARE).min(MAX_HOLD_MS);
        let scale = hold_ms / HOLD_SHARE;
        Self {
            hold_ms: hold_ms as u64,
            hedge_ms: (scale * HEDGE_SHARE) as u64,
            step_ms: (scale * STEP_SHARE) as u64,
        }
    }

    /// The time after which a keeper that has not answered is given up: it may be held up for as
    /// long as an election takes.
    pub fn patience_ms(&self) -> u64 {
        self.hedge_ms + 2 * self.step_ms
    }

    /// The time until a host hears of a change beside this many silent keepers, all of them asked
    /// before the one that answers.
    pub fn worst_ms(&self, silent: u64) -> u64 {
        let until_asked_ms = match silent {
            0 => 0,
            _ => self.hedge_ms + (silent - 1) * self.step_ms,
        };
        until_asked_ms + CONFIRM_MS
    }
}
