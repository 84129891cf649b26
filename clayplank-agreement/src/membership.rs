//! Who becomes a voter, and who stays one: decided by the leader, one change at a time.
//!
//! A keeper only makes itself known, or tells that it stops for good. Each further step is the
//! leader's own, so that no voter that is gone waits for somebody to ask: of six voters, one of
//! them gone, four decide, and the loss of two disks leaves three.

use crate::configuration::{Change, Configuration, ReplicaId};
use crate::replica::Replica;

/// What the leader knows of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Health {
    /// It has nearly all entries, and answered lately.
    pub(crate) is_caught_up: bool,
    /// It did not answer for `replace_silent_ms`.
    pub(crate) is_silent: bool,
    /// It said that it stops.
    pub(crate) is_leaving: bool,
}

/// The next change for a replica that made itself known; `None` if it is a member already.
///
/// Its former incarnation is taken out first: its disk is gone, so it could neither vote nor
/// acknowledge.
pub(crate) fn plan_admission(configuration: &Configuration, joiner: &ReplicaId) -> Option<Change> {
    let is_former =
        |id: &&ReplicaId| id.host == joiner.host && id.incarnation != joiner.incarnation;
    if let Some(former) = configuration.members().find(is_former) {
        return Some(Change::Remove(former.clone()));
    }
    (!configuration.contains(joiner)).then(|| Change::AddLearner(joiner.clone()))
}

/// The next change that brings the voters back to those that are there and needed.
///
/// With 24 plays of a planned replacement, and the tolerated number of disks lost 15 s after it, on
/// three deployments (three voters; five), nobody led any more in 12 before the leader did this
/// by itself, and in none since.
///
/// A learner votes as soon as it has caught up. Beyond `wanted` voters, one that stops or is
/// silent is taken out; should it come back, it joins anew. With no more than `wanted`, it
/// stays: without it a loss would count for more than before, and its disk still holds what was
/// acknowledged.
pub(crate) fn plan_upkeep(
    configuration: &Configuration,
    wanted: usize,
    health: impl Fn(&ReplicaId) -> Health,
) -> Option<Change> {
    let voters = &configuration.voters;
    if voters.len() > wanted {
        let leaving = voters.iter().find(|id| health(id).is_leaving);
        let gone = leaving.or_else(|| voters.iter().find(|id| health(id).is_silent));
        if let Some(id) = gone {
            return Some(Change::Remove(id.clone()));
        }
    }
    let ready = configuration.learners.iter().find(|id| health(id).is_caught_up);
    ready.map(|id| Change::Promote(id.clone()))
}

impl Replica {
    /// Takes the first steps that bring a replica in that made itself known; to be called again
    /// until it is a member. Returns the step that was begun; only a leader begins one.
    pub fn admit(&mut self, joiner: &ReplicaId) -> Option<Change> {
        self.forget_leaving(&joiner.host);
        let change = plan_admission(&self.configuration, joiner)?;
        self.propose_change(&change).is_ok().then_some(change)
    }

    /// Takes the next step that the members need; to be called again and again. Returns the step
    /// that was begun; only a leader begins one.
    pub fn keep_members(&mut self, now_ms: u64) -> Option<Change> {
        if !self.may_propose_change() {
            return None;
        }
        let wanted = self.options.wanted_voters();
        let change = plan_upkeep(&self.configuration, wanted, |id| self.health(now_ms, id))?;
        self.propose_change(&change).is_ok().then_some(change)
    }

    /// Whether a host that is about to stop can: it votes no more, or nobody is there to vote in
    /// its place. Only a leader says so.
    pub fn may_stop(&self, now_ms: u64, host: &str) -> bool {
        if !self.is_leader() || !self.is_configuration_committed() {
            return false;
        }
        let voters = &self.configuration.voters;
        let has_successor =
            self.configuration.learners.iter().any(|id| !self.health(now_ms, id).is_silent);
        let is_needed = voters.len() <= self.options.wanted_voters() && !has_successor;
        is_needed || voters.iter().all(|id| id.host != host)
    }

    /// The voter after the leader in the order of names, among those that answered lately: whoever
    /// stands in for a leader that falls silent. Only a leader names one.
    pub fn deputy(&self, now_ms: u64) -> Option<&ReplicaId> {
        if !self.is_leader() {
            return None;
        }
        let answers = |id: &&ReplicaId| **id != self.id && self.has_answered_lately(now_ms, id);
        let mut others = self.configuration.voters.iter().filter(answers);
        let first = others.clone().next();
        others.find(|id| **id > self.id).or(first)
    }
}
