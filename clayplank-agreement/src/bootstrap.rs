//! How the first replicas find each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ReplicaId};

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
