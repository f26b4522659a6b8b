//! Freshness of positions and lag of replicas, as observed by one instance.
//!
//! Bounds. A primary that reports position P in answer to a call started at time s has every write
//! that was committed before s, provided that it had not been replaced by then. If calls started at
//! time e show a majority of targets without a higher promise, the primary had not been replaced at
//! e. Every log that contains P therefore has all writes committed before min(s, e). Both times are
//! read from the observer's clock. Bounds grow when samples or checks stop, and removing a sample
//! or check only increases them.
//!
//! Terms. A log contains a position of its own term if it is at least as long, and a position of an
//! earlier term if the term history contains both. Samples that the newest history does not contain
//! are removed.
//!
//! Estimates. The lag of a replica is the time between the primary reaching a position and the
//! replica applying it. The time at which the primary reached a position is interpolated between
//! samples. Estimates are used only for routing, never for bounds.

use std::time::Duration;

use heatherhollow_session::PositionCheck;
use heatherhollow_session::ReadRequirement;
use heatherhollow_session::check_position;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::LogPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

use crate::samples::PositionSample;
use crate::samples::SampleList;

/// Maximum number of terms for which checks are retained; samples of lower terms are removed.
const MAX_CHECKED_TERMS: usize = 8;

/// Term that marks samples proved by the logs of a quorum. Terms of primaries start at 1.
const QUORUM_TERM: TermNumber = TermNumber(0);

/// Maximum age of a replica's last answer; beyond it the lag is unknown.
const MAX_LAG_AGE: Duration = Duration::from_secs(5);

/// Minimum expected wait for a replica whose last answer was behind a position that it was expected
/// to have.
const MIN_OVERDUE_WAIT: Duration = Duration::from_millis(1);

/// Estimate of the lag of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LagEstimate {
    /// Smoothed lag.
    pub mean: Duration,
    /// Smoothed absolute difference between measured values and the mean.
    pub deviation: Duration,
}

impl LagEstimate {
    /// Returns a lag that most records do not exceed.
    pub fn bound(&self) -> Duration {
        self.mean + self.deviation
    }

    fn first(lag: Duration) -> Self {
        Self {
            mean: lag,
            deviation: lag / 4,
        }
    }

    /// Moves the mean by 1/8 and the deviation by 1/4 of the difference, the gains of RFC 6298.
    fn update(&mut self, lag: Duration) {
        let distance = self.mean.abs_diff(lag);
        self.deviation = (self.deviation * 3 + distance) / 4;
        self.mean = (self.mean * 7 + lag) / 8;
    }
}

/// Lag of a replica as measured by one answer.
enum LagMeasurement {
    About(Duration),
    AtMost(Duration),
    AtLeast(Duration),
}

#[derive(Debug, Clone)]
struct ReplicaState {
    position: GroupPosition,
    answered_at: MonoTime,
    /// When an answer first had the position.
    reached_at: MonoTime,
    lag: Option<LagEstimate>,
}

#[derive(Debug, Clone, Copy)]
struct TermCheck {
    term: TermNumber,
    asked_at: MonoTime,
}

/// Tracks the freshness of positions and the lag of the replicas of one group.
///
/// ```
/// use std::time::Duration;
/// use heatherhollow_routing::FreshnessTracker;
/// use heatherhollow_types::{GroupPosition, MonoTime, TermNumber};
/// let mut tracker = FreshnessTracker::default();
/// tracker.observe_primary(MonoTime::from_millis(10), TermNumber(1), GroupPosition::new(1, 50));
/// let now = MonoTime::from_millis(30);
/// assert_eq!(tracker.age_bound(GroupPosition::new(1, 50), now), None);
/// tracker.observe_term_check(MonoTime::from_millis(12), TermNumber(1));
/// let age = tracker.age_bound(GroupPosition::new(1, 50), now);
/// assert_eq!(age, Some(Duration::from_millis(20)));
/// assert_eq!(tracker.age_bound(GroupPosition::new(1, 49), now), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct FreshnessTracker {
    samples: SampleList,
    term_checks: Vec<TermCheck>, // sorted by term
    history: TermHistory,
    replicas: Vec<Option<ReplicaState>>, // by target index
}

impl FreshnessTracker {
    /// Records the log end that the primary of `term` reported in answer to a call started at
    /// `asked_at`.
    pub fn observe_primary(
        &mut self,
        asked_at: MonoTime,
        term: TermNumber,
        position: GroupPosition,
    ) {
        if self.is_in_history(position) {
            self.samples.insert(PositionSample {
                asked_at,
                first_asked_at: asked_at,
                term,
                position,
            });
        }
    }

    /// Records that a majority of the group's targets, in answer to calls started at `asked_at` or
    /// later, had not promised a term above `term`.
    ///
    /// Positions have no age bound without such checks.
    pub fn observe_term_check(&mut self, asked_at: MonoTime, term: TermNumber) {
        match self
            .term_checks
            .binary_search_by_key(&term, |check| check.term)
        {
            Ok(i) => self.term_checks[i].asked_at = self.term_checks[i].asked_at.max(asked_at),
            Err(i) => self.term_checks.insert(i, TermCheck { term, asked_at }),
        }
        if self.term_checks.len() > MAX_CHECKED_TERMS {
            self.term_checks.remove(0);
            let lowest = self.term_checks[0].term;
            self.samples.retain(|sample| sample.term >= lowest);
        }
    }

    /// Records a position that, as proved by the logs of a quorum, no commit acknowledged before
    /// `asked_at` exceeds. Such a sample needs no term check.
    pub fn observe_quorum(&mut self, asked_at: MonoTime, position: GroupPosition) {
        self.observe_primary(asked_at, QUORUM_TERM, position);
        self.observe_term_check(asked_at, QUORUM_TERM);
    }

    /// Records the term history of a target; the history with the highest last term is retained.
    pub fn observe_history(&mut self, history: &TermHistory) {
        if history.last_term() <= self.history.last_term() {
            return;
        }
        self.history = history.clone();
        let mut samples = std::mem::take(&mut self.samples);
        samples.retain(|sample| self.is_in_history(sample.position));
        self.samples = samples;
    }

    /// Records the applied position that a replica reported in an answer received at `answered_at`.
    pub fn observe_replica(
        &mut self,
        target: TargetIndex,
        answered_at: MonoTime,
        position: GroupPosition,
    ) {
        let measure = self
            .is_in_history(position)
            .then(|| self.measure_lag(answered_at, position))
            .flatten();
        let i = target.as_usize();
        if self.replicas.len() <= i {
            self.replicas.resize(i + 1, None);
        }
        let state = self.replicas[i].get_or_insert(ReplicaState {
            position,
            answered_at,
            reached_at: answered_at,
            lag: None,
        });
        if answered_at < state.answered_at {
            return;
        }
        if state.position != position {
            state.reached_at = answered_at;
        }
        state.position = position;
        state.answered_at = answered_at;
        state.lag = match (state.lag, measure) {
            (Some(mut lag), Some(LagMeasurement::About(value))) => {
                lag.update(value);
                Some(lag)
            }
            (Some(mut lag), Some(LagMeasurement::AtMost(value))) if value < lag.mean => {
                lag.update(value);
                Some(lag)
            }
            (Some(mut lag), Some(LagMeasurement::AtLeast(value))) if value > lag.mean => {
                lag.update(value);
                Some(lag)
            }
            (None, Some(LagMeasurement::About(value))) => Some(LagEstimate::first(value)),
            (None, Some(LagMeasurement::AtMost(value))) => Some(LagEstimate::first(value / 2)),
            (lag, _) => lag,
        };
    }

    /// Removes the observations of a target that left the group.
    pub fn remove_replica(&mut self, target: TargetIndex) {
        if let Some(state) = self.replicas.get_mut(target.as_usize()) {
            *state = None;
        }
    }

    /// Returns an upper bound of the age of a state at this position, or `None` if it is unknown.
    ///
    /// The age of a state is the time since the commit of the first write that it lacks.
    pub fn age_bound(&self, position: GroupPosition, now: MonoTime) -> Option<Duration> {
        self.complete_until(position).map(|time| now - time)
    }

    /// Returns the latest time such that a log with this position is known to contain every write
    /// committed before it, or `None` if there is none.
    pub fn complete_until(&self, position: GroupPosition) -> Option<MonoTime> {
        if !self.is_in_history(position) {
            return None;
        }
        self.latest_complete_time(|sample| self.holds(position, sample.position))
    }

    /// Returns a position that is proved to include every write committed before `time`, or `None`
    /// if there is none.
    ///
    /// The oldest such position is returned, so that replicas that are behind can satisfy it.
    pub fn position_complete_until(&self, time: MonoTime) -> Option<GroupPosition> {
        self.sample_complete_until(time)
            .map(|sample| sample.position)
    }

    /// Describes what proves the position that [`Self::position_complete_until`] returns: the
    /// primary of a term or a quorum, and the age of the sample.
    pub fn describe_proof(&self, time: MonoTime, now: MonoTime) -> Option<String> {
        let sample = self.sample_complete_until(time)?;
        let source = match sample.term {
            QUORUM_TERM => "quorum".to_string(),
            term => format!("primary_of_{term}"),
        };
        let age = now.since(sample.asked_at).as_millis();
        Some(format!("source={source} asked_ms={age}"))
    }

    fn sample_complete_until(&self, time: MonoTime) -> Option<&PositionSample> {
        let samples = self.samples.as_slice();
        let first = samples.partition_point(|sample| sample.asked_at < time);
        samples[first..].iter().find(|sample| {
            self.last_term_check(sample.term)
                .is_some_and(|checked_at| checked_at >= time)
        })
    }

    /// Returns the latest time at which the primary of `term` is known not to have been replaced,
    /// or `None` without a check of this term.
    pub fn last_term_check(&self, term: TermNumber) -> Option<MonoTime> {
        let i = self
            .term_checks
            .binary_search_by_key(&term, |check| check.term);
        i.ok().map(|i| self.term_checks[i].asked_at)
    }

    /// Returns the expected time until the target has the position, or `None` if it is unknown.
    ///
    /// Zero means that the target has the position or is expected to have it.
    pub fn expected_wait(
        &self,
        target: TargetIndex,
        required: GroupPosition,
        now: MonoTime,
    ) -> Option<Duration> {
        let state = self.replica(target)?;
        if self.is_lost(required) || !self.is_in_history(state.position) {
            return None;
        }
        if self.holds(state.position, required) {
            return Some(Duration::ZERO);
        }
        let lag = self.recent_lag(state, now)?;
        let due = self.primary_reached_at(required).unwrap_or(now) + lag.bound();
        if state.answered_at < due {
            return Some(due - now);
        }
        // A record that is overdue by some time is expected to take about as long again.
        let overdue = state.answered_at - due;
        Some(overdue.max(lag.deviation).max(MIN_OVERDUE_WAIT))
    }

    /// Returns the expected age bound of an answer that the target would give now, or `None` if it
    /// is unknown.
    pub fn expected_age(&self, target: TargetIndex, now: MonoTime) -> Option<Duration> {
        let state = self.replica(target)?;
        if !self.is_in_history(state.position) {
            return None;
        }
        let known = self.age_bound(state.position, now);
        let estimated = self.recent_lag(state, now).and_then(|lag| {
            let time = self.latest_complete_time(|sample| sample.asked_at + lag.bound() <= now)?;
            Some(now - time)
        });
        match (known, estimated) {
            (Some(known), Some(estimated)) => Some(known.min(estimated)),
            (known, estimated) => known.or(estimated),
        }
    }

    /// Returns whether the target's last answer was received at most `age` ago and was behind the
    /// position.
    pub fn was_behind(
        &self,
        target: TargetIndex,
        required: GroupPosition,
        age: Duration,
        now: MonoTime,
    ) -> bool {
        self.replica(target).is_some_and(|state| {
            let is_recent = now.since(state.answered_at) <= age;
            is_recent && self.is_in_history(state.position) && !self.holds(state.position, required)
        })
    }

    /// Returns the lowest age bound of the last answers of all replicas, or `None` if no bound is
    /// known.
    pub fn lowest_age_bound(&self, now: MonoTime) -> Option<Duration> {
        self.replicas
            .iter()
            .flatten()
            .filter_map(|state| self.age_bound(state.position, now))
            .min()
    }

    /// Returns the applied position in a replica's last answer and when an answer first had it, or
    /// `None` if the replica has not answered.
    pub fn applied(&self, target: TargetIndex) -> Option<(GroupPosition, MonoTime)> {
        let state = self.replica(target)?;
        Some((state.position, state.reached_at))
    }

    /// Returns the estimated lag of a replica, or `None` if it is unknown.
    pub fn lag(&self, target: TargetIndex, now: MonoTime) -> Option<LagEstimate> {
        self.recent_lag(self.replica(target)?, now)
    }

    /// Returns whether the position was lost: the newest known history does not contain it, so no
    /// target will reach it.
    pub fn is_lost(&self, required: GroupPosition) -> bool {
        let requirement = ReadRequirement::AtLeast(required);
        check_position(&self.history, GroupPosition::default(), requirement) == PositionCheck::Lost
    }

    /// Returns whether a log that contains `position` is known to contain `wanted`.
    pub fn holds(&self, position: GroupPosition, wanted: GroupPosition) -> bool {
        if wanted.position == LogPosition(0) || position.term == wanted.term {
            return position.position >= wanted.position;
        }
        position.term > wanted.term
            && self.history.contains(position)
            && self.history.contains(wanted)
    }

    /// Returns whether the position can be part of the group's log according to the known history.
    pub(crate) fn is_in_history(&self, position: GroupPosition) -> bool {
        match self.history.last_term() {
            Some(last) if position.term <= last => self.history.contains(position),
            _ => true,
        }
    }

    fn replica(&self, target: TargetIndex) -> Option<&ReplicaState> {
        self.replicas.get(target.as_usize())?.as_ref()
    }

    fn recent_lag(&self, state: &ReplicaState, now: MonoTime) -> Option<LagEstimate> {
        state.lag.filter(|_| now - state.answered_at <= MAX_LAG_AGE)
    }

    /// Returns the latest time up to which the chosen samples prove completeness.
    fn latest_complete_time(
        &self,
        is_chosen: impl Fn(&PositionSample) -> bool,
    ) -> Option<MonoTime> {
        let mut best = None;
        for sample in self.samples.as_slice().iter().rev() {
            if best.is_some_and(|best| best >= sample.asked_at) {
                break;
            }
            if is_chosen(sample)
                && let Some(check) = self.last_term_check(sample.term)
            {
                best = best.max(Some(check.min(sample.asked_at)));
            }
        }
        best
    }

    /// Returns the estimated time at which the primary reached the position, or `None` if no sample
    /// has reached it yet.
    fn primary_reached_at(&self, position: GroupPosition) -> Option<MonoTime> {
        let samples = self.samples.as_slice();
        let i = samples
            .iter()
            .position(|sample| self.holds(sample.position, position))?;
        match i.checked_sub(1) {
            Some(before) => Some(interpolate(&samples[before], &samples[i], position)),
            None => Some(samples[i].first_asked_at),
        }
    }

    fn measure_lag(
        &self,
        answered_at: MonoTime,
        position: GroupPosition,
    ) -> Option<LagMeasurement> {
        let samples = self.samples.as_slice();
        let held = samples
            .iter()
            .rposition(|sample| self.holds(position, sample.position));
        match held {
            None => {
                let oldest = samples.first()?;
                Some(LagMeasurement::AtLeast(answered_at - oldest.asked_at))
            }
            Some(i) if i + 1 == samples.len() => {
                // Later samples of the same position only show that the group was idle, so the lag
                // is measured from the first one.
                Some(LagMeasurement::AtMost(
                    answered_at - samples[i].first_asked_at,
                ))
            }
            Some(i) => {
                let time = interpolate(&samples[i], &samples[i + 1], position);
                Some(LagMeasurement::About(answered_at - time))
            }
        }
    }
}

/// Returns the estimated time at which the primary passed a position between two samples, or the
/// time of the earlier sample if the terms differ.
fn interpolate(from: &PositionSample, to: &PositionSample, position: GroupPosition) -> MonoTime {
    let is_same_term = from.position.term == position.term && to.position.term == position.term;
    if !is_same_term {
        return from.asked_at;
    }
    let length = to
        .position
        .position
        .0
        .saturating_sub(from.position.position.0);
    let offset = position.position.0.saturating_sub(from.position.position.0);
    if length == 0 {
        return from.asked_at;
    }
    let fraction = (offset as f64 / length as f64).min(1.0);
    from.asked_at + (to.first_asked_at - from.asked_at).mul_f64(fraction)
}
