//! Concurrency limit that adapts to the number of calls that a target accepts.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Settings of an [`AdaptiveLimit`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdaptiveSettings {
    /// Limit at the start, in calls.
    pub initial: f64,
    /// Lower bound of the limit, in calls; at least one call is needed to detect that capacity
    /// grew.
    pub floor: f64,
    /// Upper bound of the limit, in calls.
    pub ceiling: f64,
    /// Factor that a refusal multiplies the limit by, below 1.
    pub decrease: f64,
    /// Time after a decrease during which refusals are ignored, since they answer calls that were
    /// made before the decrease.
    pub decrease_interval: Duration,
    /// Accepted calls before a level that was refused is probed again. About one call in this many
    /// is refused, and the limit rises again after this many once the target has more capacity.
    pub calls_per_probe: u32,
}

impl Default for AdaptiveSettings {
    fn default() -> Self {
        Self {
            initial: 4.0,
            floor: 1.0,
            ceiling: 64.0,
            decrease: 0.7,
            decrease_interval: Duration::from_millis(50),
            calls_per_probe: 30,
        }
    }
}

/// Limit of concurrent calls with additive increase and multiplicative decrease.
///
/// The limit rises by one for each round of accepted calls that uses it up, and falls by a factor
/// when a call is refused for lack of capacity. Callers that share a target therefore converge to
/// equal shares without coordination.
///
/// At a capacity of a few calls, an increase in every round would be refused in every second round.
/// The limit therefore stops below the level that was refused last and probes that level only once
/// in [`AdaptiveSettings::calls_per_probe`] accepted calls.
///
/// ```
/// use heatherhollow_limits::AdaptiveLimit;
/// use heatherhollow_limits::AdaptiveSettings;
/// use heatherhollow_types::MonoTime;
/// let mut limit = AdaptiveLimit::new(AdaptiveSettings::default());
/// assert!(limit.allows(3) && !limit.allows(4));
/// limit.record_refused(MonoTime::from_millis(100));
/// assert!(limit.allows(1) && !limit.allows(2));
/// for _ in 0..6 {
///     limit.record_accepted(3);
/// }
/// assert!(limit.allows(2) && !limit.allows(3));
/// for _ in 0..30 {
///     limit.record_accepted(3);
/// }
/// assert!(limit.allows(3));
/// ```
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    settings: AdaptiveSettings,
    limit: f64,
    decreased_at: Option<MonoTime>,
    /// Limit at the latest refusal; cleared when as many concurrent calls are accepted.
    refused_level: Option<usize>,
    /// Calls accepted since that refusal.
    accepted_since_refusal: u32,
}

impl AdaptiveLimit {
    /// Creates a limit with the initial value.
    pub fn new(settings: AdaptiveSettings) -> Self {
        Self {
            limit: settings.initial.clamp(settings.floor, settings.ceiling),
            settings,
            decreased_at: None,
            refused_level: None,
            accepted_since_refusal: 0,
        }
    }

    /// Returns whether one more call may start while `in_progress` calls run.
    pub fn allows(&self, in_progress: usize) -> bool {
        (in_progress as f64) + 1.0 <= self.limit
    }

    /// Returns the limit, in calls.
    pub fn value(&self) -> usize {
        self.limit as usize
    }

    /// Returns whether a call was refused for lack of capacity within the last `span`.
    pub fn has_refused(&self, span: Duration, now: MonoTime) -> bool {
        self.decreased_at.is_some_and(|at| now.since(at) < span)
    }

    /// Records that a call was accepted while `in_progress` calls ran, including this one.
    pub fn record_accepted(&mut self, in_progress: usize) {
        self.accepted_since_refusal = self.accepted_since_refusal.saturating_add(1);
        if self.refused_level.is_some_and(|level| in_progress >= level) {
            self.refused_level = None;
        }
        if (in_progress as f64) + 1.0 <= self.limit {
            return;
        }
        let raised = (self.limit + 1.0 / self.limit).min(self.settings.ceiling);
        let would_be_refused = self
            .refused_level
            .is_some_and(|level| raised as usize >= level);
        if !would_be_refused || self.accepted_since_refusal >= self.settings.calls_per_probe {
            self.limit = raised;
        }
    }

    /// Records that a call was refused for lack of capacity.
    pub fn record_refused(&mut self, now: MonoTime) {
        let may_decrease = self
            .decreased_at
            .is_none_or(|at| now.since(at) >= self.settings.decrease_interval);
        if may_decrease {
            self.refused_level = Some(self.value());
            self.accepted_since_refusal = 0;
            self.limit = (self.limit * self.settings.decrease).max(self.settings.floor);
            self.decreased_at = Some(now);
        }
    }
}
