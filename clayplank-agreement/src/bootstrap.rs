//! How the first replicas find each other, and how a lost disk comes back.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::configuration::{Change, Configuration, ReplicaId};

/// What a keeper answers when another introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Introduction {
    /// It has no log either.
    Blank(ReplicaId),
    /// It has a log, which began with these members.
    Member {
        /// The first members.
        genesis: Configuration,
        /// The members as it knows them now.
        members: Configuration,
    },
}

impl Introduction {
    /// Whether the keeper that answers has no log.
    pub fn is_blank(&self) -> bool {
        matches!(self, Self::Blank(_))
    }
}

/// What a keeper without a log does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Join {
    /// Starts the log, together with the others of the configuration.
    Begin(Configuration),
    /// Receives the log as a learner under its new incarnation.
    Learn,
    /// Waits: not all have answered.
    Wait,
}

/// Decides what a keeper without a log does, from what the others answered.
///
/// A log is begun only if every keeper of the settings is without one: as long
/// as one of them cannot be asked, it may hold the log. Only the first by name
/// begins; the others find themselves among the first members that it tells.
pub fn plan_join(
    own: &ReplicaId,
    others: &[String],
    answers: &BTreeMap<String, Introduction>,
) -> Join {
    for answer in answers.values() {
        if let Introduction::Member { genesis, .. } = answer {
            return match genesis.voters.contains(own) {
                true => Join::Begin(genesis.clone()),
                false => Join::Learn,
            };
        }
    }
    let mut voters = vec![own.clone()];
    for other in others {
        match answers.get(other) {
            Some(Introduction::Blank(id)) => voters.push(id.clone()),
            Some(Introduction::Member { .. }) | None => return Join::Wait,
        }
    }
    let is_first = voters.iter().min() == Some(own);
    if is_first { Join::Begin(Configuration::of_voters(voters)) } else { Join::Wait }
}

/// What a leader knows of the replica that joins, and of those that may have gone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JoinState<'a> {
    /// Whether the joiner has nearly all entries.
    pub(crate) is_caught_up: bool,
    /// A voter that was silent for long, if there is one.
    pub(crate) silent: Option<&'a ReplicaId>,
}

/// The next change that brings a joining replica in, or `None` if there is nothing to do.
///
/// Its former incarnation is taken out first: its disk is gone, so it could
/// neither vote nor acknowledge. A joiner that has caught up takes the place of a
/// voter that is silent; should that one come back, it joins anew.
pub(crate) fn plan_change(
    configuration: &Configuration,
    joiner: &ReplicaId,
    state: JoinState<'_>,
) -> Option<Change> {
    let is_former =
        |id: &&ReplicaId| id.host == joiner.host && id.incarnation != joiner.incarnation;
    if let Some(former) = configuration.members().find(is_former) {
        return Some(Change::Remove(former.clone()));
    }
    if !configuration.contains(joiner) {
        return Some(Change::AddLearner(joiner.clone()));
    }
    let may_vote = configuration.learners.contains(joiner) && state.is_caught_up;
    let change = match state.silent {
        Some(silent) => Change::Remove(silent.clone()),
        None => Change::Promote(joiner.clone()),
    };
    may_vote.then_some(change)
}

impl crate::replica::Replica {
    /// Takes the next step that brings a joining replica in; to be called
    /// again until it votes. Returns the step that was begun; only a leader begins one.
    pub fn admit(&mut self, now_ms: u64, joiner: &ReplicaId) -> Option<Change> {
        let silent = self.silent_voter(now_ms);
        let state =
            JoinState { is_caught_up: self.is_caught_up(now_ms, joiner), silent: silent.as_ref() };
        let change = plan_change(&self.configuration, joiner, state)?;
        self.propose_change(&change).is_ok().then_some(change)
    }
}
