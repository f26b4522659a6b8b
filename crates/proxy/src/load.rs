//! Calls of this instance that are under way, by target.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Calls of this instance to one target, for the choice of routes.
#[derive(Debug, Default)]
pub(crate) struct TargetLoad {
    calls: AtomicU32,
    reads: AtomicU32,
    /// Smoothed time of a call, in microseconds.
    call_micros: AtomicU64,
}

impl TargetLoad {
    /// Calls that run or wait.
    pub(crate) fn in_flight(&self) -> u32 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Reads among them.
    pub(crate) fn reads_in_flight(&self) -> u32 {
        self.reads.load(Ordering::Relaxed)
    }

    /// Smoothed time of a call.
    pub(crate) fn statement_time(&self) -> Duration {
        Duration::from_micros(self.call_micros.load(Ordering::Relaxed))
    }

    pub(crate) fn call_started(&self, is_read: bool) {
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.reads.fetch_add(u32::from(is_read), Ordering::Relaxed);
    }

    pub(crate) fn call_ended(&self, is_read: bool, took: Duration) {
        self.calls.fetch_sub(1, Ordering::Relaxed);
        self.reads.fetch_sub(u32::from(is_read), Ordering::Relaxed);
        // Two calls that end together may lose one sample, which does no harm.
        let old = self.call_micros.load(Ordering::Relaxed);
        let new = (old * 7 + took.as_micros() as u64) / 8;
        self.call_micros.store(new, Ordering::Relaxed);
    }
}
