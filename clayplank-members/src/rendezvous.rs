//! Rendezvous hashing (Thaler and Ravishankar, 1998), which selects the owner of a pool and the
//! keeper that a host follows.

use std::hash::Hasher;

use clayplank_types::{HostId, PoolId};
use siphasher::sip::SipHasher13;

/// Selects the host with the highest weight for the pool. If a host departs, only the pools that it
/// owned move.
pub(crate) fn choose_owner<'a>(
    pool: &PoolId,
    hosts: impl Iterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    hosts.max_by_key(|host| weigh(pool.as_str(), host))
}

/// Weight of a host for a `chooser`, which is a pool or another host.
pub(crate) fn weigh(chooser: &str, host: &HostId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(chooser.as_bytes());
    hasher.write_u8(0);
    hasher.write(host.as_str().as_bytes());
    hasher.finish()
}
