//! Targets that may have restarted, and what their reports still show.
//!
//! A promotion relies on the pauses that it sets, and a restart ends the pause of a target. A target
//! that restarts between its pause and the effect of the promotion takes records of the old primary
//! again, which the promotion then loses. Its new entry reaches the instances long after it accepts
//! connections, so restarts are detected by connections: an answer shows that the target has not
//! restarted since the connection was opened.
//!
//! A report shows a durable copy, or that the primary leads, if the target has kept every pause of a
//! promotion in progress ([`GroupState::has_kept_pauses`]).

use std::time::Duration;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;

use crate::catalog::TargetRole;
use crate::group::GroupState;
use crate::message::StatusReport;
use crate::pool::TargetPool;

/// Time after which all instances that can read the store know a listed target.
const ESTABLISHED_AGE: Duration = Duration::from_millis(1_500);

/// Longest time from the first pause of a promotion to its effect: a step of 500 ms, two calls to a
/// slow platform of 200 ms each and an effect of 1 s.
const PAUSE_TO_EFFECT_TIME: Duration = Duration::from_millis(2_000);

/// Span in which a target has certainly not restarted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RunSpan {
    /// The target's present run began at this time or earlier.
    pub began_by: MonoTime,
    /// The target was still in this run at this time or later.
    pub alive_at: MonoTime,
}

impl RunSpan {
    /// Returns the span after an answer to a call of `sent_at` on a connection that was opened at
    /// `opened_at`. A connection that was opened within the span extends it.
    pub fn extended(span: Option<Self>, opened_at: MonoTime, sent_at: MonoTime) -> Self {
        match span {
            Some(span) if opened_at <= span.alive_at => Self {
                began_by: span.began_by.min(opened_at),
                alive_at: span.alive_at.max(sent_at),
            },
            _ => Self {
                began_by: opened_at,
                alive_at: sent_at,
            },
        }
    }
}

impl GroupState {
    /// Returns whether a target, asked at `asked_at`, had kept every pause of a promotion in
    /// progress.
    ///
    /// That holds if it had not restarted for as long as a promotion takes. It also holds if no
    /// promotion had paused it before its present run began: then enough other replicas report no
    /// pause after that time. A promotion misses the primary and may miss some replicas, so the
    /// report of a target that has led the term shows nothing.
    pub fn has_kept_pauses(&self, target: TargetIndex, asked_at: MonoTime) -> bool {
        let Some(pool) = self.pool(target) else {
            return false;
        };
        let Some(run) = pool.run.filter(|_| is_known_everywhere(pool, asked_at)) else {
            return false;
        };
        if asked_at.since(run.began_by) >= PAUSE_TO_EFFECT_TIME {
            return true;
        }
        let Some(primary) = self.primary else {
            return false;
        };
        let unpaused_others = self.targets().filter(|(i, other)| {
            let is_unpaused = |(at, report): (MonoTime, StatusReport)| {
                at >= run.began_by && self.is_unpaused(&report) && is_known_everywhere(other, at)
            };
            *i != target && *i != primary && other.report.is_some_and(is_unpaused)
        });
        unpaused_others.count() >= self.tolerated_missing()
    }

    /// Returns whether a target reports that it follows the primary of the known term.
    pub fn is_unpaused(&self, report: &StatusReport) -> bool {
        report.role == TargetRole::Replica
            && report.term == self.term
            && report.paused_for.is_none()
    }

    /// Returns the latest time at which replicas show that the known primary led.
    pub fn shown_leadership(&self) -> Option<MonoTime> {
        self.primary?;
        self.targets()
            .filter_map(|(i, pool)| {
                let (asked_at, report) = pool.report?;
                let is_shown = self.is_unpaused(&report) && self.has_kept_pauses(i, asked_at);
                is_shown.then_some(asked_at)
            })
            .max()
    }

    /// Returns the replicas that have to be asked so that a report of `target` counts although the
    /// target may have restarted.
    pub fn unasked_witnesses(&self, target: TargetIndex) -> Vec<TargetIndex> {
        let Some((asked_at, report)) = self.pool(target).and_then(|pool| pool.report) else {
            return Vec::new();
        };
        let run = self.pool(target).and_then(|pool| pool.run);
        let Some(run) = run.filter(|_| self.is_unpaused(&report)) else {
            return Vec::new();
        };
        if self.has_kept_pauses(target, asked_at) {
            return Vec::new();
        }
        self.targets()
            .filter(|(i, other)| {
                let is_older = other.report.is_none_or(|(at, _)| at < run.began_by);
                *i != target && Some(*i) != self.primary && is_older && !other.is_unreachable()
            })
            .map(|(i, _)| i)
            .collect()
    }

    /// Returns whether some replica in [`Self::durable_replicas`] that has kept its pauses has the
    /// log up to a position.
    ///
    /// The primary's own report that some replica has a commit is not enough: a target takes
    /// records before it is listed, and a promotion that does not know the target may lose them.
    ///
    /// Positions of an earlier term are not compared, since a later log need not contain them.
    pub fn is_replicated(&self, position: GroupPosition, now: MonoTime) -> bool {
        let has_position =
            |received: GroupPosition| received.term == self.term && received >= position;
        let is_of_term = position.term == self.term;
        is_of_term
            && self.durable_replicas(now).any(|(i, pool)| {
                let reported = pool
                    .report
                    .filter(|(_, report)| report.term == self.term && report.received >= position)
                    .map(|(asked_at, _)| asked_at);
                let seen = pool
                    .max_seen
                    .filter(|(_, max_seen)| has_position(*max_seen))
                    .map(|(asked_at, _)| asked_at);
                let mut asked_at = reported.into_iter().chain(seen);
                asked_at.any(|asked_at| self.has_kept_pauses(i, asked_at))
            })
    }

    /// Iterates over the replicas whose copy of a commit survives a promotion, unless they have
    /// forgotten a pause: every instance knows them, and they stay. The log of a leaving target goes
    /// with it, and a primary that stepped down is no copy of its own commits.
    pub fn durable_replicas(
        &self,
        now: MonoTime,
    ) -> impl Iterator<Item = (TargetIndex, &TargetPool)> {
        self.targets().filter(move |(i, pool)| {
            let has_led = Some(*i) == self.primary || Some(*i) == self.last_primary;
            !has_led && is_known_everywhere(pool, now) && !pool.is_leaving()
        })
    }
}

/// Returns whether all instances know a target. A target whose entry is missing still counts, as it
/// does in promotions.
pub(crate) fn is_known_everywhere(pool: &TargetPool, now: MonoTime) -> bool {
    now.since(pool.listed_at) >= ESTABLISHED_AGE
}
