//! How the first replicas find each other.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ReplicaId};

/// What a keeper answers when another introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Introduction {
    /// It has no log either.
    Blank(BlankKeeper),
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

/// A keeper without a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlankKeeper {
    /// Its name.
    pub id: ReplicaId,
    /// Whether its disk was there when the whole system started for the first time: it has never
    /// held a log then. One that has lost its disk cannot say so.
    pub may_begin: bool,
}

/// What a keeper without a log does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Join {
    /// Starts the log, together with the others of the configuration; or takes its place among
    /// the first members that another one has told.
    Begin(Configuration),
    /// Receives the log as a learner under its new incarnation.
    Learn,
    /// Waits: not all have answered.
    Wait,
}

/// Decides what a keeper without a log does, from what the others answered.
///
/// A log is begun only if every keeper of the settings is without one: as long
/// as one of them cannot be asked, it may hold the log. Most of them must never have held one
/// either: a log of which others have lost their disks would be begun anew. Only the first by
/// name of those begins; the others find themselves among the first members that it tells, also
/// if they had ended and come back meanwhile: a member that stays blank counts as a voter and
/// never votes.
pub fn plan_join(
    own: &BlankKeeper,
    others: &[String],
    answers: &BTreeMap<String, Introduction>,
) -> Join {
    for answer in answers.values() {
        if let Introduction::Member { genesis, .. } = answer {
            return match genesis.voters.contains(&own.id) {
                true => Join::Begin(genesis.clone()),
                false => Join::Learn,
            };
        }
    }
    let mut blank = vec![own];
    for other in others {
        match answers.get(other) {
            Some(Introduction::Blank(one)) => blank.push(one),
            Some(Introduction::Member { .. }) | None => return Join::Wait,
        }
    }
    let may_begin: Vec<_> = blank.iter().filter(|one| one.may_begin).map(|one| &one.id).collect();
    let are_most = may_begin.len() > blank.len() / 2;
    let is_first = may_begin.into_iter().min() == Some(&own.id);
    match are_most && is_first {
        true => Join::Begin(Configuration::of_voters(blank.into_iter().map(|one| one.id.clone()))),
        false => Join::Wait,
    }
}
