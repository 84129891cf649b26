//! Membership of the log: replica ids, voters, learners, and single-server changes.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

/// A host and the incarnation of its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Name of the host.
    pub host: String,
    /// Random number drawn when the data folder was created.
    pub incarnation: u64,
}

impl ReplicaId {
    /// The id of a host with this incarnation of its disk.
    pub fn new(host: impl Into<String>, incarnation: u64) -> Self {
        Self { host: host.into(), incarnation }
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.host, self.incarnation)
    }
}

/// Members of the log. Voters count towards quorums; learners only receive entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Replicas whose votes and acknowledgements count.
    pub voters: BTreeSet<ReplicaId>,
    /// Replicas that receive the log until they are promoted.
    pub learners: BTreeSet<ReplicaId>,
}

/// A membership change of one replica. Quorums of the configurations before and after it always
/// overlap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Adds a replica as a learner.
    AddLearner(ReplicaId),
    /// Makes a learner a voter.
    Promote(ReplicaId),
    /// Removes a voter or a learner.
    Remove(ReplicaId),
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AddLearner(id) => write!(f, "add learner {id}"),
            Self::Promote(id) => write!(f, "promote {id}"),
            Self::Remove(id) => write!(f, "remove {id}"),
        }
    }
}

impl Configuration {
    /// A configuration without learners.
    pub fn from_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Whether the replica is a voter or a learner.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// All members: the voters, then the learners.
    pub fn members(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Number of voters in a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether the voters among `ids` are a quorum. Other ids do not count.
    pub(crate) fn is_quorum<'a>(&self, ids: impl Iterator<Item = &'a ReplicaId>) -> bool {
        ids.filter(|id| self.voters.contains(*id)).count() >= self.quorum()
    }

    /// The configuration after a change. `None` if the change does not apply: the replica to add
    /// is a member, the one to promote is no learner, or the one to remove is no member or is the
    /// last voter.
    pub fn after(&self, change: &Change) -> Option<Self> {
        let mut next = self.clone();
        let is_applicable = match change {
            Change::AddLearner(id) => !self.contains(id) && next.learners.insert(id.clone()),
            Change::Promote(id) => next.learners.remove(id) && next.voters.insert(id.clone()),
            Change::Remove(id) => {
                next.learners.remove(id) || (self.voters.len() > 1 && next.voters.remove(id))
            }
        };
        is_applicable.then_some(next)
    }
}
