//! Failure detector for one primary, run by one observer.
//!
//! Silence is measured from the first probe or call that is sent after the latest answer, not from
//! that answer. A primary that receives no calls has nothing to answer, and at 2 probes per second
//! a stall of 500 ms would otherwise be measured as a silence of up to one second.
//!
//! Silence is measured only while the observer runs. A gap between its own ticks may mean that the
//! process was paused and that answers are unread in its sockets. The measurement therefore
//! restarts after a gap, and results of connection attempts that began before the gap are ignored.

use std::collections::VecDeque;
use std::time::Duration;

use heatherhollow_types::MonoTime;

/// Number of most recent answer intervals from which the adaptive threshold is computed.
const INTERVAL_WINDOW: usize = 64;

/// Rule for the silence at which the primary is suspected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ThresholdRule {
    /// Mean of the answer intervals plus a multiple of their standard deviation, between two
    /// limits.
    Adaptive,
    /// A constant silence.
    Fixed(Duration),
}

/// Settings of a [`PrimaryMonitor`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MonitorSettings {
    /// Rule for the threshold.
    pub rule: ThresholdRule,
    /// Lower limit of the adaptive threshold. It is above 500 ms, because a stall of that length
    /// must not cause a promotion.
    pub min_threshold: Duration,
    /// Upper limit of the adaptive threshold.
    pub max_threshold: Duration,
    /// Number of standard deviations that are added to the mean.
    pub deviation_factor: u32,
    /// Threshold after a refused connection, which is stronger evidence of a failure than silence.
    pub refused_threshold: Duration,
    /// Gap between ticks above which the measurement of silence restarts.
    ///
    /// A shorter gap can add its whole length to the measured silence, so this limit must be well
    /// below `min_threshold`.
    pub max_tick_gap: Duration,
    /// Whether the primary is suspected only after an attempt over a new connection has failed.
    pub requires_fresh_connection_failure: bool,
    /// How long before the threshold a new connection is requested. The default covers the timeout
    /// of the attempt, 250 ms, so that the attempt does not delay suspicion.
    pub fresh_connection_lead: Duration,
    /// Time after which another new connection is requested if the first attempt has no result.
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
    /// Returns the settings of a baseline for comparisons: a fixed timeout that ignores new
    /// connections, refused connections and gaps between the observer's ticks.
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
    /// The connection was refused because nothing listens at the address. A refused permit is an
    /// answer of the primary and not this failure.
    Refused,
    /// No answer arrived within the timeout.
    TimedOut,
    /// An open connection was closed or reset.
    ConnectionLost,
}

/// State of a primary as its observer sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// The primary answers, or its silence is short.
    Healthy,
    /// The silence is close to the threshold or above it.
    Doubtful {
        /// Whether the caller should now open a new connection and make a status call over it.
        want_fresh_connection: bool,
    },
    /// The primary is presumed to have failed.
    Suspected {
        /// Time of the first tick that returned this state.
        since: MonoTime,
    },
}

impl Suspicion {
    /// Returns the time since which the primary is suspected, or `None` if it is not.
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

/// Failure detector of one observer for one primary.
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
///         monitor.fresh_connection_started(now);
///         monitor.fresh_connection_failed(now, FailureKind::TimedOut);
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
    intervals: VecDeque<Duration>,
    last_answer_at: Option<MonoTime>,
    last_tick_at: Option<MonoTime>,
    unanswered_since: Option<MonoTime>,
    is_connection_refused: bool,
    fresh_connection: FreshConnection,
    suspected_since: Option<MonoTime>,
}

impl PrimaryMonitor {
    /// Creates a monitor without any recorded event.
    pub fn new(settings: MonitorSettings) -> Self {
        Self {
            settings,
            intervals: VecDeque::with_capacity(INTERVAL_WINDOW),
            last_answer_at: None,
            last_tick_at: None,
            unanswered_since: None,
            is_connection_refused: false,
            fresh_connection: FreshConnection::Untried,
            suspected_since: None,
        }
    }

    /// Records that a probe or call was sent, or that a connection attempt for one was started.
    ///
    /// The caller must keep sending probes while calls are unanswered; only their answers
    /// distinguish a slow statement from a silent primary.
    pub fn probe_sent(&mut self, now: MonoTime) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that the primary answered a probe or call, whatever the content of the answer.
    pub fn probe_answered(&mut self, now: MonoTime) {
        if let Some(last) = self.last_answer_at
            && self.suspected_since.is_none()
        {
            if self.intervals.len() == INTERVAL_WINDOW {
                self.intervals.pop_front();
            }
            self.intervals.push_back(now - last);
        }
        self.last_answer_at = Some(now);
        self.clear_silence();
    }

    /// Records that a probe or call failed.
    pub fn probe_failed(&mut self, now: MonoTime, kind: FailureKind) {
        self.unanswered_since.get_or_insert(now);
        self.is_connection_refused |= kind == FailureKind::Refused;
    }

    /// Records that the new connection requested by [`Suspicion::Doubtful`] is being opened.
    pub fn fresh_connection_started(&mut self, now: MonoTime) {
        if self.fresh_connection != FreshConnection::Failed {
            self.fresh_connection = FreshConnection::Started(now);
        }
    }

    /// Records the answer to a status call over a new connection. An accepted connection alone is
    /// not an answer, because the platform also accepts connections for a process that is stopped.
    pub fn fresh_connection_answered(&mut self, now: MonoTime) {
        self.probe_answered(now);
    }

    /// Records that the attempt over a new connection that began at `started_at` failed.
    pub fn fresh_connection_failed(&mut self, started_at: MonoTime, kind: FailureKind) {
        // An attempt that began before the current silence is no evidence for it; in particular,
        // its timeout may have expired while the observer was paused.
        if self
            .unanswered_since
            .is_some_and(|unanswered_since| started_at >= unanswered_since)
        {
            self.fresh_connection = FreshConnection::Failed;
            self.is_connection_refused |= kind == FailureKind::Refused;
        }
    }

    /// Records that the observer runs and returns the state of the primary. Must be called at a
    /// steady interval well below `max_tick_gap`, and before buffered answers are handled.
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

    /// Returns the silence at which the primary is currently suspected.
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

    /// Returns the time since the oldest unanswered call, or zero if no call is unanswered.
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
        if self.intervals.is_empty() {
            return min;
        }
        let count = self.intervals.len() as f64;
        // An uncapped interval, such as one that spans a long failure, would keep the threshold
        // high until it leaves the window.
        let capped = || self.intervals.iter().map(|&i| i.min(max).as_secs_f64());
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
