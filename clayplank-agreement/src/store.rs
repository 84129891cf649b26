//! A replica's folder: identity, snapshot and log.
//!
//! Nothing is acknowledged before it is synced. A file is replaced by writing
//! a new one beside it, syncing, renaming, and syncing the folder.

use std::fs::{File, OpenOptions, TryLockError};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::configuration::{Configuration, ReplicaId};
use crate::log::{Entry, Snapshot};
use crate::ready::Ready;
use crate::record::{Found, UnfitRecord, has_record_after, put_record, scan_record};
use crate::stored::{HardState, StoredState};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const LOG_FILE: &str = "log";
const LOCK_FILE: &str = "lock";

/// Why a folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A file operation failed.
    #[error("cannot use {path}")]
    Io {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Another process uses the folder.
    #[error("{path} is in use by another process")]
    InUse {
        /// The folder.
        path: PathBuf,
    },
    /// The folder is another host's.
    #[error(
        "{path} belongs to host `{found}`, not to `{wanted}`: give this host a folder of its own"
    )]
    OtherHost {
        /// The folder.
        path: PathBuf,
        /// Whose it is.
        found: String,
        /// Who asked.
        wanted: String,
    },
    /// A file is damaged before its end.
    #[error(
        "{path} is damaged at byte {offset}: move the whole folder away; the host then rejoins with an empty one"
    )]
    Corrupt {
        /// The file.
        path: PathBuf,
        /// The first damaged record.
        offset: usize,
    },
    /// A file that must be there is not.
    #[error(
        "{path} is missing: move the whole folder away; the host then rejoins with an empty one"
    )]
    Missing {
        /// The file.
        path: PathBuf,
    },
    /// A record cannot be written.
    #[error(transparent)]
    Unfit(#[from] UnfitRecord),
}

impl StoreError {
    /// Whether the disk has no room: what failed may be tried again.
    pub fn is_full(&self) -> bool {
        use std::io::ErrorKind::{QuotaExceeded, StorageFull};
        match self {
            Self::Io { source, .. } => matches!(source.kind(), StorageFull | QuotaExceeded),
            Self::InUse { .. }
            | Self::OtherHost { .. }
            | Self::Corrupt { .. }
            | Self::Missing { .. }
            | Self::Unfit(_) => false,
        }
    }
}

/// Whose folder it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Host, and the incarnation of this folder.
    pub id: ReplicaId,
    /// The first members of the log; `None` before it was begun or received.
    pub genesis: Option<Configuration>,
    /// Whether the folder has held a log.
    pub has_log: bool,
}

#[derive(Serialize, Deserialize)]
enum Record {
    HardState(HardState),
    Entry(Entry),
}

/// A replica's folder, locked for this process.
#[derive(Debug)]
pub struct Store {
    dir: PathBuf,
    identity: Identity,
    log: File,
    log_bytes: u64,
    _lock: File,
}

impl Store {
    /// Opens a folder, or makes it, and reads what it holds.
    ///
    /// The state is `None` if the folder has never held a log.
    ///
    /// # Errors
    /// The folder is in use, is another host's, or is damaged. It is left as it was.
    pub fn open(
        dir: &Path,
        host: &str,
        fresh_incarnation: u64,
    ) -> Result<(Self, Option<StoredState>), StoreError> {
        std::fs::create_dir_all(dir).map_err(|source| io_error(dir, source))?;
        let lock = lock_dir(dir)?;
        let fresh =
            Identity { id: ReplicaId::new(host, fresh_incarnation), genesis: None, has_log: false };
        let identity = match read_single::<Identity>(&dir.join(IDENTITY_FILE))? {
            Some(identity) => identity,
            None => {
                replace_file(dir, IDENTITY_FILE, &fresh)?;
                fresh
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

    /// Whose folder it is.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// The size of the log file.
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// Starts the log, or starts to receive it. From now on the folder holds one.
    ///
    /// # Errors
    /// The folder does not count as one that holds a log; on a full disk it may be tried again.
    pub fn begin(&mut self, state: &StoredState, genesis: Configuration) -> Result<(), StoreError> {
        self.rewrite(state)?;
        let identity =
            Identity { id: self.identity.id.clone(), genesis: Some(genesis), has_log: true };
        replace_file(&self.dir, IDENTITY_FILE, &identity)?;
        self.identity = identity;
        Ok(())
    }

    /// Writes and syncs what a [`Ready`] holds, with one sync for all of it.
    ///
    /// # Errors
    /// It may or may not be on disk. On a full disk the same may be written again, and must
    /// be before anything else; after any other error the process has to stop.
    pub fn write(&mut self, ready: &Ready, hard_state: &HardState) -> Result<(), StoreError> {
        if let Some(snapshot) = &ready.installed {
            let entries = ready.entries.clone();
            let state = StoredState {
                hard_state: hard_state.clone(),
                snapshot: (**snapshot).clone(),
                entries,
            };
            return self.rewrite(&state);
        }
        if !ready.must_sync() {
            return Ok(());
        }
        let mut buffer = Vec::new();
        if let Some(hard_state) = &ready.hard_state {
            put_record(&mut buffer, &Record::HardState(hard_state.clone()))?;
        }
        for entry in &ready.entries {
            put_record(&mut buffer, &Record::Entry(entry.clone()))?;
        }
        let path = self.dir.join(LOG_FILE);
        self.cut_unfinished().map_err(|source| io_error(&path, source))?;
        self.log.write_all(&buffer).map_err(|source| io_error(&path, source))?;
        self.log.sync_data().map_err(|source| io_error(&path, source))?;
        self.log_bytes += buffer.len() as u64;
        Ok(())
    }

    /// Drops what a write left that found the disk full: records after half of one would
    /// count as damage at the next start.
    fn cut_unfinished(&mut self) -> Result<(), std::io::Error> {
        if self.log.metadata()?.len() > self.log_bytes {
            self.log.set_len(self.log_bytes)?;
        }
        Ok(())
    }

    /// The folder of this replica, for what a keeper remembers beside its log.
    pub fn notes(&self) -> Notes {
        Notes { dir: self.dir.clone() }
    }

    /// Replaces snapshot and log, after a compaction.
    ///
    /// # Errors
    /// The former files, or the new ones, are there.
    pub fn rewrite(&mut self, state: &StoredState) -> Result<(), StoreError> {
        replace_file(&self.dir, SNAPSHOT_FILE, &state.snapshot)?;
        let mut buffer = Vec::new();
        put_record(&mut buffer, &Record::HardState(state.hard_state.clone()))?;
        for entry in &state.entries {
            put_record(&mut buffer, &Record::Entry(entry.clone()))?;
        }
        replace_bytes(&self.dir, LOG_FILE, &buffer)?;
        self.log = open_log(&self.dir)?;
        self.log_bytes = buffer.len() as u64;
        Ok(())
    }
}

/// Small files beside the log. They are synced, but nothing promised rests on them.
#[derive(Clone, Debug)]
pub struct Notes {
    dir: PathBuf,
}

impl Notes {
    /// Replaces a note.
    ///
    /// # Errors
    /// The former one, or the new one, is there.
    pub fn save<T: Serialize>(&self, name: &str, value: &T) -> Result<(), StoreError> {
        replace_file(&self.dir, name, value)
    }

    /// Reads a note; `None` if it was never saved.
    ///
    /// # Errors
    /// It cannot be read, or is damaged.
    pub fn load<T: serde::de::DeserializeOwned>(
        &self,
        name: &str,
    ) -> Result<Option<T>, StoreError> {
        read_single(&self.dir.join(name))
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
    let snapshot = read_single::<Snapshot>(&snapshot_path)?.ok_or(missing)?;
    let mut state = StoredState { hard_state: HardState::default(), snapshot, entries: Vec::new() };
    let path = dir.join(LOG_FILE);
    let bytes = read_file(&path)?.ok_or(StoreError::Missing { path: path.clone() })?;
    let mut at = 0;
    loop {
        match scan_record::<Record>(&bytes, at) {
            Found::Record(record, next) => {
                let is_fit = take_record(&mut state, record);
                if !is_fit {
                    return Err(StoreError::Corrupt { path, offset: at });
                }
                at = next;
            }
            Found::End => break,
            Found::Damaged if has_record_after(&bytes, at) => {
                return Err(StoreError::Corrupt { path, offset: at });
            }
            // The process died in a write that it had not acknowledged.
            Found::Damaged => {
                cut_tail(&path, at)?;
                break;
            }
        }
    }
    // A log is written with its term first.
    if state.hard_state.term == 0 && !state.snapshot.configuration.voters.is_empty() {
        return Err(StoreError::Corrupt { path, offset: 0 });
    }
    Ok(state)
}

/// Takes a record in; `false` if it does not follow the former ones.
fn take_record(state: &mut StoredState, record: Record) -> bool {
    let entry = match record {
        Record::HardState(hard_state) => {
            let is_fit = hard_state.term >= state.hard_state.term;
            state.hard_state = hard_state;
            return is_fit;
        }
        Record::Entry(entry) => entry,
    };
    let base = state.snapshot.last.index;
    if entry.index <= base {
        return true;
    }
    let position = (entry.index - base - 1) as usize;
    let is_fit = position <= state.entries.len();
    state.entries.truncate(position);
    state.entries.push(entry);
    is_fit
}

fn cut_tail(path: &Path, at: usize) -> Result<(), StoreError> {
    let file =
        OpenOptions::new().write(true).open(path).map_err(|source| io_error(path, source))?;
    file.set_len(at as u64).map_err(|source| io_error(path, source))?;
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

fn read_single<T: serde::de::DeserializeOwned>(path: &Path) -> Result<Option<T>, StoreError> {
    let Some(bytes) = read_file(path)? else {
        return Ok(None);
    };
    match scan_record(&bytes, 0) {
        Found::Record(value, next) if next == bytes.len() => Ok(Some(value)),
        Found::Record(..) | Found::End | Found::Damaged => {
            Err(StoreError::Corrupt { path: path.to_owned(), offset: 0 })
        }
    }
}

fn replace_file<T: Serialize>(dir: &Path, name: &str, value: &T) -> Result<(), StoreError> {
    let mut buffer = Vec::new();
    put_record(&mut buffer, value)?;
    replace_bytes(dir, name, &buffer)
}

fn replace_bytes(dir: &Path, name: &str, bytes: &[u8]) -> Result<(), StoreError> {
    let path = dir.join(format!("{name}.new"));
    let mut file = File::create(&path).map_err(|source| io_error(&path, source))?;
    file.write_all(bytes).map_err(|source| io_error(&path, source))?;
    file.sync_all().map_err(|source| io_error(&path, source))?;
    std::fs::rename(&path, dir.join(name)).map_err(|source| io_error(&path, source))?;
    let folder = File::open(dir).map_err(|source| io_error(dir, source))?;
    folder.sync_all().map_err(|source| io_error(dir, source))
}

fn io_error(path: &Path, source: std::io::Error) -> StoreError {
    StoreError::Io { path: path.to_owned(), source }
}
