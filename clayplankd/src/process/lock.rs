//! Locking of mutexes regardless of poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread panicked while it held the lock: writers keep the value
/// consistent at every point where they may panic.
pub(crate) fn lock_ignoring_poison<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
