//! The disk of a keeper: runs the operations of its store on blocking threads, one at a time.

use std::sync::{Arc, Mutex};

use clayplank_agreement::{
    Configuration, HardState, Identity, Ready, Store, StoreError, StoredState,
};

/// Failure of an operation on the data folder.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    /// The store reported an error.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// This operation or an earlier one panicked, so that the store may differ from its files.
    #[error("an operation on the data folder panicked")]
    Panicked,
}

impl DiskError {
    /// Whether the disk is full or a quota is exceeded, so that the operation may be retried.
    pub(crate) fn is_full(&self) -> bool {
        match self {
            Self::Store(error) => error.is_full(),
            Self::Panicked => false,
        }
    }
}

/// The store of a keeper. It stays in place while an operation runs, so that no failure leaves a
/// keeper without it.
#[derive(Debug)]
pub(crate) struct KeeperDisk {
    store: Arc<Mutex<Store>>,
    /// Identity and log size after the last operation, which are read without waiting for the disk.
    identity: Identity,
    log_bytes: u64,
}

impl KeeperDisk {
    pub(crate) fn new(store: Store) -> Self {
        let (identity, log_bytes) = (store.identity().clone(), store.log_bytes());
        Self { store: Arc::new(Mutex::new(store)), identity, log_bytes }
    }

    pub(crate) fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Size of the log file, in bytes.
    pub(crate) fn log_bytes(&self) -> u64 {
        self.log_bytes
    }

    /// See [`Store::initialize`].
    pub(crate) async fn initialize(
        &mut self,
        state: Arc<StoredState>,
        genesis: Configuration,
    ) -> Result<(), DiskError> {
        self.run(move |store| store.initialize(&state, genesis)).await
    }

    /// See [`Store::write`].
    pub(crate) async fn write(
        &mut self,
        ready: Arc<Ready>,
        hard_state: HardState,
    ) -> Result<(), DiskError> {
        self.run(move |store| store.write(&ready, &hard_state)).await
    }

    /// See [`Store::replace_state`].
    pub(crate) async fn replace_state(&mut self, state: Arc<StoredState>) -> Result<(), DiskError> {
        self.run(move |store| store.replace_state(&state)).await
    }

    async fn run<F>(&mut self, operation: F) -> Result<(), DiskError>
    where
        F: FnOnce(&mut Store) -> Result<(), StoreError> + Send + 'static,
    {
        let store = Arc::clone(&self.store);
        let run_locked = move || {
            let mut store = store.lock().map_err(|_| DiskError::Panicked)?;
            let result = operation(&mut store);
            Ok::<_, DiskError>((store.identity().clone(), store.log_bytes(), result))
        };
        let ended = tokio::task::spawn_blocking(run_locked).await;
        let (identity, log_bytes, result) = ended.map_err(|_| DiskError::Panicked)??;
        self.identity = identity;
        self.log_bytes = log_bytes;
        Ok(result?)
    }
}
