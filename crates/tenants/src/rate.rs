//! Limits of the operations of a tenant.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;

/// Rate in operations a second; finite and above 0.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct OperationRate(f64);

/// Reasons why a rate or a burst cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RateError {
    /// the rate is not a number above 0
    BadRate,
    /// the burst is not a number of at least 1
    BadBurst,
    /// the text {0:?} is not a number
    NotANumber(String),
}

impl std::error::Error for RateError {}

impl OperationRate {
    /// Creates a rate from operations a second.
    pub fn new(per_second: f64) -> Result<Self, RateError> {
        match per_second.is_finite() && per_second > 0.0 {
            true => Ok(Self(per_second)),
            false => Err(RateError::BadRate),
        }
    }

    /// Returns the rate in operations a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl fmt::Display for OperationRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for OperationRate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let rate = text.parse::<f64>();
        Self::new(rate.map_err(|_| RateError::NotANumber(text.to_string()))?)
    }
}

/// Quota of a tenant over all instances together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct TenantQuota {
    /// Sustained rate.
    pub rate: OperationRate,
    burst: f64,
}

impl TenantQuota {
    /// Creates a quota; `burst` is the number of operations that may run at once and has to be at
    /// least 1.
    pub fn new(rate: OperationRate, burst: f64) -> Result<Self, RateError> {
        match burst.is_finite() && burst >= 1.0 {
            true => Ok(Self { rate, burst }),
            false => Err(RateError::BadBurst),
        }
    }

    /// Returns the quota that a holder grants with a share of the rate, above 0 and at most 1.
    /// The burst is at least one operation, as nothing could be granted otherwise.
    pub fn scaled(self, share: f64) -> Self {
        let rate = OperationRate(self.rate.0 * share.clamp(f64::MIN_POSITIVE, 1.0));
        let burst = (self.burst * share.min(1.0)).max(1.0);
        Self { rate, burst }
    }

    /// Returns the number of operations that may run at once.
    pub fn burst(self) -> f64 {
        self.burst
    }
}
