//! Cache of encoded upstream updates, so that each page is packed once for all followers.

use std::collections::HashMap;

use clayplank_registry::{Changes, Cursor};
use clayplank_state::{PackError, pack};

/// Packed updates by the cursor that they follow, for one state of a registry. Hosts that start at the
/// same time request the same pages.
#[derive(Debug, Default)]
pub(crate) struct PackedChanges {
    /// Cursor of the registry state to which the cached pages belong.
    newest: Cursor,
    pages: HashMap<Cursor, Vec<u8>>,
}

impl PackedChanges {
    /// The packed updates after a cursor, for a registry whose newest cursor is `newest`. `read` reads
    /// them if they are not cached.
    ///
    /// # Errors
    /// The updates cannot be packed.
    pub(crate) fn get_or_pack(
        &mut self,
        newest: Cursor,
        after: Cursor,
        read: impl FnOnce() -> Changes,
    ) -> Result<Vec<u8>, PackError> {
        if self.newest != newest {
            self.newest = newest;
            self.pages.clear();
        }
        if let Some(bytes) = self.pages.get(&after) {
            return Ok(bytes.clone());
        }
        let bytes = pack(&read())?;
        self.pages.insert(after, bytes.clone());
        Ok(bytes)
    }
}
