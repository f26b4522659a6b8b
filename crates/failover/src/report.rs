//! What a target reports, as far as failover decisions need it.

use std::time::Duration;

use heatherhollow_types::GroupPosition;
use heatherhollow_types::TermHistory;
use heatherhollow_types::TermNumber;

/// State of a target at one moment between the start of a status call and its answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetReport {
    /// Highest term that the target has promised to follow.
    pub promised: TermNumber,
    /// End of its log.
    pub end: GroupPosition,
    /// Position up to which its reads see the log.
    pub applied: GroupPosition,
    /// Terms of its log.
    pub history: TermHistory,
    /// Whether it acts as primary of the promised term. A former primary that has promised a higher
    /// term refuses writes and is not one, whatever role it states.
    pub is_primary: bool,
    /// For a replica: time since it last heard from its primary.
    pub primary_silent_for: Option<Duration>,
    /// Whether it is about to stop.
    pub is_leaving: bool,
}

impl TargetReport {
    /// Highest term of which the report shows any trace.
    ///
    /// A record of a term shows that a primary of that term was promoted, even if the target has not raised
    /// its promised term.
    pub fn highest_term(&self) -> TermNumber {
        let last = self.history.last_term().unwrap_or_default();
        self.promised.max(self.end.term).max(last)
    }

    /// Whether the target's log holds the record at `wanted`.
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

/// Whether a log with this end and history holds the record at `wanted`.
pub(crate) fn holds_position(
    end: GroupPosition,
    history: &TermHistory,
    wanted: GroupPosition,
) -> bool {
    if wanted.position > end.position {
        return false;
    }
    // Two logs whose last records are of the same term agree up to the shorter one, because only one
    // primary writes in a term. An older term needs the history: the same position number may belong
    // to a later term.
    wanted.term == end.term || (wanted.term < end.term && history.contains(wanted))
}

/// Smallest number of targets of which any two sets of that size share one.
pub const fn majority_of(targets: usize) -> usize {
    targets / 2 + 1
}
