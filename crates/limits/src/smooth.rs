//! Smoothed duration of the calls to a target.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Inverse weight of a new sample in the moving average.
const SAMPLE_DIVISOR: u32 = 8;

/// Exponential moving average of call durations, which decays while there are no calls.
///
/// The value halves with each second without calls. A target that was slow gets no calls, and
/// without the decay it would count as slow for ever.
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_limits::SmoothedTime;
/// use heatherhollow_types::MonoTime;
/// let mut time = SmoothedTime::default();
/// time.record(Duration::from_millis(80), MonoTime::from_millis(0));
/// assert_eq!(time.value(MonoTime::from_millis(0)), Duration::from_millis(10));
/// assert_eq!(time.value(MonoTime::from_millis(2_000)), Duration::from_micros(2_500));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct SmoothedTime {
    smoothed: Duration,
    sampled_at: MonoTime,
}

impl SmoothedTime {
    /// Records the duration of a call that ended at `now`.
    pub fn record(&mut self, duration: Duration, now: MonoTime) {
        let old = self.value(now);
        self.smoothed = (old * (SAMPLE_DIVISOR - 1) + duration) / SAMPLE_DIVISOR;
        self.sampled_at = now;
    }

    /// Returns the smoothed duration at `now`.
    pub fn value(&self, now: MonoTime) -> Duration {
        let halvings = now.since(self.sampled_at).as_secs().min(31);
        self.smoothed / (1_u32 << halvings)
    }
}
