//! Recent serving plans, and the edits that turn each of them into the newest one.

use std::collections::{HashMap, VecDeque};

use clayplank_state::{PlanDocument, PlanEdit};

/// Version of a host that has no plan, which must get a complete one.
const NO_PLAN: u64 = 0;

/// Maximum number of former plans kept: more than the changes published while a host is disconnected
/// for some seconds. Each may have a few hundred kilobytes.
const MAX_FORMER_PLANS: usize = 16;

/// The newest plan, recent former plans, and the packed edits from them to the newest.
#[derive(Debug, Default)]
pub(crate) struct PlanEdits {
    /// The oldest first.
    former: VecDeque<PlanDocument>,
    newest: Option<PlanDocument>,
    /// Packed edits by the version that they start from; [`NO_PLAN`] for the complete plan, which fits
    /// any version.
    packed_edits: HashMap<u64, Vec<u8>>,
}

impl PlanEdits {
    /// Stores a plan if it is newer than the newest known one.
    pub(crate) fn record_plan(&mut self, document: &PlanDocument) {
        if self.newest.as_ref().is_some_and(|newest| newest.version >= document.version) {
            return;
        }
        self.packed_edits.clear();
        self.former.extend(self.newest.replace(document.clone()));
        while self.former.len() > MAX_FORMER_PLANS {
            self.former.pop_front();
        }
    }

    /// The packed edit from a version to this plan, or the complete plan if that version is no longer
    /// kept or stands for none. `None` if this plan is not the newest, or the edit cannot be packed.
    pub(crate) fn packed_edit(&mut self, from: u64, document: &PlanDocument) -> Option<Vec<u8>> {
        let newest = self.newest.as_ref().filter(|newest| newest.version == document.version)?;
        let mut former = self.former.iter().filter(|former| former.version != NO_PLAN);
        let base = former.find(|former| former.version == from);
        let from = base.map_or(NO_PLAN, |base| base.version);
        if let Some(bytes) = self.packed_edits.get(&from) {
            return Some(bytes.clone());
        }
        let edit = match base {
            Some(base) => PlanEdit::between(base, newest),
            None => PlanEdit::full(newest),
        };
        let bytes = edit.pack().ok()?;
        self.packed_edits.insert(from, bytes.clone());
        Some(bytes)
    }
}
