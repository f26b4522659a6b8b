//! The parts of a target's status that failover decisions use.

use std::time::Duration;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

/// State of a target at some time between the start of a status call and its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Highest term that the target has promised to follow.
    pub promised: TermNumber,
    /// Position of the last record of its log.
    pub end: GroupPosition,
    /// Position up to which its reads reflect the log.
    pub applied: GroupPosition,
    /// Terms in its log, with the position at which each starts.
    pub history: TermHistory,
    /// Whether it acts as primary of the promised term. A former primary that has promised a higher
    /// term refuses writes, so this is `false` for it, whatever role it reports.
    pub is_primary: bool,
    /// Time since a replica last heard from its primary; `None` for a primary or if it is unknown.
    pub primary_silent_for: Option<Duration>,
    /// Whether it is about to shut down.
    pub is_leaving: bool,
}

impl TargetReport {
    /// Returns the highest term that occurs in the report.
    ///
    /// A record of a term proves that a primary of that term was promoted, even if the target has
    /// not raised its promised term.
    pub fn highest_term(&self) -> TermNumber {
        let last = self.history.last_term().unwrap_or_default();
        self.promised.max(self.end.term).max(last)
    }

    /// Returns whether the target's log contains the record at `wanted`.
    ///
    /// ```
    /// use heatherhollow_failover::TargetReport;
    /// use heatherhollow_types::{GroupPosition, LogPosition, TermHistory, TermNumber};
    /// let mut history = TermHistory::default();
    /// history.push(TermNumber(1), LogPosition(1));
    /// history.push(TermNumber(2), LogPosition(96));
    /// let report = TargetReport { end: GroupPosition::new(2, 120), history, ..Default::default() };
    /// assert!(report.holds(GroupPosition::new(1, 95)));
    /// assert!(!report.holds(GroupPosition::new(1, 100))); // the record at 100 is of term 2
    /// ```
    pub fn holds(&self, wanted: GroupPosition) -> bool {
        holds_position(self.end, &self.history, wanted)
    }
}

/// Returns whether a log with this end and history contains the record at `wanted`.
pub(crate) fn holds_position(
    end: GroupPosition,
    history: &TermHistory,
    wanted: GroupPosition,
) -> bool {
    if wanted.position > end.position {
        return false;
    }
    // Two logs that end in the same term are equal up to the end of the shorter one, because only
    // one primary writes in a term. A record of an earlier term needs the history, because its
    // position number may belong to a later term in this log.
    wanted.term == end.term || (wanted.term < end.term && history.contains(wanted))
}

/// Returns the smallest number of targets for which any two sets of that size intersect.
pub const fn majority_of(targets: usize) -> usize {
    targets / 2 + 1
}
