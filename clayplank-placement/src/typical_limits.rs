//! Typical time limits that callers of a route send; a caller with a shorter limit has tried
//! before.
//!
//! The limits are tracked where all placements are made. Among 295 hosts, each host sees one
//! request per minute of a route with five callers per second, which is too few to learn the
//! typical limit.

use std::collections::HashMap;

/// Upper bound of the routes that are tracked; callers of other routes count as new.
const MAX_ROUTES: usize = 256;

/// Resolution in which limits are compared, in ms, since network times of callers vary.
const STEP_MS: f64 = 50.0;

/// A caller that retries has at least this much less time than is typical, in ms: no caller is told
/// to retry sooner than after 700 ms. The gap does not depend on the limit: on a route with a limit
/// of 15 s, a caller that retried after 0.8 s still had 95% of it, counted as new, and was refused
/// a second time.
const MIN_RETRY_GAP_MS: f64 = 400.0;

/// Votes for the route's own time limit before any caller is observed. After a power failure of all
/// hosts, the first callers are those that retry.
const ROUTE_VOTES: u32 = 8;

/// Limit that most callers send, by the Boyer-Moore majority vote (1981).
#[derive(Clone, Copy, Debug)]
struct TypicalLimit {
    limit_steps: u64,
    votes: u32,
}

impl TypicalLimit {
    fn vote(&mut self, limit_steps: u64) {
        if self.votes == 0 {
            *self = Self { limit_steps, votes: 1 };
        } else if self.limit_steps == limit_steps {
            self.votes = self.votes.saturating_add(1);
        } else {
            self.votes -= 1;
        }
    }
}

/// Typical limits by route.
#[derive(Clone, Debug, Default)]
pub struct TypicalLimits {
    by_route: HashMap<String, TypicalLimit>,
}

impl TypicalLimits {
    /// Records the limit that a caller sent to a route, and the route's own limit, both in ms.
    pub fn record(&mut self, route: &str, route_limit_ms: f64, limit_ms: f64) {
        if !self.by_route.contains_key(route) && self.by_route.len() >= MAX_ROUTES {
            return;
        }
        let first = TypicalLimit { limit_steps: steps(route_limit_ms), votes: ROUTE_VOTES };
        self.by_route.entry(route.to_owned()).or_insert(first).vote(steps(limit_ms));
    }

    /// Estimated time since the first try of a caller that sends this limit, in ms; 0 if it seems
    /// to be new.
    pub fn since_first_try_ms(&self, route: &str, limit_ms: f64) -> f64 {
        let mean_ms = self.by_route.get(route).map_or(0.0, |one| one.limit_steps as f64 * STEP_MS);
        let since_ms = mean_ms - limit_ms;
        if since_ms >= MIN_RETRY_GAP_MS { since_ms } else { 0.0 }
    }
}

fn steps(limit_ms: f64) -> u64 {
    (limit_ms / STEP_MS).ceil() as u64
}
