//! Highest terms known for a group.

use heatherhollow_types::TermNumber;

use crate::report::TargetReport;

/// The highest terms known for one group, from any answer of any target or peer.
///
/// An *established* term is one that has had a primary. A *promised* term may belong to a promotion
/// that failed; it only decides which term the next promotion has to use. If promised terms replaced
/// the established one, a failed promotion would make every later write of the unchanged primary look
/// replaced.
///
/// ```
/// use heatherhollow_failover::HighestTerm;
/// use heatherhollow_types::TermNumber;
/// let mut highest = HighestTerm::default();
/// highest.observe_established(TermNumber(4));
/// highest.observe_promised(TermNumber(6));
/// assert!(highest.is_replaced(TermNumber(3)));
/// assert!(!highest.is_replaced(TermNumber(4)));
/// assert_eq!(highest.take_next(), TermNumber(7));
/// assert_eq!(highest.take_next(), TermNumber(8));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct HighestTerm {
    established: TermNumber,
    promised: TermNumber,
}

impl HighestTerm {
    /// Highest term that is known to have had a primary.
    pub fn established(&self) -> TermNumber {
        self.established
    }

    /// Highest term that any target is known to have promised, or that was handed out here.
    pub fn promised(&self) -> TermNumber {
        self.promised.max(self.established)
    }

    /// Takes the term of a primary or of a log record; returns whether it is a new highest one.
    pub fn observe_established(&mut self, term: TermNumber) -> bool {
        let is_higher = term > self.established;
        self.established = self.established.max(term);
        is_higher
    }

    /// Takes a promised term; returns whether it is a new highest one.
    pub fn observe_promised(&mut self, term: TermNumber) -> bool {
        let is_higher = term > self.promised();
        self.promised = self.promised.max(term);
        is_higher
    }

    /// Takes a target's report; returns whether it shows a new highest established term.
    pub fn observe_report(&mut self, report: &TargetReport) -> bool {
        self.observe_promised(report.promised);
        let last = report.history.last_term().unwrap_or_default();
        let mut term = report.end.term.max(last);
        if report.is_primary {
            term = term.max(report.promised);
        }
        self.observe_established(term)
    }

    /// Takes over what a peer knows; returns whether it shows a new highest established term.
    pub fn merge(&mut self, other: &Self) -> bool {
        self.observe_promised(other.promised);
        self.observe_established(other.established)
    }

    /// Whether a primary of a higher term than `term` is known.
    pub fn is_replaced(&self, term: TermNumber) -> bool {
        self.established > term
    }

    /// A term for a new promotion run; no call returns the same term twice.
    ///
    /// Targets accept a repeated fence of the same candidate, so two runs of one instance must never
    /// share a term: they could choose different targets.
    pub fn allocate_term(&mut self) -> TermNumber {
        self.promised = self.promised().next();
        self.promised
    }
}
