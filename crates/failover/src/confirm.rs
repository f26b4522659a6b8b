//! Confirmation of writes after the primary has answered.
//!
//! A promotion needs promises from a majority of the group's targets, and any two majorities share
//! a target. If a majority, including the primary, held a write before promising a higher term,
//! every later promotion sees the write in one of its fence replies and chooses a log that contains
//! it. Such evidence never expires: a target that held the write before its promise reported it to
//! the candidate that fenced it. A [`WriteConfirmer`] therefore keeps the best report of each
//! target for each promised term.
//!
//! A write that was found by request id at a primary of a later term needs stronger evidence. Its
//! position on a majority does not protect it, because a target with a record of a term in between
//! may win a later promotion without containing the write. Only a log that extends into the term of
//! the primary that answered counts as holding such a write.

use std::time::Duration;

use heatherhollow_types::AckMode;
use heatherhollow_types::GroupPosition;
use heatherhollow_types::MonoTime;
use heatherhollow_types::TargetIndex;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

use crate::report::TargetReport;
use crate::report::holds_position;
use crate::report::majority_of;

/// Maximum number of promised terms per target for which evidence is kept. Writes of older terms
/// are no longer pending.
const MAX_KEPT_TERMS: usize = 4;

/// Maximum number of retained samples of the primary's log end.
const MAX_SAMPLES: usize = 48;

/// Settings of a [`WriteConfirmer`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfirmSettings {
    /// Maximum lag of a replica that is expected to confirm new writes.
    pub confirm_lag_limit: Duration,
}

impl Default for ConfirmSettings {
    fn default() -> Self {
        Self {
            confirm_lag_limit: Duration::from_secs(2),
        }
    }
}

/// A write that the primary has answered and that is not acknowledged yet.
///
/// With [`AckMode::Primary`] it can also stand for a read at the primary that must show the current
/// state: the same check proves that the primary had not been replaced when it answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PendingWrite {
    /// Position of the write.
    pub position: GroupPosition,
    /// Term of the primary that answered. It is above the term of the position if the primary
    /// answered from its record of a write of an earlier term.
    pub term: TermNumber,
    /// Target that answered as primary.
    pub primary: TargetIndex,
    /// When the answer was received.
    pub answered_at: MonoTime,
    /// Condition on which the write is acknowledged.
    pub mode: AckMode,
}

impl PendingWrite {
    /// Creates a pending write that was executed in the term of its position.
    pub fn new(
        position: GroupPosition,
        primary: TargetIndex,
        answered_at: MonoTime,
        mode: AckMode,
    ) -> Self {
        Self {
            position,
            term: position.term,
            primary,
            answered_at,
            mode,
        }
    }
}

/// Result of [`WriteConfirmer::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// The write may be acknowledged, provided that no primary of a higher term is known.
    Confirmed,
    /// More reports are needed for a decision.
    Waiting,
    /// The write can no longer be confirmed in its term; the new primary knows whether it took
    /// effect.
    Refuted,
}

#[derive(Debug, Clone)]
struct TermEvidence {
    promised: TermNumber,
    last_asked_at: MonoTime,
    end: GroupPosition,
    history: TermHistory,
}

#[derive(Debug, Clone, Default)]
struct TargetEvidence {
    /// Sorted by promised term.
    terms: Vec<TermEvidence>,
    last_asked_at_any_term: Option<MonoTime>,
    is_primary: bool,
}

/// Log end that the primary reported in answer to a status call started at `asked_at`.
#[derive(Debug, Clone, Copy)]
struct LogEndSample {
    asked_at: MonoTime,
    position: GroupPosition,
}

/// Collects the reports of one group's targets and confirms writes with them.
///
/// Targets are identified by their index in the declared list. A changed list needs a new
/// confirmer.
///
/// ```
/// use heatherhollow_failover::{ConfirmSettings, Confirmation, PendingWrite, TargetReport, WriteConfirmer};
/// use heatherhollow_types::{AckMode, GroupPosition, MonoTime, TargetIndex, TermNumber};
/// let mut confirmer = WriteConfirmer::new(ConfirmSettings::default(), 3);
/// let position = GroupPosition::new(1, 7);
/// let answered_at = MonoTime::from_millis(5);
/// let write = PendingWrite::new(position, TargetIndex(0), answered_at, AckMode::Replicated);
/// assert_eq!(confirmer.check(&write), Confirmation::Waiting);
/// let report = TargetReport { promised: TermNumber(1), end: position, ..Default::default() };
/// confirmer.observe(TargetIndex(2), MonoTime::from_millis(6), &report);
/// assert_eq!(confirmer.check(&write), Confirmation::Confirmed);
/// ```
#[derive(Debug, Clone)]
pub struct WriteConfirmer {
    settings: ConfirmSettings,
    targets: Vec<TargetEvidence>,
    sample_term: TermNumber,
    /// Log ends of the primary in the term `sample_term`, oldest first.
    samples: Vec<LogEndSample>,
}

impl WriteConfirmer {
    /// Creates a confirmer for a group with `targets` declared targets.
    pub fn new(settings: ConfirmSettings, targets: usize) -> Self {
        Self {
            settings,
            targets: vec![TargetEvidence::default(); targets],
            sample_term: TermNumber::default(),
            samples: Vec::new(),
        }
    }

    /// Records the answer to a status call that was started at `asked_at`.
    ///
    /// Reports may arrive in any order; reports of targets that are not declared are ignored.
    pub fn observe(&mut self, target: TargetIndex, asked_at: MonoTime, report: &TargetReport) {
        let Some(evidence) = self.targets.get_mut(target.as_usize()) else {
            return;
        };
        if evidence
            .last_asked_at_any_term
            .is_none_or(|latest| latest <= asked_at)
        {
            evidence.last_asked_at_any_term = Some(asked_at);
            evidence.is_primary = report.is_primary;
        }
        evidence.record(asked_at, report);
        if report.is_primary {
            self.add_sample(asked_at, report);
        }
    }

    /// Returns whether the reports received so far confirm a write.
    pub fn check(&self, write: &PendingWrite) -> Confirmation {
        let majority = majority_of(self.targets.len());
        // The primary counts as one confirmation: when it answered, it held the write and had not
        // promised a higher term, or it would have refused the write.
        let mut confirmed = 1;
        let mut fenced = 0;
        let mut undecided = 0;
        for (i, evidence) in self.targets.iter().enumerate() {
            let is_fenced = evidence.promised() > write.term;
            fenced += usize::from(is_fenced);
            if i == write.primary.as_usize() {
                continue;
            }
            if evidence.confirms(write) {
                confirmed += 1;
            } else if !is_fenced {
                undecided += 1;
            }
        }
        if confirmed >= majority {
            Confirmation::Confirmed
        } else if fenced >= majority && confirmed + undecided < majority {
            Confirmation::Refuted
        } else {
            Confirmation::Waiting
        }
    }

    /// Returns whether too few replicas are within `confirm_lag_limit` for a new write to be
    /// confirmed. With three targets, this means that no replica is.
    ///
    /// Every report of the primary is a sample (s, P): a log that contains P has every write that
    /// was committed before the local time s. If s is the latest sample that a replica is known to
    /// hold, and s' the latest sample of all, the replica was behind by at most s' − s at time s',
    /// and both times are read from this instance's clock. The bound is conservative: it includes
    /// the time since the last report of the replica, and the replica may have advanced since.
    ///
    /// Without a sample within the limit the lag is unknown and the result is `false`, because
    /// refusing writes would also stop the answers that serve as samples.
    pub fn is_lagging(&self, now: MonoTime) -> bool {
        let limit = self.settings.confirm_lag_limit;
        let (Some(first), Some(last)) = (self.samples.first(), self.samples.last()) else {
            return false;
        };
        if now - last.asked_at > limit || last.asked_at - first.asked_at <= limit {
            return false;
        }
        let replicas_in_reach = self
            .targets
            .iter()
            .filter(|evidence| !evidence.is_primary)
            .filter(|evidence| {
                self.samples
                    .iter()
                    .rev()
                    .take_while(|sample| last.asked_at - sample.asked_at <= limit)
                    .any(|sample| evidence.holds(sample.position))
            })
            .count();
        replicas_in_reach + 1 < majority_of(self.targets.len())
    }

    fn add_sample(&mut self, asked_at: MonoTime, report: &TargetReport) {
        let term = report.highest_term();
        if term < self.sample_term {
            return;
        }
        if term > self.sample_term {
            self.sample_term = term;
            self.samples.clear();
        }
        if self
            .samples
            .last()
            .is_some_and(|last| asked_at <= last.asked_at)
        {
            return;
        }
        // A sample that follows its predecessor by less than a sixteenth of the limit is replaced
        // by the next one, so that the retained samples cover the limit at any polling rate.
        let step = self.settings.confirm_lag_limit / 16;
        if let [.., before, last] = self.samples.as_slice()
            && last.asked_at - before.asked_at < step
        {
            self.samples.pop();
        }
        if self.samples.len() == MAX_SAMPLES {
            self.samples.remove(0);
        }
        self.samples.push(LogEndSample {
            asked_at,
            position: report.end,
        });
    }
}

impl TargetEvidence {
    fn record(&mut self, asked_at: MonoTime, report: &TargetReport) {
        let promised = report.highest_term();
        let found = self
            .terms
            .binary_search_by_key(&promised, |entry| entry.promised);
        match found {
            Ok(i) => {
                let entry = &mut self.terms[i];
                entry.last_asked_at = entry.last_asked_at.max(asked_at);
                if report.end >= entry.end {
                    entry.end = report.end;
                    entry.history.clone_from(&report.history);
                }
            }
            Err(i) => {
                self.terms.insert(
                    i,
                    TermEvidence {
                        promised,
                        last_asked_at: asked_at,
                        end: report.end,
                        history: report.history.clone(),
                    },
                );
                if self.terms.len() > MAX_KEPT_TERMS {
                    self.terms.remove(0);
                }
            }
        }
    }

    fn promised(&self) -> TermNumber {
        self.terms
            .last()
            .map_or(TermNumber::default(), |entry| entry.promised)
    }

    fn confirms(&self, write: &PendingWrite) -> bool {
        let usable = self
            .terms
            .iter()
            .filter(|entry| entry.promised <= write.term);
        match write.mode {
            AckMode::Replicated => usable.into_iter().any(|entry| {
                entry.end.term == write.term
                    && holds_position(entry.end, &entry.history, write.position)
            }),
            // A status call, unlike a held record, does not affect later promotions. A target that
            // has promised a higher term since the call therefore does not count.
            AckMode::Primary => {
                self.promised() <= write.term
                    && usable
                        .into_iter()
                        .any(|entry| entry.last_asked_at > write.answered_at)
            }
        }
    }

    fn holds(&self, position: GroupPosition) -> bool {
        self.terms
            .last()
            .is_some_and(|entry| holds_position(entry.end, &entry.history, position))
    }
}
