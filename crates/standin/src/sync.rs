//! Locking without poisoning, and work that outlives its caller.

use std::future::Future;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Locks a mutex; a panic of another holder does not matter, because no holder leaves its data
/// half changed.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a future to its end, also if the caller stops waiting for it.
pub(crate) async fn run_detached<T: Send + 'static>(
    future: impl Future<Output = T> + Send + 'static,
) -> T {
    match tokio::spawn(future).await {
        Ok(value) => value,
        Err(error) => match error.try_into_panic() {
            Ok(panic) => std::panic::resume_unwind(panic),
            // The runtime is shutting down.
            Err(_) => std::future::pending().await,
        },
    }
}
