//! Maximum of a quantity over a sliding window of time.

use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Maximum of the values that a quantity had within the window, including the current value.
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_limits::WindowMaximum;
/// use heatherhollow_types::MonoTime;
/// let mut maximum = WindowMaximum::new(Duration::from_secs(10));
/// maximum.record(3, MonoTime::from_millis(0));
/// maximum.record(2, MonoTime::from_millis(1_000));
/// assert_eq!(maximum.value(MonoTime::from_millis(9_000)), 3);
/// assert_eq!(maximum.value(MonoTime::from_millis(11_500)), 2);
/// assert_eq!(maximum.value(MonoTime::from_millis(99_000)), 2);
/// ```
#[derive(Debug, Clone)]
pub struct WindowMaximum {
    window: Duration,
    /// Values in descending order, each with the time at which a smaller value replaced it; the
    /// last element is the current value.
    values: VecDeque<(MonoTime, usize)>,
}

impl WindowMaximum {
    /// Creates a maximum without values.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            values: VecDeque::new(),
        }
    }

    /// Records that the quantity has `value` from `now` on.
    pub fn record(&mut self, value: usize, now: MonoTime) {
        if let Some(last) = self.values.back_mut() {
            last.0 = now;
        }
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
    }

    /// Returns the maximum over the window that ends at `now`, or zero before the first record.
    pub fn value(&self, now: MonoTime) -> usize {
        let present = self.values.back().map_or(0, |(_, value)| *value);
        self.values
            .iter()
            .find(|(ended_at, _)| now.since(*ended_at) <= self.window)
            .map_or(present, |(_, value)| *value)
    }
}
