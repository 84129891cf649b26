//! News of upstreams as they are sent, packed once for all followers that need the same.

use std::collections::HashMap;

use clayplank_registry::{Changes, Cursor};
use clayplank_state::{PackError, pack};

/// Packed news by the cursor after which they come, for one state of a registry. Hosts that start
/// together ask for the same pages.
#[derive(Debug, Default)]
pub(crate) struct NewsPages {
    newest: Cursor,
    packed: HashMap<Cursor, Vec<u8>>,
}

impl NewsPages {
    /// The news after a cursor, for a registry that stands at `newest`.
    ///
    /// # Errors
    /// They cannot be packed.
    pub(crate) fn packed(
        &mut self,
        newest: Cursor,
        after: Cursor,
        read: impl FnOnce() -> Changes,
    ) -> Result<Vec<u8>, PackError> {
        if self.newest != newest {
            self.newest = newest;
            self.packed.clear();
        }
        if let Some(bytes) = self.packed.get(&after) {
            return Ok(bytes.clone());
        }
        let bytes = pack(&read())?;
        self.packed.insert(after, bytes.clone());
        Ok(bytes)
    }
}
