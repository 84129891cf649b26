//! The data folder of a replica: identity, snapshot and log.
//!
//! A write is acknowledged only after it is synced. Files are replaced atomically: a new file is
//! written beside the old one and synced, renamed over it, and the folder is synced.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ReplicaId};
use crate::log::{Entry, Snapshot};
use crate::ready::Ready;
use crate::record::{Decoded, UnencodableRecord, decode_record, encode_record, has_record_after};
use crate::stored::{HardState, StoredState};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";
const LOCK_FILE: &str = "lock";

/// Error of an operation on the data folder.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("cannot use {path}")]
    Io {
        /// File or folder of the operation.
        path: PathBuf,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// Another process has locked the folder.
    #[error("{path} is in use by another process")]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another host.
    #[error(
        "{path} belongs to host `{found}`, not to `{wanted}`: give this host a folder of its own"
    )]
    OtherHost {
        /// The folder.
        path: PathBuf,
        /// Host that owns the folder.
        found: String,
        /// Host that tried to open the folder.
        wanted: String,
    },
    /// A file has a damaged record that is not the incomplete end of an interrupted write, or a
    /// record that does not follow the ones before it.
    #[error(
        "{path} is damaged at byte {offset}: move the whole folder away; the host then rejoins with an empty one"
    )]
    Corrupt {
        /// Damaged file.
        path: PathBuf,
        /// Offset of the first damaged record, in bytes.
        offset: usize,
    },
    /// A required file is missing.
    #[error(
        "{path} is missing: move the whole folder away; the host then rejoins with an empty one"
    )]
    Missing {
        /// Missing file.
        path: PathBuf,
    },
    /// A value could not be encoded as a record.
    #[error(transparent)]
    Unencodable(#[from] UnencodableRecord),
}

impl StoreError {
    /// Whether the disk is full or a quota is exceeded, so that the operation may be retried.
    pub fn is_full(&self) -> bool {
        use std::io::ErrorKind::{QuotaExceeded, StorageFull};
        match self {
            Self::Io { source, .. } => matches!(source.kind(), StorageFull | QuotaExceeded),
            Self::InUse { .. }
            | Self::OtherHost { .. }
            | Self::Corrupt { .. }
            | Self::Missing { .. }
            | Self::Unencodable(_) => false,
        }
    }
}

/// Identity of a data folder, stored in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Host that owns the folder, and the incarnation of the folder.
    pub id: ReplicaId,
    /// Initial configuration of the log; `None` until the folder has a log.
    pub genesis: Option<Configuration>,
    /// Whether the folder has a log.
    pub has_log: bool,
}

/// A record of the log file.
#[derive(Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entry(Entry),
}

/// The data folder of a replica, locked for this process.
#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    identity: Identity,
    log: File,
    /// Size of the log file up to the end of the last synced write.
    log_bytes: u64,
    _lock: File,
}

impl Store {
    /// Opens or creates a data folder and reads its state, `None` if the folder has no log yet. A
    /// new folder gets `new_incarnation`. An incomplete record at the end of the log, left by an
    /// interrupted write, is removed.
    ///
    /// # Errors
    /// The folder is in use, belongs to another host, is damaged, or cannot be accessed. Existing
    /// data is unchanged.
    pub fn open(
        dir: &Path,
        host: &str,
        new_incarnation: u64,
    ) -> Result<(Self, Option<StoredState>), StoreError> {
        std::fs::create_dir_all(dir).map_err(|source| io_error(dir, source))?;
        let lock = lock_dir(dir)?;
        let new_identity =
            Identity { id: ReplicaId::new(host, new_incarnation), genesis: None, has_log: false };
        let identity = match read_single_record::<Identity>(&dir.join(IDENTITY_FILE))? {
            Some(identity) => identity,
            None => {
                replace_record(dir, IDENTITY_FILE, &new_identity)?;
                new_identity
            }
        };
        if identity.id.host != host {
            let (found, wanted) = (identity.id.host, host.to_owned());
            return Err(StoreError::OtherHost { path: dir.to_owned(), found, wanted });
        }
        let state = if identity.has_log { Some(read_state(dir)?) } else { None };
        let log = open_log(dir)?;
        let log_bytes = log.metadata().map_err(|source| io_error(dir, source))?.len();
        Ok((Self { dir: dir.to_owned(), identity, log, log_bytes, _lock: lock }, state))
    }

    /// Identity stored in the folder.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Size of the log file, in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Stores the initial state of a new or joined log, and marks the folder as having a log.
    ///
    /// # Errors
    /// The folder is not marked as having a log. On a full disk the call may be retried.
    pub fn initialize(
        &mut self,
        state: &StoredState,
        genesis: Configuration,
    ) -> Result<(), StoreError> {
        self.replace_state(state)?;
        let identity =
            Identity { id: self.identity.id.clone(), genesis: Some(genesis), has_log: true };
        replace_record(&self.dir, IDENTITY_FILE, &identity)?;
        self.identity = identity;
        Ok(())
    }

    /// Writes the term, vote, snapshot and entries of a [`Ready`], with a single sync of the log
    /// file for all of them if there is no snapshot.
    ///
    /// # Errors
    /// The data may or may not be on disk. On a full disk the same write may be retried, and must
    /// succeed before any other write. After any other error the process has to stop.
    pub fn write(&mut self, ready: &Ready, hard_state: &HardState) -> Result<(), StoreError> {
        if let Some(snapshot) = &ready.installed {
            let entries = ready.entries.clone();
            let state = StoredState {
                hard_state: hard_state.clone(),
                snapshot: (**snapshot).clone(),
                entries,
            };
            return self.replace_state(&state);
        }
        if !ready.must_sync() {
            return Ok(());
        }
        let mut buffer = Vec::new();
        if let Some(hard_state) = &ready.hard_state {
            encode_record(&mut buffer, &Record::HardState(hard_state.clone()))?;
        }
        for entry in &ready.entries {
            encode_record(&mut buffer, &Record::Entry(entry.clone()))?;
        }
        let path = self.dir.join(LOG_FILE);
        self.truncate_incomplete_write().map_err(|source| io_error(&path, source))?;
        self.log.write_all(&buffer).map_err(|source| io_error(&path, source))?;
        self.log.sync_data().map_err(|source| io_error(&path, source))?;
        self.log_bytes += buffer.len() as u64;
        Ok(())
    }

    /// Truncates the incomplete record that a write on a full disk left. Records appended after it
    /// would make the file count as damaged at the next start.
    fn truncate_incomplete_write(&mut self) -> Result<(), std::io::Error> {
        if self.log.metadata()?.len() > self.log_bytes {
            self.log.set_len(self.log_bytes)?;
        }
        Ok(())
    }

    /// Access to the small files that a keeper stores beside its log.
    pub fn side_files(&self) -> SideFiles {
        SideFiles { dir: self.dir.clone() }
    }

    /// Replaces the snapshot and the log, after a compaction or the installation of a snapshot.
    ///
    /// # Errors
    /// Each of the two files has either its former or its new content.
    pub fn replace_state(&mut self, state: &StoredState) -> Result<(), StoreError> {
        replace_record(&self.dir, SNAPSHOT_FILE, &state.snapshot)?;
        let mut buffer = Vec::new();
        encode_record(&mut buffer, &Record::HardState(state.hard_state.clone()))?;
        for entry in &state.entries {
            encode_record(&mut buffer, &Record::Entry(entry.clone()))?;
        }
        replace_file(&self.dir, LOG_FILE, &buffer)?;
        self.log = open_log(&self.dir)?;
        self.log_bytes = buffer.len() as u64;
        Ok(())
    }
}

/// Small files beside the log, each with one value. They are synced, but the guarantees of the log
/// do not depend on them.
#[derive(Clone, Debug)]
pub struct SideFiles {
    dir: PathBuf,
}

impl SideFiles {
    /// Replaces the value in a file.
    ///
    /// # Errors
    /// The file has either its former or its new value.
    pub fn save<T: Serialize>(&self, name: &str, value: &T) -> Result<(), StoreError> {
        replace_record(&self.dir, name, value)
    }

    /// Reads the value in a file; `None` if the file does not exist.
    ///
    /// # Errors
    /// The file cannot be read, or is damaged.
    pub fn load<T: serde::de::DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<T>, StoreError> {
        read_single_record(&self.dir.join(name))
    }
}

fn lock_dir(dir: &Path) -> Result<File, StoreError> {
    let path = dir.join(LOCK_FILE);
    let lock = File::create(&path).map_err(|source| io_error(&path, source))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StoreError::InUse { path: dir.to_owned() }),
        Err(TryLockError::Error(source)) => Err(io_error(&path, source)),
    }
}

fn open_log(dir: &Path) -> Result<File, StoreError> {
    let path = dir.join(LOG_FILE);
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(&path)
        .map_err(|source| io_error(&path, source))
}

fn read_state(dir: &Path) -> Result<StoredState, StoreError> {
    let snapshot_path = dir.join(SNAPSHOT_FILE);
    let missing = StoreError::Missing { path: snapshot_path.clone() };
    let snapshot = read_single_record::<Snapshot>(&snapshot_path)?.ok_or(missing)?;
    let mut state = StoredState { hard_state: HardState::default(), snapshot, entries: Vec::new() };
    let path = dir.join(LOG_FILE);
    let bytes = read_file(&path)?.ok_or(StoreError::Missing { path: path.clone() })?;
    let mut offset = 0;
    loop {
        match decode_record::<Record>(&bytes, offset) {
            Decoded::Record(record, next) => {
                let is_valid = apply_record(&mut state, record);
                if !is_valid {
                    return Err(StoreError::Corrupt { path, offset });
                }
                offset = next;
            }
            Decoded::End => break,
            Decoded::Damaged if has_record_after(&bytes, offset) => {
                return Err(StoreError::Corrupt { path, offset });
            }
            // The process ended during a write that was not acknowledged.
            Decoded::Damaged => {
                truncate_file(&path, offset)?;
                break;
            }
        }
    }
    // The first record of a log file has the term and vote.
    if state.hard_state.term == 0 && !state.snapshot.configuration.voters.is_empty() {
        return Err(StoreError::Corrupt { path, offset: 0 });
    }
    Ok(state)
}

/// Applies a record of the log file. Returns `false` if it cannot follow the records before it: the
/// term decreases, or entries are missing.
fn apply_record(state: &mut StoredState, record: Record) -> bool {
    let entry = match record {
        Record::HardState(hard_state) => {
            let is_valid = hard_state.term >= state.hard_state.term;
            state.hard_state = hard_state;
            return is_valid;
        }
        Record::Entry(entry) => entry,
    };
    let snapshot = state.snapshot.last;
    // The process may have ended after it replaced the snapshot and before it replaced the log, which
    // then has entries that the snapshot overtook. An entry of an older term than the snapshot cannot
    // follow it, and an entry that it includes replaces all entries after it.
    if entry.term < snapshot.term {
        return true;
    }
    if entry.index <= snapshot.index {
        state.entries.clear();
        return true;
    }
    let position = (entry.index - snapshot.index - 1) as usize;
    let is_valid = position <= state.entries.len();
    state.entries.truncate(position);
    state.entries.push(entry);
    is_valid
}

fn truncate_file(path: &Path, offset: usize) -> Result<(), StoreError> {
    let file =
        OpenOptions::new().write(true).open(path).map_err(|source| io_error(path, source))?;
    file.set_len(offset as u64).map_err(|source| io_error(path, source))?;
    file.sync_all().map_err(|source| io_error(path, source))
}

fn read_file(path: &Path) -> Result<Option<Vec<u8>>, StoreError> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(mut file) => file.read_to_end(&mut bytes).map_err(|source| io_error(path, source))?,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(source) => return Err(io_error(path, source)),
    };
    Ok(Some(bytes))
}

fn read_single_record<T: serde::de::DeserializeOwned>(
    path: &Path,
) -> Result<Option<T>, StoreError> {
    let Some(bytes) = read_file(path)? else {
        return Ok(None);
    };
    match decode_record(&bytes, 0) {
        Decoded::Record(value, next) if next == bytes.len() => Ok(Some(value)),
        Decoded::Record(..) | Decoded::End | Decoded::Damaged => {
            Err(StoreError::Corrupt { path: path.to_owned(), offset: 0 })
        }
    }
}

fn replace_record<T: Serialize>(dir: &Path, name: &str, value: &T) -> Result<(), StoreError> {
    let mut buffer = Vec::new();
    encode_record(&mut buffer, value)?;
    replace_file(dir, name, &buffer)
}

fn replace_file(dir: &Path, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let path = dir.join(format!("{name}.new"));
    let mut file = File::create(&path).map_err(|source| io_error(&path, source))?;
    file.write_all(bytes).map_err(|source| io_error(&path, source))?;
    file.sync_all().map_err(|source| io_error(&path, source))?;
    std::fs::rename(&path, dir.join(name)).map_err(|source| io_error(&path, source))?;
    // The file is replaced, so a full disk must not make the caller go on with the former one.
    let failed = |source| io_error(dir, std::io::Error::other(source));
    let folder = File::open(dir).map_err(failed)?;
    folder.sync_all().map_err(failed)
}

fn io_error(path: &Path, source: std::io::Error) -> StoreError {
    StoreError::Io { path: path.to_owned(), source }
}
