//! Whether an observer may start a promotion now.
//!
//! An observer needs its own suspicion and a second source: a replica that has not heard from the
//! primary for as long, or an observer in another data centre. Observers act in rank order, and after a
//! failed run with growing, jittered delays, so that few of them run at the same time. None of this is
//! needed for safety, which the terms provide; it bounds the number of runs.
//!
//! A run that ends between its promises and its promotion leaves targets that refuse the records of a
//! healthy primary. No silence shows that, so promised terms without a primary start a run as well.

use std::time::Duration;

use displaydoc::Display;

use heatherhollow_types::DataCentre;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TermNumber;

use crate::monitor::Suspicion;

/// Settings of a [`PromotionPolicy`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolicySettings {
    /// Time between the starts of two successive ranks.
    pub rank_delay: Duration,
    /// Delay after the first failed run; it doubles with every further one.
    pub retry_delay: Duration,
    /// Largest delay after a failed run, before jitter. It bounds the time that a group stays without a
    /// primary after a majority of its targets has come back.
    pub max_retry_delay: Duration,
    /// How long a run of another candidate is given to finish. A run takes two round trips and the
    /// grace time, which is below 100 ms even between regions.
    pub competing_run_delay: Duration,
    /// Number of runs that an instance has at the same time, over all groups. A rack failure hits many
    /// groups at once.
    pub max_runs: usize,
    /// How long targets may have promised a term that has no primary before another run is started to
    /// finish the promotion; longer than a run takes with a lost call in each phase.
    pub unfinished_run_timeout: Duration,
    /// Age from which a replica's report is not used any more.
    pub max_report_age: Duration,
    /// Age from which another observer's suspicion is not used any more.
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

/// What a replica says about the silence of its primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilenceReport {
    /// Start of the status call.
    pub asked_at: MonoTime,
    /// `primary_silent_for` of the answer.
    pub silent_for: Option<Duration>,
}

/// Another observer's suspicion of the same primary in the same term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSuspicion {
    /// Data centre of the observer.
    pub data_centre: DataCentre,
    /// Time since the peer last said that it suspects the primary.
    pub age: Duration,
}

/// Why a promotion is considered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PromotionTrigger {
    /// The primary may be dead.
    Suspicion(Suspicion),
    /// An operator, or a primary that leaves, asks for another primary; needs no suspicion.
    Planned {
        /// When this instance learned of it.
        since: MonoTime,
    },
    /// A run has ended between its promises and its promotion. The targets that promised its term take
    /// no records of the old primary and confirm none of its writes, although it answers.
    Unfinished {
        /// Result of [`PromotionPolicy::unfinished_since`].
        since: MonoTime,
    },
}

/// What a decision is made from.
#[derive(Debug, Clone)]
pub struct PolicyInput<'a> {
    /// Why a promotion is considered.
    pub trigger: PromotionTrigger,
    /// Threshold of the own monitor.
    pub threshold: Duration,
    /// Latest report of each replica.
    pub replicas: &'a [SilenceReport],
    /// Other observers that suspect the primary.
    pub peers: &'a [PeerSuspicion],
    /// Data centre of this instance.
    pub data_centre: &'a DataCentre,
    /// Rank among the group's observers, from [`rank_of`](crate::rank_of).
    pub rank: Option<usize>,
    /// Runs that this instance has going on, over all groups.
    pub active_runs: usize,
}

/// Whether a run may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PolicyDecision {
    /// It may start now.
    Start,
    /// Not before this time; ask again then.
    WaitUntil(MonoTime),
    /// Not in the present situation.
    Hold(HoldReason),
}

/// Why no run may start.
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

/// Decides for one group of one instance when a run may start.
#[derive(Debug, Clone)]
pub struct PromotionPolicy {
    settings: PolicySettings,
    consecutive_failures: u32,
    earliest_start: MonoTime,
    is_running: bool,
    /// Highest term without a primary, and since when it has been seen.
    unfinished_term: Option<(TermNumber, MonoTime)>,
}

impl PromotionPolicy {
    /// A policy without earlier runs.
    pub fn new(settings: PolicySettings) -> Self {
        Self {
            settings,
            consecutive_failures: 0,
            earliest_start: MonoTime::ZERO,
            is_running: false,
            unfinished_term: None,
        }
    }

    /// Whether a run may start at `now`.
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

    /// Since when a promotion counts as unfinished, if there is one. `promised` is the highest promised
    /// term in the latest reports of the targets that answer, `established` the highest term that has
    /// had a primary. Call it at every tick.
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
            // A new term shows that a candidate is at work.
            self.unfinished_term = Some((promised, now));
        }
        let (_, first_seen_at) = self.unfinished_term?;
        let since = first_seen_at + self.settings.unfinished_run_timeout;
        (now >= since).then_some(since)
    }

    /// A run was started.
    pub fn run_started(&mut self) {
        self.is_running = true;
    }

    /// The run ended without a primary. `random` is uniform over all numbers; it spreads the next runs
    /// of instances that failed together.
    pub fn run_failed(&mut self, now: MonoTime, random: u64) {
        self.is_running = false;
        let factor = 2_u32.saturating_pow(self.consecutive_failures);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        let delay = self.settings.retry_delay.saturating_mul(factor);
        let delay = delay.min(self.settings.max_retry_delay);
        let jitter = delay.mul_f64(random as f64 / u64::MAX as f64);
        self.earliest_start = self.earliest_start.max(now + delay + jitter);
    }

    /// The run ended with a primary.
    pub fn run_finished(&mut self) {
        self.is_running = false;
        self.consecutive_failures = 0;
    }

    /// A term above the established one was seen that this instance did not hand out: another candidate
    /// is at work. Call it once for each such term.
    pub fn competing_run_seen(&mut self, now: MonoTime) {
        self.earliest_start = self
            .earliest_start
            .max(now + self.settings.competing_run_delay);
    }

    fn is_confirmed(&self, input: &PolicyInput<'_>, now: MonoTime) -> bool {
        // The age of a report is not added to the silence it states: the replica may have heard from
        // its primary since.
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
