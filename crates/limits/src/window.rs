//! Greatest value of a quantity over a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Greatest value that a quantity had within a window, the present value included.
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
    /// Values with the time at which each was replaced by a smaller one, greatest first; the last one
    /// is the present value.
    values: VecDeque<(MonoTime, usize)>,
}

impl WindowMaximum {
    /// A maximum without values.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            values: VecDeque::new(),
        }
    }

    /// Records the value that the quantity has from now on.
    pub fn record(&mut self, value: usize, now: MonoTime) {
        if let Some(last) = self.values.back_mut() {
            last.0 = now;
        }
        while self.values.back().is_some_and(|(_, last)| *last <= value) {
            self.values.pop_back();
        }
        self.values.push_back((now, value));
    }

    /// The greatest value of the window; zero before the first record.
    pub fn value(&self, now: MonoTime) -> usize {
        let present = self.values.back().map_or(0, |(_, value)| *value);
        self.values
            .iter()
            .find(|(ended_at, _)| now.since(*ended_at) <= self.window)
            .map_or(present, |(_, value)| *value)
    }
}
