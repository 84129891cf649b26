//! Table of grants, their holders and their leases.

use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

use clayplank_types::{AttemptId, Incarnation};

use crate::fleet::EngineIndex;
use crate::policy::Lane;
use crate::reservation::{GrantHolder, GrantId, GrantPart};

/// A grant as its holder reports it to the pool's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RenewedGrant {
    /// Identifier of the grant, unique within the issuing owner's incarnation.
    pub grant_id: GrantId,
    /// Incarnation of the owner that issued it.
    pub owner: Incarnation,
    /// The attempt that it is for.
    pub attempt_id: AttemptId,
    /// Reserved capacity, by engine.
    pub parts: Vec<GrantPart>,
}

/// Capacity that a grant reserves on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ReservedPart {
    pub(crate) engine: EngineIndex,
    /// Incarnation of the engine for which it was reserved.
    pub(crate) incarnation: Incarnation,
    pub(crate) reserved_tokens: u64,
    /// Prompt tokens to prefill; in progress while `is_prefilling`.
    pub(crate) prefill_tokens: u64,
    pub(crate) is_prefilling: bool,
    pub(crate) is_released: bool,
}

/// State of a grant's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum GrantState {
    /// Valid until the given time, unless it is renewed.
    Held { until_ms: u64 },
    /// Ended by its holder without the engine's confirmation, or not renewed in time. Its
    /// memory is released once the engine no longer runs the attempt.
    Revoked { since_ms: u64 },
}

/// A grant, its holder and its parts.
#[derive(Clone, Debug)]
pub(crate) struct GrantRecord {
    pub(crate) attempt_id: AttemptId,
    pub(crate) holder: GrantHolder,
    pub(crate) lane: Lane,
    pub(crate) state: GrantState,
    pub(crate) parts: Vec<ReservedPart>,
}

/// All grants of a scheduler, indexed by attempt, holder and expiry.
#[derive(Debug, Default)]
pub(crate) struct GrantTable {
    records: HashMap<GrantId, GrantRecord>,
    by_attempt: HashMap<AttemptId, GrantId>,
    by_holder: HashMap<GrantHolder, BTreeSet<GrantId>>,
    by_expiry: BTreeSet<(u64, GrantId)>,
    revoked: BTreeSet<GrantId>,
    last_id: u64,
}

impl GrantTable {
    pub(crate) fn insert(&mut self, record: GrantRecord) -> GrantId {
        self.last_id += 1;
        let grant_id = GrantId(self.last_id);
        if let GrantState::Held { until_ms } = record.state {
            self.by_expiry.insert((until_ms, grant_id));
        }
        self.by_attempt.insert(record.attempt_id, grant_id);
        self.by_holder.entry(record.holder.clone()).or_default().insert(grant_id);
        self.records.insert(grant_id, record);
        grant_id
    }

    pub(crate) fn get(&self, grant_id: GrantId) -> Option<&GrantRecord> {
        self.records.get(&grant_id)
    }

    pub(crate) fn get_mut(&mut self, grant_id: GrantId) -> Option<&mut GrantRecord> {
        self.records.get_mut(&grant_id)
    }

    pub(crate) fn find(&self, attempt_id: AttemptId) -> Option<GrantId> {
        self.by_attempt.get(&attempt_id).copied()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (GrantId, &GrantRecord)> {
        self.records.iter().map(|(&grant_id, record)| (grant_id, record))
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    pub(crate) fn remove(&mut self, grant_id: GrantId) -> Option<GrantRecord> {
        let record = self.records.remove(&grant_id)?;
        self.by_attempt.remove(&record.attempt_id);
        self.revoked.remove(&grant_id);
        self.remove_expiry(grant_id, record.state);
        if let Some(grant_ids) = self.by_holder.get_mut(&record.holder) {
            grant_ids.remove(&grant_id);
            if grant_ids.is_empty() {
                self.by_holder.remove(&record.holder);
            }
        }
        Some(record)
    }

    pub(crate) fn set_state(&mut self, grant_id: GrantId, state: GrantState) {
        let Some(record) = self.records.get_mut(&grant_id) else {
            return;
        };
        let before = std::mem::replace(&mut record.state, state);
        self.remove_expiry(grant_id, before);
        match state {
            GrantState::Held { until_ms } => self.by_expiry.insert((until_ms, grant_id)),
            GrantState::Revoked { .. } => self.revoked.insert(grant_id),
        };
    }

    /// Revoked grants whose memory is not yet released.
    pub(crate) fn revoked(&self) -> impl Iterator<Item = (GrantId, &GrantRecord)> {
        self.revoked
            .iter()
            .filter_map(|&grant_id| self.records.get(&grant_id).map(|record| (grant_id, record)))
    }

    fn remove_expiry(&mut self, grant_id: GrantId, state: GrantState) {
        if let GrantState::Held { until_ms } = state {
            self.by_expiry.remove(&(until_ms, grant_id));
        }
    }

    /// Held grants whose lease has expired.
    pub(crate) fn expired(&self, now_ms: u64) -> Vec<GrantId> {
        self.by_expiry
            .iter()
            .take_while(|&&(until_ms, _)| until_ms <= now_ms)
            .map(|&(_, grant_id)| grant_id)
            .collect()
    }

    /// Grants held by earlier incarnations of the holder's host.
    pub(crate) fn of_earlier_incarnations(&self, holder: &GrantHolder) -> Vec<GrantId> {
        let same_host = |other: &&GrantHolder| {
            other.host == holder.host && other.incarnation < holder.incarnation
        };
        let earlier: Vec<_> = self.by_holder.keys().filter(same_host).collect();
        earlier.into_iter().flat_map(|other| self.by_holder[other].iter().copied()).collect()
    }
}

/// Attempts that engines confirmed as ended, kept while delayed load reports may still
/// list them.
#[derive(Debug, Default)]
pub(crate) struct EndedAttempts {
    by_time: VecDeque<(u64, AttemptId)>,
    attempt_ids: HashSet<AttemptId>,
}

impl EndedAttempts {
    pub(crate) fn insert(&mut self, now_ms: u64, attempt_id: AttemptId) {
        self.by_time.push_back((now_ms, attempt_id));
        self.attempt_ids.insert(attempt_id);
    }

    pub(crate) fn contains(&self, attempt_id: AttemptId) -> bool {
        self.attempt_ids.contains(&attempt_id)
    }

    pub(crate) fn remove_before(&mut self, time_ms: u64) {
        while let Some(&(ended_ms, attempt_id)) = self.by_time.front() {
            if ended_ms >= time_ms {
                return;
            }
            self.by_time.pop_front();
            self.attempt_ids.remove(&attempt_id);
        }
    }
}
