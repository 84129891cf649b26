//! The serving plan in the replicated state: the highest version is in force.

use serde::{Deserialize, Serialize};

use crate::command::{PlanDocument, Reply};

/// The plan, and the revision of the settings that set it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Plan {
    pub(crate) revision: u64,
    pub(crate) document: Option<PlanDocument>,
}

impl Plan {
    /// Puts a document in force if its version is the highest so far. One that
    /// was overtaken is acknowledged: what replaced it holds.
    pub(crate) fn publish(&mut self, revision: u64, document: &PlanDocument) -> Reply {
        if let Some(held) = &self.document {
            if document.version < held.version {
                return Reply::Published { version: held.version };
            }
            if document.version == held.version {
                let is_same = document.text == held.text;
                let version = held.version;
                return if is_same { Reply::Published { version } } else { Reply::OtherPlan };
            }
        }
        self.revision = revision;
        self.document = Some(document.clone());
        Reply::Published { version: document.version }
    }

    pub(crate) fn changed_after(&self, revision: u64) -> Option<PlanDocument> {
        if self.revision > revision { self.document.clone() } else { None }
    }
}
