//! Which time limit callers of a route usually send, and so who comes back with less.
//!
//! This is known where all placements meet: before 295 hosts a route with five callers a second
//! shows each host one a minute, and none of them learned what is usual.

use std::collections::HashMap;

/// Routes that are kept; callers of others count as new.
const MAX_ROUTES: usize = 256;

/// Limits are compared in steps of this many ms: callers' ways differ.
const STEP_MS: f64 = 50.0;

/// A caller that comes back has at least this much less than usual, in ms: none is told to come
/// back sooner than after 700 ms. On a route with 15 s, one that came back after 0.8 s still had
/// 95% of it, counted as new, and was refused for a second time.
const MIN_RETRY_GAP_MS: f64 = 400.0;

/// So many callers' votes the time limit of a route itself has, before callers were seen: after a
/// loss of power of all hosts, those who come first are those who come back.
const ROUTE_VOTES: u32 = 8;

/// The limit that most callers send, by majority vote (Boyer and Moore, 1981).
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

/// The usual limits by route.
#[derive(Clone, Debug, Default)]
pub struct TypicalLimits {
    by_route: HashMap<String, TypicalLimit>,
}

impl TypicalLimits {
    /// Notes the limit that a caller sent to a route with a limit of its own, both in ms.
    pub fn note(&mut self, route: &str, route_limit_ms: f64, limit_ms: f64) {
        if !self.by_route.contains_key(route) && self.by_route.len() >= MAX_ROUTES {
            return;
        }
        let first = TypicalLimit { limit_steps: steps(route_limit_ms), votes: ROUTE_VOTES };
        self.by_route.entry(route.to_owned()).or_insert(first).vote(steps(limit_ms));
    }

    /// How long ago, in ms, a caller that sends this limit tried first, as far as can be told; 0
    /// if it seems to be new.
    pub fn since_first_try_ms(&self, route: &str, limit_ms: f64) -> f64 {
        let mean_ms = self.by_route.get(route).map_or(0.0, |one| one.limit_steps as f64 * STEP_MS);
        let since_ms = mean_ms - limit_ms;
        if since_ms >= MIN_RETRY_GAP_MS { since_ms } else { 0.0 }
    }
}

fn steps(limit_ms: f64) -> u64 {
    (limit_ms / STEP_MS).ceil() as u64
}
