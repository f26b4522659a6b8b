//! Locking without poisoning.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex; a panic of another holder does not matter, because no holder leaves its data
/// half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
