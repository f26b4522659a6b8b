//! Smoothed time of the calls to a target.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Part of the smoothed time that one new sample replaces, as a divisor.
const SAMPLE_DIVISOR: u32 = 8;

/// Smoothed time of calls, which fades while there are none.
///
/// It halves with each second without calls. A target that was slow for a while gets no calls, and
/// without fading it would count as slow for ever.
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
    /// Takes the time of a call that ended at `now`.
    pub fn record(&mut self, took: Duration, now: MonoTime) {
        let old = self.value(now);
        self.smoothed = (old * (SAMPLE_DIVISOR - 1) + took) / SAMPLE_DIVISOR;
        self.sampled_at = now;
    }

    /// The smoothed time as of `now`.
    pub fn value(&self, now: MonoTime) -> Duration {
        let halvings = now.since(self.sampled_at).as_secs().min(31);
        self.smoothed / (1_u32 << halvings)
    }
}
