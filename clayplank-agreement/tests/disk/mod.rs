//! A simulated disk that syncs immediately.

use clayplank_agreement::{HardState, Ready, StoredState};

/// Applies a write to the synced state, as `Store::write` does to its files.
pub fn write(synced: &mut StoredState, ready: &Ready, hard_state: &HardState) {
    if let Some(snapshot) = &ready.installed {
        *synced = StoredState {
            hard_state: hard_state.clone(),
            snapshot: (**snapshot).clone(),
            entries: Vec::new(),
        };
    }
    if let Some(hard_state) = &ready.hard_state {
        synced.hard_state = hard_state.clone();
    }
    for entry in &ready.entries {
        if entry.index <= synced.snapshot.last.index {
            continue;
        }
        let position = (entry.index - synced.snapshot.last.index - 1) as usize;
        assert!(position <= synced.entries.len(), "the log on disk has no gaps");
        synced.entries.truncate(position);
        synced.entries.push(entry.clone());
    }
}
