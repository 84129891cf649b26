//! Bootstrap: how keepers without a log create one together, or join an existing one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ReplicaId};

/// Reply of a keeper to another keeper that introduces itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Introduction {
    /// The replying keeper has no log.
    Blank(BlankKeeper),
    /// The replying keeper has a log.
    Member {
        /// Initial configuration of the log.
        genesis: Configuration,
        /// Latest configuration that the replying keeper knows.
        members: Configuration,
    },
}

impl Introduction {
    /// Whether the replying keeper has no log.
    pub fn is_blank(&self) -> bool {
        matches!(self, Self::Blank(_))
    }
}

/// A keeper without a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlankKeeper {
    /// Host and incarnation of the keeper.
    pub id: ReplicaId,
    /// Whether the disk has been in place since the first start of the system, so that it has never
    /// had a log. A keeper that may have lost its disk reports `false`.
    pub may_begin: bool,
}

/// Next step of a keeper without a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Join {
    /// Starts with this initial configuration: either creates the log, or takes its place as one of
    /// the initial members that a peer reported.
    Bootstrap(Configuration),
    /// Joins the existing log as a learner.
    AsLearner,
    /// Waits: a peer has not replied, or another keeper has to create the log.
    Wait,
}

/// Decides the next step of a keeper without a log, from the replies of its peers.
///
/// A log is created only if every configured keeper has replied that it has none: an unreachable
/// keeper may have the log. In addition, a majority of them must never have had a log; otherwise
/// the others may have lost the disks with an existing log, which would be replaced by an empty
/// one. Of the keepers that never had a log, only the first by name creates it. The others find
/// themselves in the initial configuration that it reports. They join as initial members even if
/// they have restarted in the meantime (`may_begin` is `false` then), because an initial member
/// without a log would count as a voter and never vote.
pub fn plan_join(
    local: &BlankKeeper,
    peers: &[String],
    replies: &BTreeMap<String, Introduction>,
) -> Join {
    for reply in replies.values() {
        if let Introduction::Member { genesis, .. } = reply {
            return match genesis.voters.contains(&local.id) {
                true => Join::Bootstrap(genesis.clone()),
                false => Join::AsLearner,
            };
        }
    }
    let mut blank = vec![local];
    for peer in peers {
        match replies.get(peer) {
            Some(Introduction::Blank(keeper)) => blank.push(keeper),
            Some(Introduction::Member { .. }) | None => return Join::Wait,
        }
    }
    let may_begin: Vec<_> =
        blank.iter().filter(|keeper| keeper.may_begin).map(|keeper| &keeper.id).collect();
    let is_majority = may_begin.len() > blank.len() / 2;
    let is_first = may_begin.into_iter().min() == Some(&local.id);
    match is_majority && is_first {
        true => Join::Bootstrap(Configuration::from_voters(
            blank.into_iter().map(|keeper| keeper.id.clone()),
        )),
        false => Join::Wait,
    }
}
