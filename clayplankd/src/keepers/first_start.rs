//! Whether a disk was there when the whole system started for the first time.
//!
//! Only the first start of a process is told so. One that ends before the log is begun has to know
//! it still when it comes back: else it would be taken for one that has lost its disk, and if
//! most are, nobody may begin. The note is lost with the disk, as it should be.

use clayplank_agreement::{Notes, StoreError};

/// The note that says so.
const FILE: &str = "first_start";

/// Notes a first start, or recalls one that was noted.
///
/// # Errors
/// The disk is full, or the note is damaged.
pub(crate) fn recall_first_start(notes: &Notes, is_first_start: bool) -> Result<bool, StoreError> {
    if is_first_start {
        notes.save(FILE, &true)?;
        return Ok(true);
    }
    Ok(notes.load(FILE)?.unwrap_or(false))
}
