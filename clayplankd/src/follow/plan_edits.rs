//! Plans that were in force lately, and the edits that lead hosts from one to the newest.

use std::collections::{HashMap, VecDeque};

use clayplank_state::{PlanDocument, PlanEdit};

/// Former plans that are kept: more changes than come while a host is out of touch for some
/// seconds. Each may have a few hundred kilobytes.
const KEPT_PLANS: usize = 16;

/// Former plans, and packed edits to the newest.
#[derive(Debug, Default)]
pub(crate) struct PlanEdits {
    former: VecDeque<PlanDocument>,
    newest: Option<PlanDocument>,
    /// By the version that they lead from, 0 for those that lead from any.
    packed: HashMap<u64, Vec<u8>>,
}

impl PlanEdits {
    /// Takes a plan in, if it is newer than what was known.
    pub(crate) fn note(&mut self, document: &PlanDocument) {
        if self.newest.as_ref().is_some_and(|newest| newest.version >= document.version) {
            return;
        }
        self.packed.clear();
        self.former.extend(self.newest.replace(document.clone()));
        while self.former.len() > KEPT_PLANS {
            self.former.pop_front();
        }
    }

    /// The edit from a version to this plan, as it is sent, or the whole plan if the version
    /// is not known any more; `None` if this plan is not the newest.
    pub(crate) fn edit(&mut self, from: u64, document: &PlanDocument) -> Option<Vec<u8>> {
        let newest = self.newest.as_ref().filter(|newest| newest.version == document.version)?;
        let base = self.former.iter().find(|former| former.version == from);
        let from = base.map_or(0, |base| base.version);
        if let Some(bytes) = self.packed.get(&from) {
            return Some(bytes.clone());
        }
        let edit = match base {
            Some(base) => PlanEdit::between(base, newest),
            None => PlanEdit::whole(newest),
        };
        let bytes = edit.pack().ok()?;
        self.packed.insert(from, bytes.clone());
        Some(bytes)
    }
}
