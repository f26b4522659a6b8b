//! Monotonic time for decision logic, which takes it as an argument and reads no clock.

use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

/// Monotonic time of one process, in microseconds since an arbitrary start.
///
/// Times of different processes are not comparable.
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_types::MonoTime;
/// let start = MonoTime::from_micros(500);
/// assert_eq!(start + Duration::from_micros(20) - start, Duration::from_micros(20));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MonoTime(u64);

impl MonoTime {
    /// The earliest time.
    pub const ZERO: Self = Self(0);

    /// Returns the time `micros` microseconds after the start.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the time `millis` milliseconds after the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for MonoTime {
    type Output = Self;

    fn add(self, span: Duration) -> Self {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(micros))
    }
}

impl Sub for MonoTime {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}

impl fmt::Display for MonoTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}s", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
