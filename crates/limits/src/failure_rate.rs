//! Share of calls to a target that failed lately.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Part of the rate that one call replaces.
const SMOOTHING_FACTOR: f64 = 0.15;

/// Time without calls after which the rate has halved, so that a target that is avoided is tried again.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Smoothed share of failed calls, which fades while there are none.
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
    /// Records how a call ended.
    pub fn record(&mut self, has_failed: bool, now: MonoTime) {
        let sample = if has_failed { 1.0 } else { 0.0 };
        self.smoothed = self.value(now) * (1.0 - SMOOTHING_FACTOR) + sample * SMOOTHING_FACTOR;
        self.sampled_at = now;
    }

    /// The rate as of `now`, from 0 to 1.
    pub fn value(&self, now: MonoTime) -> f64 {
        let idle = now.since(self.sampled_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.smoothed * (-idle).exp2()
    }
}
