//! Limit of calls in progress that follows what the other side takes.

use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Settings of an [`AdaptiveLimit`].
#[derive(Debug, Clone, PartialEq)]
pub struct AdaptiveSettings {
    /// Limit before anything is known, in calls.
    pub initial: f64,
    /// Least limit, in calls; one keeps learning whether the other side takes more.
    pub floor: f64,
    /// Greatest limit, in calls.
    pub ceiling: f64,
    /// Part of the limit that is left after a refusal.
    pub decrease: f64,
    /// Time after a decrease in which further refusals count as answers to calls made before it.
    pub decrease_interval: Duration,
    /// Calls that are taken before a limit that was refused is tried again. Refusals stay near one in
    /// so many, and the limit of a target that has room again rises after so many.
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

/// Limit of calls in progress: it rises by one for each round of calls that are taken while it is used
/// up, and falls by a part when one is refused for lack of room (additive increase, multiplicative
/// decrease). Callers that share a target so come to equal shares without talking to each other.
///
/// Where there is room for a few calls only, a rise in each round would be refused in each second one.
/// So the limit stops below the one that was refused last, and tries that again only now and then.
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
    /// Calls in progress that were last refused, until as many are taken.
    refused_level: Option<usize>,
    /// Calls taken since then.
    accepted_since_refusal: u32,
}

impl AdaptiveLimit {
    /// A limit that knows nothing yet.
    pub fn new(settings: AdaptiveSettings) -> Self {
        Self {
            limit: settings.initial.clamp(settings.floor, settings.ceiling),
            settings,
            decreased_at: None,
            refused_level: None,
            accepted_since_refusal: 0,
        }
    }

    /// Whether one more call may be made beside those in progress.
    pub fn allows(&self, in_progress: usize) -> bool {
        (in_progress as f64) + 1.0 <= self.limit
    }

    /// The limit, in calls.
    pub fn value(&self) -> usize {
        self.limit as usize
    }

    /// A call was taken, with so many in progress, itself included.
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

    /// A call was refused for lack of room.
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
