//! The serving plan in the replicated state: the plan with the highest version is in force.

use serde::{Deserialize, Serialize};

use crate::command::{PlanDocument, Reply};

/// The serving plan in force, and the revision that set it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Plan {
    pub(crate) revision: u64,
    pub(crate) document: Option<PlanDocument>,
}

impl Plan {
    /// Puts a document in force if its version is the highest so far. A document with a lower
    /// version is acknowledged with the version in force, because a newer plan has replaced it.
    pub(crate) fn publish(&mut self, revision: u64, document: &PlanDocument) -> Reply {
        if let Some(current) = &self.document {
            if document.version < current.version {
                return Reply::Published { version: current.version };
            }
            if document.version == current.version {
                let is_same = document.text == current.text;
                let version = current.version;
                return if is_same { Reply::Published { version } } else { Reply::OtherPlan };
            }
        }
        self.revision = revision;
        self.document = Some(document.clone());
        Reply::Published { version: document.version }
    }

    /// The plan in force if it was set after `revision`, otherwise `None`.
    pub(crate) fn changed_after(&self, revision: u64) -> Option<PlanDocument> {
        if self.revision > revision { self.document.clone() } else { None }
    }
}
