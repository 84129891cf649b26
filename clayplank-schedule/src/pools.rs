//! Selection of the pool that a request is sent to first.

use clayplank_types::PoolId;
use rand::{Rng, RngExt};

/// Load and distance of a pool, as an entry host knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolLoad {
    /// Identifier of the pool.
    pub pool: PoolId,
    /// Wait last reported by the pool's owner, in ms.
    pub wait_ms: u64,
    /// Round-trip time to its engines, in ms.
    pub round_trip_ms: u64,
}

/// Chooses the pool with the lower wait and round-trip time out of two random ones.
///
/// With two random choices, hosts that act on stale load reports do not all choose the
/// same pool (Mitzenmacher, "The power of two choices in randomized load balancing", 2001).
pub fn choose_pool<'a>(pools: &'a [PoolLoad], rng: &mut impl Rng) -> Option<&'a PoolLoad> {
    let cost = |pool: &&PoolLoad| pool.wait_ms + pool.round_trip_ms;
    match pools {
        [] => None,
        [only] => Some(only),
        _ => {
            let first = rng.random_range(0..pools.len());
            let second = (first + rng.random_range(1..pools.len())) % pools.len();
            [&pools[first], &pools[second]].into_iter().min_by_key(cost)
        }
    }
}
