//! Who takes part in the log.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};

/// A host and the incarnation of its disk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ReplicaId {
    /// The host's name.
    pub host: String,
    /// Drawn when the data folder was made.
    pub incarnation: u64,
}

impl ReplicaId {
    /// Joins a name and an incarnation.
    pub fn new(host: impl Into<String>, incarnation: u64) -> Self {
        Self { host: host.into(), incarnation }
    }
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.host, self.incarnation)
    }
}

/// Voters decide; learners only receive.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Those whose votes and acknowledgements count.
    pub voters: BTreeSet<ReplicaId>,
    /// Those that catch up.
    pub learners: BTreeSet<ReplicaId>,
}

/// One step from a configuration to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Sends the log to one more replica.
    AddLearner(ReplicaId),
    /// Lets a learner vote.
    Promote(ReplicaId),
    /// Takes a voter or learner out.
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
    pub fn of_voters(voters: impl IntoIterator<Item = ReplicaId>) -> Self {
        Self { voters: voters.into_iter().collect(), learners: BTreeSet::new() }
    }

    /// Whether the replica takes part.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id) || self.learners.contains(id)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// How many voters decide.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether these voters decide; others in the set do not count.
    pub(crate) fn is_quorum<'a>(&self, ids: impl Iterator<Item = &'a ReplicaId>) -> bool {
        ids.filter(|id| self.voters.contains(*id)).count() >= self.quorum()
    }

    /// The configuration after a change; `None` if the change makes no sense here.
    pub fn after(&self, change: &Change) -> Option<Self> {
        let mut next = self.clone();
        let makes_sense = match change {
            Change::AddLearner(id) => !self.contains(id) && next.learners.insert(id.clone()),
            Change::Promote(id) => next.learners.remove(id) && next.voters.insert(id.clone()),
            Change::Remove(id) => {
                next.learners.remove(id) || (self.voters.len() > 1 && next.voters.remove(id))
            }
        };
        makes_sense.then_some(next)
    }
}
