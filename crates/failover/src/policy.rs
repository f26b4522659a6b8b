//! Decides whether an observer may start a promotion run now.
//!
//! An observer needs its own suspicion and a second source: a replica that has not heard from the
//! primary for at least the same threshold, or an observer in another data centre. Observers start
//! in rank order, and retry after a failed run with exponential, jittered delays, so that few runs
//! compete. These rules only bound the number of runs; safety comes from the terms alone.
//!
//! A run that ends after targets promised its term but before the promotion leaves targets that
//! refuse the records of a healthy primary. The primary still answers, so silence does not reveal
//! this state. A promised term that stays without a primary therefore also starts a run.

use std::time::Duration;

use displaydoc::Display;

use heatherhollow_types::DataCentre;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use crate::monitor::Suspicion;

/// Settings of a [`PromotionPolicy`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicySettings {
    /// Delay between the starts of observers of successive ranks.
    pub rank_delay: Duration,
    /// Delay after the first failed run; it doubles with each further consecutive failure.
    pub retry_delay: Duration,
    /// Upper limit of the delay after a failed run, before jitter. It bounds how long a group stays
    /// without a primary after a majority of its targets is reachable again.
    pub max_retry_delay: Duration,
    /// Delay after another candidate's run was seen, so that it can finish. A run takes two round
    /// trips and the grace period, which is below 100 ms even between regions.
    pub competing_run_delay: Duration,
    /// Maximum number of concurrent runs of an instance over all groups. A rack failure can affect
    /// many groups at once.
    pub max_runs: usize,
    /// How long a promised term may stay without a primary before another run is started to
    /// complete the promotion. It exceeds the duration of a run that loses a call in each phase.
    pub unfinished_run_timeout: Duration,
    /// Maximum age of a replica's report that is used.
    pub max_report_age: Duration,
    /// Maximum age of another observer's suspicion that is used.
    pub max_peer_suspicion_age: Duration,
}

impl Default for PolicySettings {
    fn default() -> Self {
        Self {
            rank_delay: Duration::from_millis(150),
            retry_delay: Duration::from_millis(200),
            max_retry_delay: Duration::from_millis(1_600),
            competing_run_delay: Duration::from_millis(400),
            max_runs: 8,
            unfinished_run_timeout: Duration::from_millis(1_500),
            max_report_age: Duration::from_millis(500),
            max_peer_suspicion_age: Duration::from_millis(1_000),
        }
    }
}

/// Time for which a replica has received nothing from its primary, as the replica reported it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceReport {
    /// When the status call was started.
    pub asked_at: MonoTime,
    /// `primary_silent_for` of the answer; `None` if the replica did not report it.
    pub silent_for: Option<Duration>,
}

/// Another observer's suspicion of the same primary in the same term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSuspicion {
    /// Data centre of the observer.
    pub data_centre: DataCentre,
    /// Time since the observer last reported that it suspects the primary.
    pub age: Duration,
}

/// Reason for which a promotion is considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionTrigger {
    /// The primary may have failed.
    Suspicion(Suspicion),
    /// An operator requested another primary, or the primary is leaving. No suspicion is needed.
    Planned {
        /// When this instance received the request.
        since: MonoTime,
    },
    /// A run ended after targets promised its term but before a promotion. These targets accept no
    /// records from the old primary and confirm none of its writes, although the old primary
    /// answers.
    Unfinished {
        /// Result of [`PromotionPolicy::unfinished_since`].
        since: MonoTime,
    },
}

/// Inputs of [`PromotionPolicy::decide`].
#[derive(Debug, Clone)]
pub struct PolicyInput<'a> {
    /// Reason for which a promotion is considered.
    pub trigger: PromotionTrigger,
    /// Silence at which this observer's own monitor suspects the primary.
    pub threshold: Duration,
    /// Latest report of each replica.
    pub replicas: &'a [SilenceReport],
    /// Suspicions of other observers.
    pub peers: &'a [PeerSuspicion],
    /// Data centre of this instance.
    pub data_centre: &'a DataCentre,
    /// Rank among the group's observers, from [`rank_of`](crate::rank_of); `None` if this instance
    /// is not an observer of the group.
    pub rank: Option<usize>,
    /// Number of active runs of this instance over all groups.
    pub active_runs: usize,
}

/// Result of [`PromotionPolicy::decide`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyDecision {
    /// The run may start now.
    Start,
    /// The run may not start before this time; call [`PromotionPolicy::decide`] again then.
    WaitUntil(MonoTime),
    /// The run may not start in the current state.
    Hold(HoldReason),
}

/// Reason for which no run may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum HoldReason {
    /// the primary is not suspected
    NotSuspected,
    /// no replica and no observer in another data centre confirms the suspicion
    Unconfirmed,
    /// this instance does not observe the group
    NotObserver,
    /// this instance already has a run for the group
    RunActive,
    /// this instance has as many runs as it may have
    TooManyRuns,
}

/// Decides when this instance may start a promotion run for one group.
#[derive(Debug, Clone)]
pub struct PromotionPolicy {
    settings: PolicySettings,
    consecutive_failures: u32,
    earliest_start: MonoTime,
    is_running: bool,
    /// Promised term without a primary, and when it was first seen.
    unfinished_term: Option<(TermNumber, MonoTime)>,
}

impl PromotionPolicy {
    /// Creates a policy that has recorded no runs.
    pub fn new(settings: PolicySettings) -> Self {
        Self {
            settings,
            consecutive_failures: 0,
            earliest_start: MonoTime::ZERO,
            is_running: false,
            unfinished_term: None,
        }
    }

    /// Returns whether a run may start at `now`.
    pub fn decide(&self, input: &PolicyInput<'_>, now: MonoTime) -> PolicyDecision {
        let since = match input.trigger {
            PromotionTrigger::Planned { since } | PromotionTrigger::Unfinished { since } => since,
            PromotionTrigger::Suspicion(suspicion) => match suspicion.suspected_since() {
                None => return PolicyDecision::Hold(HoldReason::NotSuspected),
                Some(_) if !self.is_confirmed(input, now) => {
                    return PolicyDecision::Hold(HoldReason::Unconfirmed);
                }
                Some(since) => since,
            },
        };
        let Some(rank) = input.rank else {
            return PolicyDecision::Hold(HoldReason::NotObserver);
        };
        if self.is_running {
            return PolicyDecision::Hold(HoldReason::RunActive);
        }
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let earliest_start_for_rank =
            since.max(self.earliest_start) + self.settings.rank_delay.saturating_mul(rank);
        if now < earliest_start_for_rank {
            return PolicyDecision::WaitUntil(earliest_start_for_rank);
        }
        if input.active_runs >= self.settings.max_runs {
            return PolicyDecision::Hold(HoldReason::TooManyRuns);
        }
        PolicyDecision::Start
    }

    /// Returns the time from which a promotion counts as unfinished, or `None` if none does.
    ///
    /// `promised` is the highest promised term in the latest reports of the reachable targets,
    /// `established` the highest term that has had a primary. Must be called at every tick.
    pub fn unfinished_since(
        &mut self,
        established: TermNumber,
        promised: TermNumber,
        now: MonoTime,
    ) -> Option<MonoTime> {
        if promised <= established {
            self.unfinished_term = None;
        } else if self
            .unfinished_term
            .is_none_or(|(term, _)| term != promised)
        {
            // A new term shows that a candidate is running, so the timeout starts again.
            self.unfinished_term = Some((promised, now));
        }
        let (_, first_seen_at) = self.unfinished_term?;
        let since = first_seen_at + self.settings.unfinished_run_timeout;
        (now >= since).then_some(since)
    }

    /// Records that a run was started.
    pub fn run_started(&mut self) {
        self.is_running = true;
    }

    /// Records that the run ended without a primary and computes the delay before the next one.
    ///
    /// `random` must be uniform over all values of `u64`; it is the source of the jitter that
    /// separates the next runs of instances that failed together.
    pub fn run_failed(&mut self, now: MonoTime, random: u64) {
        self.is_running = false;
        let factor = 2_u32.saturating_pow(self.consecutive_failures);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let delay = self.settings.retry_delay.saturating_mul(factor);
        let delay = delay.min(self.settings.max_retry_delay);
        let jitter = delay.mul_f64(random as f64 / u64::MAX as f64);
        self.earliest_start = self.earliest_start.max(now + delay + jitter);
    }

    /// Records that the run ended with a primary.
    pub fn run_finished(&mut self) {
        self.is_running = false;
        self.consecutive_failures = 0;
    }

    /// Records that another candidate is running, and delays the next run of this instance.
    ///
    /// Must be called once for each term above the established one that this instance did not
    /// allocate.
    pub fn competing_run_seen(&mut self, now: MonoTime) {
        self.earliest_start = self
            .earliest_start
            .max(now + self.settings.competing_run_delay);
    }

    fn is_confirmed(&self, input: &PolicyInput<'_>, now: MonoTime) -> bool {
        // The age of a report is not added to the reported silence, because the replica may have
        // heard from its primary since.
        let by_replica = input.replicas.iter().any(|report| {
            now - report.asked_at <= self.settings.max_report_age
                && report
                    .silent_for
                    .is_some_and(|span| span >= input.threshold)
        });
        let by_peer = input.peers.iter().any(|peer| {
            peer.age <= self.settings.max_peer_suspicion_age
                && peer.data_centre != *input.data_centre
        });
        by_replica || by_peer
    }
}
