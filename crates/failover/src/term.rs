//! The highest terms known for a group.

use heatherhollow_types::TermNumber;

use crate::report::TargetReport;

/// The highest terms known for one group, collected from the answers of targets and peers.
///
/// An *established* term has had a primary. A *promised* term may belong to a promotion that
/// failed, and only determines which term the next promotion must exceed. The two are kept apart
/// because a failed promotion would otherwise make the current primary look replaced, and with it
/// every later write.
///
/// ```
/// use heatherhollow_failover::HighestTerm;
/// use heatherhollow_types::TermNumber;
/// let mut highest = HighestTerm::default();
/// highest.observe_established(TermNumber(4));
/// highest.observe_promised(TermNumber(6));
/// assert!(highest.is_replaced(TermNumber(3)));
/// assert!(!highest.is_replaced(TermNumber(4)));
/// assert_eq!(highest.allocate_term(), TermNumber(7));
/// assert_eq!(highest.allocate_term(), TermNumber(8));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HighestTerm {
    established: TermNumber,
    promised: TermNumber,
}

impl HighestTerm {
    /// Returns the highest term that is known to have had a primary.
    pub fn established(&self) -> TermNumber {
        self.established
    }

    /// Returns the highest term that a target is known to have promised or that was allocated here.
    pub fn promised(&self) -> TermNumber {
        self.promised.max(self.established)
    }

    /// Records the term of a primary or of a log record; returns whether it is a new maximum.
    pub fn observe_established(&mut self, term: TermNumber) -> bool {
        let is_higher = term > self.established;
        self.established = self.established.max(term);
        is_higher
    }

    /// Records a promised term; returns whether it is a new maximum.
    pub fn observe_promised(&mut self, term: TermNumber) -> bool {
        let is_higher = term > self.promised();
        self.promised = self.promised.max(term);
        is_higher
    }

    /// Records the terms of a target's report; returns whether the established term rose.
    pub fn observe_report(&mut self, report: &TargetReport) -> bool {
        self.observe_promised(report.promised);
        let last = report.history.last_term().unwrap_or_default();
        let mut term = report.end.term.max(last);
        if report.is_primary {
            term = term.max(report.promised);
        }
        self.observe_established(term)
    }

    /// Merges the terms that a peer knows; returns whether the established term rose.
    pub fn merge(&mut self, other: &Self) -> bool {
        self.observe_promised(other.promised);
        self.observe_established(other.established)
    }

    /// Returns whether a primary of a term above `term` is known.
    pub fn is_replaced(&self, term: TermNumber) -> bool {
        self.established > term
    }

    /// Returns a term for a new promotion run; no two calls return the same term.
    ///
    /// Targets accept a repeated fence call of the same candidate, so two runs of one instance that
    /// shared a term could choose different targets.
    pub fn allocate_term(&mut self) -> TermNumber {
        self.promised = self.promised().next();
        self.promised
    }
}
