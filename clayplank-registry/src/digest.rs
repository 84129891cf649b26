//! Digests of the registry, by which a host and a keeper find the records in which they differ.

use std::hash::{Hash, Hasher};

use clayplank_types::UpstreamId;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

use crate::heartbeat::UpstreamStatus;
use crate::registry::Record;

/// Number of buckets of a digest. With 3,000 upstreams, one record that differs causes the 94
/// records of its bucket to be sent.
const BUCKETS: usize = 32;

/// Hashes of records by bucket; the bucket of an upstream is derived from its id. A digest covers
/// the state on which the choice of an upstream depends, without the sequence numbers of heartbeats
/// and without departed upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest([u64; BUCKETS]);

impl Digest {
    /// Computes the digest of records, which may come in any order.
    pub fn of<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut digest = Self::default();
        let present =
            records.into_iter().filter(|record| record.heartbeat.standing != UpstreamStatus::Gone);
        for record in present {
            digest.0[bucket(&record.heartbeat.id)] ^= hash_record(record);
        }
        digest
    }

    /// Returns the buckets in which two digests differ.
    pub fn differing(&self, other: &Self) -> Buckets {
        let differs = |bucket: &usize| self.0[*bucket] != other.0[*bucket];
        Buckets((0..BUCKETS).filter(differs).fold(0, |all, bucket| all | 1 << bucket))
    }
}

/// A set of buckets of a digest, as a bit mask.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Buckets(pub u32);

impl Buckets {
    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether the bucket of this upstream is in the set.
    pub fn contains(self, id: &UpstreamId) -> bool {
        self.0 & (1 << bucket(id)) != 0
    }
}

fn bucket(id: &UpstreamId) -> usize {
    let mut hasher = SipHasher13::new();
    id.as_str().hash(&mut hasher);
    (hasher.finish() % BUCKETS as u64) as usize
}

fn hash_record(record: &Record) -> u64 {
    let Record { heartbeat, is_silent } = record;
    let mut hasher = SipHasher13::new();
    heartbeat.id.as_str().hash(&mut hasher);
    heartbeat.service.hash(&mut hasher);
    heartbeat.address.hash(&mut hasher);
    heartbeat.data_centre.as_str().hash(&mut hasher);
    heartbeat.slots.hash(&mut hasher);
    (heartbeat.standing == UpstreamStatus::Ready).hash(&mut hasher);
    is_silent.hash(&mut hasher);
    hasher.finish()
}
