//! Calls of this instance that are under way, by target.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use heatherhollow_limits::SmoothedTime;
use heatherhollow_types::MonoTime;

#[derive(Debug, Default)]
struct LoadState {
    calls: u32,
    reads: u32,
    time: SmoothedTime,
}

/// Calls of this instance to one target, for the choice of routes.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    /// Innermost lock.
    state: Mutex<LoadState>,
}

impl TargetLoad {
    fn lock(&self) -> MutexGuard<'_, LoadState> {
        self.state
            .lock()
            .expect("no holder of the load lock panics")
    }

    /// Calls that run or wait.
    pub(crate) fn in_flight(&self) -> u32 {
        self.lock().calls
    }

    /// Reads among them.
    pub(crate) fn reads_in_flight(&self) -> u32 {
        self.lock().reads
    }

    /// Smoothed time of a call.
    pub(crate) fn statement_time(&self, now: MonoTime) -> Duration {
        self.lock().time.value(now)
    }

    pub(crate) fn call_started(&self, is_read: bool) {
        let mut state = self.lock();
        state.calls += 1;
        state.reads += u32::from(is_read);
    }

    pub(crate) fn call_ended(&self, is_read: bool, took: Duration, now: MonoTime) {
        let mut state = self.lock();
        state.calls -= 1;
        state.reads -= u32::from(is_read);
        state.time.record(took, now);
    }
}
