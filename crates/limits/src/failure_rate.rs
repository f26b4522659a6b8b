//! Failure rate of the recent calls to a target.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Weight of one call in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.15;

/// Time without calls in which the rate halves, so that a target that is avoided is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Exponential moving average of the share of failed calls, which decays while there are no calls.
///
/// ```
/// use heatherhollow_limits::FailureRate;
/// use heatherhollow_types::MonoTime;
/// let mut rate = FailureRate::default();
/// let now = MonoTime::from_millis(1_000);
/// for _ in 0..10 {
///     rate.record(true, now);
/// }
/// assert!(rate.value(now) > 0.7);
/// assert!(rate.value(MonoTime::from_millis(9_000)) < 0.1);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct FailureRate {
    smoothed: f64,
    sampled_at: MonoTime,
}

impl FailureRate {
    /// Records a call that ended at `now`.
    pub fn record(&mut self, has_failed: bool, now: MonoTime) {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.smoothed = self.value(now) * (1.0 - SMOOTHING_FACTOR) + sample * SMOOTHING_FACTOR;
        self.sampled_at = now;
    }

    /// Returns the rate at `now`, from 0 to 1.
    pub fn value(&self, now: MonoTime) -> f64 {
        let idle = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.smoothed * (-idle).exp2()
    }
}
