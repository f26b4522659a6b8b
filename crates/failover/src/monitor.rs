//! Suspicion of one primary by one observer.
//!
//! Silence starts with the first probe or call that is sent after the latest answer, not with that
//! answer: a primary that is asked nothing has nothing to answer, and with 2 probes a second a stall of
//! 500 ms would otherwise look like a silence of up to one second.
//!
//! Silence counts only while the observer runs. A gap between its own ticks may mean that the process
//! was paused and that answers wait unread in its sockets, so the count starts again after a gap, and
//! results of connection attempts that began before it are ignored.

use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Number of answer intervals that the adaptive threshold looks back on.
const INTERVAL_WINDOW: usize = 64;

/// How the threshold of silence is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ThresholdRule {
    /// Mean plus some deviations of the answer intervals, between two limits.
    Adaptive,
    /// Always the same.
    Fixed(Duration),
}

/// Settings of a [`PrimaryMonitor`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MonitorSettings {
    /// How the threshold is found.
    pub rule: ThresholdRule,
    /// Smallest adaptive threshold; above the 500 ms stall that must not cause a promotion.
    pub min_threshold: Duration,
    /// Largest adaptive threshold.
    pub max_threshold: Duration,
    /// Number of deviations above the mean.
    pub deviation_factor: u32,
    /// Threshold after a refused connection, which tells more than silence does.
    pub refused_threshold: Duration,
    /// Gap between ticks that restarts the count.
    ///
    /// A shorter gap can add its whole length to the observed silence, so it has to stay well below
    /// `min_threshold`.
    pub max_tick_gap: Duration,
    /// Whether a new connection must have failed before suspicion.
    pub requires_fresh_connection_failure: bool,
    /// How long before the threshold the new connection is asked for. The default leaves room for its
    /// timeout of 250 ms, so that the check does not delay suspicion.
    pub fresh_connection_lead: Duration,
    /// Time after which another new connection is asked for if the first had no result.
    pub fresh_connection_retry: Duration,
}

impl Default for MonitorSettings {
    fn default() -> Self {
        Self {
            rule: ThresholdRule::Adaptive,
            min_threshold: Duration::from_millis(650),
            max_threshold: Duration::from_millis(1_200),
            deviation_factor: 4,
            refused_threshold: Duration::from_millis(250),
            max_tick_gap: Duration::from_millis(250),
            requires_fresh_connection_failure: true,
            fresh_connection_lead: Duration::from_millis(350),
            fresh_connection_retry: Duration::from_millis(500),
        }
    }
}

impl MonitorSettings {
    /// The baseline: a plain timeout that looks at neither new connections, refusals nor the
    /// observer's own gaps.
    pub fn fixed_timeout(timeout: Duration) -> Self {
        Self {
            rule: ThresholdRule::Fixed(timeout),
            refused_threshold: timeout,
            max_tick_gap: Duration::MAX,
            requires_fresh_connection_failure: false,
            ..Self::default()
        }
    }
}

/// How a probe, call or connection attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailureKind {
    /// The connection was refused: nothing listens at the address. A refused permit is not a failure
    /// of this kind; it is an answer.
    Refused,
    /// Nothing came back in time.
    TimedOut,
    /// An open connection broke.
    ConnectionLost,
}

/// What an observer thinks of a primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// It answers.
    Healthy,
    /// It has been silent for a while.
    Doubtful {
        /// Whether a new connection should be tried now, together with a status call over it.
        want_fresh_connection: bool,
    },
    /// It is taken for dead.
    Suspected {
        /// Time of the tick that first said so.
        since: MonoTime,
    },
}

impl Suspicion {
    /// Since when the primary has been suspected, if it is.
    pub fn suspected_since(self) -> Option<MonoTime> {
        match self {
            Self::Suspected { since } => Some(since),
            Self::Healthy | Self::Doubtful { .. } => None,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FreshConnection {
    Untried,
    Started(MonoTime),
    Failed,
}

/// Watches one primary for one observer.
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_failover::{FailureKind, MonitorSettings, PrimaryMonitor, Suspicion};
/// use heatherhollow_types::MonoTime;
/// let mut monitor = PrimaryMonitor::new(MonitorSettings::default());
/// monitor.probe_sent(MonoTime::ZERO);
/// for millis in (0..650).step_by(50) {
///     let now = MonoTime::from_millis(millis);
///     if let Suspicion::Doubtful { want_fresh_connection: true } = monitor.tick(now) {
///         monitor.fresh_started(now);
///         monitor.fresh_failed(now, FailureKind::TimedOut);
///     }
/// }
/// let now = MonoTime::from_millis(650);
/// assert_eq!(monitor.tick(now), Suspicion::Suspected { since: now });
/// monitor.probe_answered(now);
/// assert_eq!(monitor.tick(now), Suspicion::Healthy);
/// ```
#[derive(Debug, Clone)]
pub struct PrimaryMonitor {
    settings: MonitorSettings,
    answer_intervals: VecDeque<Duration>,
    last_answer_at: Option<MonoTime>,
    last_tick_at: Option<MonoTime>,
    unanswered_since: Option<MonoTime>,
    is_connection_refused: bool,
    fresh_connection: FreshConnection,
    suspected_since: Option<MonoTime>,
}

impl PrimaryMonitor {
    /// A monitor that has seen nothing yet.
    pub fn new(settings: MonitorSettings) -> Self {
        Self {
            settings,
            answer_intervals: VecDeque::with_capacity(INTERVAL_WINDOW),
            last_answer_at: None,
            last_tick_at: None,
            unanswered_since: None,
            is_connection_refused: false,
            fresh_connection: FreshConnection::Untried,
            suspected_since: None,
        }
    }

    /// A probe or call was sent, or a connection attempt for one was started.
    ///
    /// Probes have to go on while calls are unanswered: a slow statement is not told from a silent
    /// primary in any other way.
    pub fn probe_sent(&mut self, now: MonoTime) {
        self.unanswered_since.get_or_insert(now);
    }

    /// The primary answered a probe or call, whatever the answer says.
    pub fn probe_answered(&mut self, now: MonoTime) {
        if let Some(last) = self.last_answer_at
            && self.suspected_since.is_none()
        {
            if self.answer_intervals.len() == INTERVAL_WINDOW {
                self.answer_intervals.pop_front();
            }
            self.answer_intervals.push_back(now - last);
        }
        self.last_answer_at = Some(now);
        self.clear_silence();
    }

    /// A probe or call failed.
    pub fn probe_failed(&mut self, now: MonoTime, kind: FailureKind) {
        self.unanswered_since.get_or_insert(now);
        self.is_connection_refused |= kind == FailureKind::Refused;
    }

    /// An attempt with a new connection was started, as [`Suspicion::Doubtful`] asked for.
    pub fn fresh_connection_started(&mut self, now: MonoTime) {
        if self.fresh_connection != FreshConnection::Failed {
            self.fresh_connection = FreshConnection::Started(now);
        }
    }

    /// A status call over a new connection was answered. An open connection alone does not count: the
    /// platform accepts connections for a process that stands still.
    pub fn fresh_connection_answered(&mut self, now: MonoTime) {
        self.probe_answered(now);
    }

    /// The attempt with a new connection that began at `started_at` failed.
    pub fn fresh_connection_failed(&mut self, started_at: MonoTime, kind: FailureKind) {
        // An attempt from before the present silence says nothing about it; in particular its timeout
        // may have run out while the observer was paused.
        if self
            .unanswered_since
            .is_some_and(|unanswered_since| started_at >= unanswered_since)
        {
            self.fresh_connection = FreshConnection::Failed;
            self.is_connection_refused |= kind == FailureKind::Refused;
        }
    }

    /// Notes that the observer runs, and returns what it thinks now. Call it at a steady interval well
    /// below `max_tick_gap`, before handling answers that may have waited.
    pub fn tick(&mut self, now: MonoTime) -> Suspicion {
        if let Some(last) = self.last_tick_at
            && now - last > self.settings.max_tick_gap
        {
            self.last_answer_at = None;
            self.clear_silence();
        }
        self.last_tick_at = Some(now);
        self.suspicion_at(now)
    }

    /// Silence at which the primary is suspected, as of now.
    pub fn threshold(&self) -> Duration {
        let threshold = match self.settings.rule {
            ThresholdRule::Fixed(timeout) => timeout,
            ThresholdRule::Adaptive => self.adaptive_threshold(),
        };
        if self.is_connection_refused {
            threshold.min(self.settings.refused_threshold)
        } else {
            threshold
        }
    }

    /// How long the primary has owed an answer.
    pub fn silence(&self, now: MonoTime) -> Duration {
        self.unanswered_since
            .map_or(Duration::ZERO, |unanswered_since| now - unanswered_since)
    }

    fn clear_silence(&mut self) {
        self.unanswered_since = None;
        self.is_connection_refused = false;
        self.fresh_connection = FreshConnection::Untried;
        self.suspected_since = None;
    }

    fn adaptive_threshold(&self) -> Duration {
        let (min, max) = (self.settings.min_threshold, self.settings.max_threshold);
        if self.answer_intervals.is_empty() {
            return min;
        }
        let count = self.answer_intervals.len() as f64;
        // An interval above the largest threshold, such as one that spans a long failure, would keep
        // the threshold high for the whole window.
        let capped = || {
            self.answer_intervals
                .iter()
                .map(|&i| i.min(max).as_secs_f64())
        };
        let mean = capped().sum::<f64>() / count;
        let variance = capped().map(|i| (i - mean).powi(2)).sum::<f64>() / count;
        let seconds = mean + f64::from(self.settings.deviation_factor) * variance.sqrt();
        Duration::from_secs_f64(seconds).max(min).min(max)
    }

    fn suspicion_at(&mut self, now: MonoTime) -> Suspicion {
        if let Some(since) = self.suspected_since {
            return Suspicion::Suspected { since };
        }
        if self.unanswered_since.is_none() {
            return Suspicion::Healthy;
        }
        let silence = self.silence(now);
        let threshold = self.threshold();
        let is_failure_verified = !self.settings.requires_fresh_connection_failure
            || self.fresh_connection == FreshConnection::Failed;
        if silence >= threshold && is_failure_verified {
            self.suspected_since = Some(now);
            return Suspicion::Suspected { since: now };
        }
        if silence < threshold.saturating_sub(self.settings.fresh_connection_lead) {
            return Suspicion::Healthy;
        }
        let want_fresh_connection = match self.fresh_connection {
            FreshConnection::Failed => false,
            FreshConnection::Untried => self.settings.requires_fresh_connection_failure,
            FreshConnection::Started(at) => now - at >= self.settings.fresh_connection_retry,
        };
        Suspicion::Doubtful {
            want_fresh_connection,
        }
    }
}
