//! Data centres whose upstreams get nothing, by order of an operator.

use std::collections::BTreeSet;

use clayplank_types::DataCentre;
use serde::{Deserialize, Serialize};

use crate::command::Reply;

/// Data centres under a cordon, and the revision of the settings that changed them last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Cordons {
    pub(crate) revision: u64,
    data_centres: BTreeSet<DataCentre>,
}

impl Cordons {
    /// Puts a data centre under a cordon, or takes the cordon off. The same order again changes
    /// nothing, so that one whose answer was lost may be sent again.
    pub(crate) fn set(
        &mut self,
        revision: u64,
        data_centre: &DataCentre,
        is_cordoned: bool,
    ) -> Reply {
        let has_changed = if is_cordoned {
            self.data_centres.insert(data_centre.clone())
        } else {
            self.data_centres.remove(data_centre)
        };
        if has_changed {
            self.revision = revision;
        }
        Reply::Cordoned { has_changed }
    }

    /// All data centres under a cordon.
    pub(crate) fn data_centres(&self) -> &BTreeSet<DataCentre> {
        &self.data_centres
    }

    pub(crate) fn changed_after(&self, revision: u64) -> Option<BTreeSet<DataCentre>> {
        (self.revision > revision).then(|| self.data_centres.clone())
    }
}
