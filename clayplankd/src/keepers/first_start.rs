//! Persistent note that this disk was present when the complete system started for the first time.
//!
//! Only the first process started on a host is given that information. A process that terminates
//! before the replicated log is created must still know it after a restart: without the note it
//! would be taken for a keeper that lost its disk, and unless a majority of the keepers still know it,
//! none may create the log. The note is deliberately lost together with the disk.

use clayplank_agreement::{SideFiles, StoreError};

/// File name of the note.
const FILE: &str = "first_start";

/// Saves the note on the first start; on later starts, returns whether it was saved.
///
/// # Errors
/// The disk is full, or the saved note is corrupt.
pub(crate) fn load_or_save_first_start(
    notes: &SideFiles,
    is_first_start: bool,
) -> Result<bool, StoreError> {
    if is_first_start {
        notes.save(FILE, &true)?;
        return Ok(true);
    }
    Ok(notes.load(FILE)?.unwrap_or(false))
}
