//! Locks a mutex, also after a thread panicked while it held it.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex; what is inside is kept whole by whoever changes it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
