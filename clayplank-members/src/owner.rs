//! Rendezvous hashing (Thaler and Ravishankar, 1998): who owns a pool, and whom a host follows.

use std::hash::Hasher;

use clayplank_types::{HostId, PoolId};
use siphasher::sip::SipHasher13;

/// The host with the highest weight for the pool; a host that goes moves only its own pools.
pub(crate) fn choose_owner<'a>(
    pool: &PoolId,
    hosts: impl Iterator<Item = &'a HostId>,
) -> Option<&'a HostId> {
    hosts.max_by_key(|host| weigh(pool.as_str(), host))
}

/// The weight of a host for whoever chooses among hosts.
pub(crate) fn weigh(chooser: &str, host: &HostId) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(chooser.as_bytes());
    hasher.write_u8(0);
    hasher.write(host.as_str().as_bytes());
    hasher.finish()
}
