//! Data centres that an operator has cordoned: no requests are sent to their upstreams.

use std::collections::BTreeSet;

use clayplank_types::DataCentre;
use serde::{Deserialize, Serialize};

use crate::command::Reply;

/// The cordoned data centres, and the revision that last changed them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Cordons {
    pub(crate) revision: u64,
    data_centres: BTreeSet<DataCentre>,
}

impl Cordons {
    /// Adds or removes the cordon of a data centre. The operation is idempotent, so that a command
    /// whose reply was lost can be sent again.
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

    /// All cordoned data centres.
    pub(crate) fn data_centres(&self) -> &BTreeSet<DataCentre> {
        &self.data_centres
    }

    /// All cordoned data centres if they changed after `revision`, otherwise `None`.
    pub(crate) fn changed_after(&self, revision: u64) -> Option<BTreeSet<DataCentre>> {
        (self.revision > revision).then(|| self.data_centres.clone())
    }
}
