//! State of one group: what its targets reported, and what follows from that.
//!
//! All of it is behind one lock of the group's runner and changes only with reports, answers and the
//! passing of time.

use std::time::Duration;

use heatherhollow_control::GroupSettings;
use heatherhollow_failover::Confirmation;
use heatherhollow_failover::FailureKind;
use heatherhollow_failover::HighestTerm;
use heatherhollow_failover::MonitorSettings;
use heatherhollow_failover::PendingWrite;
use heatherhollow_failover::PrimaryMonitor;
use heatherhollow_failover::PromotionPolicy;
use heatherhollow_failover::Suspicion;
use heatherhollow_failover::TargetReport;
use heatherhollow_failover::WriteConfirmer;
use heatherhollow_failover::majority_of;
use heatherhollow_ports::TargetError;
use heatherhollow_ports::TargetRole;
use heatherhollow_ports::TargetStatus;
use heatherhollow_routing::FreshnessTracker;
use heatherhollow_types::DataCentre;
use heatherhollow_types::InstanceName;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermNumber;

use crate::timing::GroupTiming;

/// Silence of the primary towards a replica from which the replica is not expected to confirm writes.
/// Holding writes back keeps them from running where they would be lost.
pub(crate) const UNCONFIRMABLE_SILENCE: Duration = Duration::from_millis(350);

/// A target's latest report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenReport {
    /// Start of the status call.
    pub asked_at: MonoTime,
    /// Its answer's arrival.
    pub answered_at: MonoTime,
    /// The report.
    pub report: TargetReport,
}

/// The primary of the highest term that is known to have one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KnownPrimary {
    /// The target.
    pub target: TargetIndex,
    /// Its term.
    pub term: TermNumber,
}

/// Suspicion that a peer told this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ToldSuspicion {
    /// The peer.
    pub peer: InstanceName,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The suspected primary's term.
    pub term: TermNumber,
    /// When the news arrived.
    pub at: MonoTime,
}

/// The state of a group, under one lock.
pub struct GroupState {
    /// Latest report of each target.
    pub reports: Vec<Option<SeenReport>>,
    /// Ages and lags.
    pub tracker: FreshnessTracker,
    /// The primary, if one is known.
    pub primary: Option<KnownPrimary>,
    /// Highest terms.
    pub highest: HighestTerm,
    /// What this instance thinks of the primary.
    pub suspicion: Suspicion,
    /// What peers think of it.
    pub told: Vec<ToldSuspicion>,
    pub(crate) monitor: PrimaryMonitor,
    pub(crate) promotion_policy: PromotionPolicy,
    pub(crate) confirmer: WriteConfirmer,
    /// A planned promotion: the target that is to become primary, and since when.
    pub(crate) planned: Option<(TargetIndex, MonoTime)>,
    /// Whether each target is declared as leaving.
    pub declared_leaving: Vec<bool>,
    /// Smoothed time of a status call to each target.
    pub round_trips: Vec<Option<Duration>>,
    monitor_settings: MonitorSettings,
    isolated_since: Option<MonoTime>,
    primary_since: MonoTime,
    /// Latest call that the primary answered, by term and start.
    primary_answer: Option<(TermNumber, MonoTime)>,
    pub(crate) last_used: MonoTime,
    pub(crate) last_news: MonoTime,
}

impl GroupState {
    /// A group of which nothing is known.
    pub(crate) fn new(settings: &GroupSettings, timing: &GroupTiming, now: MonoTime) -> Self {
        let targets = settings.targets.len();
        Self {
            reports: vec![None; targets],
            tracker: FreshnessTracker::default(),
            primary: None,
            highest: HighestTerm::default(),
            suspicion: Suspicion::Healthy,
            told: Vec::new(),
            monitor: PrimaryMonitor::new(timing.monitor.clone()),
            promotion_policy: PromotionPolicy::new(timing.promotion_policy.clone()),
            confirmer: WriteConfirmer::new(timing.confirm.clone(), targets),
            planned: None,
            declared_leaving: settings
                .targets
                .iter()
                .map(|target| target.leaving)
                .collect(),
            round_trips: vec![None; targets],
            monitor_settings: timing.monitor.clone(),
            isolated_since: None,
            primary_since: MonoTime::ZERO,
            primary_answer: None,
            last_used: now,
            last_news: MonoTime::ZERO,
        }
    }

    /// Whether a target is leaving, by its declaration or by its own word.
    pub fn is_leaving(&self, target: TargetIndex) -> bool {
        let i = target.as_usize();
        let says_so = self.reports[i]
            .as_ref()
            .is_some_and(|seen| seen.report.is_leaving);
        says_so || self.declared_leaving[i]
    }

    /// Whether a target is the known primary.
    pub fn is_primary(&self, target: TargetIndex) -> bool {
        self.primary.is_some_and(|primary| primary.target == target)
    }

    /// The known primary, unless it is suspected or has been replaced.
    pub fn usable_primary(&self) -> Option<KnownPrimary> {
        let is_suspected = self.suspicion.suspected_since().is_some();
        self.primary
            .filter(|primary| !is_suspected && !self.is_fenced(*primary))
    }

    /// The primary for a write: one of which writes can be confirmed at present.
    pub fn writable_primary(&self, now: MonoTime) -> Option<KnownPrimary> {
        self.usable_primary()
            .filter(|primary| self.can_confirm(*primary, now))
    }

    /// Whether so many other targets still hear from the primary that a write can be confirmed.
    fn can_confirm(&self, primary: KnownPrimary, now: MonoTime) -> bool {
        let others = self.reports.iter().enumerate();
        let others = others.filter(|(i, _)| *i != primary.target.as_usize());
        let hearing = others.filter(|(_, seen)| {
            seen.as_ref().is_some_and(|seen| {
                let silent_for = seen.report.primary_silent_for.unwrap_or_default();
                seen.report.promised <= primary.term
                    && silent_for < UNCONFIRMABLE_SILENCE
                    && now.since(seen.answered_at) < UNCONFIRMABLE_SILENCE * 3
            })
        });
        hearing.count() + 1 >= majority_of(self.reports.len())
    }

    /// Suspects a primary that this instance does not reach, and one that a majority of the targets
    /// does not hear from: it may still answer, but no write of it can be confirmed.
    pub(crate) fn update_suspicion(&mut self, now: MonoTime) {
        self.suspicion = self.monitor.tick(now);
        let threshold = self.monitor.threshold();
        // The replicas of a new primary count their silence from the last word of the old one.
        if now.since(self.primary_since) < threshold {
            self.isolated_since = None;
            return;
        }
        let deaf = self.reports.iter().flatten().filter(|seen| {
            now.since(seen.answered_at) <= UNCONFIRMABLE_SILENCE
                && seen
                    .report
                    .primary_silent_for
                    .is_some_and(|span| span >= threshold)
        });
        if deaf.count() < majority_of(self.reports.len()) {
            self.isolated_since = None;
            return;
        }
        let since = *self.isolated_since.get_or_insert(now);
        if self.suspicion.suspected_since().is_none() {
            self.suspicion = Suspicion::Suspected { since };
        }
    }

    /// Whether a majority has promised a higher term than the primary's, so that no write of it can
    /// be confirmed any more.
    fn is_fenced(&self, primary: KnownPrimary) -> bool {
        let reports = self.reports.iter().flatten();
        let fenced = reports
            .filter(|seen| seen.report.promised > primary.term)
            .count();
        fenced >= majority_of(self.reports.len())
    }

    pub(crate) fn observe(
        &mut self,
        target: TargetIndex,
        asked_at: MonoTime,
        now: MonoTime,
        report: TargetReport,
    ) {
        let i = target.as_usize();
        if self.reports[i]
            .as_ref()
            .is_some_and(|seen| seen.asked_at > asked_at)
        {
            return;
        }
        let took = now.since(asked_at);
        let smoothed = self.round_trips[i].map_or(took, |old| (old * 3 + took) / 4);
        self.round_trips[i] = Some(smoothed);
        let is_contested = report.promised > self.highest.promised()
            && report.promised > self.highest.established()
            && !report.is_primary;
        if is_contested {
            self.promotion_policy.competing_run_seen(now);
        }
        self.highest.observe_report(&report);
        self.confirmer.observe(target, asked_at, &report);
        if report.is_primary {
            let primary = KnownPrimary {
                target,
                term: report.promised,
            };
            self.set_primary(primary, now);
        }
        if self.is_primary(target) {
            self.monitor.probe_answered(now);
        }
        let is_leader = self.primary
            == Some(KnownPrimary {
                target,
                term: report.promised,
            })
            && report.is_primary;
        if is_leader {
            self.note_primary_answer(report.promised, asked_at);
            self.tracker.observe_history(&report.history);
            self.tracker
                .observe_primary(asked_at, report.promised, report.end);
        } else {
            self.tracker.observe_replica(target, now, report.applied);
        }
        self.reports[i] = Some(SeenReport {
            asked_at,
            answered_at: now,
            report,
        });
        self.observe_leadership();
    }

    /// Derives from the reports until when the primary is known not to have been replaced.
    pub(crate) fn observe_leadership(&mut self) {
        let Some(primary) = self.primary else { return };
        let mut times = self
            .reports
            .iter()
            .enumerate()
            .filter(|(i, _)| *i != primary.target.as_usize())
            .filter_map(|(_, seen)| seen.as_ref())
            .filter(|seen| seen.report.promised <= primary.term)
            .map(|seen| seen.asked_at)
            .collect::<Vec<_>>();
        times.extend(
            self.primary_answer
                .filter(|(term, _)| *term == primary.term)
                .map(|(_, at)| at),
        );
        times.sort_unstable_by(|a, b| b.cmp(a));
        if let Some(&asked_at) = times.get(majority_of(self.reports.len()) - 1) {
            self.tracker.observe_term_check(asked_at, primary.term);
        }
    }

    /// Notes that the primary of a term answered a call that was begun at `asked_at`.
    pub(crate) fn note_primary_answer(&mut self, term: TermNumber, asked_at: MonoTime) {
        if self
            .primary_answer
            .is_none_or(|known| known < (term, asked_at))
        {
            self.primary_answer = Some((term, asked_at));
        }
    }

    pub(crate) fn set_primary(&mut self, primary: KnownPrimary, now: MonoTime) -> bool {
        if self.primary.is_some_and(|known| known.term >= primary.term) {
            return false;
        }
        self.highest.observe_established(primary.term);
        self.primary = Some(primary);
        self.primary_since = now;
        self.isolated_since = None;
        self.suspicion = Suspicion::Healthy;
        self.told.retain(|told| told.term >= primary.term);
        self.monitor = PrimaryMonitor::new(self.monitor_settings.clone());
        true
    }

    /// Whether a write may be acknowledged.
    pub(crate) fn confirmation(&self, write: &PendingWrite) -> Option<Confirmation> {
        match self.confirmer.check(write) {
            Confirmation::Waiting => None,
            Confirmation::Refuted => Some(Confirmation::Refuted),
            Confirmation::Confirmed if !self.highest.is_replaced(write.term) => {
                Some(Confirmation::Confirmed)
            }
            Confirmation::Confirmed => {
                // A primary of a higher term is known: the write counts only if that one has it.
                let primary = self.primary.filter(|primary| primary.term > write.term)?;
                let seen = self.reports[primary.target.as_usize()].as_ref()?;
                let is_of_term = seen.report.is_primary && seen.report.promised >= primary.term;
                let is_held = is_of_term && seen.report.holds(write.position);
                match (is_of_term, is_held) {
                    (true, true) => Some(Confirmation::Confirmed),
                    (true, false) => Some(Confirmation::Refuted),
                    (false, _) => None,
                }
            }
        }
    }
}

/// What a target's status tells decision logic.
pub(crate) fn report_of(status: TargetStatus) -> TargetReport {
    TargetReport {
        promised: status.promised,
        end: status.end,
        applied: status.applied,
        history: status.history,
        is_primary: status.role == TargetRole::Primary,
        primary_silent_for: status.primary_silent_for,
        is_leaving: status.is_leaving,
    }
}

pub(crate) fn failure_kind(error: &TargetError) -> FailureKind {
    match error {
        TargetError::ConnectionRefused => FailureKind::Refused,
        TargetError::ConnectTimeout => FailureKind::TimedOut,
        _ => FailureKind::ConnectionLost,
    }
}
