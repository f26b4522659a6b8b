//! Recent rate of the operations or statements of a tenant at this instance.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Exponentially smoothed rate.
#[derive(Debug, Clone, Copy, Default)]
pub struct DemandMeter {
    per_second: f64,
    updated: MonoTime,
}

impl DemandMeter {
    /// Counts an operation; `smoothing` is the time over which the rate is smoothed.
    pub fn record(&mut self, smoothing: Duration, now: MonoTime) {
        self.per_second = self.per_second(smoothing, now) + 1.0 / smoothing.as_secs_f64();
        self.updated = self.updated.max(now);
    }

    /// Returns the rate in operations a second.
    pub fn per_second(&self, smoothing: Duration, now: MonoTime) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / smoothing.as_secs_f64();
        self.per_second * (-age).exp()
    }
}
