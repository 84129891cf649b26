//! What a folder survives, and what it refuses.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fs;
use std::path::Path;

use clayplank_agreement::{
    Configuration, Entry, HardState, Payload, Ready, ReplicaId, Store, StoreError, StoredState,
};

fn members() -> Configuration {
    Configuration::of_voters([ReplicaId::new("a", 7)])
}

fn entry(index: u64, text: &str) -> Entry {
    Entry { index, term: 2, payload: Payload::Command(text.as_bytes().to_vec()) }
}

fn ready(entries: Vec<Entry>) -> Ready {
    Ready { entries, ..Ready::default() }
}

/// A folder with a log of three entries after the genesis.
fn folder_with_log(dir: &Path) {
    let (mut store, state) = Store::open(dir, "a", 7).unwrap();
    assert_eq!(state, None);
    store.begin(&StoredState::genesis(members(), Vec::new()), members()).unwrap();
    let hard_state = HardState { term: 2, vote: Some(ReplicaId::new("a", 7)) };
    let first =
        Ready { hard_state: Some(hard_state.clone()), ..ready(vec![entry(2, "x"), entry(3, "y")]) };
    store.write(&first, &hard_state).unwrap();
    store.write(&ready(vec![entry(4, "z")]), &hard_state).unwrap();
}

fn reopen(dir: &Path) -> Result<StoredState, StoreError> {
    Store::open(dir, "a", 8).map(|(_, state)| state.unwrap())
}

#[test]
fn what_was_written_is_read_again() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    let state = reopen(dir.path()).unwrap();
    assert_eq!(state.hard_state.term, 2);
    assert_eq!(state.entries, vec![entry(2, "x"), entry(3, "y"), entry(4, "z")]);
}

#[test]
fn a_replaced_entry_takes_all_after_it_along() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    let (mut store, _) = Store::open(dir.path(), "a", 8).unwrap();
    store.write(&ready(vec![entry(3, "other")]), &HardState::default()).unwrap();
    drop(store);
    assert_eq!(reopen(dir.path()).unwrap().entries, vec![entry(2, "x"), entry(3, "other")]);
}

#[test]
fn a_torn_tail_is_cut() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    let path = dir.path().join("log");
    let bytes = fs::read(&path).unwrap();
    fs::write(&path, &bytes[..bytes.len() - 1]).unwrap();
    assert_eq!(reopen(dir.path()).unwrap().entries, vec![entry(2, "x"), entry(3, "y")]);
    assert_eq!(reopen(dir.path()).unwrap().entries.len(), 2, "and stays cut");
}

#[test]
fn a_corrupt_middle_is_refused_at_every_byte() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    let path = dir.path().join("log");
    let bytes = fs::read(&path).unwrap();
    // The last record may be a torn write; everything before it was synced.
    let last_record = bytes.windows(4).rposition(|window| window == b"cpk1").unwrap();
    for position in 0..last_record {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x10;
        fs::write(&path, &damaged).unwrap();
        assert!(matches!(reopen(dir.path()), Err(StoreError::Corrupt { .. })), "byte {position}");
        assert_eq!(fs::read(&path).unwrap(), damaged, "the file is left as it was");
    }
}

#[test]
fn a_missing_log_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    fs::remove_file(dir.path().join("log")).unwrap();
    assert!(matches!(reopen(dir.path()), Err(StoreError::Missing { .. })));
}

#[test]
fn a_folder_of_another_host_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    assert!(matches!(Store::open(dir.path(), "b", 8), Err(StoreError::OtherHost { .. })));
}

#[test]
fn a_folder_in_use_is_refused() {
    let dir = tempfile::tempdir().unwrap();
    let first = Store::open(dir.path(), "a", 7).unwrap();
    assert!(matches!(Store::open(dir.path(), "a", 7), Err(StoreError::InUse { .. })));
    drop(first);
    assert!(Store::open(dir.path(), "a", 7).is_ok());
}

#[test]
fn an_empty_folder_has_a_new_incarnation() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    fs::remove_dir_all(dir.path()).unwrap();
    let (store, state) = Store::open(dir.path(), "a", 8).unwrap();
    assert_eq!((store.identity().id.incarnation, state), (8, None));
}

#[test]
fn a_compacted_folder_holds_the_snapshot_and_what_follows() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    let (mut store, state) = Store::open(dir.path(), "a", 8).unwrap();
    let mut state = state.unwrap();
    state.snapshot.last.index = 3;
    state.snapshot.data = b"state".to_vec();
    state.entries.retain(|entry| entry.index > 3);
    store.rewrite(&state).unwrap();
    drop(store);
    assert_eq!(reopen(dir.path()).unwrap(), state);
}

#[test]
fn a_write_drops_half_a_record_that_a_full_disk_left() {
    let dir = tempfile::tempdir().unwrap();
    folder_with_log(dir.path());
    let (mut store, _) = Store::open(dir.path(), "a", 8).unwrap();
    let mut bytes = fs::read(dir.path().join("log")).unwrap();
    bytes.extend_from_slice(&bytes.clone()[..5]);
    fs::write(dir.path().join("log"), bytes).unwrap();
    store.write(&ready(vec![entry(5, "later")]), &HardState::default()).unwrap();
    drop(store);
    let held = vec![entry(2, "x"), entry(3, "y"), entry(4, "z"), entry(5, "later")];
    assert_eq!(reopen(dir.path()).unwrap().entries, held);
}

#[test]
fn a_full_disk_is_told_from_one_that_failed() {
    let dir = tempfile::tempdir().unwrap();
    std::os::unix::fs::symlink("/dev/full", dir.path().join("identity.new")).unwrap();
    let refused = Store::open(dir.path(), "a", 7).unwrap_err();
    assert!(refused.is_full(), "{refused}");
    let missing = StoreError::Missing { path: dir.path().to_owned() };
    assert!(!missing.is_full());
}
