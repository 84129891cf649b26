//! Upstreams that are leaving (shutting down), shared by all tasks of this host, whichever of them
//! learns it first.

use std::collections::BTreeSet;
use std::sync::{Arc, RwLock};

use clayplank_types::UpstreamId;

/// Set of upstreams that are shutting down and get no new work from this host.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingUpstreams {
    leaving: Arc<RwLock<BTreeSet<UpstreamId>>>,
}

impl LeavingUpstreams {
    pub(crate) fn is_leaving(&self, id: &UpstreamId) -> bool {
        self.leaving.read().is_ok_and(|leaving| leaving.contains(id))
    }

    /// Replaces the set by the platform's newest list. An upstream that is no longer listed gets
    /// work again.
    pub(crate) fn replace(&self, ids: BTreeSet<UpstreamId>) {
        if let Ok(mut leaving) = self.leaving.write() {
            *leaving = ids;
        }
    }

    pub(crate) fn leaving(&self) -> Vec<UpstreamId> {
        self.leaving.read().map(|leaving| leaving.iter().cloned().collect()).unwrap_or_default()
    }
}
