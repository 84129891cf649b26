//! Plans that were in force lately, and the edits that lead hosts from one to the newest.

use std::collections::{HashMap, VecDeque};

use clayplank_state::{PlanDocument, PlanEdit, encode};

/// Former plans that are kept: more changes than come while a host is out of touch for some
/// seconds. Each may have a few hundred kilobytes.
const KEPT_PLANS: usize = 16;

/// Former plans, and encoded edits to the newest.
#[derive(Debug, Default)]
pub(crate) struct PlanEdits {
    former: VecDeque<PlanDocument>,
    newest: Option<PlanDocument>,
    /// By the version that they lead from.
    encoded: HashMap<u64, Vec<u8>>,
}

impl PlanEdits {
    /// Takes a plan in, if it is newer than what was known.
    pub(crate) fn note(&mut self, document: &PlanDocument) {
        if self.newest.as_ref().is_some_and(|newest| newest.version >= document.version) {
            return;
        }
        self.encoded.clear();
        self.former.extend(self.newest.replace(document.clone()));
        while self.former.len() > KEPT_PLANS {
            self.former.pop_front();
        }
    }

    /// The edit from a version to this plan, encoded; `None` if it is not the newest, or if
    /// the version is not known any more.
    pub(crate) fn edit(&mut self, from: u64, document: &PlanDocument) -> Option<Vec<u8>> {
        let newest = self.newest.as_ref().filter(|newest| newest.version == document.version)?;
        if let Some(bytes) = self.encoded.get(&from) {
            return Some(bytes.clone());
        }
        let base = self.former.iter().find(|former| former.version == from)?;
        let bytes = encode(&PlanEdit::between(base, newest)).ok()?;
        self.encoded.insert(from, bytes.clone());
        Some(bytes)
    }
}
