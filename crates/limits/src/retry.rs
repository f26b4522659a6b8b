//! Retry budget and delay.
//!
//! Each ordinary request adds a fraction of a retry to the budget, so that retries cannot multiply
//! the load when all requests fail.

use std::time::Duration;

/// Settings of a [`RetryBudget`].
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries that one request adds to the budget.
    pub ratio: f64,
    /// Maximum number of retries in the budget.
    pub burst: f64,
    /// Upper bound of the delay before the first retry; doubles with each further retry.
    pub base_delay: Duration,
    /// Upper bound of the delay before any retry.
    pub max_delay: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            burst: 10.0,
            base_delay: Duration::from_millis(20),
            max_delay: Duration::from_millis(500),
        }
    }
}

/// Budget of retries that may be made.
///
/// ```
/// use heatherhollow_limits::{RetryBudget, RetrySettings};
/// let mut budget = RetryBudget::new(RetrySettings { burst: 1.0, ..RetrySettings::default() });
/// assert!(budget.try_retry());
/// assert!(!budget.try_retry());
/// for _ in 0..11 {
///     budget.record_request();
/// }
/// assert!(budget.try_retry());
/// ```
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetrySettings,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> Self {
        Self {
            balance: settings.burst,
            settings,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry from the budget; returns `false` if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Returns the delay before retry number `attempt` (from 0), exponential with full jitter.
///
/// `random` is a uniform number from 0 to 1.
pub fn retry_delay(settings: &RetrySettings, attempt: u32, random: f64) -> Duration {
    let factor = 1_u32.checked_shl(attempt).unwrap_or(u32::MAX);
    let bound = settings
        .base_delay
        .saturating_mul(factor)
        .min(settings.max_delay);
    bound.mul_f64(random.clamp(0.0, 1.0))
}
